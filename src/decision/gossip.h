#pragma once

#include "active_sheet.h"
#include "context.h"
#include "member_table.h"
#include "platform_contact.h"
#include "workspaces/configuration_confirmation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

namespace peer {
    class Ack;
    class Envelope;
    class Ping;
    class PingRequest;
}

/// Detects which members answer, and spreads member changes and the version of the sheet with the pings.
///
/// Each round sends at most `PROBES_PER_ROUND` pings with a bounded number of
/// member changes each, whatever the size of the fleet. Further pings go out for
/// a member that did not answer, to the seeds, and on `announce`.
class Gossip {
public:
    /// What this entry instance states about itself, and how it finds others.
    struct Identity {
        InstanceName name;
        ZoneName zone;
        Endpoint address;
        Incarnation incarnation;
        /// Addresses to ping while no member or no sheet is known.
        std::vector<Endpoint> seeds;
        /// Whether the platform always returns its latest values, so that a starting entry instance need not
        /// wait for the answers of members.
        bool platformIsCurrent = false;
        /// See `Settings::changeDeadline`.
        Duration changeDeadline {};
        /// Oldest confirmation of the sheet with which API keys are accepted; see `ConfigurationConfirmation`.
        std::optional<Duration> maxConfirmationAge {};
    };

    Gossip(Identity identity, MemberTable& members, ActiveSheet& activeSheet);

    /// Handles probe timeouts and suspicions; starts a round of pings when one is due.
    void onTick(Context& context);

    /// Merges what a message states about its sender, then handles the message if it is a ping, an
    /// acknowledgement or a ping request.
    ///
    /// @return the sender, or null if the message is to be ignored
    MemberRecord* onMessage(const peer::Envelope& message, Context& context);

    /// Sends a message to a member; sets this entry instance as the sender.
    void send(const MemberRecord& to, std::shared_ptr<peer::Envelope> message, Context& context);

    /// Sends a message to all live members, or to `limit` of them chosen at random if there are more.
    void sendToSubset(const peer::Envelope& message, std::size_t limit, Context& context);

    /// Sets the protocol version and this entry instance as the sender.
    void setSender(peer::Envelope& message) const;

    /// Pings many members at once, so that a new sheet or state of this entry instance spreads without delay.
    void announce(Context& context);
    /// Tells the availability zone of an answer of the platform, if there was one since the last call and the platform is always
    /// current; the members of other platforms check the contact seldom.
    void announceContact(Context& context);

    /// Sets the position of the published servers that messages state from now on.
    void setServersPosition(StorePosition position) { m_serversPosition = position; }
    /// @return the latest position of the published servers that any member has stated
    StorePosition latestPeerPosition() const { return m_latestPeerPosition; }
    /// @return the member that stated it last, which is the likeliest to answer
    const InstanceName& latestPositionPeer() const { return m_latestPositionPeer; }

    void setSeeds(std::vector<Endpoint> seeds) { m_identity.seeds = std::move(seeds); }
    /// States `MemberState::Leaving` in all messages from now on.
    void setLeaving() { m_leaving = true; }
    bool leaving() const { return m_leaving; }

    /// Records that the platform answered at `now`.
    void platformAnswered(Time now) { m_contact.onAnswer(now); }
    /// Records that calls to the platform fail, and announces the end of the contact.
    void platformUnreachable(Context& context);
    /// @return which entry instances of the availability zone are in contact with the platform
    const PlatformContact& contact() const { return m_contact; }
    /// Records that every sheet that the platform acknowledged before `held` after `calledAt` is known here.
    void confirmSheet(Time calledAt, Duration held, Time now) { m_confirmation.confirm(calledAt, held, now); }
    /// @return up to when the sheet here is known to be the latest
    const ConfigurationConfirmation& confirmation() const { return m_confirmation; }
    /// Counts a time in which the system was suspended toward the age of the confirmation, and of calls and pings under way.
    void onSuspended(Duration time, Time now) { m_confirmation.onSuspended(time, now); }
    /// @return whether the start is complete: each entry instance that the platform lists has been heard of, or
    ///     the platform is always current, or the time to wait for them is over
    bool joined(Time now) const;

private:
    /// A ping that awaits its acknowledgement.
    struct Probe {
        std::uint64_t sequence;
        InstanceName target;
        Time sentAt;
        /// Whether other members have been asked to ping the target.
        bool indirect = false;
    };

    std::shared_ptr<peer::Envelope> makePing(std::uint64_t sequence, Context& context);
    /// Adds member changes, the platform age and the revisions to a ping or acknowledgement.
    template <typename Message>
    void fillPiggyback(Message& message, Context& context);
    /// Merges what `fillPiggyback` added at the sender; requests its sheet if it is newer.
    template <typename Message>
    void mergePiggyback(const Message& message, MemberRecord& sender, Context& context);
    void startRound(Context& context);
    /// Asks other members to ping a target that did not answer. Marks it as suspected if they get no answer either.
    void checkProbeTimeouts(Context& context);
    void probe(MemberRecord& member, Context& context);
    /// Pings the member that has heard from the platform last, if the confirmation of the sheet grows old.
    void refreshConfirmation(Context& context);
    /// Confirms the sheet by what the target of a ping states in reply.
    void confirmBy(const peer::Ack& ack, Time pingSentAt, Time now);
    void probeIndirectly(Probe& probe, Context& context);
    void pingSeeds(Context& context);
    void onPing(const peer::Ping& ping, MemberRecord& sender, Context& context);
    void onAck(const peer::Ack& ack, MemberRecord& sender, Context& context);
    void onPingRequest(const peer::PingRequest& request, MemberRecord& sender, Context& context);

    Identity m_identity;
    MemberTable& m_members;
    ActiveSheet& m_activeSheet;
    PlatformContact m_contact;
    ConfigurationConfirmation m_confirmation;
    Time m_nextConfirmationPing;
    /// Answer of the platform that the zone was told of last.
    std::optional<Time> m_announcedContact;
    std::vector<Probe> m_probes;
    /// Target of the latest probe; the next round continues after it by name.
    InstanceName m_lastProbed;
    /// Sequence number of the latest ping. It starts at the incarnation, so that no acknowledgement of a ping of an earlier start
    /// matches.
    std::uint64_t m_sequence;
    Time m_start;
    Time m_nextRound;
    Time m_sheetRequestedAt;
    StorePosition m_serversPosition;
    StorePosition m_latestPeerPosition;
    InstanceName m_latestPositionPeer;
    bool m_leaving = false;
    bool m_started = false;
};

} // namespace cornelwind
