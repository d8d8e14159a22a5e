#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwind {

/// Position of a key among those of one incarnation. A key that is issued later has a larger id.
using KeyId = StrongType<struct KeyIdTag, std::uint64_t>;

/// HMAC secret of one incarnation, from a cryptographic random source.
using KeySecret = std::array<std::uint8_t, 32>;

/// The fields of an idempotency key. The tag is not yet verified: see `KeyIssuer::verify`.
struct ParsedKey {
    InstanceName owner;
    Incarnation incarnation;
    KeyId id;
    std::string tag;
};

/// Splits the text of a key into its fields.
///
/// @param text value of the `Idempotency-Key` header, with or without quotes
/// @return the fields, or nothing if the text does not have the form of a key
std::optional<ParsedKey> parseKey(std::string_view text);

/// Issues and verifies the keys of one incarnation of an entry instance.
///
/// A key is `cw1.<owner>.<incarnation>.<id>.<tag>`. Incarnation and id are 16 hex digits each;
/// the tag is the HMAC-SHA256 (RFC 2104) of the text before it, truncated to 16 bytes and in hex.
class KeyIssuer {
public:
    /// @param owner the entry instance named in the keys
    /// @param incarnation process start of `owner` that issues the keys
    /// @param secret HMAC secret that the tags are computed with
    /// @param start time from which ids are counted
    KeyIssuer(InstanceName owner, Incarnation incarnation, KeySecret secret, Time start);

    /// @return the text of a key that was never returned before
    std::string issueKey(Time now);

    /// @return whether this incarnation issued the key; the tag is compared in constant time
    bool verify(const ParsedKey& key) const;

    /// @return the smallest id that a key issued at `time` can have
    KeyId firstIdAt(Time time) const;

    /// @return time since this incarnation started
    Millis age(Time now) const { return std::chrono::duration_cast<Millis>(now - m_start); }

    const InstanceName& owner() const { return m_owner; }
    Incarnation incarnation() const { return m_incarnation; }
    const KeySecret& secret() const { return m_secret; }

private:
    std::string signedText(KeyId id) const;
    std::string computeTag(const std::string& signedText) const;

    InstanceName m_owner;
    Incarnation m_incarnation;
    KeySecret m_secret;
    Time m_start;
    std::uint64_t m_lastId = 0;
};

} // namespace cornelwind
