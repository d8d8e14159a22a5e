#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwind {

/// Position of a key among those of one incarnation; grows with the time of minting.
using KeyId = Strong<struct KeyIdTag, std::uint64_t>;

/// Secret of one incarnation, from a cryptographic random source.
using KeySecret = std::array<std::uint8_t, 32>;

/// The parts of an idempotency key. The tag is not yet verified.
struct ParsedKey {
    InstanceName owner;
    Incarnation incarnation;
    KeyId id;
    std::string tag;
};

/// Splits the text of a key.
///
/// @param text value of the `Idempotency-Key` header, with or without quotes
/// @return the parts, or nothing if the text does not have the form of a key
std::optional<ParsedKey> parseKey(std::string_view text);

/// Mints and verifies the keys of one incarnation of an entry instance.
///
/// A key is `cw1.<owner>.<incarnation>.<id>.<tag>`; the tag is a truncated
/// HMAC-SHA256 (RFC 2104) of what precedes it.
class KeyMint {
public:
    /// @param owner the entry instance that keys name
    /// @param start time from which ids are counted
    KeyMint(InstanceName owner, Incarnation incarnation, KeySecret secret, Time start);

    /// @return a key that was never returned before
    std::string mint(Time now);

    /// @return whether this incarnation minted the key
    bool verify(const ParsedKey& key) const;

    /// @return the smallest id that a key minted at `time` can have
    KeyId firstIdAt(Time time) const;

    /// @return time since this incarnation started
    Millis age(Time now) const { return std::chrono::duration_cast<Millis>(now - m_start); }

    const InstanceName& owner() const { return m_owner; }
    Incarnation incarnation() const { return m_incarnation; }
    const KeySecret& secret() const { return m_secret; }

private:
    std::string prefix(KeyId id) const;
    std::string tagOf(const std::string& prefix) const;

    InstanceName m_owner;
    Incarnation m_incarnation;
    KeySecret m_secret;
    Time m_start;
    std::uint64_t m_last = 0;
};

} // namespace cornelwind
