#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// A crash of a backend server while it ran a request.
struct ServerCrash {
    ServerId server;
    /// Incarnation of the server, or 0 if it states none.
    std::uint64_t incarnation = 0;
    Time at;
};

/// What is known of a request that may crash backend servers. Entry instances exchange these records.
struct QuarantineRecord {
    Fingerprint fingerprint;
    std::vector<ServerCrash> crashes;

    /// @return when it last crashed a server
    Time lastCrash() const;
};

/// Blocks requests that crash the backend servers that run them.
///
/// A connection that ends after the request was written and before any byte of a
/// response counts as a crash. A fingerprint is blocked once it has `CRASH_LIMIT` crashes;
/// it is forgotten `LIFETIME` after its last crash. Several requests that one crash ends
/// count as one crash.
///
/// Records can be merged in any order and any number of times with the same result.
///
/// Memory: at most `MAX_ENTRIES` fingerprints with `MAX_CRASHES` crashes each; a new one replaces the one that expires first,
/// a blocked one only if all are blocked.
class Quarantine {
public:
    static constexpr std::size_t MAX_ENTRIES = 1024;
    static constexpr std::size_t CRASH_LIMIT = 2;
    static constexpr std::size_t MAX_CRASHES = 8;
    static constexpr Duration LIFETIME = std::chrono::minutes(10);
    /// A server without incarnations is not expected to crash again within this time. Reports of one crash arrive within it.
    static constexpr Duration MIN_TIME_BETWEEN_CRASHES = std::chrono::seconds(5);

    /// Adds a crash that this entry instance observed.
    ///
    /// @return whether the crash was unknown
    bool recordCrash(Fingerprint fingerprint, const ServerCrash& crash, Time now);

    /// Adds what a peer knows.
    ///
    /// @return whether anything of it was unknown
    bool merge(const QuarantineRecord& record, Time now);

    /// Records that a backend server responded, which resets the crashes of a fingerprint that is
    /// not blocked. Otherwise a frequent request would be blocked when servers crash for an unrelated
    /// reason.
    void recordSuccess(Fingerprint fingerprint);

    /// @return whether requests with this fingerprint are refused
    bool isBlocked(Fingerprint fingerprint, Time now) const;

    /// @return whether the fingerprint has at least one crash that has not expired or been reset
    bool isSuspect(Fingerprint fingerprint, Time now) const;

    /// @return the record of a fingerprint; null if there is none
    const QuarantineRecord* find(Fingerprint fingerprint, Time now) const;

    /// @param maxCount maximum number of records
    /// @return the records of blocked fingerprints, those with the latest crashes if there are more
    std::vector<QuarantineRecord> blocked(std::size_t maxCount, Time now) const;

    /// Drops expired records.
    void expire(Time now);

    std::size_t size() const { return m_records.size(); }

private:
    static bool isBlocked(const QuarantineRecord& record) { return record.crashes.size() >= CRASH_LIMIT; }
    static bool addCrash(QuarantineRecord& record, const ServerCrash& crash);
    void evictOne();

    std::unordered_map<Fingerprint, QuarantineRecord> m_records;
};

} // namespace cornelwind
