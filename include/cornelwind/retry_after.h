#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Why a request was refused before it ran.
enum class RefusalCause : std::uint8_t {
    /// The service is at capacity. A slot becomes free after the expected wait.
    Full,
    /// The request could not be done before its deadline; a later one with as much time can.
    TooLate,
    /// Backend servers shed the request although they have free slots.
    Shed,
    /// This entry instance reaches no backend server, but another entry instance may.
    Unreachable,
    /// The service has no backend server, or no sheet is in force.
    NoServer,
};

/// What the retry delay depends on.
struct RetryAfterInput {
    RefusalCause cause = RefusalCause::Full;
    /// Usual response time of the service; zero while unknown.
    Duration typical {};
    /// Expected wait for a free slot, or `TooLate`: time after which a request with as much time can be done; zero while unknown.
    Duration wait {};
    /// Time until the deadline of the request.
    Duration remaining {};
};

/// Computes the delay after which the caller of a refused request should retry.
///
/// The delay is about the shortest one after which the request is likely to be served. It lies
/// between 20 ms and 2 s, and is at most a third of the remaining time unless that is below
/// 20 ms. Random jitter keeps callers that were refused together from retrying together.
///
/// @param random uniformly distributed bits
/// @return the delay from now
Millis retryAfter(const RetryAfterInput& input, std::uint64_t random);

/// Computes the delay after which the caller of a request should retry that found no backend server open.
///
/// The delay is at least the time until a server opens, so that the retry does not come in vain, and at most
/// half of that more, so that callers that were refused together do not retry together.
///
/// @param untilOpening time until the first server opens, as far as known
/// @param random uniformly distributed bits
/// @return the delay from now, between 20 ms and 60 s
Millis retryAfterOpening(Duration untilOpening, std::uint64_t random);

} // namespace cornelwind
