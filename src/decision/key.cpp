#include "cornelwind/key.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <charconv>

namespace cornelwind {
namespace {

    constexpr std::string_view FORMAT_VERSION = "cw1";
    constexpr std::size_t HEX64_LENGTH = 16;
    constexpr std::size_t TAG_BYTES = 16;
    // The upper bits of an id are milliseconds since the start; the low bits distinguish keys of the
    // same millisecond.
    constexpr unsigned COUNTER_BITS = 20;
    constexpr char HEX_DIGITS[] = "0123456789abcdef";

    std::string hex64(std::uint64_t value)
    {
        std::string text(HEX64_LENGTH, '0');
        for (std::size_t i = HEX64_LENGTH; i-- > 0; value >>= 4)
            text[i] = HEX_DIGITS[value & 0xf];
        return text;
    }

    std::optional<std::uint64_t> parseHex64(std::string_view text)
    {
        std::uint64_t value = 0;
        if (text.size() != HEX64_LENGTH)
            return std::nullopt;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string_view nextField(std::string_view& rest)
    {
        const auto dot = rest.find('.');
        const std::string_view field = rest.substr(0, dot);
        rest = dot == std::string_view::npos ? std::string_view {} : rest.substr(dot + 1);
        return field;
    }

    std::string_view withoutQuotes(std::string_view text)
    {
        if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
            return text.substr(1, text.size() - 2);
        return text;
    }

} // namespace

std::optional<ParsedKey> parseKey(std::string_view text)
{
    std::string_view rest = withoutQuotes(text);
    if (nextField(rest) != FORMAT_VERSION)
        return std::nullopt;
    ParsedKey key;
    key.owner = InstanceName { std::string(nextField(rest)) };
    const auto incarnation = parseHex64(nextField(rest));
    const auto id = parseHex64(nextField(rest));
    key.tag = std::string(rest);
    if (key.owner.value().empty() || !incarnation || !id || key.tag.size() != 2 * TAG_BYTES)
        return std::nullopt;
    key.incarnation = Incarnation { *incarnation };
    key.id = KeyId { *id };
    return key;
}

KeyIssuer::KeyIssuer(InstanceName owner, Incarnation incarnation, KeySecret secret, Time start)
    : m_owner(std::move(owner))
    , m_incarnation(incarnation)
    , m_secret(secret)
    , m_start(start)
{
}

std::string KeyIssuer::issueKey(Time now)
{
    m_lastId = std::max(m_lastId + 1, firstIdAt(now).value());
    const std::string text = signedText(KeyId { m_lastId });
    return text + "." + computeTag(text);
}

bool KeyIssuer::verify(const ParsedKey& key) const
{
    if (key.owner != m_owner || key.incarnation != m_incarnation)
        return false;
    const std::string expected = computeTag(signedText(key.id));
    return key.tag.size() == expected.size() && CRYPTO_memcmp(key.tag.data(), expected.data(), expected.size()) == 0;
}

KeyId KeyIssuer::firstIdAt(Time time) const
{
    if (time <= m_start)
        return KeyId { 0 };
    const auto elapsed = std::chrono::duration_cast<Millis>(time - m_start).count();
    return KeyId { static_cast<std::uint64_t>(elapsed) << COUNTER_BITS };
}

std::string KeyIssuer::signedText(KeyId id) const
{
    return std::string(FORMAT_VERSION) + "." + m_owner.value() + "." + hex64(m_incarnation.value()) + "." + hex64(id.value());
}

std::string KeyIssuer::computeTag(const std::string& signedText) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    const auto* data = reinterpret_cast<const unsigned char*>(signedText.data());
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()), data, signedText.size(), digest.data(), &length);
    std::string tag;
    for (std::size_t i = 0; i < TAG_BYTES; ++i) {
        tag += HEX_DIGITS[digest[i] >> 4];
        tag += HEX_DIGITS[digest[i] & 0xf];
    }
    return tag;
}

} // namespace cornelwind
