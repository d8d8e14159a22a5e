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

/// What is known of one other entry instance.
struct MemberRecord {
    InstanceName name;
    ZoneName zone;
    Endpoint address;
    /// Random identifier of its current start.
    Incarnation incarnation;
    /// Number that the member raises to refute a suspicion.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Listed;
    /// Whether the latest list of the platform contains it.
    bool listed = false;
    /// Whether it answers the pings of this entry instance directly, without the help of another member.
    bool answersDirectly = true;
    /// When the latest message from it arrived.
    Time lastHeard;
    /// When the suspicion ends, or when a dead member may be removed from the table.
    Time stateExpiresAt;
    /// Time since the platform last answered it, as it reported at `platformAgeAt`; unknown before its first report.
    Duration platformAge { std::chrono::hours(1) };
    Time platformAgeAt;

    /// @return time since the platform last answered it, if it has had no answer since the report
    Duration platformAgeNow(Time now) const { return platformAge + (now - platformAgeAt); }

    /// Whether a message of the current incarnation has arrived; otherwise it is known from reports only.
    bool wasHeard = false;
    /// Earlier incarnations, oldest first. Messages that name one of them are ignored.
    std::deque<Incarnation> pastIncarnations;
    /// Number of messages that still have to carry the latest state change.
    std::uint32_t pendingTransmissions = 0;
};

/// The other entry instances by name, with the merge rules for updates about them (SWIM, Das et al. 2002).
///
/// A random incarnation distinguishes one start of an entry instance from
/// another. Within one incarnation the update with the higher refutation number
/// wins; at the same number the later state in the order of `MemberState` wins.
///
/// Memory: one record for each listed entry instance, and for each unlisted one from
/// the first message from or about it until a minute after it is declared dead.
class MemberTable final : public PeerDirectory {
public:
    /// @param self name of this entry instance
    /// @param zone its availability zone
    /// @param routes addresses that replace those of some members
    MemberTable(InstanceName self, ZoneName zone, const std::vector<PeerRoute>& routes);

    /// Merges what the sender of a message states about itself.
    ///
    /// @return its record, or null if the message is to be ignored: it is malformed, it comes from a past
    ///     incarnation or from this entry instance, or the table is full
    MemberRecord* mergeSender(const peer::Member& sender, Context& context);

    /// Merges what a member reports about another one or about this entry instance.
    void merge(const peer::Member& update, Context& context);

    /// Replaces the list of entry instances that the platform publishes.
    void onListed(const InstancesListed& event, Context& context);

    /// Marks a member as suspected if it was alive or leaving.
    void suspect(MemberRecord& member, Context& context);

    /// Declares members dead whose suspicion has timed out, and removes dead unlisted members after a minute.
    void expire(Context& context);

    /// Counts one transmission for each returned change.
    ///
    /// @return at most `limit` members whose latest state change still has to be sent
    std::vector<peer::Member> takeUpdates(std::size_t limit);

    /// @return the record, or null if the name is unknown
    MemberRecord* find(const InstanceName& name);
    std::optional<Endpoint> endpointOf(const InstanceName& name, Incarnation incarnation) const override;
    /// @return the configured route to the member, or its own address if there is none
    const Endpoint& addressOf(const MemberRecord& member) const;

    /// @return whether evidence from that entry instance is accepted: it is listed, or no list is known yet
    bool acceptsEvidenceFrom(const InstanceName& name) const;

    /// @return the members that are alive or suspected, sorted by name
    std::vector<MemberRecord*> live();
    /// @return number of alive or suspected members, without this entry instance
    std::size_t liveCount() const;
    /// @return number of live members whose names sort before that of this entry instance
    std::uint32_t rank() const;
    /// @return the same as `rank`, counting only members of the own availability zone
    std::uint32_t zoneRank() const;
    /// @return number of live members of the own availability zone, without this entry instance
    std::uint32_t zoneLiveCount() const;
    /// @return number of listed entry instances, including this one
    std::size_t listedCount() const;
    /// @return number of listed entry instances that are live, including this one
    std::size_t listedLiveCount() const;

    std::map<InstanceName, MemberRecord>& records() { return m_members; }
    const std::map<InstanceName, MemberRecord>& records() const { return m_members; }
    const InstanceName& self() const { return m_self; }
    const ZoneName& zone() const { return m_zone; }

    /// @return the refutation number of this entry instance
    std::uint32_t refutation() const { return m_refutation; }
    void setIncarnation(Incarnation incarnation) { m_incarnation = incarnation; }
    Incarnation incarnation() const { return m_incarnation; }
    /// @return whether the platform has published a list of entry instances since the start
    bool hasPlatformList() const { return m_hasPlatformList; }

private:
    /// Sets the state; if it changes, reports the change and schedules its transmissions.
    void setState(MemberRecord& member, MemberState state, const char* why, Context& context);
    /// Remembers the incarnation of a record as past, so that its messages are ignored.
    static void markPast(MemberRecord& member);
    /// Resets a record for another incarnation.
    void beginIncarnation(MemberRecord& member, Incarnation incarnation);
    /// Raises the own refutation number if the update suspects this entry instance or declares it dead.
    void refute(const peer::Member& update);

    InstanceName m_self;
    ZoneName m_zone;
    Incarnation m_incarnation;
    std::uint32_t m_refutation = 0;
    bool m_hasPlatformList = false;
    bool m_selfListed = false;
    std::map<InstanceName, MemberRecord> m_members;
    std::map<InstanceName, Endpoint> m_routes;
};

/// Writes the record of a member into a message.
void writeMember(const MemberRecord& record, peer::Member& member);

} // namespace cornelwind
