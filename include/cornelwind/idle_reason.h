#pragma once

#include <cstddef>
#include <cstdint>

namespace cornelwind {

/// Why an entry instance sends no request to a backend server that it knows.
enum class IdleReason : std::uint8_t {
    /// Ejected, on trial after an ejection, leaving, or avoided by this entry instance.
    NotServing,
    /// It shed a request a moment ago, or asked for a time without requests.
    Shedding,
    /// It limits its rate, and this entry instance has no grant for it.
    Limited,
    /// Suspected, and the hold after its last failure or during a trial has not ended.
    OnHold,
    /// Suspected, and it is still the turn of other entry instances to try it.
    NotItsTurn,
    /// Suspected, and a trial would probably fail.
    ProbablyUnhealthy,
    /// Suspected and due for a trial, and the trial budget of the service is used up.
    NoTrialBudget,
    /// Suspected and due for a trial, or not suspected, but no request came that prefers it to other servers.
    NoRequest,
};

/// Number of values of `IdleReason`.
inline constexpr std::size_t IDLE_REASONS = 8;

/// @return the name used in logs and metrics
const char* toString(IdleReason);

} // namespace cornelwind
