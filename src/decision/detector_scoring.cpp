// Detector: expected shares of bad outcomes, the tests of each server and the sources of its evidence.
#include "cornelwind/detector.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Factors applied at each evaluation. The windows for expectations span about 30 s and 3 s.
    constexpr double LONG_DECAY = 0.992;
    constexpr double SHORT_DECAY = 0.92;
    // About 6 s, so that the source of evidence stays known for as long as the evidence counts.
    constexpr double SOURCE_DECAY = 0.96;
    // Number of assumed outcomes, so that an expectation does not rest on a few samples. The second number is for a
    // single interval.
    constexpr double PRIOR_SAMPLES = 50;
    constexpr double PRIOR_SAMPLES_INTERVAL = 4;
    // Shares of failures, slow responses, stalls and hangs among the assumed outcomes.
    constexpr std::array PRIOR_BAD_SHARES { 0.01, 0.05, 0.02, 0.01 };
    // Fewer bad outcomes beyond the usual number may be chance, not a fault common to all servers.
    constexpr double MIN_COMMON_BAD = 2;
    constexpr double COMMON_DEVIATIONS = 3;
    // Standard deviations added to an expected share, against false ejections.
    constexpr double EXPECTATION_MARGIN = 1;
    constexpr double MAX_EXPECTED = 0.9;
    // Upper bound on the score gained in one interval, as a share of the threshold: one interval alone cannot eject.
    constexpr double MAX_GAIN_SHARE = 0.55;
    // A source with fewer samples, after decay, is dropped.
    constexpr double MIN_SOURCE_SAMPLES = 0.5;
    // Fewer paths than this are too few to distrust this entry instance.
    constexpr std::size_t MIN_PATHS = 3;
    // A source with fewer bad outcomes beyond expectation is no outlier.
    constexpr double MIN_OUTLIER_EXCESS = 2.5;
    // Stalls are the last kind and have the remaining counts; every other kind has one count.
    constexpr std::size_t STALLS = Detector::KINDS - 1;

    // Upper confidence bound of the share of bad outcomes (normal approximation), at most `MAX_EXPECTED`.
    double expectedShare(double bad, double samples, double priorBadShare, double priorSamples)
    {
        const double count = samples + priorSamples;
        const double share = (std::max(bad, 0.0) + priorBadShare * priorSamples) / count;
        return std::min(share + EXPECTATION_MARGIN * std::sqrt(share / count), MAX_EXPECTED);
    }

    // Whether there are more bad outcomes than a Poisson distribution with the usual share explains.
    bool isUnusual(double bad, double samples, double usualShare)
    {
        const double usual = samples * usualShare;
        return bad > usual + COMMON_DEVIATIONS * std::sqrt(usual) + MIN_COMMON_BAD;
    }

} // namespace

void Detector::evaluateService(ServiceStats& service)
{
    Window longAll;
    Window shortAll;
    Window allNow;
    std::vector<Window> newCounts(service.servers.size());
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        ServerStats& stats = m_serverStats.at(service.servers[i]);
        newCounts[i] = newCountsWithoutOutlier(stats);
        stats.longWindow.decay(LONG_DECAY);
        stats.longWindow.add(newCounts[i]);
        stats.shortWindow.decay(SHORT_DECAY);
        stats.shortWindow.add(newCounts[i]);
        longAll.add(stats.longWindow);
        shortAll.add(stats.shortWindow);
        allNow.add(newCounts[i]);
    }
    const double maxGain = ejectionThreshold(service.weighting) * MAX_GAIN_SHARE;
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        ServerStats& stats = m_serverStats.at(service.servers[i]);
        stats.expected = expectedOf(longAll.without(stats.longWindow), shortAll.without(stats.shortWindow), allNow.without(newCounts[i]));
        updateTests(stats.tests, newCounts[i], stats.expected, maxGain);
        Window own;
        own.add(stats.own);
        updateTests(stats.ownTests, own, stats.expected, maxGain);
        updateSources(stats);
    }
}

Detector::Window Detector::newCountsWithoutOutlier(const ServerStats& stats)
{
    Window window;
    for (const auto& [source, counts] : stats.newCounts) {
        if (source != stats.outlierSource)
            window.add(counts);
    }
    return window;
}

