#include "workspaces/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    constexpr Duration MAX_WAIT = std::chrono::hours(1);
    // Levels are sums of many small amounts, so a whole token may be short of this.
    constexpr double ROUNDING = 1e-9;

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void TokenBucket::refill(const Limits& limits, Time now)
{
    m_level += limits.perSecond * seconds(std::max<Duration>(now - m_filledAt, Duration {}));
    m_filledAt = std::max(now, m_filledAt);
    if (limits.capacity >= 1) {
        m_level = std::min(m_level, limits.capacity);
        return;
    }
    const double expiry = 1 + limits.perSecond * seconds(SINGLE_TOKEN_LIFETIME);
    if (m_level > expiry)
        m_level -= std::ceil(m_level - expiry);
}

std::uint32_t TokenBucket::take(std::uint32_t wanted, double floor)
{
    const double available = std::floor(std::max(m_level - floor + ROUNDING, 0.0));
    const auto taken = static_cast<std::uint32_t>(std::min(available, static_cast<double>(wanted)));
    m_level -= taken;
    return taken;
}

Duration TokenBucket::timeUntil(double level, double perSecond) const
{
    if (m_level + ROUNDING >= level)
        return {};
    const double wait = perSecond > 0 ? (level - m_level) / perSecond : seconds(MAX_WAIT);
    return std::min<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(wait, seconds(MAX_WAIT)))), MAX_WAIT);
}

double randomLevel(std::uint64_t random)
{
    constexpr double range = 9007199254740992.0; // 2^53
    return static_cast<double>(random >> 11) / range;
}

} // namespace cornelwind
