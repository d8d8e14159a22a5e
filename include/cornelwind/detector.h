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

/// Time between two evaluations, and between two digests sent to the peers.
inline constexpr Millis EVIDENCE_INTERVAL { 250 };

/// An entry instance acts on its own evidence alone once its score reaches this share of the ejection threshold.
inline constexpr double OWN_THRESHOLD_SHARE = 0.6;
/// Evidence against a server counts as that of a single entry instance if that instance contributes more than
/// this share.
inline constexpr double ONE_SOURCE_SHARE = 0.75;

/// Numbers of outcomes of one backend server within one interval.
///
/// A response that is still missing counts as slow, stalled or hung as soon as it is late enough for that.
struct OutcomeCounts {
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;
    /// Responses later than `SLOW_FACTOR` medians.
    std::uint32_t slow = 0;
    /// Responses later than `STALL_FACTOR` medians. Also counted as slow, possibly in an earlier interval.
    std::uint32_t stalled = 0;
    /// Responses later than `HANG_FACTOR` medians. Also counted as stalled, possibly in an earlier interval.
    std::uint32_t hung = 0;

    OutcomeCounts& operator+=(const OutcomeCounts& other);
    bool empty() const { return !samples && !stalled && !hung; }
};

/// Outcomes of one backend server in a digest.
struct DigestRow {
    ServerId server;
    OutcomeCounts counts;
};

/// Outcomes that one entry instance has observed and not yet sent in an earlier digest.
struct Digest {
    /// Increases with each digest of one start of the entry instance.
    std::uint64_t sequence = 0;
    std::vector<DigestRow> rows;
};

/// Evidence against one backend server.
struct ServerAssessment {
    /// Score of the evidence of all entry instances, in nats.
    double score = 0;
    /// Score of the evidence of this entry instance alone, in nats.
    double ownScore = 0;
    /// Share of the bad outcomes beyond expectation that comes from the entry instance with the most of them.
    double topSourceShare = 0;
    /// Number of entry instances with recent traffic to the server.
    std::uint32_t sources = 0;
    /// Whether the entry instance with the most bad outcomes beyond expectation is this one.
    bool topSourceIsSelf = false;
    /// Share of bad outcomes in the last seconds, of the kind with the highest score.
    double badShare = 0;
    /// Share of bad outcomes expected of a healthy server, of the same kind.
    double expectedShare = 0;
    /// Number of outcomes in the last seconds, weighted by age.
    std::uint64_t recentSamples = 0;
};

/// @return the score at which a backend server counts as unhealthy, in nats
double ejectionThreshold(Weighting);

/// Detects unhealthy backend servers from the outcomes of requests.
///
/// Three kinds of bad outcome have a test each:
///
/// - an error;
/// - a slow response, later than `SLOW_FACTOR` times the median of the service;
/// - a stall, later than `STALL_FACTOR` times the median, which counts for more
///   once it is later than `HANG_FACTOR` times the median.
///
/// A slow response or a stall counts as soon as this time has passed, while the
/// request still waits for its response. The share of bad outcomes expected of a
/// healthy server is the share observed on the other servers of its service at the
/// same time, so that a fault common to all servers is evidence against none of them.
///
/// Memory: for each server a fixed part and one entry for each entry instance
/// with recent traffic to it; one entry for each try in progress and for each peer that sent a
/// digest in the last 10 minutes.
class Detector {
public:
    static constexpr double SLOW_FACTOR = 4;
    static constexpr double STALL_FACTOR = 14;
    static constexpr double HANG_FACTOR = 26;
    /// Number of kinds of bad outcome, each with its own test.
    static constexpr std::size_t KINDS = 3;
    /// Number of counts of bad outcomes: one for each kind, and one for the higher degree of stalls.
    static constexpr std::size_t COUNTS = 4;

    Detector();

    /// Sets the servers of each service. Evidence about servers that stay is kept.
    void adopt(const Sheet& sheet);

    /// Records that a request was sent to a server.
    void trySent(TryId id, ServerId server, Time now);
    /// Records the end of a try.
    ///
    /// @param failed whether the server failed, or nothing if the try is no evidence about the server
    void tryEnded(TryId id, std::optional<bool> failed, Time now);

    /// Adds the outcome of a probe of the health endpoint.
    void probed(ServerId server, bool failed);

    /// Ignores slow responses and stalls of a server until a point in time, such as the end of its warm-up.
    void ignoreSlownessUntil(ServerId server, Time until);

    /// Clears all evidence about a server, and its past outcomes as `removeFromBaseline` does.
    void clearEvidence(ServerId server);

    /// Drops the past outcomes of an ejected server, so that they no longer raise the shares expected of the others.
    void removeFromBaseline(ServerId server);

