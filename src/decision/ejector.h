#pragma once

#include "context.h"
#include "cornelwind/detector.h"
#include "cornelwind/server_pool.h"
#include "cornelwind/sheet.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// How much of the fleet this entry instance can hear.
struct FleetView {
    std::uint32_t rank = 0;
    std::uint32_t live = 1;
    std::uint32_t listed = 1;
    std::uint32_t listedLive = 1;
};

/// What another entry instance says that it holds ejected.
struct EjectionClaim {
    ServerId server;
    Duration remaining {};
    std::uint32_t relapses = 0;
};

/// Decides which backend servers take no work.
///
/// Bound: the slots that this entry instance holds ejected, together with those
/// that its peers say they hold, never exceed (slots - floor) * heard / listed
/// of a service. Disjoint parts of a partitioned fleet hear disjoint shares, so
/// the sum over the parts stays within slots - floor.
class Ejector {
public:
    Ejector(ServerPool& pool, Detector& detector);

    /// Returns, ejects and avoids servers by what the detector says now.
    void evaluate(const Sheet& sheet, const FleetView& view, Context& context);

    /// Replaces the claims of one peer.
    void onClaims(std::uint64_t source, std::vector<EjectionClaim> claims, Time now);

    /// Marks a server as leaving.
    ///
    /// @param direct whether the server or the platform said so, rather than a peer
    void onLeaving(ServerId server, bool direct, Context& context);

    /// @return what this entry instance holds ejected
    std::vector<EjectionClaim> claims(const Sheet& sheet, Time now) const;
    /// @return servers that told this entry instance lately that they are leaving
    std::vector<ServerId> leavingToTell(Time now);

    /// @return slots that may be ejected of a service
    static std::uint32_t budget(std::uint32_t slots, Slots floor, const FleetView& view);

private:
    struct Claims {
        std::vector<EjectionClaim> rows;
        Time at;
    };

    struct ClaimCount {
        /// Peers that hold the server ejected or on trial.
        std::uint32_t out = 0;
        /// Peers that hold it ejected.
        std::uint32_t accusing = 0;
    };

    struct ServiceView {
        const SheetService& config;
        std::uint32_t index;
        double threshold;
        std::uint32_t budget;
        std::uint32_t out;
    };

    void countClaims();
    void evaluateService(ServiceView& view, const FleetView& fleet, Context& context);
    void endHolds(const ServiceView& view, Context& context);
    void endTrial(Server& server, const ServiceView& view, Context& context);
    void returnLeastSuspect(ServiceView& view, Context& context);
    void ejectSuspects(ServiceView& view, const FleetView& fleet, Context& context);
    void eject(Server& server, ServiceView& view, const Judgement& judgement, Context& context);
    void avoid(Server& server, ServiceView& view, const Judgement& judgement, Context& context);
    void withhold(const Server& server, const ServiceView& view, const Judgement& judgement, Context& context);
    void makeServing(Server& server, const SheetService& config, const char* why, Context& context);
    bool isSick(const Server& server, const ServiceView& view, const FleetView& fleet, const Judgement& judgement) const;
    std::uint32_t claimants(ServerId server) const;
    std::uint32_t slotsOut(std::uint32_t service) const;

    ServerPool& m_pool;
    Detector& m_detector;
    std::map<std::uint64_t, Claims> m_claims;
    std::unordered_map<ServerId, ClaimCount> m_claimCounts;
    std::unordered_map<ServerId, Time> m_leavingTold;
    std::unordered_map<ServerId, Time> m_withheldUntil;
};

} // namespace cornelwind
