#include "cornelwind/detector.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // The windows for expectations span about 30 s and 3 s.
    constexpr double LONG_DECAY = 0.992;
    constexpr double SHORT_DECAY = 0.92;
    // About 6 s: the source of evidence has to be known while the evidence counts.
    constexpr double SOURCE_DECAY = 0.96;
    // Assumed outcomes, so that a few samples do not make an expectation.
    constexpr double PRIOR_SAMPLES = 50;
    constexpr double PRIOR_SAMPLES_NOW = 4;
    // Failures, slow answers, stalls, stalls that last.
    constexpr std::array PRIOR_BAD_SHARES { 0.01, 0.05, 0.02, 0.01 };
    // Fewer bad outcomes beyond the usual number may be chance, not trouble common to all.
    constexpr double MIN_COMMON_BAD = 2;
    constexpr double COMMON_DEVIATIONS = 3;
    // Standard deviations by which an expectation errs to the safe side.
    constexpr double EXPECTATION_MARGIN = 1;
    constexpr double MAX_EXPECTED = 0.9;
    // Evidence of one interval alone cannot exceed the threshold.
    constexpr double GAIN_SHARE = 0.55;
    constexpr Duration MIN_SLOW_LIMIT = std::chrono::milliseconds(10);
    constexpr Duration DEFAULT_SLOW_LIMIT = std::chrono::milliseconds(1000);
    // A share of slow answers below one in this many is usual.
    constexpr std::uint32_t SLOW_NEWS_DIVISOR = 8;
    // Rounds for which a row without news may be held back from the peers.
    constexpr std::uint32_t MAX_HELD_ROUNDS = 4;
    constexpr std::uint32_t MAX_STALLED = 10000;
    constexpr double MIN_SOURCE_SAMPLES = 0.5;
    constexpr std::size_t MIN_PATHS = 3;
    // Bad outcomes beyond expectation from which one source can be odd.
    constexpr double MIN_ODD_EXCESS = 2.5;
    constexpr Duration SOURCE_MEMORY = std::chrono::minutes(10);

    // Mean samples to a false ejection of one server, by weighting.
    constexpr double SAMPLES_DETECTION_TIME = 3e5;
    constexpr double SAMPLES_BALANCED = 1e7;
    constexpr double SAMPLES_FALSE_EJECTIONS = 1e8;
    // Each kind has one count, and the last one the rest.
    constexpr std::size_t STALLS = Detector::KINDS - 1;
    // Each kind of bad outcome with all alternatives.
    constexpr double TESTS_PER_SERVER = static_cast<double>(Detector::KINDS * SequentialTest::ALTERNATIVES.size());

    // An upper bound of the share of bad outcomes (normal approximation).
    double expectedShare(double bad, double samples, double priorBadShare, double priorSamples)
    {
        const double count = samples + priorSamples;
        const double share = (std::max(bad, 0.0) + priorBadShare * priorSamples) / count;
        return std::min(share + EXPECTATION_MARGIN * std::sqrt(share / count), MAX_EXPECTED);
    }

    // Whether there are more bad outcomes than a Poisson count of the usual share explains.
    bool isUnusual(double bad, double samples, double usualShare)
    {
        const double usual = samples * usualShare;
        return bad > usual + COMMON_DEVIATIONS * std::sqrt(usual) + MIN_COMMON_BAD;
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
    stalled += other.stalled;
    hung += other.hung;
    return *this;
}

