#include "cornelwind/request_record.h"

#include <array>

namespace cornelwind {

const char* toString(RequestStep step)
{
    // In the order of RequestStep.
    static constexpr std::array<const char*, REQUEST_STEPS> names { "placed", "waiting", "send-failed", "not-sent-again", "answered", "refused", "abandoned" };
    return names.at(static_cast<std::size_t>(step));
}

} // namespace cornelwind
