#include "cornelwind/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_RECENT_CRASHES = 256;
    // Responses to requests that were sent soon after a crash arrive within this time.
    constexpr Duration REFUTATION_MEMORY = std::chrono::seconds(6);

    // Reports of one crash differ a little in the time. An incarnation of a server crashes once.
    bool isSameCrash(const ServerCrash& a, const ServerCrash& b)
    {
        if (a.server != b.server || a.incarnation != b.incarnation)
            return false;
        return a.incarnation || std::max(a.at, b.at) - std::min(a.at, b.at) < Quarantine::MIN_TIME_BETWEEN_CRASHES;
    }

    bool isLater(Time time, Time known) { return time > known + Quarantine::TIME_TOLERANCE; }

    bool counts(const QuarantineRecord& record, const ServerCrash& crash)
    {
        return !crash.refuted && (!record.answeredAt || crash.at > *record.answeredAt + Quarantine::ANSWER_PERIOD);
    }

} // namespace

Fingerprint quarantineIdOf(Fingerprint fingerprint, const std::string& host, const WorkspaceName& workspace)
{
    if (host.empty() && workspace.value().empty())
        return fingerprint;
    const auto withHost = XXH3_64bits_withSeed(host.data(), host.size(), fingerprint.value());
    return Fingerprint { XXH3_64bits_withSeed(workspace.value().data(), workspace.value().size(), withHost) };
}

void Quarantine::setPosition(std::size_t rank, std::size_t count)
{
    m_rank = rank;
    m_count = std::max<std::size_t>(count, 1);
}

std::size_t Quarantine::countCrashes(const QuarantineRecord& record)
{
    return static_cast<std::size_t>(std::count_if(record.crashes.begin(), record.crashes.end(), [&](const ServerCrash& crash) { return counts(record, crash); }));
}

Time Quarantine::lastCrash(const QuarantineRecord& record)
{
    Time last {};
    for (const ServerCrash& crash : record.crashes) {
        if (counts(record, crash))
            last = std::max(last, crash.at);
    }
    return last;
}

bool Quarantine::recordCrash(Fingerprint fingerprint, const ServerCrash& crash, Time now)
{
    return merge({ fingerprint, { crash } }, now);
}

bool Quarantine::merge(const QuarantineRecord& record, Time now)
{
    const bool isKnown = find(record.fingerprint, now);
    Time lastSeen = record.lastSeen;
    for (const ServerCrash& crash : record.crashes)
        lastSeen = std::max(lastSeen, crash.at);
    if (!isKnown && (record.crashes.empty() || lastSeen + LIFETIME <= now))
        return false;
    if (!isKnown) {
        m_records.erase(record.fingerprint);
        if (m_records.size() >= MAX_ENTRIES)
            evictOne();
    }
    QuarantineRecord& known = m_records[record.fingerprint];
    known.fingerprint = record.fingerprint;
    if (isLater(lastSeen, known.lastSeen))
        known.lastSeen = lastSeen;
    bool changed = false;
    for (const ServerCrash& crash : record.crashes)
        changed |= addCrash(known, crash, now);
    if (record.answeredAt && (!known.answeredAt || isLater(*record.answeredAt, *known.answeredAt))) {
        known.answeredAt = record.answeredAt;
        changed = true;
    }
    if (const auto answered = m_answered.find(record.fingerprint); answered && (!known.answeredAt || *known.answeredAt < *answered))
        known.answeredAt = answered;
    if (record.trial.number > known.trial.number) {
        known.trial = record.trial;
        changed = true;
    }
    if (record.trial.number == known.trial.number)
        known.trial.at = std::min(known.trial.at, record.trial.at);
    return changed;
}

bool Quarantine::addCrash(QuarantineRecord& record, const ServerCrash& crash, Time now)
{
    const auto same = std::find_if(record.crashes.begin(), record.crashes.end(), [&](const ServerCrash& known) { return isSameCrash(known, crash); });
    if (same != record.crashes.end()) {
        // The earliest report is the one that was delayed least.
        same->at = std::min(same->at, crash.at);
        const bool isNews = (crash.refuted && !same->refuted) || crash.trial > same->trial;
        same->refuted = same->refuted || crash.refuted;
        same->trial = std::max(same->trial, crash.trial);
        return isNews;
    }
    if (record.crashes.size() >= MAX_CRASHES) {
        const auto earliest = std::min_element(record.crashes.begin(), record.crashes.end(), [](const ServerCrash& a, const ServerCrash& b) { return a.at < b.at; });
        if (crash.at <= earliest->at)
            return false;
        record.crashes.erase(earliest);
    }
    record.crashes.push_back(crash);
    if (!crash.refuted && crash.at + REFUTATION_PERIOD > now && m_recentCrashes.size() < MAX_RECENT_CRASHES)
        m_recentCrashes.push_back({ record.fingerprint, crash, false });
    return true;
}