// Takes the largest of the shares of the other servers over 30 s, 3 s and one interval, so that a change common to all
// servers raises the expectation at once.
Detector::BadCounts Detector::expectedOf(const Window& longOthers, const Window& shortOthers, const Window& othersNow)
{
    BadCounts expected {};
    for (std::size_t i = 0; i < COUNTS; ++i) {
        expected[i] = expectedShare(longOthers.bad[i], longOthers.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES);
        const double usual = expected[i];
        if (isUnusual(shortOthers.bad[i], shortOthers.samples, usual))
            expected[i] = std::max(expected[i], expectedShare(shortOthers.bad[i], shortOthers.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES));
        if (isUnusual(othersNow.bad[i], othersNow.samples, usual))
            expected[i] = std::max(expected[i], expectedShare(othersNow.bad[i], othersNow.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES_INTERVAL));
    }
    return expected;
}

// The sample of a stall may have been added as good in an earlier interval; the negative number of good outcomes
// takes it back.
void Detector::updateTests(std::array<SequentialTest, KINDS>& tests, const Window& seen, const BadCounts& expected, double maxGain)
{
    std::array<BadCount, COUNTS> counts;
    for (std::size_t i = 0; i < COUNTS; ++i)
        counts[i] = { seen.bad[i], expected[i] };
    for (std::size_t kind = 0; kind < KINDS; ++kind) {
        const std::size_t degrees = kind == STALLS ? COUNTS - STALLS : 1;
        tests[kind].add(seen.samples - seen.bad[kind], std::span(counts).subspan(kind, degrees), maxGain);
    }
}

void Detector::updateSources(ServerStats& stats)
{
    for (auto& [id, source] : stats.sources) {
        for (double& excess : source.excess)
            excess *= SOURCE_DECAY;
        source.samples *= SOURCE_DECAY;
    }
    for (const auto& [id, counts] : stats.newCounts) {
        Source& source = stats.sources[id];
        const BadCounts bad = badOf(counts);
        for (std::size_t i = 0; i < COUNTS; ++i)
            source.excess[i] += bad[i] - counts.samples * stats.expected[i];
        source.samples += counts.samples;
    }
    stats.newCounts.clear();
    std::erase_if(stats.sources, [](const auto& row) { return row.second.samples < MIN_SOURCE_SAMPLES; });
    stats.outlierSource = topSourceOf(stats).outlierSource;
}

// If this entry instance alone observes faults on most of its paths to servers, it is at fault itself, not the servers.
void Detector::updateSelfDistrust()
{
    std::size_t paths = 0;
    std::size_t faulty = 0;
    for (const auto& [id, stats] : m_serverStats) {
        const double threshold = ejectionThreshold(m_services[stats.service].weighting) * OWN_THRESHOLD_SHARE;
        const double own = scoreOf(stats.ownTests);
        const double fleet = scoreOf(stats.tests);
        const bool hasOtherSources = stats.sources.size() > stats.sources.count(SELF);
        if (!hasOtherSources && own < threshold)
            continue;
        ++paths;
        const ServerAssessment assessment = assess(id);
        const bool seenHereOnly = assessment.topSourceIsSelf && assessment.topSourceShare > ONE_SOURCE_SHARE;
        faulty += own >= threshold && (fleet < threshold || seenHereOnly);
    }
    m_distrustsSelf = paths >= MIN_PATHS && faulty * 2 > paths;
}

std::size_t Detector::dominantKind(const ServerStats& stats)
{
    const auto lower = [](const SequentialTest& a, const SequentialTest& b) { return a.score() < b.score(); };
    return static_cast<std::size_t>(std::max_element(stats.tests.begin(), stats.tests.end(), lower) - stats.tests.begin());
}

Detector::TopSource Detector::topSourceOf(const ServerStats& stats)
{
    const std::size_t kind = dominantKind(stats);
    TopSource topSource;
    double totalExcess = 0;
    double highestExcess = 0;
    for (const auto& [id, source] : stats.sources) {
        totalExcess += source.excess[kind];
        if (source.excess[kind] > highestExcess) {
            highestExcess = source.excess[kind];
            topSource.id = id;
        }
    }
    topSource.share = highestExcess > 0 ? highestExcess / std::max(highestExcess, totalExcess) : 0;
    if (stats.sources.size() > 1 && highestExcess >= MIN_OUTLIER_EXCESS && topSource.share > ONE_SOURCE_SHARE)
        topSource.outlierSource = topSource.id;
    return topSource;
}

} // namespace cornelwind
