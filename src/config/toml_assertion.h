#pragma once

#include <stdexcept>

namespace cornelwind {

/// Thrown in place of a failed assertion of the TOML library.
class TomlAssertionError : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

} // namespace cornelwind

// The library asserts on some malformed keys. Untrusted text must not abort the
// process, so a failed assertion throws an exception that `parseToml` catches.
#undef NDEBUG
#define TOML_ASSERT(condition)                                \
    do {                                                      \
        if (!(condition))                                     \
            throw cornelwind::TomlAssertionError(#condition); \
    } while (false)
