#include "cornelwind/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelwind {
namespace {

    // Reports of one crash differ a little in the time. An incarnation of a server crashes once.
    bool isSameCrash(const ServerCrash& a, const ServerCrash& b)
    {
        if (a.server != b.server || a.incarnation != b.incarnation)
            return false;
        return a.incarnation || std::max(a.at, b.at) - std::min(a.at, b.at) < Quarantine::MIN_TIME_BETWEEN_CRASHES;
    }

} // namespace

Time QuarantineRecord::lastCrash() const
{
    Time last {};
    for (const ServerCrash& crash : crashes)
        last = std::max(last, crash.at);
    return last;
}

bool Quarantine::recordCrash(Fingerprint fingerprint, const ServerCrash& crash, Time now)
{
    return merge({ fingerprint, { crash } }, now);
}

bool Quarantine::merge(const QuarantineRecord& record, Time now)
{
    if (record.crashes.empty() || record.lastCrash() + LIFETIME <= now)
        return false;
    if (!m_records.contains(record.fingerprint) && m_records.size() >= MAX_ENTRIES)
        evictOne();
    QuarantineRecord& known = m_records[record.fingerprint];
    known.fingerprint = record.fingerprint;
    if (known.lastCrash() + LIFETIME <= now)
        known.crashes.clear();
    bool changed = false;
    for (const ServerCrash& crash : record.crashes)
        changed |= addCrash(known, crash);
    return changed;
}

bool Quarantine::addCrash(QuarantineRecord& record, const ServerCrash& crash)
{
    const auto same = std::find_if(record.crashes.begin(), record.crashes.end(), [&](const ServerCrash& known) { return isSameCrash(known, crash); });
    if (same != record.crashes.end()) {
        // The earliest report is the one that was delayed least.
        same->at = std::min(same->at, crash.at);
        return false;
    }
    if (record.crashes.size() >= MAX_CRASHES)
        return false;
    record.crashes.push_back(crash);
    return true;
}

void Quarantine::recordSuccess(Fingerprint fingerprint)
{
    const auto found = m_records.find(fingerprint);
    if (found != m_records.end() && !isBlocked(found->second))
        m_records.erase(found);
}

bool Quarantine::isBlocked(Fingerprint fingerprint, Time now) const
{
    const QuarantineRecord* record = find(fingerprint, now);
    return record && isBlocked(*record);
}

bool Quarantine::isSuspect(Fingerprint fingerprint, Time now) const
{
    return find(fingerprint, now) != nullptr;
}

const QuarantineRecord* Quarantine::find(Fingerprint fingerprint, Time now) const
{
    const auto found = m_records.find(fingerprint);
    return found == m_records.end() || found->second.lastCrash() + LIFETIME <= now ? nullptr : &found->second;
}

std::vector<QuarantineRecord> Quarantine::blocked(std::size_t maxCount, Time now) const
{
    std::vector<QuarantineRecord> records;
    for (const auto& [fingerprint, record] : m_records) {
        if (isBlocked(record) && record.lastCrash() + LIFETIME > now)
            records.push_back(record);
    }
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return std::pair(a.lastCrash(), a.fingerprint) > std::pair(b.lastCrash(), b.fingerprint); });
    if (records.size() > maxCount)
        records.resize(maxCount);
    return records;
}

void Quarantine::expire(Time now)
{
    std::erase_if(m_records, [now](const auto& row) { return row.second.lastCrash() + LIFETIME <= now; });
}

void Quarantine::evictOne()
{
    const auto goesFirst = [](const auto& a, const auto& b) {
        return std::pair(isBlocked(a.second), a.second.lastCrash()) < std::pair(isBlocked(b.second), b.second.lastCrash());
    };
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), goesFirst));
}

} // namespace cornelwind
