#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cornelwind {

/// What was decided.
enum class DecisionKind : std::uint8_t {
    Ejected,
    EjectionWithheld,
    Returned,
    PathAvoided,
    PathRestored,
    Leaving,
    Quarantined,
    Refused,
    SheetAdopted,
    SheetRefused,
    MemberChanged,
    SelfDistrusted,
    Draining,
    HandedOver,
    PlatformChanged,
    ServerSuspected,
    ServerCleared,
};

inline constexpr std::size_t DECISION_KINDS = 17;

/// @return the name used in logs, metrics and explanations
const char* toString(DecisionKind);

/// Why the fleet acted as it did.
struct Decision {
    Time at;
    DecisionKind kind = DecisionKind::Refused;
    /// The backend server, service, instance or request concerned.
    std::string subject;
    /// What was observed.
    std::string evidence;
    /// The limit that the evidence was held against.
    std::string bound;
    /// Time until the decision ends by itself; zero where it does not.
    Duration lasts {};
};

/// The most recent decisions.
class DecisionLog {
public:
    static constexpr std::size_t CAPACITY = 512;

    void add(Decision decision);

    /// @param subject empty for all
    /// @return matching decisions, newest first
    std::vector<Decision> matching(const std::string& subject, std::size_t maxCount) const;

private:
    std::deque<Decision> m_decisions;
};

} // namespace cornelwind
