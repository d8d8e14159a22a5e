#pragma once

#include "cornelwind/answered_requests.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// A crash of a backend server while it ran a request, as far as a lost connection shows.
struct ServerCrash {
    ServerId server;
    /// Incarnation of the server, or 0 if it states none.
    std::uint64_t incarnation = 0;
    Time at;
    /// Whether the same incarnation was reached again soon after, so that only the connection was lost.
    bool refuted = false;
    /// Number of the trial that crashed the server; 0 if it was no trial.
    std::uint32_t trial = 0;
};

/// A request that was let through to find out whether it still crashes servers.
struct QuarantineTrial {
    /// 0 if there was none. Each trial has a higher number than those that its instance knows.
    std::uint32_t number = 0;
    Time at;
};

/// What is known of a request that may crash backend servers. Entry instances exchange these records.
struct QuarantineRecord {
    Fingerprint fingerprint;
    std::vector<ServerCrash> crashes;
    /// When a server last answered it.
    std::optional<Time> answeredAt {};
    /// The latest trial.
    QuarantineTrial trial {};
    /// When it last crashed a server or was refused.
    Time lastSeen {};
};

/// Whether a request may be sent to a backend server.
enum class QuarantineState : std::uint8_t {
    /// It may be sent.
    Free,
    /// It is refused.
    Blocked,
    /// It may be sent as a trial, see `Quarantine::beginTrial`.
    TrialDue,
};

/// @param host host of the rule; empty if it is for any host
/// @param workspace empty if the request belongs to none
/// @return what identifies a request in the quarantine: the fingerprint, unless host or workspace tell it apart from others with the same
///     one
Fingerprint quarantineIdOf(Fingerprint fingerprint, const std::string& host, const WorkspaceName& workspace);

/// Blocks requests that crash the backend servers that run them.
///
/// Evidence that a request crashes servers: a connection that ends after the request was
/// written and before any byte of a response. One crash counts once for each request that
/// it ends. Evidence against it: the answer of a server voids all crashes before it, and
/// those within `ANSWER_PERIOD` after it. A crash does not count either if the same
/// incarnation of the server is reached again within `REFUTATION_PERIOD`. A server without
/// incarnations may have started again meanwhile, so nothing refutes its crashes.
///
/// A fingerprint is blocked once `CRASH_LIMIT` crashes count. After `HOLD_TIMES[0]` one
/// request of the whole fleet is let through as a trial. If it is answered, the block ends; if it crashes a
/// server, the next trial follows after the next hold time, and none after the last one.
/// A record is forgotten `LIFETIME` after the request was last received.
/// docs/design/quarantine.md compares this with other designs.
///
/// Records can be merged in any order and any number of times with the same result. Their times are those at which
/// messages arrive, less the ages that they state, so a later time counts as news only if it differs by `TIME_TOLERANCE`.
///
/// Memory: at most `MAX_ENTRIES` fingerprints with the latest `MAX_CRASHES` crashes of each; a new one replaces the one whose last crash is
/// the oldest, a blocked one only if all are blocked.
class Quarantine {
public:
    static constexpr std::size_t MAX_ENTRIES = 1024;
    static constexpr std::size_t CRASH_LIMIT = 2;
    static constexpr std::size_t MAX_CRASHES = 8;
    static constexpr Duration LIFETIME = std::chrono::hours(1);
    static constexpr Duration ANSWER_PERIOD = std::chrono::minutes(1);
    /// A server that crashed is not back within this time.
    static constexpr Duration REFUTATION_PERIOD = std::chrono::seconds(1);
    /// A server that is ending may still accept a connection for so long.
    static constexpr Duration END_TIME = std::chrono::milliseconds(50);
    /// Crashes of a server without incarnations count as one if less time lies between them. Reports of one crash arrive within it.
    static constexpr Duration MIN_TIME_BETWEEN_CRASHES = std::chrono::seconds(1);
    /// Time from the last crash to the next trial, by the number of failed trials.
    static constexpr Duration HOLD_TIMES[] = { std::chrono::seconds(30), std::chrono::minutes(10), std::chrono::hours(1) };
    /// Longer than messages between instances are delayed.
    static constexpr Duration TIME_TOLERANCE = std::chrono::seconds(5);
    /// A trial without a result after this time is repeated.
    static constexpr Duration TRIAL_TIME = std::chrono::seconds(5);
    /// Once a trial is due, one instance after the other may run it, so that few do so before they hear of another. All may within
    /// `TRIAL_SPREAD`.
    static constexpr Duration MAX_TRIAL_TURN = std::chrono::seconds(1);
    static constexpr Duration TRIAL_SPREAD = std::chrono::seconds(20);

