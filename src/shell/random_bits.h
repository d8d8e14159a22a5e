#pragma once

#include "cornelwind/key.h"

#include <cstdint>

namespace cornelwind {

/// @return uniformly distributed random bits; not cryptographically secure
std::uint64_t randomBits();

/// @return random bytes from OpenSSL's cryptographically secure generator, or nothing if it fails
std::optional<KeySecret> randomSecret();

} // namespace cornelwind
