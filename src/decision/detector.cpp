#include "cornelwind/detector.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // The window for expectations spans about 3 s.
    constexpr double WINDOW_DECAY = 0.92;
    constexpr double LATENCY_DECAY = 0.9;
    constexpr double SOURCE_DECAY = 0.9;
    // Assumed outcomes, so that a few samples do not make an expectation.
    constexpr double PRIOR_SAMPLES = 100;
    constexpr double PRIOR_BAD = 1;
    constexpr double MAX_EXPECTED = 0.9;
    // Evidence of one interval alone cannot exceed the threshold.
    constexpr double GAIN_SHARE = 0.4;
    constexpr double OWN_THRESHOLD_SHARE = 0.6;
    constexpr Duration MIN_SLOW_LIMIT = std::chrono::milliseconds(10);
    constexpr Duration DEFAULT_SLOW_LIMIT = std::chrono::milliseconds(1000);
    constexpr double MIN_LATENCY_SAMPLES = 20;
    // Rounds for which a row without bad outcomes may be held back from the peers.
    constexpr std::uint32_t MAX_HELD_ROUNDS = 4;
    constexpr double MIN_SOURCE_SAMPLES = 0.5;
    constexpr std::size_t MIN_PATHS = 3;
    // Share of the accusing evidence from which it counts as that of one entry instance.
    constexpr double ONE_SOURCE_SHARE = 0.8;
    constexpr Duration SOURCE_MEMORY = std::chrono::minutes(10);
    constexpr double BUCKETS_PER_OCTAVE = 5;

    // Mean samples to a false ejection of one server, by weighting.
    constexpr double SAMPLES_DETECTION_TIME = 2e7;
    constexpr double SAMPLES_BALANCED = 2e8;
    constexpr double SAMPLES_FALSE_EJECTIONS = 2e9;
    // Two kinds of bad outcome, each with all alternatives.
    constexpr double TESTS_PER_SERVER = 2.0 * SequentialTest::ALTERNATIVES.size();

    double expectedShare(double bad, double samples)
    {
        return std::min((bad + PRIOR_BAD) / (samples + PRIOR_SAMPLES), MAX_EXPECTED);
    }

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

Tally& Tally::operator+=(const Tally& other)
{
    samples += other.samples;
    failures += other.failures;
    slow += other.slow;
    return *this;
}

std::size_t Detector::Latencies::bucketOf(Duration latency)
{
    const double micros = std::max<double>(1, static_cast<double>(latency.count()));
    return std::min(static_cast<std::size_t>(std::log2(micros) * BUCKETS_PER_OCTAVE), BUCKETS - 1);
}

void Detector::Latencies::add(Duration latency)
{
    ++m_counts[bucketOf(latency)];
    ++m_total;
}

void Detector::Latencies::decay()
{
    for (double& count : m_counts)
        count *= LATENCY_DECAY;
    m_total *= LATENCY_DECAY;
}

Duration Detector::Latencies::median() const
{
    if (m_total < MIN_LATENCY_SAMPLES)
        return {};
    double sum = 0;
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        sum += m_counts[i];
        if (sum * 2 >= m_total)
            return Duration { static_cast<std::int64_t>(std::exp2((static_cast<double>(i) + 0.5) / BUCKETS_PER_OCTAVE)) };
    }
    return {};
}

Detector::Detector() = default;

void Detector::adopt(const Sheet& sheet)
{
    std::unordered_map<ServerId, Track> tracks;
    std::vector<ServiceTrack> services(sheet.services.size());
    for (std::uint32_t i = 0; i < sheet.services.size(); ++i) {
        services[i].weighting = sheet.services[i].weighting;
        for (const SheetServer& server : sheet.services[i].servers) {
            const ServerId id = serverIdOf(server.name);
            services[i].servers.push_back(id);
            if (Track* known = find(id)) {
                services[i].latencies = m_services[known->service].latencies;
                services[i].median = m_services[known->service].median;
                tracks[id] = std::move(*known);
            }
            tracks[id].service = i;
        }
    }
    m_tracks = std::move(tracks);
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
    Track* track = find(pending.server);
    if (!track || !failed || pending.counted)
        return;
    const Duration latency = now - pending.sentAt;
    const bool slow = latency > slowLimit(*track) && now >= track->slownessFrom;
    count(*track, *failed, slow && !*failed);
    if (!*failed)
        m_services[track->service].latencies.add(latency);
}

