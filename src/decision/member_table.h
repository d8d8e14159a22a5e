#pragma once

#include "context.h"
#include "cornelwind/event.h"
#include "cornelwind/membership.h"
#include "cornelwind/settings.h"
#include "peer_directory.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

namespace peer {
    class Member;
}

/// Another entry instance.
struct MemberRecord {
    InstanceName name;
    ZoneName zone;
    Endpoint address;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Listed;
    bool listed = false;
    /// Pings of this entry instance are answered without a detour.
    bool direct = true;
    Time lastHeard;
    /// When the suspicion, or the memory of a dead member, ends.
    Time stateUntil;
    Duration platformAge {};
    Time platformAgeAt;

    /// @return time since it reached the platform; who waits for changes there says zero, until it says otherwise
    Duration platformAgeNow(Time now) const { return platformAge > Duration {} ? platformAge + (now - platformAgeAt) : Duration {}; }

    std::deque<Incarnation> past;
    /// Sends of the latest change that are still due.
    std::uint32_t gossipLeft = 0;
};

/// The other entry instances, by name, and the rules by which news of them are merged (SWIM, Das et al. 2002).
///
/// A start of an entry instance is told from the previous one by its random
/// incarnation; within one incarnation the larger refutation number wins, and
/// at the same number the worse state wins.
/// Memory: one record for each listed entry instance and for each that was heard of within a minute.
class MemberTable final : public PeerDirectory {
public:
    /// @param routes other addresses to reach members under
    MemberTable(InstanceName self, ZoneName zone, const std::vector<PeerRoute>& routes);

    /// Merges what a member says of itself.
    ///
    /// @return the record, or null if the message is of a past incarnation or of this entry instance
    MemberRecord* heardFrom(const peer::Member& sender, Context& context);

    /// Merges what a member says of others.
    void merge(const peer::Member& update, Context& context);

    /// Replaces the platform's list.
    void onListed(const InstancesListed& event, Context& context);

    void suspect(MemberRecord& member, Context& context);

    /// Ends suspicions and forgets dead members.
    void expire(Context& context);

    /// @return up to `most` changes that still have to spread
    std::vector<peer::Member> takeUpdates(std::size_t most);

    MemberRecord* find(const InstanceName& name);
    std::optional<Endpoint> reach(const InstanceName& name, Incarnation incarnation) const override;
    /// @return the address to send to
    const Endpoint& addressOf(const MemberRecord& member) const;

    /// @return whether the word of an entry instance counts
    bool counts(const InstanceName& name) const;

    /// @return the members that take part, sorted by name
    std::vector<MemberRecord*> live();
    std::size_t liveCount() const;
    /// @return position of this entry instance among itself and the live members
    std::uint32_t rank() const;
    /// @return the same among those of the own availability zone
    std::uint32_t zoneRank() const;
    std::uint32_t zoneLiveCount() const;
    /// @return number of listed entry instances, and of those that are live, both with this one
    std::size_t listedCount() const;
    std::size_t listedLiveCount() const;

    std::map<InstanceName, MemberRecord>& records() { return m_members; }
    const std::map<InstanceName, MemberRecord>& records() const { return m_members; }
    const InstanceName& self() const { return m_self; }
    const ZoneName& zone() const { return m_zone; }

    /// Own number by which suspicions are refuted.
    std::uint32_t refutation() const { return m_refutation; }
    void setIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }
    Incarnation incarnation() const { return m_incarnation; }
    bool listKnown() const { return m_listKnown; }

private:
    void change(MemberRecord& member, MemberState state, const char* why, Context& context);
    void restart(MemberRecord& member, Incarnation incarnation);
    void refute(const peer::Member& update);

    InstanceName m_self;
    ZoneName m_zone;
    Incarnation m_incarnation;
    std::uint32_t m_refutation = 0;
    bool m_listKnown = false;
    bool m_selfListed = false;
    std::map<InstanceName, MemberRecord> m_members;
    std::map<InstanceName, Endpoint> m_routes;
};

/// Writes what is known of a member.
void writeMember(const MemberRecord& record, peer::Member& member);

} // namespace cornelwind
