#pragma once

#include "cornelwind/belief.h"
#include "cornelwind/idle_reason.h"
#include "cornelwind/peer_load_table.h"
#include "cornelwind/selector.h"
#include "cornelwind/server_limit_table.h"
#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// State of a backend server, shared by the whole fleet.
enum class ServerState : std::uint8_t {
    /// Takes requests.
    Serving,
    /// Takes no new requests until its ejection time is over.
    Ejected,
    /// Back after an ejection: takes one request at a time.
    Trial,
    /// Shutting down: takes no new requests.
    Leaving,
    /// No longer in the sheet: deleted once its requests have ended.
    Removed,
};

/// @return the name shown to operators, such as `ejected`
const char* toString(ServerState);

/// A backend server as this entry instance sees it.
struct Server {
    ServerId id;
    SheetServer config;
    ServiceName service;
    ServerState state = ServerState::Serving;
    /// This entry instance sends it no requests; other instances may.
    bool avoided = false;
    /// Requests that this entry instance has in flight there.
    std::uint32_t inFlight = 0;
    /// Bytes of the bodies of these requests that are larger than `ServerPool::UNLIMITED_BODY_BYTES`.
    ByteCount bodyBytes {};
    /// Slots reserved for this entry instance.
    std::uint32_t ownSlots = 0;
    /// Earliest end of the current ejection, trial, leaving state or avoidance.
    Time stateEndsAt;
    /// Start and end of the warm-up after the server has started or returned to service. Meanwhile its
    /// concurrency limit grows linearly, and slow responses do not count as evidence against it.
    Time rampStart;
    Time rampEnd;
    /// The server shed a request and gets no new ones before this time.
    Time busyUntil;
    /// It asked for no requests from this entry instance before this time.
    Time backoffUntil;
    /// Number of recent ejections; each one doubles the next ejection time, up to a limit.
    std::uint32_t ejectionCount = 0;
    /// Latest time at which an entry instance of the zone is known to have sent it a request.
    Time lastSentAt;
    /// When this entry instance first learned of it.
    Time knownSince;
};

/// What the choice of a backend server for one request depends on.
struct PickContext {
    Time now;
    /// Uniformly distributed bits.
    std::uint64_t random = 0;
    /// Backend servers that this request was already sent to.
    std::span<const ServerId> excluded;
    /// Whether the request may be the trial of an ejected or suspected server.
    bool trialAllowed = false;
    /// Whether the trial budget of the service allows one more trial while other servers have free slots.
    bool trialBudgeted = true;
    /// Whether so many requests of the service are lost that a suspected server waits only seconds for a trial, whatever
    /// its risk and the trial budget.
    bool manyRequestsLost = false;
    /// Cost of a trial of a server that is still unhealthy; 1 is the value of a response in time.
    double trialCost = 1;
    /// Whether the request may go to a server that no entry instance of the zone has used for a while, to find
    /// out whether it is healthy.
    bool explorationAllowed = false;
    /// Cost of sending the request to an unhealthy server; lower if the request can be retried.
    double riskWeight = 1;
    /// Whether the request may take a slot that is reserved for another entry instance.
    bool borrowAllowed = true;
    /// Highest accepted probability that the chosen server is unhealthy. The limit is higher if all servers
    /// are likely unhealthy: it is at least the lowest probability in the service plus half of this value.
    double acceptableRisk = 1;
    /// Number of requests that a server may have in flight beyond its slots. The requests of the other entry
    /// instances of the zone count as well.
    std::uint32_t overcommit = 0;
    /// Number of requests of the service that wait for a server, this one included. Grants are asked for at as many limited
    /// servers at a time.
    std::size_t waiting = 1;
    /// Time for which the request has waited, and for which it goes on to wait if no server can take it.
    Duration waited {};
    Duration patience {};
    /// Size of the body of the request.
    ByteCount bodySize {};
};

/// Position of this entry instance among the live ones.
struct FleetPosition {
    /// Position among all live instances, sorted by name.
    std::uint32_t rank = 0;
    std::uint32_t instances = 1;
    /// Position among the live instances of the availability zone, sorted by name.
    std::uint32_t zoneRank = 0;
    std::uint32_t zoneInstances = 1;

    friend bool operator==(const FleetPosition&, const FleetPosition&) = default;
};

/// The backend servers of the sheet in force, by service.
///
/// Memory: one entry for each server of the sheet and for each removed server with requests in flight.
class ServerPool {
public:
    /// @param selector chooses servers for services with `Placement::Slots`
    /// @param zone availability zone of this entry instance
    explicit ServerPool(std::unique_ptr<Selector> selector, ZoneName zone = {});

    /// Replaces the servers by those of a sheet. A server with the same name keeps its state. A
    /// server that is no longer listed takes no new requests and is deleted once its requests end.
    void applySheet(const Sheet& sheet, Time now);

    /// Sets the position of this entry instance, which determines its share of slots and connections. See
    /// `shareSlots`.
    void setPosition(const FleetPosition& position);

    /// Chooses a server that can take the request, without allocating memory.
    ///
    /// @param service index into the services of the sheet in force
    /// @return the server, or null if none can take the request
    Server* pick(std::uint32_t service, const PickContext& context);

    /// Divides the slots of the serving servers among the entry instances again. Call it after the state of
    /// a server has changed.
    void redistributeSlots();

    /// @return the estimated health of the servers, used for services with `Placement::ExpectedCost`
    BeliefTable& beliefs() { return m_beliefs; }
    const BeliefTable& beliefs() const { return m_beliefs; }