    /// Adds the digest of another entry instance. Stale and repeated digests are ignored, and so are rows
    /// of unknown servers or with implausible counts.
    ///
    /// @param source id of the entry instance, not zero
    /// @param incarnation id of the start of the entry instance; the sequence restarts with each
    /// @return whether the digest was new
    bool merge(std::uint64_t source, std::uint64_t incarnation, const Digest& digest, Time now);

    /// Evaluates the outcomes added since the previous call. Call it every `EVIDENCE_INTERVAL`.
    ///
    /// @return the outcomes observed by this entry instance, to be sent to the peers; valid until the next call
    const Digest& evaluate(Time now);

    /// @return the evidence against a server; empty for an unknown server
    ServerAssessment assess(ServerId server) const;

    /// @return whether this entry instance alone observes faults on most of its paths to servers. Its own
    ///     evidence is then neither merged with that of the peers nor sent to them
    bool distrustsSelf() const { return m_distrustsSelf; }

    /// @param service index into the services of the sheet in force
    /// @return median response time of the service, or zero while it is not known
    Duration median(std::uint32_t service) const;

private:
    /// Source id of this entry instance.
    static constexpr std::uint64_t SELF = 0;

    /// Numbers of bad outcomes, in this order: failures, slow responses, stalls, hangs. Hangs are the higher
    /// degree of stalls, so each kind has its own index here, and hangs follow.
    using BadCounts = std::array<double, COUNTS>;

    /// Recent evidence of one entry instance about a server.
    struct Source {
        /// Bad outcomes beyond expectation, decaying with time. Negative if there are fewer than expected.
        BadCounts excess {};
        double samples = 0;
    };

    /// A try in progress, with the degrees of lateness that are counted already.
    struct Pending {
        ServerId server;
        Time sentAt;
        bool slowCounted = false;
        bool stallCounted = false;
        bool hangCounted = false;
    };

    /// Outcomes of a server or of several, decaying with time.
    struct Window {
        double samples = 0;
        BadCounts bad {};

        void add(const OutcomeCounts& counts);
        void add(const Window& other);
        void decay(double factor);
        Window without(const Window& part) const;
    };

    struct ServerStats {
        std::uint32_t service = 0;
        Time slownessIgnoredUntil;
        /// Own outcomes since the previous evaluation.
        OutcomeCounts own;
        /// Own outcomes not yet sent in a digest, and the number of digests they were left out of.
        OutcomeCounts unsent;
        std::uint32_t unsentRounds = 0;
        /// Outcomes since the previous evaluation, by source.
        std::unordered_map<std::uint64_t, OutcomeCounts> newCounts;
        std::unordered_map<std::uint64_t, Source> sources;
        /// The one of several sources that contributes more than `ONE_SOURCE_SHARE` of the bad outcomes beyond
        /// expectation. Its outcomes are evidence about its path, not about the server, and are left out.
        std::optional<std::uint64_t> outlierSource;
        /// Outcomes of about the last 30 s and the last 3 s.
        Window longWindow;
        Window shortWindow;
        /// Tests by kind, with the evidence of all entry instances and of this one alone.
        std::array<SequentialTest, KINDS> tests;
        std::array<SequentialTest, KINDS> ownTests;
        /// Shares of bad outcomes expected of a healthy server.
        BadCounts expected {};
    };

    struct ServiceStats {
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

    ServerStats* find(ServerId server);
    void countStalls(Time now);
    /// @return `factor` medians of the service, at least 10 ms; 1 s while the median is not known
    Duration latencyLimit(const ServerStats& stats, double factor) const;
    void evaluateService(ServiceStats& service);
    static BadCounts expectedOf(const Window& longOthers, const Window& shortOthers, const Window& othersNow);
    static void updateTests(std::array<SequentialTest, KINDS>& tests, const Window& seen, const BadCounts& expected, double maxGain);
    static BadCounts badOf(const OutcomeCounts& counts);
    static double scoreOf(const std::array<SequentialTest, KINDS>& tests);
    /// The source with the most bad outcomes beyond expectation, and its share of them.
    struct TopSource {
        std::optional<std::uint64_t> id;
        double share = 0;
        std::optional<std::uint64_t> outlierSource;
    };
    static std::size_t dominantKind(const ServerStats& stats);
    static TopSource topSourceOf(const ServerStats& stats);
    static void updateSources(ServerStats& stats);
    static Window newCountsWithoutOutlier(const ServerStats& stats);
    void updateSelfDistrust();
    void fillDigest();

    std::unordered_map<ServerId, ServerStats> m_serverStats;
    std::vector<ServiceStats> m_services;
    std::unordered_map<TryId, Pending> m_pending;
    std::unordered_map<std::uint64_t, LastDigest> m_lastDigests;
    Digest m_digest;
    bool m_distrustsSelf = false;
};

} // namespace cornelwind
