#include "gossip.h"

#include "peer.pb.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::uint32_t PROTOCOL_VERSION = 1;
    // Maximum number of member changes in one ping or acknowledgement.
    constexpr std::size_t UPDATES_PER_MESSAGE = 6;
    // Maximum number of members of other availability zones that `announce` pings.
    constexpr std::size_t ANNOUNCE_REMOTE_FANOUT = 8;
    // Maximum number of members of the own availability zone that `announce` pings.
    constexpr std::size_t ANNOUNCE_ZONE_FANOUT = 64;
    // Maximum time that a starting entry instance waits for the listed members.
    constexpr Duration JOIN_TIMEOUT = std::chrono::seconds(2);
    // Minimum time between two requests for a sheet.
    constexpr Duration SHEET_REQUEST_INTERVAL = std::chrono::milliseconds(300);
    // The upper half of an incarnation is distinct enough, and short in messages.
    constexpr int SEQUENCE_SHIFT = 32;
    // Minimum time between two pings that are sent to confirm the sheet.
    constexpr Duration CONFIRMATION_PING_INTERVAL = std::chrono::milliseconds(300);

    // Age of a contact with the platform that does not count; beyond all limits.
    constexpr Millis NO_CONTACT { std::chrono::hours(1) };

    std::uint32_t toMillis(Duration duration)
    {
        constexpr Duration limit = std::chrono::hours(24 * 30);
        return static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(std::min(duration, limit)).count());
    }

} // namespace

Gossip::Gossip(Identity identity, MemberTable& members, ActiveSheet& activeSheet)
    : m_identity(std::move(identity))
    , m_members(members)
    , m_activeSheet(activeSheet)
    , m_contact(members, m_identity.platformIsCurrent, m_identity.changeDeadline)
    , m_confirmation(m_identity.maxConfirmationAge)
    , m_sequence(m_identity.incarnation.value() >> SEQUENCE_SHIFT)
{
    m_members.setIncarnation(m_identity.incarnation);
}

void Gossip::onTick(Context& context)
{
    if (!m_started) {
        m_started = true;
        m_start = context.now();
        m_contact.start(m_start);
    }
    checkProbeTimeouts(context);
    m_members.expire(context);
    refreshConfirmation(context);
    if (context.now() < m_nextRound)
        return;
    m_nextRound = context.now() + PROBE_INTERVAL;
    startRound(context);
}

void Gossip::startRound(Context& context)
{
    auto& records = m_members.records();
    if (records.empty() || !m_activeSheet.current())
        pingSeeds(context);
    const std::size_t count = std::min(PROBES_PER_ROUND, records.size());
    auto next = records.upper_bound(m_lastProbed);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == records.end())
            next = records.begin();
        probe(next->second, context);
        m_lastProbed = next->first;
        ++next;
    }
}

void Gossip::pingSeeds(Context& context)
{
    for (const Endpoint& seed : m_identity.seeds) {
        if (seed == m_identity.address)
            continue;
        auto message = makePing(++m_sequence, context);
        setSender(*message);
        context.emit(SendPeerMessage { InstanceName {}, seed, std::move(message) });
    }
}

void Gossip::probe(MemberRecord& member, Context& context)
{
    const auto running = [&](const Probe& probe) { return probe.target == member.name; };
    if (std::any_of(m_probes.begin(), m_probes.end(), running))
        return;
    auto message = makePing(++m_sequence, context);
    m_probes.push_back({ m_sequence, member.name, context.now() });
    // Tells a suspected member of the suspicion, so that it can refute it.
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead)
        writeMember(member, *message->mutable_ping()->add_updates());
    send(member, std::move(message), context);
}

void Gossip::checkProbeTimeouts(Context& context)
{
    for (Probe& probe : m_probes) {
        if (!probe.indirect && context.now() - probe.sentAt >= PROBE_TIMEOUT)
            probeIndirectly(probe, context);
    }
    std::erase_if(m_probes, [&](const Probe& probe) {
        if (context.now() - probe.sentAt < 3 * PROBE_TIMEOUT)
            return false;
        if (MemberRecord* member = m_members.find(probe.target))
            m_members.suspect(*member, context);
        return true;
    });
}

void Gossip::refreshConfirmation(Context& context)
{
    if (!m_confirmation.needsRefresh(context.now()) || context.now() < m_nextConfirmationPing)
        return;
    m_nextConfirmationPing = context.now() + CONFIRMATION_PING_INTERVAL;
    if (MemberRecord* member = m_members.find(m_contact.latestOfZone(context.now()).instance))
        probe(*member, context);
}

