#include "cornelwind/retry_after.h"

#include <algorithm>
#include <array>

namespace cornelwind {
namespace {

    constexpr Duration DEFAULT_TYPICAL_TIME = std::chrono::milliseconds(200);
    constexpr Duration MIN_DELAY = std::chrono::milliseconds(20);
    constexpr Duration MAX_DELAY = std::chrono::seconds(2);
    constexpr Duration MAX_OPENING_DELAY = std::chrono::seconds(60);
    // A new server list arrives within a second.
    constexpr Duration NO_SERVER_DELAY = std::chrono::milliseconds(500);
    // The delay is at most the remaining time divided by this.
    constexpr int REMAINING_TIME_DIVISOR = 3;
    // Number of steps of the jitter, which spreads delays over 0.5 to 1.5 times the base delay.
    constexpr std::uint64_t JITTER_STEPS = 1000;

    Duration baseDelay(const RetryAfterInput& input)
    {
        const Duration typical = input.typical > Duration {} ? input.typical : DEFAULT_TYPICAL_TIME;
        switch (input.cause) {
        case RefusalCause::Full:
            return std::max(input.wait, typical);
        case RefusalCause::TooLate:
            // The jitter takes away at most half of it.
            return 2 * input.wait;
        case RefusalCause::Shed:
            return typical / 2;
        case RefusalCause::Unreachable:
            return MIN_DELAY;
        case RefusalCause::NoServer:
            return NO_SERVER_DELAY;
        }
        return typical;
    }

} // namespace

Millis retryAfterOpening(Duration untilOpening, std::uint64_t random)
{
    const Duration jitter = untilOpening / 2 * static_cast<std::int64_t>(random % JITTER_STEPS) / static_cast<std::int64_t>(JITTER_STEPS);
    return std::chrono::ceil<Millis>(std::clamp(untilOpening + jitter, MIN_DELAY, MAX_OPENING_DELAY));
}

Millis retryAfter(const RetryAfterInput& input, std::uint64_t random)
{
    const Duration base = baseDelay(input);
    const Duration jittered = base / 2 + base * static_cast<std::int64_t>(random % JITTER_STEPS) / static_cast<std::int64_t>(JITTER_STEPS);
    const Duration maxDelay = std::min(MAX_DELAY, input.remaining / REMAINING_TIME_DIVISOR);
    return std::chrono::duration_cast<Millis>(std::clamp(jittered, MIN_DELAY, std::max(maxDelay, MIN_DELAY)));
}

} // namespace cornelwind
