#include "cornelwind/idle_reason.h"

#include <array>

namespace cornelwind {
namespace {

    // In the order of IdleReason.
    constexpr std::array<const char*, IDLE_REASONS> REASON_NAMES {
        "not-serving", "shedding", "limited", "on-hold", "not-its-turn", "probably-unhealthy", "no-trial-budget", "no-request"
    };

} // namespace

const char* toString(IdleReason reason)
{
    return REASON_NAMES.at(static_cast<std::size_t>(reason));
}

} // namespace cornelwind
