#pragma once

#include "context.h"
#include "member_table.h"
#include "sheet_keeper.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

namespace peer {
    class Ack;
    class Envelope;
    class Ping;
    class PingRequest;
}

/// Finds out which members answer, and spreads member changes and sheet stamps on the way.
///
/// Messages: at most `PROBES_PER_ROUND` pings a round, each with a bounded
/// number of member changes, whatever the size of the fleet.
class Gossip {
public:
    struct Identity {
        InstanceName name;
        ZoneName zone;
        Endpoint address;
        Incarnation incarnation;
        std::vector<Endpoint> seeds;
        /// The platform answers with its latest values, so that a start need not ask the members first.
        bool platformIsCurrent = false;
    };

    Gossip(Identity identity, MemberTable& members, SheetKeeper& sheets);

    void onTick(Context& context);

    /// Merges the sender of a message, then handles it if it is of this module.
    ///
    /// @return the sender, or null if the message is to be ignored
    MemberRecord* onMessage(const peer::Envelope& message, Context& context);

    /// Sends a message to a member, with this entry instance as the sender.
    void send(const MemberRecord& to, std::shared_ptr<peer::Envelope> message, Context& context);

    /// Sends a message to the live members; where there are more than `most`, to that many of them at random.
    void sendToSome(const peer::Envelope& message, std::size_t most, Context& context);

    /// Names this entry instance as the sender.
    void sign(peer::Envelope& message) const;

    /// Pings many members at once, because the sheet or the own state changed.
    void announce(Context& context);

    /// Says what is known of the published servers from now on.
    void setServersRevision(StoreRevision revision) { m_serversRevision = revision; }
    /// @return the latest revision that a member told, and who
    StoreRevision newestRevision() const { return m_newestRevision; }
    const InstanceName& newestRevisionFrom() const { return m_newestRevisionFrom; }

    void setSeeds(std::vector<Endpoint> seeds) { m_identity.seeds = std::move(seeds); }
    void setLeaving() { m_leaving = true; }
    bool leaving() const { return m_leaving; }

    void platformAnswered(Time now);
    /// @param follows whether this entry instance has a call at the platform that waits for changes
    void setFollowing(bool follows, Context& context);
    /// @return whether this entry instance is among those that watch the platform
    bool shouldWatch(Time now) const;
    /// @return whether every listed member and seed answered, or the time to wait for them is over
    bool joined(Time now) const;
    Duration platformAge(Time now) const { return m_following ? Duration {} : now - m_platformAt; }

private:
    struct Probe {
        std::uint64_t sequence;
        InstanceName target;
        Time sentAt;
        bool indirect = false;
    };

    std::shared_ptr<peer::Envelope> makePing(std::uint64_t sequence, Context& context);
    template <typename Message>
    void fillNews(Message& message, Context& context);
    template <typename Message>
    void takeNews(const Message& message, MemberRecord& sender, Context& context);
    void startRound(Context& context);
    void checkProbes(Context& context);
    void probe(MemberRecord& member, Context& context);
    void askOthers(Probe& probe, Context& context);
    void pingSeeds(Context& context);
    void onPing(const peer::Ping& ping, MemberRecord& sender, Context& context);
    void onAck(const peer::Ack& ack, MemberRecord& sender, Context& context);
    void onPingRequest(const peer::PingRequest& request, MemberRecord& sender, Context& context);

    Identity m_identity;
    MemberTable& m_members;
    SheetKeeper& m_sheets;
    std::vector<Probe> m_probes;
    InstanceName m_cursor;
    std::uint64_t m_sequence = 0;
    Time m_start;
    Time m_nextRound;
    Time m_platformAt;
    Time m_sheetAskedAt;
    StoreRevision m_serversRevision;
    StoreRevision m_newestRevision;
    InstanceName m_newestRevisionFrom;
    bool m_leaving = false;
    bool m_started = false;
    bool m_following = false;
};

} // namespace cornelwind
