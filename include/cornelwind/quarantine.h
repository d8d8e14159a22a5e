#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace cornelwind {

/// Stops requests that crash the backend servers that run them.
///
/// A crash is a connection that ends after the request was written and before
/// any byte of an answer. Memory: at most `MAX_ENTRIES` fingerprints.
class Quarantine {
public:
    static constexpr std::size_t MAX_ENTRIES = 1024;
    static constexpr std::uint32_t CRASH_LIMIT = 2;
    static constexpr Duration LIFETIME = std::chrono::minutes(10);

    /// Counts a crash, seen here or by a peer.
    ///
    /// @return whether the fingerprint is stopped by this crash
    bool recordCrash(Fingerprint fingerprint, Time now);

    /// Notes that a backend server answered. A fingerprint that is not yet stopped starts anew,
    /// so that a common look-up is not stopped for servers that died of something else.
    void recordSuccess(Fingerprint fingerprint);

    /// @return whether requests of this fingerprint are refused
    bool stops(Fingerprint fingerprint, Time now) const;

    /// @return whether the fingerprint crashed a backend server before
    bool suspects(Fingerprint fingerprint, Time now) const;

    /// Drops entries past their lifetime.
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