    /// Sets the place of this entry instance among the live ones, which decides who runs a trial.
    ///
    /// @param rank number of instances before this one
    /// @param count number of instances, including this one
    void setPosition(std::size_t rank, std::size_t count);

    /// Adds a crash that this entry instance observed.
    ///
    /// @return whether the crash was unknown
    bool recordCrash(Fingerprint fingerprint, const ServerCrash& crash, Time now);
    /// Records that a backend server ran a request and answered it.
    ///
    /// @return whether crashes no longer count because of that
    bool recordAnswer(Fingerprint fingerprint, Time now);
    /// Records that a request reached a backend server, whatever became of it.
    ///
    /// @param incarnation 0 if the server states none
    void recordReached(ServerId server, std::uint64_t incarnation, Time sentAt);
    /// @return crashes whose server was reached again within `REFUTATION_PERIOD`, each once and after that time. They are refuted
    ///     unless the server is known to have started again since.
    std::vector<QuarantineRecord> takeReached(Time now);
    /// Records that a request was refused.
    void recordRefusal(Fingerprint fingerprint, Time now);
    /// Adds what a peer knows.
    ///
    /// @return whether anything of it was unknown
    bool merge(const QuarantineRecord& record, Time now);
    /// Lets one request through, if the state is `QuarantineState::TrialDue`.
    ///
    /// @return number of the trial; 0 if none is due
    std::uint32_t beginTrial(Fingerprint fingerprint, Time now);

    /// @return whether requests with this fingerprint may be sent
    QuarantineState state(Fingerprint fingerprint, Time now) const;
    /// @return whether at least one crash counts against the fingerprint
    bool isSuspect(Fingerprint fingerprint, Time now) const;
    /// @return number of crashes that count
    static std::size_t countCrashes(const QuarantineRecord& record);
    /// @return the record of a fingerprint; null if there is none
    const QuarantineRecord* find(Fingerprint fingerprint, Time now) const;
    /// @param maxCount maximum number of records
    /// @return the records of blocked fingerprints, those that were seen last if there are more
    std::vector<QuarantineRecord> blocked(std::size_t maxCount, Time now) const;

    /// Drops expired records.
    void expire(Time now);

    std::size_t size() const { return m_records.size(); }

private:
    /// A crash that may still be refuted.
    struct RecentCrash {
        Fingerprint fingerprint;
        ServerCrash crash;
        bool wasReached = false;
    };

    static bool isBlocked(const QuarantineRecord& record) { return countCrashes(record) >= CRASH_LIMIT; }
    static Time lastCrash(const QuarantineRecord& record);
    /// @return number of trials that crashed a server, if these crashes count
    static std::size_t countFailedTrials(const QuarantineRecord& record);
    /// @return whether the latest trial has no result yet
    static bool awaitsResult(const QuarantineRecord& record);
    /// @return when the next trial is due; nothing if there is none
    static std::optional<Time> nextTrial(const QuarantineRecord& record);
    bool addCrash(QuarantineRecord& record, const ServerCrash& crash, Time now);
    void evictOne();

    std::unordered_map<Fingerprint, QuarantineRecord> m_records;
    AnsweredRequests m_answered;
    std::vector<RecentCrash> m_recentCrashes;
    std::size_t m_rank = 0;
    std::size_t m_count = 1;
};

} // namespace cornelwind
