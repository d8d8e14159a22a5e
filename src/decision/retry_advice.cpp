#include "cornelwind/retry_advice.h"

#include <algorithm>
#include <array>

namespace cornelwind {
namespace {

    constexpr Duration UNKNOWN_TYPICAL = std::chrono::milliseconds(200);
    constexpr Duration SHORTEST = std::chrono::milliseconds(20);
    constexpr Duration LONGEST = std::chrono::seconds(2);
    // A new list of servers arrives within a second.
    constexpr Duration NO_SERVER_WAIT = std::chrono::milliseconds(500);
    // Callers do not wait longer than this part of the time they have left.
    constexpr int REMAINING_PARTS = 3;
    // Returns are scattered over 0.5 to 1.5 of the wait.
    constexpr std::uint64_t SCATTER_STEPS = 1000;

    Duration baseOf(const RefusalInput& input)
    {
        const Duration typical = input.typical > Duration {} ? input.typical : UNKNOWN_TYPICAL;
        switch (input.cause) {
        case RefusalCause::Full:
            return std::max(input.wait, typical);
        case RefusalCause::Shed:
            return typical / 2;
        case RefusalCause::Unreachable:
            return SHORTEST;
        case RefusalCause::NoServer:
            return NO_SERVER_WAIT;
        }
        return typical;
    }

} // namespace

Millis retryAfter(const RefusalInput& input, std::uint64_t random)
{
    const Duration base = baseOf(input);
    const Duration scattered = base / 2 + base * static_cast<std::int64_t>(random % SCATTER_STEPS) / static_cast<std::int64_t>(SCATTER_STEPS);
    const Duration most = std::min(LONGEST, input.remaining / REMAINING_PARTS);
    return std::chrono::duration_cast<Millis>(std::clamp(scattered, SHORTEST, std::max(most, SHORTEST)));
}

} // namespace cornelwind
