#pragma once

#include "context.h"
#include "gossip.h"
#include "member_table.h"

#include <cstdint>
#include <unordered_map>

namespace cornelwind {

/// Sends a message to all members, with few messages between availability zones.
///
/// A fleet of up to `MAX_DIRECT_PEERS` other members gets the message directly. In a larger one, members of the own availability zone
/// get it directly, and `RELAYS_PER_ZONE` members of each other zone forward it to theirs. A copy that arrives by the other relay is
/// dropped. docs/design/zone-broadcast.md compares this with other designs.
///
/// Messages: one for each member, another one in other zones for each further relay, and `RELAYS_PER_ZONE` for each other zone
/// between zones. A zone of more than `MAX_ZONE_PEERS` members gets that many, chosen at random.
/// Memory: one row for each start of a member that has sent a message within `ROW_LIFETIME`.
class ZoneBroadcast {
public:
    static constexpr std::size_t MAX_DIRECT_PEERS = 32;
    static constexpr std::size_t MAX_ZONE_PEERS = 64;
    /// One may be dead or frozen without being known as such.
    static constexpr std::size_t RELAYS_PER_ZONE = 2;
    static constexpr Duration ROW_LIFETIME = std::chrono::seconds(10);

    ZoneBroadcast(MemberTable& members, Gossip& gossip);

    /// Sends a message to all members.
    void send(peer::Envelope& message, Context& context);
    /// Forwards a received message if it asks for that.
    ///
    /// @return whether the message is new here; a copy is to be ignored
    bool receive(const peer::Envelope& message, Context& context);
    /// Forgets members that have sent nothing for a time.
    void expire(Time now);

private:
    /// The latest messages of one start of a member.
    struct Origin {
        std::uint64_t highestSequence = 0;
        /// Bit i is set if the message `highestSequence - i` has arrived.
        std::uint64_t received = 0;
        Time lastReceived;
    };

    void sendToZone(const peer::Envelope& message, Context& context);
    void sendToRelays(peer::Envelope& message, Context& context);
    /// @return false if the message has arrived before
    bool record(std::uint64_t origin, std::uint64_t sequence, Time now);

    MemberTable& m_members;
    Gossip& m_gossip;
    std::uint64_t m_sequence = 0;
    /// By the incarnation of the sender.
    std::unordered_map<std::uint64_t, Origin> m_origins;
};

} // namespace cornelwind
