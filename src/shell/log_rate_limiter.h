#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Limits the rate of log lines about requests. Failures take precedence over successes.
///
/// A token bucket that holds at most `LINES_PER_SECOND` tokens and is refilled at that
/// rate. Each line takes one token. Lines about successes are allowed only while at least
/// half of the tokens are left, so that a burst of them does not suppress failures.
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
