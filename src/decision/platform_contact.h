#pragma once

#include "cornelwind/types.h"
#include "member_table.h"

#include <cstddef>
#include <optional>

namespace cornelwind {

/// The most recent contact of an availability zone with the platform.
struct ZoneContact {
    InstanceName instance;
    /// Time since the platform last answered it.
    Duration age {};
};

/// Which entry instances of the availability zone hear from the platform, and whether this one has to watch it.
///
/// An instance is in contact for a limited time after the platform has answered it. Only an answer counts: a call that has just been
/// made, or that waits for changes, may never end. An instance that watches the platform therefore makes calls that end soon, and
/// states the age of its latest answer to its zone after each of them (`Gossip::announceContact`). An instance whose calls fail is
/// out of contact at once.
///
/// With a platform that is always current, two members of a zone watch it: the first in contact by name, whose contact all others
/// check closely, and a second one that takes over if that ends. An instance watches unless two members that sort before it do. So if
/// none of the zone hears from the platform, all try for themselves, also one that hears from no member; and they stop once others
/// before them are in contact. docs/design/platform-contact.md compares this with other designs.
class PlatformContact {
public:
    /// @param members the other entry instances; must outlive this object
    /// @param platformIsCurrent whether the platform always returns its latest values
    /// @param changeDeadline time within which an entry instance that reaches the platform has to follow a change
    PlatformContact(const MemberTable& members, bool platformIsCurrent, Duration changeDeadline);

    /// Sets the time of the start.
    void start(Time now) { m_start = now; }
    /// Records an answer of the platform.
    void onAnswer(Time now);
    /// Records that calls fail. Ends the contact at once.
    ///
    /// @return whether this entry instance was in contact
    bool onUnreachable(Time now);

    /// @return time since the platform last answered this entry instance, or since the start
    Duration age(Time now) const { return now - m_answeredAt.value_or(m_start); }
    /// @return the age to state to members; beyond all limits if the contact has ended
    Duration statedAge(Time now) const;
    /// @return when the platform last answered; empty before the first answer
    std::optional<Time> answeredAt() const { return m_answeredAt; }
    /// @return the member of the availability zone, or this entry instance, that the platform answered last
    ZoneContact latestOfZone(Time now) const;

    /// @return whether this entry instance has to watch the platform
    bool shouldWatch(Time now) const;
    /// @return the longest time that a call of this entry instance may wait for a change
    Millis watchWait(Time now) const;

private:
    /// @return number of live members of the zone that sort before this entry instance and whose contact is not older than `limit`
    std::size_t membersBefore(Duration limit, Time now) const;
    bool shouldWatchCurrent(Time now) const;
    bool shouldPoll(Time now) const;
    Duration part(std::int64_t percent) const { return m_changeDeadline * percent / 100; }

    const MemberTable& m_members;
    bool m_platformIsCurrent;
    Duration m_changeDeadline;
    Time m_start;
    std::optional<Time> m_answeredAt;
    bool m_isLost = false;
};

} // namespace cornelwind