bool Quarantine::recordAnswer(Fingerprint fingerprint, Time now)
{
    m_answered.record(fingerprint, now);
    const auto found = m_records.find(fingerprint);
    if (found == m_records.end())
        return false;
    const bool wasSuspect = countCrashes(found->second) > 0;
    found->second.answeredAt = now;
    return wasSuspect;
}

void Quarantine::recordReached(ServerId server, std::uint64_t incarnation, Time sentAt)
{
    for (RecentCrash& recent : m_recentCrashes) {
        const ServerCrash& crash = recent.crash;
        const bool isSameStart = incarnation && crash.server == server && crash.incarnation == incarnation;
        recent.wasReached = recent.wasReached || (isSameStart && sentAt >= crash.at + END_TIME && sentAt < crash.at + REFUTATION_PERIOD);
    }
}

std::vector<QuarantineRecord> Quarantine::takeReached(Time now)
{
    std::vector<QuarantineRecord> reached;
    std::erase_if(m_recentCrashes, [&](const RecentCrash& recent) {
        if (!recent.wasReached || now < recent.crash.at + REFUTATION_PERIOD)
            return now - recent.crash.at > REFUTATION_MEMORY;
        reached.push_back({ recent.fingerprint, { recent.crash } });
        return true;
    });
    return reached;
}

void Quarantine::recordRefusal(Fingerprint fingerprint, Time now)
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end())
        found->second.lastSeen = now;
}

std::size_t Quarantine::countFailedTrials(const QuarantineRecord& record)
{
    std::set<std::uint32_t> failed;
    for (const ServerCrash& crash : record.crashes) {
        if (crash.trial && counts(record, crash))
            failed.insert(crash.trial);
    }
    return failed.size();
}

bool Quarantine::awaitsResult(const QuarantineRecord& record)
{
    const auto isResult = [&](const ServerCrash& crash) { return crash.trial == record.trial.number; };
    return record.trial.number && std::none_of(record.crashes.begin(), record.crashes.end(), isResult);
}

std::optional<Time> Quarantine::nextTrial(const QuarantineRecord& record)
{
    const std::size_t failed = countFailedTrials(record);
    if (failed >= std::size(HOLD_TIMES))
        return std::nullopt;
    const Time due = lastCrash(record) + HOLD_TIMES[failed];
    return awaitsResult(record) ? std::max(due, record.trial.at + TRIAL_TIME) : due;
}

QuarantineState Quarantine::state(Fingerprint fingerprint, Time now) const
{
    const QuarantineRecord* record = find(fingerprint, now);
    if (!record || !isBlocked(*record))
        return QuarantineState::Free;
    const auto trial = nextTrial(*record);
    const auto turn = static_cast<Duration::rep>((m_rank + fingerprint.value() % m_count) % m_count);
    const Duration turnTime = std::min(MAX_TRIAL_TURN, TRIAL_SPREAD / static_cast<Duration::rep>(m_count));
    return trial && *trial + turn * turnTime <= now ? QuarantineState::TrialDue : QuarantineState::Blocked;
}

std::uint32_t Quarantine::beginTrial(Fingerprint fingerprint, Time now)
{
    if (state(fingerprint, now) != QuarantineState::TrialDue)
        return 0;
    QuarantineRecord& record = m_records.at(fingerprint);
    record.trial = { record.trial.number + 1, now };
    record.lastSeen = now;
    return record.trial.number;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, Time now) const
{
    const QuarantineRecord* record = find(fingerprint, now);
    return record && countCrashes(*record) > 0;
}

const QuarantineRecord* Quarantine::find(Fingerprint fingerprint, Time now) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() || found->second.lastSeen + LIFETIME <= now ? nullptr : &found->second;
}

std::vector<QuarantineRecord> Quarantine::blocked(std::size_t maxCount, Time now) const
{
    std::vector<QuarantineRecord> records;
    for (const auto& [fingerprint, record] : m_records) {
        if (isBlocked(record) && record.lastSeen + LIFETIME > now)
            records.push_back(record);
    }
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return std::pair(a.lastSeen, a.fingerprint) > std::pair(b.lastSeen, b.fingerprint); });
    if (records.size() > maxCount)
        records.resize(maxCount);
    return records;
}

void Quarantine::expire(Time now)
{
    std::erase_if(m_records, [now](const auto& row) { return row.second.lastSeen + LIFETIME <= now; });
}

void Quarantine::evictOne()
{
    const auto goesFirst = [](const auto& a, const auto& b) {
        return std::pair(isBlocked(a.second), lastCrash(a.second)) < std::pair(isBlocked(b.second), lastCrash(b.second));
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), goesFirst));
}

} // namespace cornelwind