void Detector::Window::add(const Tally& tally)
{
    const BadCounts more = badOf(tally);
    samples += tally.samples;
    for (std::size_t i = 0; i < COUNTS; ++i)
        bad[i] += more[i];
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

Detector::BadCounts Detector::badOf(const Tally& tally)
{
    return { static_cast<double>(tally.failures), static_cast<double>(tally.slow), static_cast<double>(tally.stalled), static_cast<double>(tally.hung) };
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
    if (!track || !failed || pending.slowCounted)
        return;
    const Duration latency = now - pending.sentAt;
    const bool judged = now >= track->slownessFrom && !*failed;
    ++track->own.samples;
    track->own.failures += *failed;
    track->own.slow += judged && latency > lateness(*track, SLOW_FACTOR);
    track->own.stalled += judged && latency > lateness(*track, STALL_FACTOR);
    track->own.hung += judged && latency > lateness(*track, HANG_FACTOR);
    if (!*failed)
        m_services[track->service].latencies.add(latency);
}

void Detector::probed(ServerId server, bool failed)
{
    Track* track = find(server);
    if (!track)
        return;
    ++track->own.samples;
    track->own.failures += failed;
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
    track->tests = {};
    track->ownTests = {};
    track->sources.clear();
    disregard(server);
}

void Detector::disregard(ServerId server)
{
    if (Track* track = find(server)) {
        track->longWindow = {};
        track->shortWindow = {};
    }
}

bool Detector::merge(std::uint64_t source, std::uint64_t incarnation, const Digest& digest, Time now)
{
    LastDigest& last = m_lastDigests[source];
    if (last.incarnation == incarnation && digest.sequence <= last.sequence)
        return false;
    last = { incarnation, digest.sequence, now };
    for (const DigestRow& row : digest.rows) {
        Track* track = find(row.server);
        if (track && row.tally.failures <= row.tally.samples && row.tally.slow <= row.tally.samples && row.tally.stalled <= MAX_STALLED && row.tally.hung <= MAX_STALLED)
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
        if (!track || pending.hangCounted || now < track->slownessFrom)
            continue;
        const Duration waited = now - pending.sentAt;
        if (!pending.slowCounted && waited > lateness(*track, SLOW_FACTOR)) {
            pending.slowCounted = true;
            ++track->own.samples;
            ++track->own.slow;
            m_services[track->service].latencies.add(waited);
        }
        if (!pending.stallCounted && waited > lateness(*track, STALL_FACTOR)) {
            pending.stallCounted = true;
            ++track->own.stalled;
        }
        if (waited > lateness(*track, HANG_FACTOR)) {
            pending.hangCounted = true;
            ++track->own.hung;
        }
    }
}

Duration Detector::lateness(const Track& track, double factor) const
{
    const Duration median = m_services[track.service].median;
    if (!median.count())
        return DEFAULT_SLOW_LIMIT;
    return std::max(Duration { static_cast<std::int64_t>(static_cast<double>(median.count()) * factor) }, MIN_SLOW_LIMIT);
}

void Detector::evaluateService(ServiceTrack& service)
{
    Window longAll;
    Window shortAll;
    Window allNow;
    std::vector<Window> arrived(service.servers.size());
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        Track& track = m_tracks.at(service.servers[i]);
        arrived[i] = arrivedWithoutOdd(track);
        track.longWindow.decay(LONG_DECAY);
        track.longWindow.add(arrived[i]);
        track.shortWindow.decay(SHORT_DECAY);
        track.shortWindow.add(arrived[i]);
        longAll.add(track.longWindow);
        shortAll.add(track.shortWindow);
        allNow.add(arrived[i]);
    }
    const double mostGain = ejectionThreshold(service.weighting) * GAIN_SHARE;
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        Track& track = m_tracks.at(service.servers[i]);
        track.expected = expectedOf(longAll.without(track.longWindow), shortAll.without(track.shortWindow), allNow.without(arrived[i]));
        updateTests(track.tests, arrived[i], track.expected, mostGain);
        Window own;
        own.add(track.own);
        updateTests(track.ownTests, own, track.expected, mostGain);
        updateSources(track);
    }
}

Detector::Window Detector::arrivedWithoutOdd(const Track& track)
{
    Window window;
    for (const auto& [source, tally] : track.arrived) {
        if (source != track.oddSource)
            window.add(tally);
    }
    return window;
}

// The largest share among the other servers over three spans, so that a change common to all counts at once.
Detector::BadCounts Detector::expectedOf(const Window& longOthers, const Window& shortOthers, const Window& othersNow)
{
    BadCounts expected {};
    for (std::size_t i = 0; i < COUNTS; ++i) {
        expected[i] = expectedShare(longOthers.bad[i], longOthers.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES);
        const double usual = expected[i];
        if (isUnusual(shortOthers.bad[i], shortOthers.samples, usual))
            expected[i] = std::max(expected[i], expectedShare(shortOthers.bad[i], shortOthers.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES));
        if (isUnusual(othersNow.bad[i], othersNow.samples, usual))
            expected[i] = std::max(expected[i], expectedShare(othersNow.bad[i], othersNow.samples, PRIOR_BAD_SHARES[i], PRIOR_SAMPLES_NOW));
    }
    return expected;
}

