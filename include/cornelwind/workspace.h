#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelwind {

/// Rate limit of a workspace, for all entry instances together.
struct WorkspaceQuota {
    /// Requests per second, above 0.
    double perSecond = 0;
    /// Requests that may come at once beyond the rate, at least 1.
    double burst = 1;

    friend bool operator==(const WorkspaceQuota&, const WorkspaceQuota&) = default;
};

/// A workspace as the sheet lists it: the callers that share a set of API keys.
struct Workspace {
    WorkspaceName name;
    /// Replaces the priority of the rule for the requests of the workspace; 0 is the highest. Empty if the rule's priority applies.
    std::optional<std::uint32_t> priority;
    /// Empty if the workspace has no limit.
    std::optional<WorkspaceQuota> quota;

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// The workspaces of one sheet, found by API key or by name. Immutable.
///
/// Holds a digest of each key instead of the key, the first half of its SHA-256, so that no key can reach a log, a trace or a
/// message from here. The time of a look-up depends on the digest of the key that a caller sent, which tells nothing about the keys
/// that are valid.
///
/// Memory: one row for each workspace and one for each key.
class WorkspaceDirectory {
public:
    /// Longest accepted API key, in bytes.
    static constexpr std::size_t MAX_KEY_BYTES = 256;

    class Builder;

    /// @return whether the key has an accepted length and only bytes that an API key header may have: no control bytes or white space
    static bool isValidKey(std::string_view key);
    /// @return text that `Builder::addKey` accepts in place of the key, and that lets nobody send requests; the same text if `key` is
    ///     such a text already
    static std::string digestText(std::string_view key);

    /// @param key API key as a caller sent it, of any length and content
    /// @return the workspace that holds the key, or null if none does
    const Workspace* findByKey(std::string_view key) const;
    /// @return the workspace, or null if the sheet does not list it
    const Workspace* findByName(const WorkspaceName& name) const;
    const std::vector<Workspace>& all() const { return m_workspaces; }
    /// @return number of keys of all workspaces
    std::size_t keyCount() const { return m_keys.size(); }

private:
    using Digest = std::array<unsigned char, 16>;

    /// Uses the first bytes of a digest, which are evenly distributed.
    struct DigestHash {
        std::size_t operator()(const Digest& digest) const noexcept;
    };
    /// Compares in constant time.
    struct DigestEqual {
        bool operator()(const Digest& a, const Digest& b) const noexcept;
    };

    static Digest digestOf(std::string_view key);
    /// @return the digest that a result of `digestText` states, or nothing if the text is none
    static std::optional<Digest> readDigest(std::string_view text);

    std::vector<Workspace> m_workspaces;
    std::unordered_map<WorkspaceName, std::uint32_t> m_names;
    /// Index in `m_workspaces` by the digest of a key.
    std::unordered_map<Digest, std::uint32_t, DigestHash, DigestEqual> m_keys;
};

/// Builds a WorkspaceDirectory.
class WorkspaceDirectory::Builder {
public:
    /// Adds a workspace. Keys that are added later belong to it.
    ///
    /// @return false if there is one of that name already
    bool addWorkspace(Workspace workspace);
    /// Adds a key of the workspace that was added last.
    ///
    /// @param key a valid key, or the result of `digestText` for one
    /// @return false if it is not valid, or if another workspace holds the key
    bool addKey(std::string_view key);
    WorkspaceDirectory build() { return std::move(m_directory); }

private:
    WorkspaceDirectory m_directory;
};

using WorkspaceDirectoryPtr = std::shared_ptr<const WorkspaceDirectory>;

} // namespace cornelwind
