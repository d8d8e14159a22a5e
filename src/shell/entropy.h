#pragma once

#include "cornelwind/key.h"

#include <cstdint>

namespace cornelwind {

/// @return uniformly distributed bits, not fit for secrets
std::uint64_t randomBits();

/// @return bytes from the cryptographic source of the library, or nothing if it fails
std::optional<KeySecret> randomSecret();

} // namespace cornelwind
