#include "cornelwind/quarantine.h"

#include <algorithm>

namespace cornelwind {

bool Quarantine::recordCrash(Fingerprint fingerprint, Time now)
{
    if (!m_entries.contains(fingerprint) && m_entries.size() >= MAX_ENTRIES)
        evictSoonestToExpire();
    Entry& entry = m_entries[fingerprint];
    if (entry.crashes && entry.expires <= now)
        entry = {};
    const bool wasBlocked = entry.crashes >= CRASH_LIMIT;
    ++entry.crashes;
    entry.expires = now + LIFETIME;
    return !wasBlocked && entry.crashes >= CRASH_LIMIT;
}

void Quarantine::recordSuccess(Fingerprint fingerprint)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end() && found->second.crashes < CRASH_LIMIT)
        m_entries.erase(found);
}

bool Quarantine::isBlocked(Fingerprint fingerprint, Time now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry && entry->crashes >= CRASH_LIMIT;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, Time now) const
{
    return find(fingerprint, now) != nullptr;
}

void Quarantine::expire(Time now)
{
    std::erase_if(m_entries, [now](const auto& row) { return row.second.expires <= now; });
}

const Quarantine::Entry* Quarantine::find(Fingerprint fingerprint, Time now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expires <= now)
        return nullptr;
    return &found->second;
}

void Quarantine::evictSoonestToExpire()
{
    const auto sooner = [](const auto& a, const auto& b) { return a.second.expires < b.second.expires; };
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), sooner));
}

} // namespace cornelwind
