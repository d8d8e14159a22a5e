#include "cornelwind/workspace.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <cstring>

namespace cornelwind {

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
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    return digest;
}

const Workspace* WorkspaceDirectory::findByKey(std::string_view key) const
{
    if (key.empty() || key.size() > MAX_KEY_BYTES)
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
    if (key.empty() || key.size() > MAX_KEY_BYTES)
        return false;
    const auto owner = static_cast<std::uint32_t>(m_directory.m_workspaces.size() - 1);
    return m_directory.m_keys.emplace(digestOf(key), owner).first->second == owner;
}

} // namespace cornelwind