void Detector::probed(ServerId server, bool failed)
{
    if (Track* track = find(server))
        count(*track, failed, false);
}

void Detector::ignoreSlownessUntil(ServerId server, Time until)
{
    if (Track* track = find(server))
        track->slownessFrom = until;
}

void Detector::forgive(ServerId server)
{
    Track* track = find(server);
    if (!track)
        return;
    for (SequentialTest* test : { &track->failureTest, &track->slowTest, &track->ownFailureTest, &track->ownSlowTest })
        test->reset();
    track->window = {};
    track->sources.clear();
}

bool Detector::merge(std::uint64_t source, std::uint64_t incarnation, const Digest& digest, Time now)
{
    LastDigest& last = m_lastDigests[source];
    if (last.incarnation == incarnation && digest.sequence <= last.sequence)
        return false;
    last = { incarnation, digest.sequence, now };
    for (const DigestRow& row : digest.rows) {
        Track* track = find(row.server);
        if (track && row.tally.failures <= row.tally.samples && row.tally.slow <= row.tally.samples)
            track->arrived[source] += row.tally;
    }
    return true;
}

const Digest& Detector::evaluate(Time now)
{
    countStalls(now);
    for (auto& [id, track] : m_tracks) {
        if (!m_distrustsSelf && !track.own.empty())
            track.arrived[SELF] += track.own;
    }
    for (ServiceTrack& service : m_services) {
        evaluateService(service);
        service.median = service.latencies.median();
        service.latencies.decay();
    }
    judgeSelf();
    fillDigest();
    std::erase_if(m_lastDigests, [now](const auto& row) { return now - row.second.at > SOURCE_MEMORY; });
    return m_digest;
}

void Detector::countStalls(Time now)
{
    for (auto& [id, pending] : m_pending) {
        Track* track = find(pending.server);
        if (!track || pending.counted || now < track->slownessFrom || now - pending.sentAt <= slowLimit(*track))
            continue;
        pending.counted = true;
        count(*track, false, true);
        m_services[track->service].latencies.add(now - pending.sentAt);
    }
}

void Detector::count(Track& track, bool failed, bool slow)
{
    ++track.own.samples;
    track.own.failures += failed;
    track.own.slow += slow;
}

Duration Detector::slowLimit(const Track& track) const
{
    const Duration median = m_services[track.service].median;
    if (!median.count())
        return DEFAULT_SLOW_LIMIT;
    return std::max(Duration { static_cast<std::int64_t>(static_cast<double>(median.count()) * SLOW_FACTOR) }, MIN_SLOW_LIMIT);
}

void Detector::evaluateService(ServiceTrack& service)
{
    Tally all;
    Window window;
    for (const ServerId id : service.servers) {
        Track& track = m_tracks.at(id);
        Tally arrived;
        for (const auto& [source, tally] : track.arrived)
            arrived += tally;
        all += arrived;
        track.window.samples = track.window.samples * WINDOW_DECAY + arrived.samples;
        track.window.failures = track.window.failures * WINDOW_DECAY + arrived.failures;
        track.window.slow = track.window.slow * WINDOW_DECAY + arrived.slow;
        window.samples += track.window.samples;
        window.failures += track.window.failures;
        window.slow += track.window.slow;
    }
    const double mostGain = ejectionThreshold(service.weighting) * GAIN_SHARE;
    for (const ServerId id : service.servers) {
        Track& track = m_tracks.at(id);
        Tally arrived;
        for (const auto& [source, tally] : track.arrived)
            arrived += tally;
        // The larger of the recent and the present share of the other servers.
        const double others = window.samples - track.window.samples;
        const double othersNow = all.samples - arrived.samples;
        const double failures = std::max(expectedShare(window.failures - track.window.failures, others),
            expectedShare(all.failures - arrived.failures, othersNow));
        const double slow = std::max(expectedShare(window.slow - track.window.slow, others),
            expectedShare(all.slow - arrived.slow, othersNow));
        evaluateServer(track, arrived, failures, slow, mostGain);
    }
}

