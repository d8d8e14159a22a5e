#pragma once

#include <stdexcept>

namespace cornelwind {

/// The TOML library met text that it did not expect.
class TomlFault : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

} // namespace cornelwind

// The library asserts on some malformed keys. Foreign text must not end the
// process, so a failed assertion becomes an exception that parseToml catches.
#undef NDEBUG
#define TOML_ASSERT(condition)                       \
    do {                                             \
        if (!(condition))                            \
            throw cornelwind::TomlFault(#condition); \
    } while (false)
