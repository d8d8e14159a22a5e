#include "log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace cornelwind {

bool LogRateLimiter::allow(bool failure, Time now)
{
    const double seconds = std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min<double>(LINES_PER_SECOND, m_tokens + std::max(seconds, 0.0) * LINES_PER_SECOND);
    m_lastRefill = now;
    const double requiredTokens = failure ? 1 : LINES_PER_SECOND / 2.0;
    if (m_tokens < requiredTokens) {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeSuppressed()
{
    return std::exchange(m_suppressed, 0);
}

} // namespace cornelwind