void Detector::evaluateServer(Track& track, const Tally& arrived, double expectedFailures, double expectedSlow, double mostGain)
{
    track.expectedFailures = expectedFailures;
    track.expectedSlow = expectedSlow;
    const auto add = [&](SequentialTest& test, std::uint32_t samples, std::uint32_t bad, double expected) {
        test.add(samples - bad, bad, expected, mostGain);
    };
    add(track.failureTest, arrived.samples, arrived.failures, expectedFailures);
    add(track.slowTest, arrived.samples, arrived.slow, expectedSlow);
    add(track.ownFailureTest, track.own.samples, track.own.failures, expectedFailures);
    add(track.ownSlowTest, track.own.samples, track.own.slow, expectedSlow);
    updateSources(track);
}

void Detector::updateSources(Track& track)
{
    for (auto& [id, source] : track.sources) {
        source.excess *= SOURCE_DECAY;
        source.samples *= SOURCE_DECAY;
    }
    for (const auto& [id, tally] : track.arrived) {
        Source& source = track.sources[id];
        const double expected = tally.samples * (track.expectedFailures + track.expectedSlow);
        source.excess = std::max(0.0, source.excess + tally.failures + tally.slow - expected);
        source.samples += tally.samples;
    }
    track.arrived.clear();
    std::erase_if(track.sources, [](const auto& row) { return row.second.samples < MIN_SOURCE_SAMPLES; });
}

// Trouble on most own paths that the fleet does not see is trouble of this entry instance.
void Detector::judgeSelf()
{
    std::size_t paths = 0;
    std::size_t troubled = 0;
    for (const auto& [id, track] : m_tracks) {
        const double threshold = ejectionThreshold(m_services[track.service].weighting) * OWN_THRESHOLD_SHARE;
        const double own = std::max(track.ownFailureTest.score(), track.ownSlowTest.score());
        const double fleet = std::max(track.failureTest.score(), track.slowTest.score());
        const bool othersSeeIt = track.sources.size() > track.sources.count(SELF);
        if (!othersSeeIt && own < threshold)
            continue;
        ++paths;
        const Judgement judgement = judge(id);
        const bool onlyHere = judgement.loudestIsSelf && judgement.loudestShare > ONE_SOURCE_SHARE;
        troubled += own >= threshold && (fleet < threshold || onlyHere);
    }
    m_distrustsSelf = paths >= MIN_PATHS && troubled * 2 > paths;
}

void Detector::fillDigest()
{
    ++m_digest.sequence;
    m_digest.rows.clear();
    for (auto& [id, track] : m_tracks) {
        track.held += track.own;
        track.own = {};
        if (track.held.empty())
            continue;
        const bool accuses = track.held.failures || track.held.slow;
        if (!accuses && ++track.heldRounds < MAX_HELD_ROUNDS)
            continue;
        if (!m_distrustsSelf)
            m_digest.rows.push_back({ id, track.held });
        track.held = {};
        track.heldRounds = 0;
    }
}

Judgement Detector::judge(ServerId server) const
{
    Judgement judgement;
    const auto found = m_tracks.find(server);
    if (found == m_tracks.end())
        return judgement;
    const Track& track = found->second;
    judgement.score = std::max(track.failureTest.score(), track.slowTest.score());
    judgement.ownScore = std::max(track.ownFailureTest.score(), track.ownSlowTest.score());
    judgement.sources = static_cast<std::uint32_t>(track.sources.size());
    double sum = 0;
    double loudest = 0;
    for (const auto& [id, source] : track.sources) {
        sum += source.excess;
        if (source.excess > loudest) {
            loudest = source.excess;
            judgement.loudestIsSelf = id == SELF;
        }
    }
    judgement.loudestShare = sum > 0 ? loudest / sum : 0;
    const bool bySlowness = track.slowTest.score() > track.failureTest.score();
    judgement.expectedShare = bySlowness ? track.expectedSlow : track.expectedFailures;
    judgement.recentSamples = static_cast<std::uint64_t>(track.window.samples);
    if (track.window.samples > 0)
        judgement.badShare = (bySlowness ? track.window.slow : track.window.failures) / track.window.samples;
    return judgement;
}

Duration Detector::median(std::uint32_t service) const
{
    return m_services[service].median;
}

Detector::Track* Detector::find(ServerId server)
{
    const auto found = m_tracks.find(server);
    return found == m_tracks.end() ? nullptr : &found->second;
}

} // namespace cornelwind