    /// Estimates the share of unhealthy servers of each service with `Placement::ExpectedCost`. Without
    /// observations, the unhealthy probability of a server decays to this share.
    void learnPrevalence(Time now);

    /// Records that another instance of the zone sent a request to a server.
    ///
    /// @param answered whether the server responded in time
    void recordPeerUse(ServerId server, bool answered, Time now);

    /// @return the servers that limit their rate, and the grants for them
    ServerLimitTable& serverLimits() { return m_serverLimits; }
    const ServerLimitTable& serverLimits() const { return m_serverLimits; }

    /// @return the requests that the other instances of the zone have in flight
    PeerLoadTable& peerLoads() { return m_peerLoads; }
    /// @return the requests that this entry instance has in flight, for each server with any
    std::vector<ServerLoad> ownLoads() const;
    /// @return whether the server is known to have at least as many requests in flight as slots, from this
    ///     entry instance and the others of the zone
    bool isAtCapacity(const Server& server) const { return server.inFlight + m_peerLoads.peerInFlight(server.id) >= server.config.slots.value(); }

    /// @param service index into the services of the sheet in force
    /// @return why this entry instance sends no request to a server of the service at `now`
    IdleReason idleReason(std::uint32_t service, const Server& server, Time now) const;

    /// @return whether any server of the service accepts requests, with or without free slots
    bool hasUsable(std::uint32_t service) const;

    /// @return when the first server of the service opens that accepts requests: `now` unless all are limited and the
    ///     turn of this entry instance is later at each; see `ServerLimitTable::expectedOpening`
    Time earliestOpening(std::uint32_t service, Time now) const;

    Server* find(ServerId id);
    const Server* find(ServerId id) const;

    /// Counts a request sent to a server at `now`.
    ///
    /// @param bodySize size of its body
    void begin(Server& server, Time now = {}, ByteCount bodySize = {});
    /// Counts a request ended at a server, and deletes the server if it is removed and this was its last
    /// request.
    ///
    /// @param bodySize size given to `begin`
    void end(ServerId id, ByteCount bodySize = {});

    /// Sets how many bytes of request bodies this entry instance may have in flight at one server.
    ///
    /// A request that would exceed it does not go to the server, as if it had no free slot, unless no other body is in flight there.
    /// Bodies up to `UNLIMITED_BODY_BYTES` neither count nor wait: the slots bound them, and they must not hold up a large one.
    void setMaxBodyBytes(ByteCount bytes) { m_maxBodyBytes = bytes; }
    static constexpr std::uint64_t UNLIMITED_BODY_BYTES = 64ULL * 1024;

    /// @return the servers of a service, in the order of the sheet
    std::span<Server* const> servers(std::uint32_t service) const;
    Placement placement(std::uint32_t service) const { return m_placements[service]; }
    std::size_t serviceCount() const { return m_services.size(); }
    std::size_t size() const { return m_servers.size(); }

private:
    struct UngrantedServer {
        ServerId id;
        double cost = 0;
        double risk = 0;
    };

    Server* pickBySlots(std::uint32_t service, const PickContext& context);
    Server* pickByCost(std::uint32_t service, const PickContext& context);
    /// Asks for grants at the limited servers without one, as many as requests wait.
    void wantGrants(const PickContext& context);
    /// If a wait for limited servers without a grant is worth it, leaves only these.
    ///
    /// @param chosenCost cost of the server that could take the request now
    /// @param chosenRisk its risk
    /// @return whether there are any
    bool isWorthWaiting(const PickContext& context, double chosenCost, double chosenRisk);
    /// @return time from the first turn to try the server to that of this entry instance
    Duration turn(const Server& server) const;
    /// @return delay of the trials of this entry instance: its turn, and more for servers of other availability zones
    Duration trialDelay(const Server& server) const;
    /// @return time at which this entry instance tries a suspected server, whatever its risk
    Time trialDeadline(const Server& server, bool manyRequestsLost) const;
    Server* pickOverdue(std::uint32_t service, const PickContext& context);
    Server* pickForTrial(std::uint32_t service, const PickContext& context, bool hasOther);
    /// @param riskLimit highest risk at which a trial pays off
    /// @return why this entry instance does not try a suspected server now, or nothing if it may
    std::optional<IdleReason> reasonAgainstTrial(const Server& server, double riskLimit, Time now) const;
    double freeShare(std::uint32_t service, Time now) const;
    void shareSlotsInZone(std::vector<Server*>& servers);
    void shareSlotsInFleet(std::vector<Server*>& servers);
    bool hasReservedSlot(std::uint32_t service) const;
    bool accepts(const Server& server, const PickContext& context) const;
    bool hasRoomForBody(const Server& server, ByteCount bodySize) const;
    std::uint32_t limit(const Server& server, Time now) const;

    std::unordered_map<ServerId, Server> m_servers;
    std::vector<std::vector<Server*>> m_services;
    std::vector<Placement> m_placements;
    /// By service: when a trial was last due but not affordable.
    std::vector<Time> m_trialBudgetEmptyAt;
    std::vector<Candidate> m_candidates;
    /// The limited servers without a grant that could take the request.
    std::vector<UngrantedServer> m_withoutGrant;
    std::unique_ptr<Selector> m_selector;
    ZoneName m_zone;
    BeliefTable m_beliefs;
    ServerLimitTable m_serverLimits;
    PeerLoadTable m_peerLoads;
    FleetPosition m_position;
    ByteCount m_maxBodyBytes { std::numeric_limits<std::uint64_t>::max() };
};

} // namespace cornelwind
