#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Why a request that has not run is refused.
enum class RefusalCause : std::uint8_t {
    /// The service is at capacity: a place is free after the expected wait.
    Full,
    /// Backend servers turned the request away although they have room.
    Shed,
    /// No backend server is reached from here; another entry instance may reach one.
    Unreachable,
    /// The service has no backend server, or no sheet is in force.
    NoServer,
};

/// What the time to come back depends on.
struct RefusalInput {
    RefusalCause cause = RefusalCause::Full;
    /// Usual time of an answer, zero while unknown.
    Duration typical {};
    /// Expected wait for a place, zero while unknown.
    Duration wait {};
    /// Time that the caller still has.
    Duration remaining {};
};

/// Says when a refused request should come back: as soon as it is likely to be
/// served, at most after a third of the time that the caller has left, and at
/// scattered times, so that those who were refused together do not return together.
///
/// @param random uniformly distributed bits
Millis retryAfter(const RefusalInput& input, std::uint64_t random);

} // namespace cornelwind
