#include "cornelwind/detector.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Lower bound of the limits for slow responses and stalls, and their value while the median is not known.
    constexpr Duration MIN_SLOW_LIMIT = std::chrono::milliseconds(10);
    constexpr Duration DEFAULT_SLOW_LIMIT = std::chrono::milliseconds(1000);
    // A share of slow responses of at most one in this many is usual and need not be sent at once.
    constexpr std::uint32_t USUAL_SLOW_DIVISOR = 8;
    // A row without unusual outcomes is sent with every fourth digest only.
    constexpr std::uint32_t MAX_UNSENT_ROUNDS = 4;
    // Rows of peers with more stalls or hangs are implausible and ignored.
    constexpr std::uint32_t MAX_STALLED = 10000;
    // The latest digest of a source is remembered for this time, so that stale and repeated ones are recognized.
    constexpr Duration SOURCE_EXPIRY = std::chrono::minutes(10);

    // Mean number of samples to a false ejection of one server, by weighting.
    constexpr double SAMPLES_DETECTION_TIME = 3e5;
    constexpr double SAMPLES_BALANCED = 1e7;
    constexpr double SAMPLES_FALSE_EJECTIONS = 1e8;
    // Each kind of bad outcome is tested against all alternatives.
    constexpr double TESTS_PER_SERVER = static_cast<double>(Detector::KINDS * SequentialTest::ALTERNATIVES.size());

} // namespace

double ejectionThreshold(Weighting weighting)
{
    switch (weighting) {
    case Weighting::DetectionTime:
        return std::log(SAMPLES_DETECTION_TIME * TESTS_PER_SERVER);
    case Weighting::Balanced:
        return std::log(SAMPLES_BALANCED * TESTS_PER_SERVER);
    case Weighting::FalseEjections:
        return std::log(SAMPLES_FALSE_EJECTIONS * TESTS_PER_SERVER);
    }
    return std::log(SAMPLES_BALANCED * TESTS_PER_SERVER);
}

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other)
{
    samples += other.samples;
    failures += other.failures;
    slow += other.slow;
    stalled += other.stalled;
    hung += other.hung;
    return *this;
}

void Detector::Window::add(const OutcomeCounts& counts)
{
    const BadCounts added = badOf(counts);
    samples += counts.samples;
    for (std::size_t i = 0; i < COUNTS; ++i)
        bad[i] += added[i];
}

void Detector::Window::add(const Window& other)
{
    samples += other.samples;
    for (std::size_t i = 0; i < COUNTS; ++i)
        bad[i] += other.bad[i];
}

void Detector::Window::decay(double factor)
{
    samples *= factor;
    for (double& count : bad)
        count *= factor;
}

Detector::Window Detector::Window::without(const Window& part) const
{
    Window rest = *this;
    rest.samples -= part.samples;
    for (std::size_t i = 0; i < COUNTS; ++i)
        rest.bad[i] -= part.bad[i];
    return rest;
}

Detector::BadCounts Detector::badOf(const OutcomeCounts& counts)
{
    return { static_cast<double>(counts.failures), static_cast<double>(counts.slow), static_cast<double>(counts.stalled), static_cast<double>(counts.hung) };
}

double Detector::scoreOf(const std::array<SequentialTest, KINDS>& tests)
{
    double score = 0;
    for (const SequentialTest& test : tests)
        score = std::max(score, test.score());
    return score;
}

Detector::Detector() = default;

void Detector::adopt(const Sheet& sheet)
{
    std::unordered_map<ServerId, ServerStats> serverStats;
    std::vector<ServiceStats> services(sheet.services.size());
    for (std::uint32_t i = 0; i < sheet.services.size(); ++i) {
        services[i].weighting = sheet.services[i].weighting;
        for (const SheetServer& server : sheet.services[i].servers) {
            const ServerId id = serverIdOf(server.name);
            services[i].servers.push_back(id);
            if (ServerStats* known = find(id)) {
                services[i].latencies = m_services[known->service].latencies;
                services[i].median = m_services[known->service].median;
                serverStats[id] = std::move(*known);
            }
            serverStats[id].service = i;
        }
    }
    m_serverStats = std::move(serverStats);
    m_services = std::move(services);
}

void Detector::trySent(TryId id, ServerId server, Time now)
{
    m_pending.emplace(id, Pending { server, now });
}

void Detector::tryEnded(TryId id, std::optional<bool> failed, Time now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const Pending pending = found->second;
    m_pending.erase(found);
    ServerStats* stats = find(pending.server);
    if (!stats || !failed || pending.slowCounted)
        return;
    const Duration latency = now - pending.sentAt;
    const bool countsSlowness = now >= stats->slownessIgnoredUntil && !*failed;
    ++stats->own.samples;
    stats->own.failures += *failed;
    stats->own.slow += countsSlowness && latency > latencyLimit(*stats, SLOW_FACTOR);
    stats->own.stalled += countsSlowness && latency > latencyLimit(*stats, STALL_FACTOR);
    stats->own.hung += countsSlowness && latency > latencyLimit(*stats, HANG_FACTOR);
    if (!*failed)
        m_services[stats->service].latencies.add(latency);
}