// The member made the acknowledgement after the ping was sent, however late it arrives. It knows each sheet that was acknowledged
// before the time that it states, and so does this instance if it has the same sheet or a later one.
void Gossip::confirmBy(const peer::Ack& ack, Time pingSentAt, Time now)
{
    const SheetVersion own = m_activeSheet.current() ? m_activeSheet.current()->version : SheetVersion {};
    if (ack.has_confirmation_age_ms() && SheetVersion { ack.sheet().version() } <= own)
        m_confirmation.confirm(pingSentAt, -Millis { ack.confirmation_age_ms() }, now);
}

void Gossip::probeIndirectly(Probe& probe, Context& context)
{
    probe.indirect = true;
    if (MemberRecord* target = m_members.find(probe.target))
        target->answersDirectly = false;
    auto relays = m_members.live();
    std::erase_if(relays, [&](const MemberRecord* member) { return member->name == probe.target; });
    for (std::size_t i = 0; i < INDIRECT_PROBES && !relays.empty(); ++i) {
        const std::size_t chosen = context.random() % relays.size();
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_ping_request()->set_sequence(probe.sequence);
        message->mutable_ping_request()->set_target(probe.target.value());
        send(*relays[chosen], std::move(message), context);
        relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

MemberRecord* Gossip::onMessage(const peer::Envelope& message, Context& context)
{
    MemberRecord* sender = m_members.mergeSender(message.from(), context);
    if (!sender)
        return nullptr;
    if (message.has_ping())
        onPing(message.ping(), *sender, context);
    else if (message.has_ack())
        onAck(message.ack(), *sender, context);
    else if (message.has_ping_request())
        onPingRequest(message.ping_request(), *sender, context);
    return sender;
}

void Gossip::onPing(const peer::Ping& ping, MemberRecord& sender, Context& context)
{
    mergePiggyback(ping, sender, context);
    // A ping sent on behalf of another member is acknowledged to that member.
    const MemberRecord* requester = ping.requested_by().empty() ? &sender : m_members.find(InstanceName { ping.requested_by() });
    auto reply = std::make_shared<peer::Envelope>();
    fillPiggyback(*reply->mutable_ack(), context);
    reply->mutable_ack()->set_sequence(ping.requested_by().empty() ? ping.sequence() : ping.requested_sequence());
    if (const auto age = m_confirmation.age(context.now()); age && m_confirmation.isRequired())
        reply->mutable_ack()->set_confirmation_age_ms(toMillis(*age) + 1);
    if (requester)
        send(*requester, reply, context);
    // That member may be unreachable from here, so the member that sent the ping gets the acknowledgement too.
    if (requester != &sender)
        send(sender, std::make_shared<peer::Envelope>(*reply), context);
}

void Gossip::onAck(const peer::Ack& ack, MemberRecord& sender, Context& context)
{
    mergePiggyback(ack, sender, context);
    std::erase_if(m_probes, [&](const Probe& probe) {
        if (probe.sequence != ack.sequence())
            return false;
        // Another member may use the same number for a ping of its own.
        if (sender.name == probe.target) {
            confirmBy(ack, probe.sentAt, context.now());
            sender.answersDirectly = !probe.indirect;
        }
        return true;
    });
}

void Gossip::onPingRequest(const peer::PingRequest& request, MemberRecord& sender, Context& context)
{
    MemberRecord* target = m_members.find(InstanceName { request.target() });
    if (!target)
        return;
    auto message = makePing(++m_sequence, context);
    message->mutable_ping()->set_requested_by(sender.name.value());
    message->mutable_ping()->set_requested_sequence(request.sequence());
    send(*target, std::move(message), context);
    // If the target has sent a message recently, acknowledges on its behalf, so that the sender need not wait for it.
    if (context.now() - target->lastHeard > PROBE_INTERVAL || target->state != MemberState::Alive)
        return;
    auto reply = std::make_shared<peer::Envelope>();
    fillPiggyback(*reply->mutable_ack(), context);
    reply->mutable_ack()->set_sequence(request.sequence());
    send(sender, std::move(reply), context);
}

std::shared_ptr<peer::Envelope> Gossip::makePing(std::uint64_t sequence, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_ping()->set_sequence(sequence);
    fillPiggyback(*message->mutable_ping(), context);
    return message;
}

template <typename Message>
void Gossip::fillPiggyback(Message& message, Context& context)
{
    for (peer::Member& update : m_members.takeUpdates(UPDATES_PER_MESSAGE))
        *message.add_updates() = std::move(update);
    message.set_platform_age_ms(toMillis(m_contact.statedAge(context.now())));
    message.set_servers_revision(m_serversPosition.revision.value());
    message.set_servers_era(m_serversPosition.era.value());
    if (!m_activeSheet.current())
        return;
    message.mutable_sheet()->set_version(m_activeSheet.current()->version.value());
    message.mutable_sheet()->set_hash(m_activeSheet.current()->hash.value());
}

template <typename Message>
void Gossip::mergePiggyback(const Message& message, MemberRecord& sender, Context& context)
{
    for (const peer::Member& update : message.updates())
        m_members.merge(update, context);
    const StorePosition position { StoreEra { message.servers_era() }, StoreRevision { message.servers_revision() } };
    // The changes that a member of an earlier era tells of do not count here, so its contact is none.
    sender.platformAge = position.era < m_serversPosition.era ? NO_CONTACT : Millis { message.platform_age_ms() };
    sender.platformAgeAt = context.now();
    if (position.revision.value() && position >= m_latestPeerPosition) {
        m_latestPeerPosition = position;
        m_latestPositionPeer = sender.name;
    }
    const SheetVersion version { message.sheet().version() };
    if (!m_activeSheet.shouldRequest(version, SheetHash { message.sheet().hash() }, sender.name.value(), context))
        return;
    if (context.now() - m_sheetRequestedAt < SHEET_REQUEST_INTERVAL)
        return;
    m_sheetRequestedAt = context.now();
    auto request = std::make_shared<peer::Envelope>();
    request->mutable_sheet_request();
    send(sender, std::move(request), context);
}

void Gossip::announce(Context& context)
{
    // Pings all members of the own availability zone, up to the limit, and some members of other zones, which spread
    // the update there.
    auto members = m_members.live();
    const auto firstRemote = std::stable_partition(members.begin(), members.end(), [this](const MemberRecord* member) { return member->zone == m_identity.zone; });
    const std::size_t zoneCount = std::min<std::size_t>(static_cast<std::size_t>(firstRemote - members.begin()), ANNOUNCE_ZONE_FANOUT);
    for (std::size_t i = 0; i < zoneCount; ++i)
        send(*members[i], makePing(++m_sequence, context), context);
    std::vector<MemberRecord*> remote(firstRemote, members.end());
    for (std::size_t i = 0; i < ANNOUNCE_REMOTE_FANOUT && !remote.empty(); ++i) {
        const std::size_t chosen = context.random() % remote.size();
        send(*remote[chosen], makePing(++m_sequence, context), context);
        remote.erase(remote.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Gossip::announceContact(Context& context)
{
    if (!m_identity.platformIsCurrent || m_announcedContact == m_contact.answeredAt())
        return;
    m_announcedContact = m_contact.answeredAt();
    for (const MemberRecord* member : m_members.live()) {
        if (member->zone == m_identity.zone)
            send(*member, makePing(++m_sequence, context), context);
    }
}

void Gossip::send(const MemberRecord& to, std::shared_ptr<peer::Envelope> message, Context& context)
{
    setSender(*message);
    context.emit(SendPeerMessage { to.name, m_members.addressOf(to), std::move(message) });
}

void Gossip::sendToSubset(const peer::Envelope& message, std::size_t limit, Context& context)
{
    auto members = m_members.live();
    while (members.size() > limit)
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(context.random() % members.size()));
    for (const MemberRecord* member : members)
        send(*member, std::make_shared<peer::Envelope>(message), context);
}

void Gossip::setSender(peer::Envelope& message) const
{
    message.set_version(PROTOCOL_VERSION);
    peer::Member& self = *message.mutable_from();
    self.set_name(m_identity.name.value());
    self.set_zone(m_identity.zone.value());
    self.set_address(toString(m_identity.address));
    self.set_incarnation(m_identity.incarnation.value());
    self.set_refutation(m_members.refutation());
    self.set_state(static_cast<std::uint32_t>(m_leaving ? MemberState::Leaving : MemberState::Alive));
}

void Gossip::platformUnreachable(Context& context)
{
    if (m_contact.onUnreachable(context.now()) && m_identity.platformIsCurrent)
        announce(context);
}

bool Gossip::joined(Time now) const
{
    if (!m_started)
        return false;
    if (m_identity.platformIsCurrent || now - m_start >= JOIN_TIMEOUT)
        return true;
    const auto& records = m_members.records();
    const bool known = m_members.hasPlatformList();
    return known && std::none_of(records.begin(), records.end(), [](const auto& row) { return row.second.state == MemberState::Listed; });
}

} // namespace cornelwind
