#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Limits the rate of log lines about requests and prefers failures over successes.
///
/// A token bucket with a capacity and refill rate of `LINES_PER_SECOND`. Lines about
/// successes are allowed only while at least half of the tokens are left, so that a
/// burst of successes does not suppress lines about failures.
class LogRateLimiter {
public:
    static constexpr std::uint32_t LINES_PER_SECOND = 200;

    /// Takes a token for one line if it is allowed.
    ///
    /// @param failure whether the line reports a failure
    /// @return whether the line may be written
    bool allow(bool failure, Time now);

    /// @return number of lines suppressed since the last call
    std::uint64_t takeSuppressed();

private:
    double m_tokens = LINES_PER_SECOND;
    Time m_lastRefill;
    std::uint64_t m_suppressed = 0;
};

} // namespace cornelwind
