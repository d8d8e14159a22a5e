#include "gossip.h"

#include "peer.pb.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::uint32_t PROTOCOL_VERSION = 1;
    constexpr std::size_t UPDATES_PER_MESSAGE = 6;
    constexpr std::size_t ANNOUNCE_FANOUT = 8;
    constexpr std::size_t ANNOUNCE_ZONE = 64;
    constexpr Duration JOIN_TIME = std::chrono::seconds(2);
    constexpr Duration SHEET_ASK_INTERVAL = std::chrono::milliseconds(300);
    // A zone whose watchers reached the platform this long ago gets another watcher.
    constexpr Duration PLATFORM_STALE = std::chrono::seconds(4);
    constexpr Duration WATCH_STAGGER = std::chrono::seconds(2);

    // Members are known by then, so that not everyone begins to watch.
    constexpr Duration FIRST_WATCH = std::chrono::milliseconds(500);
    constexpr Duration FOLLOW_STALE = std::chrono::milliseconds(1200);
    constexpr Duration FOLLOW_STAGGER = std::chrono::milliseconds(200);

    std::uint32_t millisOf(Duration duration)
    {
        constexpr Duration most = std::chrono::hours(24 * 30);
        return static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(std::min(duration, most)).count());
    }

} // namespace

Gossip::Gossip(Identity identity, MemberTable& members, SheetKeeper& sheets)
    : m_identity(std::move(identity))
    , m_members(members)
    , m_sheets(sheets)
{
    m_members.setIncarnation(m_identity.incarnation);
}

void Gossip::onTick(Context& context)
{
    if (!m_started) {
        m_started = true;
        m_start = context.now();
        m_platformAt = context.now();
    }
    checkProbes(context);
    m_members.expire(context);
    if (context.now() < m_nextRound)
        return;
    m_nextRound = context.now() + PROBE_INTERVAL;
    startRound(context);
}

void Gossip::startRound(Context& context)
{
    auto& records = m_members.records();
    if (records.empty() || !m_sheets.current())
        pingSeeds(context);
    const std::size_t count = std::min(PROBES_PER_ROUND, records.size());
    auto next = records.upper_bound(m_cursor);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == records.end())
            next = records.begin();
        probe(next->second, context);
        m_cursor = next->first;
        ++next;
    }
}

void Gossip::pingSeeds(Context& context)
{
    for (const Endpoint& seed : m_identity.seeds) {
        if (seed == m_identity.address)
            continue;
        auto message = makePing(++m_sequence, context);
        sign(*message);
        context.emit(SendPeer { InstanceName {}, seed, std::move(message) });
    }
}

void Gossip::probe(MemberRecord& member, Context& context)
{
    const auto running = [&](const Probe& probe) { return probe.target == member.name; };
    if (std::any_of(m_probes.begin(), m_probes.end(), running))
        return;
    auto message = makePing(++m_sequence, context);
    m_probes.push_back({ m_sequence, member.name, context.now() });
    // An accused member must learn of it to refute.
    if (member.state == MemberState::Suspect || member.state == MemberState::Dead)
        writeMember(member, *message->mutable_ping()->add_updates());
    send(member, std::move(message), context);
}

void Gossip::checkProbes(Context& context)
{
    for (Probe& probe : m_probes) {
        if (!probe.indirect && context.now() - probe.sentAt >= PROBE_TIMEOUT)
            askOthers(probe, context);
    }
    std::erase_if(m_probes, [&](const Probe& probe) {
        if (context.now() - probe.sentAt < 3 * PROBE_TIMEOUT)
            return false;
        if (MemberRecord* member = m_members.find(probe.target))
            m_members.suspect(*member, context);
        return true;
    });
}

