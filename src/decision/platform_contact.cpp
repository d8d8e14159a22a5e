#include "platform_contact.h"

#include "cornelwind/membership.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // In percent of the change deadline: how long a call of the first and of the second watcher of a zone waits, and the age at
    // which the contact of either ends. The first ends early enough to read the platform within the deadline after that.
    constexpr std::int64_t FIRST_WAIT = 50;
    constexpr std::int64_t FIRST_LIMIT = 70;
    constexpr std::int64_t SECOND_WAIT = 140;
    constexpr std::int64_t SECOND_LIMIT = 170;
    // Additional age, in percent, for each two members of the zone that sort before this entry instance, so that the first ones can
    // get an answer before all others call; and its maximum.
    constexpr std::int64_t STAGGER = 1;
    constexpr std::int64_t MAX_STAGGER = 10;
    // Time from the start to the first watch. Other members are known by then, so that not all start to watch.
    constexpr Duration FIRST_WATCH_DELAY = std::chrono::milliseconds(500);

    // If no member of an availability zone has reached a platform that may be stale for this time, another one becomes a watcher.
    constexpr Duration POLL_STALE_TIME = std::chrono::seconds(4);
    constexpr Duration POLL_TAKEOVER_STAGGER = std::chrono::seconds(2);

} // namespace

PlatformContact::PlatformContact(const MemberTable& members, bool platformIsCurrent, Duration changeDeadline)
    : m_members(members)
    , m_platformIsCurrent(platformIsCurrent)
    , m_changeDeadline(changeDeadline)
{
}

void PlatformContact::onAnswer(Time now)
{
    m_answeredAt = now;
    m_isLost = false;
}

bool PlatformContact::onUnreachable(Time now)
{
    const bool wasInContact = statedAge(now) <= part(SECOND_LIMIT);
    m_isLost = true;
    return wasInContact;
}

Duration PlatformContact::statedAge(Time now) const
{
    if (m_answeredAt && !m_isLost)
        return age(now);
    return std::max(age(now), part(SECOND_LIMIT + MAX_STAGGER) + Millis { 1 });
}

ZoneContact PlatformContact::latestOfZone(Time now) const
{
    ZoneContact latest { m_members.self(), statedAge(now) };
    for (const auto& [name, member] : m_members.records()) {
        if (member.zone == m_members.zone() && member.state == MemberState::Alive && member.platformAgeNow(now) < latest.age)
            latest = { name, member.platformAgeNow(now) };
    }
    return latest;
}

bool PlatformContact::shouldWatch(Time now) const
{
    return m_platformIsCurrent ? shouldWatchCurrent(now) : shouldPoll(now);
}

std::size_t PlatformContact::membersBefore(Duration limit, Time now) const
{
    const auto& records = m_members.records();
    return static_cast<std::size_t>(std::count_if(records.begin(), records.lower_bound(m_members.self()), [&](const auto& row) {
        const MemberRecord& member = row.second;
        return member.zone == m_members.zone() && member.state == MemberState::Alive && member.platformAgeNow(now) <= limit;
    }));
}

bool PlatformContact::shouldWatchCurrent(Time now) const
{
    if (now - m_start < FIRST_WATCH_DELAY)
        return false;
    const auto pairsBefore = static_cast<std::int64_t>(membersBefore(Duration::max(), now) / WATCHERS_PER_ZONE);
    const std::int64_t stagger = std::min(pairsBefore * STAGGER, MAX_STAGGER);
    return !membersBefore(part(FIRST_LIMIT + stagger), now) || membersBefore(part(SECOND_LIMIT + stagger), now) < WATCHERS_PER_ZONE;
}

Millis PlatformContact::watchWait(Time now) const
{
    return std::chrono::duration_cast<Millis>(part(membersBefore(part(FIRST_LIMIT), now) ? SECOND_WAIT : FIRST_WAIT));
}

bool PlatformContact::shouldPoll(Time now) const
{
    const auto order = static_cast<std::int64_t>(membersBefore(Duration::max(), now) / WATCHERS_PER_ZONE);
    return !order || latestOfZone(now).age > POLL_STALE_TIME + order * POLL_TAKEOVER_STAGGER;
}

} // namespace cornelwind
