#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace cornelwind {

/// Blocks requests that crash the backend servers that run them.
///
/// A connection that ends after the request was written and before any byte of a
/// response counts as a crash. A fingerprint is blocked once it has `CRASH_LIMIT` crashes;
/// it is forgotten `LIFETIME` after its last crash.
///
/// Memory: at most `MAX_ENTRIES` fingerprints; a new one replaces the one that expires first.
class Quarantine {
public:
    static constexpr std::size_t MAX_ENTRIES = 1024;
    static constexpr std::uint32_t CRASH_LIMIT = 2;
    static constexpr Duration LIFETIME = std::chrono::minutes(10);

    /// Counts a crash that this entry instance or a peer observed.
    ///
    /// @return whether this crash is the one that blocks the fingerprint
    bool recordCrash(Fingerprint fingerprint, Time now);

    /// Records that a backend server responded, which resets the crash count of a fingerprint that is
    /// not blocked. Otherwise a frequent request would be blocked when servers crash for an unrelated
    /// reason.
    void recordSuccess(Fingerprint fingerprint);

    /// @return whether requests with this fingerprint are refused
    bool isBlocked(Fingerprint fingerprint, Time now) const;

    /// @return whether the fingerprint has at least one crash that has not expired or been reset
    bool isSuspect(Fingerprint fingerprint, Time now) const;

    /// Drops expired entries.
    void expire(Time now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::uint32_t crashes = 0;
        Time expires;
    };

    const Entry* find(Fingerprint fingerprint, Time now) const;
    void evictSoonestToExpire();

    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace cornelwind