void Detector::probed(ServerId server, bool failed)
{
    ServerStats* stats = find(server);
    if (!stats)
        return;
    ++stats->own.samples;
    stats->own.failures += failed;
}

void Detector::ignoreSlownessUntil(ServerId server, Time until)
{
    if (ServerStats* stats = find(server))
        stats->slownessIgnoredUntil = until;
}

void Detector::clearEvidence(ServerId server)
{
    ServerStats* stats = find(server);
    if (!stats)
        return;
    stats->tests = {};
    stats->ownTests = {};
    stats->sources.clear();
    removeFromBaseline(server);
}

void Detector::removeFromBaseline(ServerId server)
{
    if (ServerStats* stats = find(server)) {
        stats->longWindow = {};
        stats->shortWindow = {};
    }
}

bool Detector::merge(std::uint64_t source, std::uint64_t incarnation, const Digest& digest, Time now)
{
    LastDigest& last = m_lastDigests[source];
    if (last.incarnation == incarnation && digest.sequence <= last.sequence)
        return false;
    last = { incarnation, digest.sequence, now };
    for (const DigestRow& row : digest.rows) {
        ServerStats* stats = find(row.server);
        if (stats && row.counts.failures <= row.counts.samples && row.counts.slow <= row.counts.samples && row.counts.stalled <= MAX_STALLED && row.counts.hung <= MAX_STALLED)
            stats->newCounts[source] += row.counts;
    }
    return true;
}

const Digest& Detector::evaluate(Time now)
{
    countStalls(now);
    for (auto& [id, stats] : m_serverStats) {
        if (!m_distrustsSelf && !stats.own.empty())
            stats.newCounts[SELF] += stats.own;
    }
    for (ServiceStats& service : m_services) {
        evaluateService(service);
        service.median = service.latencies.median();
        service.latencies.decay();
    }
    updateSelfDistrust();
    fillDigest();
    std::erase_if(m_lastDigests, [now](const auto& row) { return now - row.second.at > SOURCE_EXPIRY; });
    return m_digest;
}

void Detector::countStalls(Time now)
{
    for (auto& [id, pending] : m_pending) {
        ServerStats* stats = find(pending.server);
        if (!stats || pending.hangCounted || now < stats->slownessIgnoredUntil)
            continue;
        const Duration waited = now - pending.sentAt;
        if (!pending.slowCounted && waited > latencyLimit(*stats, SLOW_FACTOR)) {
            pending.slowCounted = true;
            ++stats->own.samples;
            ++stats->own.slow;
            m_services[stats->service].latencies.add(waited);
        }
        if (!pending.stallCounted && waited > latencyLimit(*stats, STALL_FACTOR)) {
            pending.stallCounted = true;
            ++stats->own.stalled;
        }
        if (waited > latencyLimit(*stats, HANG_FACTOR)) {
            pending.hangCounted = true;
            ++stats->own.hung;
        }
    }
}

Duration Detector::latencyLimit(const ServerStats& stats, double factor) const
{
    const Duration median = m_services[stats.service].median;
    if (!median.count())
        return DEFAULT_SLOW_LIMIT;
    return std::max(Duration { static_cast<std::int64_t>(static_cast<double>(median.count()) * factor) }, MIN_SLOW_LIMIT);
}

void Detector::fillDigest()
{
    ++m_digest.sequence;
    m_digest.rows.clear();
    for (auto& [id, stats] : m_serverStats) {
        stats.unsent += stats.own;
        stats.own = {};
        if (stats.unsent.empty())
            continue;
        const bool hasBadOutcomes = stats.unsent.failures || stats.unsent.stalled || stats.unsent.hung || stats.unsent.slow * USUAL_SLOW_DIVISOR > stats.unsent.samples;
        if (!hasBadOutcomes && ++stats.unsentRounds < MAX_UNSENT_ROUNDS)
            continue;
        if (!m_distrustsSelf)
            m_digest.rows.push_back({ id, stats.unsent });
        stats.unsent = {};
        stats.unsentRounds = 0;
    }
}

ServerAssessment Detector::assess(ServerId server) const
{
    ServerAssessment assessment;
    const auto found = m_serverStats.find(server);
    if (found == m_serverStats.end())
        return assessment;
    const ServerStats& stats = found->second;
    assessment.score = scoreOf(stats.tests);
    assessment.ownScore = scoreOf(stats.ownTests);
    assessment.sources = static_cast<std::uint32_t>(stats.sources.size());
    const TopSource topSource = topSourceOf(stats);
    assessment.topSourceIsSelf = topSource.id == SELF;
    assessment.topSourceShare = topSource.share;
    const std::size_t kind = dominantKind(stats);
    assessment.expectedShare = stats.expected[kind];
    assessment.recentSamples = static_cast<std::uint64_t>(stats.shortWindow.samples);
    if (stats.shortWindow.samples > 0)
        assessment.badShare = stats.shortWindow.bad[kind] / stats.shortWindow.samples;
    return assessment;
}

Duration Detector::median(std::uint32_t service) const
{
    return m_services[service].median;
}

Detector::ServerStats* Detector::find(ServerId server)
{
    const auto found = m_serverStats.find(server);
    return found == m_serverStats.end() ? nullptr : &found->second;
}

} // namespace cornelwind
