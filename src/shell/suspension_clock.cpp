#include "suspension_clock.h"

#include <ctime>

namespace cornelwind {
namespace {

    // The two clocks are read one after the other, so their difference varies a little without a suspension.
    constexpr Duration MIN_SUSPENSION = std::chrono::milliseconds(10);

    Duration read(clockid_t clock)
    {
        timespec time {};
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec));
    }

} // namespace

Duration SuspensionClock::readOffset()
{
    // The boot clock comes first: a pause between the two readings makes the difference smaller, never larger.
    const Duration boot = read(CLOCK_BOOTTIME);
    return boot - read(CLOCK_MONOTONIC);
}

Duration SuspensionClock::takeSuspended()
{
    const Duration offset = readOffset();
    const Duration suspended = offset - m_offset;
    if (suspended < MIN_SUSPENSION)
        return {};
    m_offset = offset;
    return suspended;
}

} // namespace cornelwind
