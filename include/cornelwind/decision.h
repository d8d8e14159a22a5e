#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cornelwind {

/// Kind of a decision.
enum class DecisionKind : std::uint8_t {
    /// The fleet ejected a backend server.
    Ejected,
    /// An ejection was due, but a limit on ejections did not allow it.
    EjectionWithheld,
    /// An ejected backend server takes requests again.
    Returned,
    /// This entry instance alone stops using a backend server, because its path to it fails.
    PathAvoided,
    /// This entry instance uses an avoided backend server again.
    PathRestored,
    /// A backend server is shutting down, or the platform no longer publishes it.
    Leaving,
    /// Requests of one fingerprint are refused, because they crash backend servers.
    Quarantined,
    /// The fleet refused a request.
    Refused,
    SheetAdopted,
    SheetRefused,
    /// The state of another entry instance changed.
    MemberChanged,
    /// This entry instance starts or stops attributing failures to its own network instead of the backend servers.
    SelfDistrusted,
    /// This entry instance started its shutdown.
    Draining,
    /// This entry instance handed its idempotency keys over to its successor before it stops.
    HandedOver,
    /// The platform became reachable or unreachable.
    PlatformChanged,
    /// An observation raised the probability that a backend server is unhealthy.
    ServerSuspected,
    /// The suspicion of a backend server ended, here or at a peer.
    ServerCleared,
    /// Backend servers of a service get no requests while others do.
    ServersIdle,
    /// A backend server named a limit of requests a second, or another one than before.
    ServerLimited,
    /// A backend server no longer names a limit.
    ServerUnlimited,
    /// A backend server asked for no requests for a time.
    ServerBackoff,
    /// A backend server said something of itself that cannot be read, or that is bounded here.
    NoticeInvalid,
    /// The platform publishes a backend server that was not in use here.
    ServerAdded,
    /// The entry of a backend server cannot be used: it is malformed or out of bounds.
    EntryInvalid,
    /// This entry instance starts or stops watching the platform for its availability zone.
    WatchChanged,
    /// The sheet is known to be recent again, or no longer, so that API keys are accepted or refused.
    ApiKeysConfirmed,
    /// This entry instance takes over the quota of a workspace from another one.
    QuotaTakenOver,
    /// Requests of a workspace are refused, because its quota is used up.
    QuotaUsedUp,
    /// No request of the workspace has been refused for a while.
    QuotaAvailable,
    /// The platform's store was restored from an older copy.
    StoreRestored,
    /// A request that is quarantined is sent once to find out whether it still crashes servers.
    QuarantineTrial,
    /// A request that was quarantined is sent again.
    QuarantineEnded,
};

/// Number of values of `DecisionKind`.
inline constexpr std::size_t DECISION_KINDS = 32;

/// @return the name used in logs, metrics and explanations
const char* toString(DecisionKind);

/// A decision of the fleet and its reason, for logs and operators.
struct Decision {
    Time at;
    DecisionKind kind = DecisionKind::Refused;
    /// Name of the backend server, service, workspace or entry instance concerned; `platform`; or the fingerprint of a request.
    std::string subject;
    /// Observation that led to the decision.
    std::string evidence;
    /// Limit that the evidence was compared with; may be empty.
    std::string bound;
    /// Time after which the decision expires; zero if it does not expire.
    Duration lasts {};
};

/// The most recent decisions. Memory: at most `CAPACITY` decisions; the oldest are dropped first.
class DecisionLog {
public:
    static constexpr std::size_t CAPACITY = 512;

    void add(Decision decision);

    /// @param subject subject to match; empty matches all
    /// @param maxCount maximum number of decisions returned
    /// @return the matching decisions, newest first
    std::vector<Decision> matching(const std::string& subject, std::size_t maxCount) const;

private:
    std::deque<Decision> m_decisions;
};

} // namespace cornelwind
