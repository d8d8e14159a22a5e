#include "random_bits.h"

#include <openssl/rand.h>

#include <random>

namespace cornelwind {

std::uint64_t randomBits()
{
    static thread_local std::mt19937_64 engine { [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }() };
    return engine();
}

std::optional<KeySecret> randomSecret()
{
    KeySecret secret {};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
        return std::nullopt;
    return secret;
}

} // namespace cornelwind
