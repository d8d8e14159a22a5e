#include "zone_broadcast.h"

#include "peer.pb.h"

#include <map>
#include <memory>
#include <vector>

namespace cornelwind {
namespace {

    constexpr std::uint64_t SEQUENCE_WINDOW = 64;

    using MembersByZone = std::map<ZoneName, std::vector<MemberRecord*>>;

    /// Sends a message to members chosen at random.
    void sendToSome(std::vector<MemberRecord*> members, std::size_t limit, const peer::Envelope& message, Gossip& gossip, Context& context)
    {
        while (members.size() > limit)
            members.erase(members.begin() + static_cast<std::ptrdiff_t>(context.random() % members.size()));
        for (const MemberRecord* member : members)
            gossip.send(*member, std::make_shared<peer::Envelope>(message), context);
    }

} // namespace

ZoneBroadcast::ZoneBroadcast(MemberTable& members, Gossip& gossip)
    : m_members(members)
    , m_gossip(gossip)
{
}

void ZoneBroadcast::send(peer::Envelope& message, Context& context)
{
    if (m_members.liveCount() <= MAX_DIRECT_PEERS)
        return m_gossip.sendToSubset(message, MAX_DIRECT_PEERS, context);
    message.mutable_broadcast()->set_origin(m_members.incarnation().value());
    message.mutable_broadcast()->set_sequence(++m_sequence);
    sendToZone(message, context);
    sendToRelays(message, context);
}

void ZoneBroadcast::sendToZone(const peer::Envelope& message, Context& context)
{
    std::vector<MemberRecord*> members = m_members.live();
    std::erase_if(members, [this](const MemberRecord* member) { return member->zone != m_members.zone(); });
    sendToSome(std::move(members), MAX_ZONE_PEERS, message, m_gossip, context);
}

void ZoneBroadcast::sendToRelays(peer::Envelope& message, Context& context)
{
    MembersByZone zones;
    for (MemberRecord* member : m_members.live()) {
        if (member->zone != m_members.zone())
            zones[member->zone].push_back(member);
    }
    message.mutable_broadcast()->set_relay(true);
    for (auto& [zone, members] : zones)
        sendToSome(std::move(members), RELAYS_PER_ZONE, message, m_gossip, context);
}

bool ZoneBroadcast::receive(const peer::Envelope& message, Context& context)
{
    if (!message.has_broadcast())
        return true;
    const peer::Broadcast& broadcast = message.broadcast();
    if (broadcast.origin() == m_members.incarnation().value() || !record(broadcast.origin(), broadcast.sequence(), context.now()))
        return false;
    if (!broadcast.relay())
        return true;
    peer::Envelope copy = message;
    copy.mutable_broadcast()->set_relay(false);
    sendToZone(copy, context);
    return true;
}

bool ZoneBroadcast::record(std::uint64_t origin, std::uint64_t sequence, Time now)
{
    Origin& row = m_origins[origin];
    row.lastReceived = now;
    if (sequence > row.highestSequence) {
        const std::uint64_t ahead = sequence - row.highestSequence;
        row.received = ahead < SEQUENCE_WINDOW ? row.received << ahead : 0;
        row.received |= 1;
        row.highestSequence = sequence;
        return true;
    }
    const std::uint64_t behind = row.highestSequence - sequence;
    if (behind >= SEQUENCE_WINDOW || (row.received >> behind & 1))
        return false;
    row.received |= std::uint64_t { 1 } << behind;
    return true;
}

void ZoneBroadcast::expire(Time now)
{
    std::erase_if(m_origins, [now](const auto& row) { return now - row.second.lastReceived > ROW_LIFETIME; });
}

} // namespace cornelwind