void Gossip::askOthers(Probe& probe, Context& context)
{
    probe.indirect = true;
    if (MemberRecord* target = m_members.find(probe.target))
        target->direct = false;
    auto helpers = m_members.live();
    std::erase_if(helpers, [&](const MemberRecord* member) { return member->name == probe.target; });
    for (std::size_t i = 0; i < INDIRECT_PROBES && !helpers.empty(); ++i) {
        const std::size_t chosen = context.random() % helpers.size();
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_ping_request()->set_sequence(probe.sequence);
        message->mutable_ping_request()->set_target(probe.target.value());
        send(*helpers[chosen], std::move(message), context);
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

MemberRecord* Gossip::onMessage(const peer::Envelope& message, Context& context)
{
    MemberRecord* sender = m_members.heardFrom(message.from(), context);
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
    takeNews(ping, sender, context);
    // A ping on behalf of another is answered to the one who asked.
    const MemberRecord* asker = ping.requested_by().empty() ? &sender : m_members.find(InstanceName { ping.requested_by() });
    auto reply = std::make_shared<peer::Envelope>();
    fillNews(*reply->mutable_ack(), context);
    reply->mutable_ack()->set_sequence(ping.requested_by().empty() ? ping.sequence() : ping.requested_sequence());
    if (asker)
        send(*asker, reply, context);
    // The asker may be unreachable from here: the helper passes it on.
    if (asker != &sender)
        send(sender, std::make_shared<peer::Envelope>(*reply), context);
}

void Gossip::onAck(const peer::Ack& ack, MemberRecord& sender, Context& context)
{
    takeNews(ack, sender, context);
    std::erase_if(m_probes, [&](const Probe& probe) {
        if (probe.sequence != ack.sequence())
            return false;
        MemberRecord* target = m_members.find(probe.target);
        if (target && target == &sender)
            target->direct = !probe.indirect;
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
    // The target was heard lately, so the asker need not wait for its answer.
    if (context.now() - target->lastHeard > PROBE_INTERVAL || target->state != MemberState::Alive)
        return;
    auto reply = std::make_shared<peer::Envelope>();
    fillNews(*reply->mutable_ack(), context);
    reply->mutable_ack()->set_sequence(request.sequence());
    send(sender, std::move(reply), context);
}

std::shared_ptr<peer::Envelope> Gossip::makePing(std::uint64_t sequence, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_ping()->set_sequence(sequence);
    fillNews(*message->mutable_ping(), context);
    return message;
}

template <typename Message>
void Gossip::fillNews(Message& message, Context& context)
{
    for (peer::Member& update : m_members.takeUpdates(UPDATES_PER_MESSAGE))
        *message.add_updates() = std::move(update);
    message.set_platform_age_ms(millisOf(platformAge(context.now())));
    message.set_servers_revision(m_serversRevision.value());
    if (!m_sheets.current())
        return;
    message.mutable_sheet()->set_version(m_sheets.current()->version.value());
    message.mutable_sheet()->set_hash(m_sheets.current()->hash.value());
}

template <typename Message>
void Gossip::takeNews(const Message& message, MemberRecord& sender, Context& context)
{
    for (const peer::Member& update : message.updates())
        m_members.merge(update, context);
    sender.platformAge = Millis { message.platform_age_ms() };
    sender.platformAgeAt = context.now();
    if (const StoreRevision revision { message.servers_revision() }; revision > m_newestRevision) {
        m_newestRevision = revision;
        m_newestRevisionFrom = sender.name;
    }
    const SheetVersion version { message.sheet().version() };
    if (!m_sheets.wants(version, SheetHash { message.sheet().hash() }, sender.name.value(), context))
        return;
    if (context.now() - m_sheetAskedAt < SHEET_ASK_INTERVAL)
        return;
    m_sheetAskedAt = context.now();
    auto request = std::make_shared<peer::Envelope>();
    request->mutable_sheet_request();
    send(sender, std::move(request), context);
}

void Gossip::announce(Context& context)
{
    // The own zone hears it at once; elsewhere some members do, and pass it on.
    auto members = m_members.live();
    const auto others = std::stable_partition(members.begin(), members.end(), [this](const MemberRecord* member) { return member->zone == m_identity.zone; });
    const std::size_t near = std::min<std::size_t>(static_cast<std::size_t>(others - members.begin()), ANNOUNCE_ZONE);
    for (std::size_t i = 0; i < near; ++i)
        send(*members[i], makePing(++m_sequence, context), context);
    std::vector<MemberRecord*> far(others, members.end());
    for (std::size_t i = 0; i < ANNOUNCE_FANOUT && !far.empty(); ++i) {
        const std::size_t chosen = context.random() % far.size();
        send(*far[chosen], makePing(++m_sequence, context), context);
        far.erase(far.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Gossip::send(const MemberRecord& to, std::shared_ptr<peer::Envelope> message, Context& context)
{
    sign(*message);
    context.emit(SendPeer { to.name, m_members.addressOf(to), std::move(message) });
}

void Gossip::sendToSome(const peer::Envelope& message, std::size_t most, Context& context)
{
    auto members = m_members.live();
    while (members.size() > most)
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(context.random() % members.size()));
    for (const MemberRecord* member : members)
        send(*member, std::make_shared<peer::Envelope>(message), context);
}

void Gossip::sign(peer::Envelope& message) const
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

void Gossip::platformAnswered(Time now)
{
    m_platformAt = now;
}

void Gossip::setFollowing(bool follows, Context& context)
{
    if (follows == m_following)
        return;
    m_following = follows;
    // Zero would say that it still follows.
    m_platformAt = context.now() - Millis { 1 };
    announce(context);
}

bool Gossip::shouldWatch(Time now) const
{
    std::size_t before = 0;
    Duration freshest = platformAge(now);
    for (const auto& [name, member] : m_members.records()) {
        if (member.zone != m_identity.zone || member.state != MemberState::Alive)
            continue;
        before += name < m_identity.name;
        freshest = std::min(freshest, member.platformAgeNow(now));
    }
    const auto turn = static_cast<std::int64_t>(before / WATCHERS_PER_ZONE);
    // Those who wait for changes say so, hence a silence among them is noticed sooner.
    if (m_identity.platformIsCurrent)
        return m_started && now - m_start >= FIRST_WATCH && (!turn || freshest > FOLLOW_STALE + turn * FOLLOW_STAGGER);
    return !turn || freshest > PLATFORM_STALE + turn * WATCH_STAGGER;
}

bool Gossip::joined(Time now) const
{
    if (!m_started)
        return false;
    if (m_identity.platformIsCurrent || now - m_start >= JOIN_TIME)
        return true;
    const auto& records = m_members.records();
    const bool known = m_members.listKnown();
    return known && std::none_of(records.begin(), records.end(), [](const auto& row) { return row.second.state == MemberState::Listed; });
}

} // namespace cornelwind