// A stall was counted as good when its sample was, which a negative number takes back.
void Detector::updateTests(std::array<SequentialTest, KINDS>& tests, const Window& seen, const BadCounts& expected, double mostGain)
{
    std::array<BadCount, COUNTS> counts;
    for (std::size_t i = 0; i < COUNTS; ++i)
        counts[i] = { seen.bad[i], expected[i] };
    for (std::size_t kind = 0; kind < KINDS; ++kind) {
        const std::size_t degrees = kind == STALLS ? COUNTS - STALLS : 1;
        tests[kind].add(seen.samples - seen.bad[kind], std::span(counts).subspan(kind, degrees), mostGain);
    }
}

void Detector::updateSources(Track& track)
{
    for (auto& [id, source] : track.sources) {
        for (double& excess : source.excess)
            excess *= SOURCE_DECAY;
        source.samples *= SOURCE_DECAY;
    }
    for (const auto& [id, tally] : track.arrived) {
        Source& source = track.sources[id];
        const BadCounts bad = badOf(tally);
        for (std::size_t i = 0; i < COUNTS; ++i)
            source.excess[i] += bad[i] - tally.samples * track.expected[i];
        source.samples += tally.samples;
    }
    track.arrived.clear();
    std::erase_if(track.sources, [](const auto& row) { return row.second.samples < MIN_SOURCE_SAMPLES; });
    track.oddSource = loudestOf(track).oddSource;
}

// Trouble on most own paths that the fleet does not see is trouble of this entry instance.
void Detector::judgeSelf()
{
    std::size_t paths = 0;
    std::size_t troubled = 0;
    for (const auto& [id, track] : m_tracks) {
        const double threshold = ejectionThreshold(m_services[track.service].weighting) * OWN_THRESHOLD_SHARE;
        const double own = scoreOf(track.ownTests);
        const double fleet = scoreOf(track.tests);
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
        const bool accuses = track.held.failures || track.held.stalled || track.held.hung || track.held.slow * SLOW_NEWS_DIVISOR > track.held.samples;
        if (!accuses && ++track.heldRounds < MAX_HELD_ROUNDS)
            continue;
        if (!m_distrustsSelf)
            m_digest.rows.push_back({ id, track.held });
        track.held = {};
        track.heldRounds = 0;
    }
}

std::size_t Detector::accusingKind(const Track& track)
{
    const auto lower = [](const SequentialTest& a, const SequentialTest& b) { return a.score() < b.score(); };
    return static_cast<std::size_t>(std::max_element(track.tests.begin(), track.tests.end(), lower) - track.tests.begin());
}

Detector::Loudest Detector::loudestOf(const Track& track)
{
    const std::size_t kind = accusingKind(track);
    Loudest loudest;
    double sum = 0;
    double most = 0;
    for (const auto& [id, source] : track.sources) {
        sum += source.excess[kind];
        if (source.excess[kind] > most) {
            most = source.excess[kind];
            loudest.id = id;
        }
    }
    loudest.share = most > 0 ? most / std::max(most, sum) : 0;
    if (track.sources.size() > 1 && most >= MIN_ODD_EXCESS && loudest.share > ONE_SOURCE_SHARE)
        loudest.oddSource = loudest.id;
    return loudest;
}

Judgement Detector::judge(ServerId server) const
{
    Judgement judgement;
    const auto found = m_tracks.find(server);
    if (found == m_tracks.end())
        return judgement;
    const Track& track = found->second;
    judgement.score = scoreOf(track.tests);
    judgement.ownScore = scoreOf(track.ownTests);
    judgement.sources = static_cast<std::uint32_t>(track.sources.size());
    const Loudest loudest = loudestOf(track);
    judgement.loudestIsSelf = loudest.id == SELF;
    judgement.loudestShare = loudest.share;
    const std::size_t kind = accusingKind(track);
    judgement.expectedShare = track.expected[kind];
    judgement.recentSamples = static_cast<std::uint64_t>(track.shortWindow.samples);
    if (track.shortWindow.samples > 0)
        judgement.badShare = track.shortWindow.bad[kind] / track.shortWindow.samples;
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
