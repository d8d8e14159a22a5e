#pragma once

#include "cornelwind/types.h"
#include "gossip.h"
#include "member_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cornelwind {

/// Chooses the coordinator of each subject, such as a limited backend server or a workspace with a quota, among the entry instances.
///
/// It is the live instance with the highest hash of subject and instance (rendezvous hashing), so that a change of the members
/// moves only the subjects of those that come or go. A member that does not reply is passed over for `SILENT_TIME`.
///
/// Memory: one entry for each member that does not reply, or that is known but not alive.
class CoordinatorChoice {
public:
    static constexpr Duration REPLY_TIMEOUT = std::chrono::milliseconds(150);
    static constexpr Duration SILENT_TIME = std::chrono::seconds(2);

    CoordinatorChoice(MemberTable& members, const Gossip& gossip)
        : m_members(members)
        , m_gossip(gossip)
    {
    }

    /// Records changes of the members. To be called on each tick.
    void observe(Time now);

    /// @param subject hash of the name of the subject
    /// @return the coordinator, among this entry instance and the members that reply. This instance is left out while it is
    ///     leaving, unless it is the only one.
    InstanceName coordinatorOf(std::uint64_t subject, Time now) const;
    /// @return whether an entry instance is a live member
    bool isLive(const InstanceName& instance) const;
    bool isSelf(const InstanceName& instance) const { return instance == m_members.self(); }

    /// Records that a message was sent to a member that it has to answer.
    void expectReply(const InstanceName& member, Time now) { m_awaitedSince.emplace(member, now); }
    void onReply(const InstanceName& member) { m_awaitedSince.erase(member); }
    /// Ends the time for which a member is passed over, because it replied in time.
    void endSilence(const InstanceName& member);
    /// @return the members that are passed over from now on, because they did not reply in time
    std::vector<InstanceName> passOverSilent(Time now);

    /// @return the part of all known members, dead ones included, that this entry instance can reach
    double reachableShare() const;
    /// @return the same, counting members that were never heard of as not reachable too
    double liveShare() const;
    /// @return number of known entry instances, this one and dead ones included
    std::size_t knownCount() const { return 1 + m_members.records().size(); }
    /// @return whether other members are known, and none of them is live
    bool isIsolated() const { return !m_members.records().empty() && !m_members.liveCount(); }

    /// @return when the live members last changed, as their incarnations show; the start of this entry instance at first
    Time membersChangedAt() const { return m_membersChangedAt; }
    /// @return value that changes with the live members and with those that are suspected or passed over
    std::uint64_t version() const { return 3 * m_membersFingerprint + m_aliveFingerprint + 2 * m_passedOver + m_gossip.leaving(); }
    /// @return since when no member that is alive and replies precedes this entry instance as coordinator; empty if one does
    std::optional<Time> precedesSince(std::uint64_t subject) const;
    /// @return the known members that precede this entry instance and are not live; at most `limit`, the highest first
    std::vector<InstanceName> gonePredecessors(std::uint64_t subject, std::size_t limit) const;
    /// @return when this entry instance started, or went on after it did not run for a while
    Time startedAt() const { return m_startedAt.value_or(Time {}); }
    /// @return the members that are passed over
    std::vector<InstanceName> silentMembers() const;
    /// Forgets since when this entry instance is coordinator, because it did not run for a while and others may have taken its place.
    void restart(Time now) { m_startedAt = now; }

private:
    static std::uint64_t hashOf(std::uint64_t subject, const InstanceName& instance);

    MemberTable& m_members;
    const Gossip& m_gossip;
    /// When the first message was sent to a member that has not replied since.
    std::map<InstanceName, Time> m_awaitedSince;
    /// Members that did not reply, with the time until which they are passed over.
    std::map<InstanceName, Time> m_silentUntil;
    /// Known members that are not alive or passed over, with the time when that was first observed.
    std::map<InstanceName, Time> m_goneSince;
    std::optional<Time> m_startedAt;
    Time m_membersChangedAt;
    /// Of the live members.
    std::uint64_t m_membersFingerprint = 0;
    /// Of the members that are alive and not suspected.
    std::uint64_t m_aliveFingerprint = 0;
    /// Number of times that a member began or ceased to be passed over.
    std::uint64_t m_passedOver = 0;
    Time m_nextObservation;
};

} // namespace cornelwind
