#include "cornelwind/workspace.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace cornelwind {
namespace {

    constexpr std::string_view DIGEST_PREFIX = "sha256:";
    constexpr std::size_t DIGITS_PER_BYTE = 2;
    constexpr int HEXADECIMAL = 16;
    constexpr unsigned char LAST_WHITE_SPACE = 0x20;
    constexpr unsigned char DELETE_BYTE = 0x7f;

} // namespace

std::size_t WorkspaceDirectory::DigestHash::operator()(const Digest& digest) const noexcept
{
    std::size_t bits = 0;
    std::memcpy(&bits, digest.data(), sizeof bits);
    return bits;
}

bool WorkspaceDirectory::DigestEqual::operator()(const Digest& a, const Digest& b) const noexcept
{
    return !CRYPTO_memcmp(a.data(), b.data(), a.size());
}

WorkspaceDirectory::Digest WorkspaceDirectory::digestOf(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), whole.data());
    Digest digest;
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

std::optional<WorkspaceDirectory::Digest> WorkspaceDirectory::readDigest(std::string_view text)
{
    Digest digest;
    if (!text.starts_with(DIGEST_PREFIX) || text.size() != DIGEST_PREFIX.size() + DIGITS_PER_BYTE * digest.size())
        return std::nullopt;
    const char* at = text.data() + DIGEST_PREFIX.size();
    for (unsigned char& byte : digest) {
        const auto [end, error] = std::from_chars(at, at + DIGITS_PER_BYTE, byte, HEXADECIMAL);
        if (error != std::errc {} || end != at + DIGITS_PER_BYTE)
            return std::nullopt;
        at = end;
    }
    return digest;
}

std::string WorkspaceDirectory::digestText(std::string_view key)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text(DIGEST_PREFIX);
    for (const unsigned char byte : readDigest(key).value_or(digestOf(key))) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

bool WorkspaceDirectory::isValidKey(std::string_view key)
{
    const auto isAllowed = [](char c) { return static_cast<unsigned char>(c) > LAST_WHITE_SPACE && static_cast<unsigned char>(c) != DELETE_BYTE; };
    return !key.empty() && key.size() <= MAX_KEY_BYTES && std::all_of(key.begin(), key.end(), isAllowed);
}

const Workspace* WorkspaceDirectory::findByKey(std::string_view key) const
{
    if (!isValidKey(key))
        return nullptr;
    const auto found = m_keys.find(digestOf(key));
    return found == m_keys.end() ? nullptr : &m_workspaces[found->second];
}

const Workspace* WorkspaceDirectory::findByName(const WorkspaceName& name) const
{
    const auto found = m_names.find(name);
    return found == m_names.end() ? nullptr : &m_workspaces[found->second];
}

bool WorkspaceDirectory::Builder::addWorkspace(Workspace workspace)
{
    const auto index = static_cast<std::uint32_t>(m_directory.m_workspaces.size());
    if (!m_directory.m_names.emplace(workspace.name, index).second)
        return false;
    m_directory.m_workspaces.push_back(std::move(workspace));
    return true;
}

bool WorkspaceDirectory::Builder::addKey(std::string_view key)
{
    if (!isValidKey(key))
        return false;
    const auto owner = static_cast<std::uint32_t>(m_directory.m_workspaces.size() - 1);
    return m_directory.m_keys.emplace(readDigest(key).value_or(digestOf(key)), owner).first->second == owner;
}

} // namespace cornelwind
