#include "cornelwind/event.h"

#include <array>

namespace cornelwind {

const char* toString(TryResult result)
{
    // In the order of TryResult.
    static constexpr std::array names { "answered", "shed", "not-sent", "crashed", "stale-connection", "broken", "too-large", "timed-out", "cancelled" };
    return names.at(static_cast<std::size_t>(result));
}

} // namespace cornelwind
