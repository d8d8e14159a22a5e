#include "response_codec.h"

namespace cornelwind {

Outcome readOutcome(std::uint32_t number)
{
    return number <= static_cast<std::uint32_t>(Outcome::Unknown) ? static_cast<Outcome>(number) : Outcome::Unknown;
}

ErrorKind readErrorKind(std::string_view name)
{
    for (const ErrorInfo& info : allErrors()) {
        if (name == info.name)
            return info.kind;
    }
    return ErrorKind::OwnerUnreachable;
}

} // namespace cornelwind
