#pragma once

#include "cornelwind/latency_histogram.h"
#include "cornelwind/sequential_test.h"
#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Time between two evaluations, and between two digests to the peers.
inline constexpr Millis EVIDENCE_INTERVAL { 250 };

/// Share of the threshold from which the evidence of one entry instance alone counts for itself.
inline constexpr double OWN_THRESHOLD_SHARE = 0.6;
/// Share of the accusing evidence from which it counts as that of one entry instance.
inline constexpr double ONE_SOURCE_SHARE = 0.75;

/// Outcomes of one backend server within one interval.
struct Tally {
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;
    std::uint32_t slow = 0;
    /// Counted once more, possibly in a later interval than the sample.
    std::uint32_t stalled = 0;
    /// Counted once more when a stall lasts.
    std::uint32_t hung = 0;

    Tally& operator+=(const Tally& other);
    bool empty() const { return !samples && !stalled && !hung; }
};

struct DigestRow {
    ServerId server;
    Tally tally;
};

/// The outcomes that one entry instance saw since its previous digest.
struct Digest {
    std::uint64_t sequence = 0;
    std::vector<DigestRow> rows;
};

/// What the evidence says of one backend server.
struct Judgement {
    /// Of the fleet's evidence, in nats.
    double score = 0;
    /// Of this entry instance's evidence alone.
    double ownScore = 0;
    /// Share of the accusing evidence that comes from the loudest entry instance.
    double loudestShare = 0;
    /// Number of entry instances with recent traffic to the server.
    std::uint32_t sources = 0;
    /// Whether the loudest entry instance is this one.
    bool loudestIsSelf = false;
    double badShare = 0;
    double expectedShare = 0;
    std::uint64_t recentSamples = 0;
};

/// @return the score from which a backend server counts as sick, in nats
double ejectionThreshold(Weighting);

/// Judges backend servers by the outcomes of requests.
///
/// Three kinds of bad outcome are tested apart: an error; a slow answer, later
/// than `SLOW_FACTOR` times the median of the service; a stall, later than
/// `STALL_FACTOR` times the median, which counts for more once it is later than
/// `HANG_FACTOR` times. All count as soon as that time has passed, while the
/// request still waits. What is expected of a healthy
/// server is the bad share of the other servers of its service at the same time,
/// so that trouble common to all accuses none.
///
/// Memory: for each server a fixed part and one entry for each entry instance
/// that sent it traffic lately; one entry for each send in progress.
class Detector {
public:
    static constexpr double SLOW_FACTOR = 4;
    static constexpr double STALL_FACTOR = 14;
    static constexpr double HANG_FACTOR = 26;
    /// Kinds of bad outcome, each with a test of its own.
    static constexpr std::size_t KINDS = 3;
    /// Counts of bad outcomes: one for each kind, and one for the higher degree of stalls.
    static constexpr std::size_t COUNTS = 4;

    Detector();

    /// Sets the servers of each service. Evidence of servers that stay is kept.
    void adopt(const Sheet& sheet);

    void trySent(TryId id, ServerId server, Time now);
    /// @param failed nothing if the end of the send says nothing about the server
    void tryEnded(TryId id, std::optional<bool> failed, Time now);

    /// Adds the outcome of a probe of the health endpoint.
    void probed(ServerId server, bool failed);

    /// Slowness of a server says nothing until then.
    void ignoreSlownessUntil(ServerId server, Time until);

    /// Forgets what a server is accused of.
    void forgive(ServerId server);

    /// Takes the past outcomes of an ejected server out of what is expected of the others.
    void disregard(ServerId server);

    /// Adds the digest of another entry instance. Old and repeated ones change nothing.
    ///
    /// @param source id of the entry instance, not zero
    /// @param incarnation its start; the sequence begins anew with each
    /// @return whether the digest was new
    bool merge(std::uint64_t source, std::uint64_t incarnation, const Digest& digest, Time now);

    /// Evaluates what arrived since the last call. Call it every `EVIDENCE_INTERVAL`.
    ///
    /// @return the outcomes seen here, for the peers; valid until the next call
    const Digest& evaluate(Time now);

    Judgement judge(ServerId server) const;

    /// @return whether this entry instance sees trouble on most paths that others see as well
    bool distrustsSelf() const { return m_distrustsSelf; }

    /// @return median time of an answer of a service
    Duration median(std::uint32_t service) const;

private:
    static constexpr std::uint64_t SELF = 0;

    /// Numbers of bad outcomes: failures, slow answers, stalls, stalls that last. The
    /// first of those of a kind stands at the index of the kind.
    using BadCounts = std::array<double, COUNTS>;

    struct Source {
        /// Bad outcomes beyond expectation, decaying; negative for a good source.
        BadCounts excess {};
        double samples = 0;
    };

    struct Pending {
        ServerId server;
        Time sentAt;
        bool slowCounted = false;
        bool stallCounted = false;
        bool hangCounted = false;
    };

    struct Window {
        double samples = 0;
        BadCounts bad {};

        void add(const Tally& tally);
        void add(const Window& other);
        void decay(double factor);
        Window without(const Window& part) const;
    };

    struct Track {
        std::uint32_t service = 0;
        Time slownessFrom;
        Tally own;
        Tally held;
        std::uint32_t heldRounds = 0;
        std::unordered_map<std::uint64_t, Tally> arrived;
        std::unordered_map<std::uint64_t, Source> sources;
        /// The only source that sees trouble. Its outcomes say something of its path, not of the server.
        std::optional<std::uint64_t> oddSource;
        /// The last half minute, and the last seconds.
        Window longWindow;
        Window shortWindow;
        /// Of the fleet's evidence, and of the own one, by kind.
        std::array<SequentialTest, KINDS> tests;
        std::array<SequentialTest, KINDS> ownTests;
        BadCounts expected {};
    };

    struct ServiceTrack {
        std::vector<ServerId> servers;
        LatencyHistogram latencies;
        Duration median {};
        Weighting weighting = Weighting::Balanced;
    };

    struct LastDigest {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        Time at;
    };

    Track* find(ServerId server);
    void countStalls(Time now);
    /// @return the time from which an answer is later than `factor` medians
    Duration lateness(const Track& track, double factor) const;
    void evaluateService(ServiceTrack& service);
    static BadCounts expectedOf(const Window& longOthers, const Window& shortOthers, const Window& othersNow);
    static void updateTests(std::array<SequentialTest, KINDS>& tests, const Window& seen, const BadCounts& expected, double mostGain);
    static BadCounts badOf(const Tally& tally);
    static double scoreOf(const std::array<SequentialTest, KINDS>& tests);
    struct Loudest {
        std::optional<std::uint64_t> id;
        double share = 0;
        std::optional<std::uint64_t> oddSource;
    };
    static std::size_t accusingKind(const Track& track);
    static Loudest loudestOf(const Track& track);
    static void updateSources(Track& track);
    static Window arrivedWithoutOdd(const Track& track);
    void judgeSelf();
    void fillDigest();

    std::unordered_map<ServerId, Track> m_tracks;
    std::vector<ServiceTrack> m_services;
    std::unordered_map<TryId, Pending> m_pending;
    std::unordered_map<std::uint64_t, LastDigest> m_lastDigests;
    Digest m_digest;
    bool m_distrustsSelf = false;
};

} // namespace cornelwind
