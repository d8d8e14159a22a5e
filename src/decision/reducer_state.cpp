#include "reducer_state.h"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    constexpr std::uint32_t MAX_KEYS_PER_CALL = 100;
    // Instances that do not watch the platform read its instance list periodically. The interval grows
    // with the fleet, so that the whole fleet makes at most 100 calls per second.
    constexpr Millis MIN_LIST_REFRESH { 10000 };
    constexpr Millis LIST_REFRESH_PER_INSTANCE { 10 };
    // A revision that peers know normally reaches this instance through its own watch within this time.
    constexpr Duration CATCH_UP_DELAY = std::chrono::milliseconds(300);
    // Minimum time between two attempts to catch up.
    constexpr Duration CATCH_UP_INTERVAL = std::chrono::milliseconds(300);

    // The rest of the deadline covers clocks of different speed.
    std::optional<Duration> maxConfirmationAge(const Settings& settings)
    {
        constexpr std::int64_t percentOfDeadline = 90;
        if (!settings.keyRevocationDeadline)
            return std::nullopt;
        return Duration { *settings.keyRevocationDeadline } * percentOfDeadline / 100;
    }

    Gossip::Identity makeIdentity(const Settings& settings, Incarnation incarnation)
    {
        return { settings.name, settings.zone, settings.advertised.value_or(settings.peers), incarnation, settings.seeds, settings.platformForm == PlatformForm::Store, settings.changeDeadline.value_or(Settings::DEFAULT_CHANGE_DEADLINE), maxConfirmationAge(settings) };
    }

    KeyRegistry::Limits makeKeyLimits(const Settings& settings)
    {
        return { { settings.maxKeys, static_cast<std::size_t>(settings.maxStoredResponses.value()) }, settings.keyLifetime };
    }

} // namespace

Reducer::State::State(const Settings& settings, Incarnation incarnation, const KeySecret& secret, Time start, SheetReader reader)
    : m_keys(KeyIssuer(settings.name, incarnation, secret, start), makeKeyLimits(settings))
    , m_pool(makeSlotShareSelector(), settings.zone)
    , m_activeSheet(std::move(reader))
    , m_members(settings.name, settings.zone, settings.peerRoutes)
    , m_gossip(makeIdentity(settings, incarnation), m_members, m_activeSheet)
    , m_health({ m_pool, m_quarantine, m_members, m_gossip, m_losses })
    , m_quotas({ m_members, m_gossip }, { settings.quotaOver, settings.quotaSlack, settings.quotaWindow })
    , m_flow({ m_pool, m_losses, m_keys, m_quarantine, m_health, m_members, m_gossip.confirmation(), m_quotas,
          [this](ServerId server, std::uint64_t incarnation, const ServerNotice& notice, Context& context) { m_notices.onNotice(server, incarnation, notice, context); },
          [this](Fingerprint id, Fingerprint fingerprint, const ServerCrash& crash, Context& context) { m_health.onCrash(id, fingerprint, crash, context); },
          m_health.quarantine() })
    , m_serverLimits({ m_pool, m_members, m_gossip })
    , m_notices({ m_pool, m_serverLimits, [this](ServerId server, Context& context) { m_health.onLeaving(server, context); } })
    , m_drain({ m_gossip, m_members, m_keys, m_flow }, settings.shutdownTimeout, settings.stopNotice)
    , m_serversPublishedSeparately(settings.platformForm == PlatformForm::Store)
{
    m_flow.setRetryAllowance(settings.fleetRetryAllowance);
    m_pool.setMaxBodyBytes(settings.serverBodyBytes);
}

void Reducer::State::apply(const Event& event, EffectList& effects)
{
    Context context(event.at, event.random, effects);
    const std::size_t before = effects.size();
    std::visit([&](const auto& body) { on(body, context); }, event.body);
    for (std::size_t i = before; i < effects.size(); ++i) {
        if (const auto* report = std::get_if<ReportDecision>(&effects[i]))
            m_decisions.add(report->decision);
    }
}

void Reducer::State::on(const ServersPublished& event, Context& context)
{
    platformAnswered(context);
    if (m_serverRegistry.onPublished(event, context))
        adoptSheetWithServers(context);
    notifyZoneOfServers(context);
    m_gossip.setServersPosition(m_serverRegistry.position());
}

void Reducer::State::on(const ProbeFinished& event, Context& context)
{
    const Server* server = m_pool.find(event.server);
    if (event.answered && server)
        m_notices.onNotice(event.server, server->config.incarnation, event.notice, context);
    m_health.onProbe(event);
}

void Reducer::State::platformAnswered(Context& context)
{
    m_gossip.platformAnswered(context.now());
    m_serverRegistry.onPlatformReachable(context);
}

void Reducer::State::on(const PlatformUnreachable&, Context& context)
{
    m_serverRegistry.onPlatformUnreachable(context);
    m_gossip.platformUnreachable(context);
}

void Reducer::State::on(const KeysRequested& event, Context& context)
{
    IssueKeys keys { event.request, {} };
    for (std::uint32_t i = 0; i < std::min(event.count, MAX_KEYS_PER_CALL); ++i)
        keys.keys.push_back(m_keys.issueKey(context.now()));
    context.emit(std::move(keys));
}

void Reducer::State::on(const SheetFetched& event, Context& context)
{
    platformAnswered(context);
    offerSheet(event.text, "the platform", context);
}

void Reducer::State::on(const InstancesListed& event, Context& context)
{
    platformAnswered(context);
    m_members.onListed(event, context);
}

void Reducer::State::on(const PeerMessageReceived& event, Context& context)
{
    MemberRecord* sender = m_gossip.onMessage(*event.message, context);
    if (!sender)
        return;
    const peer::Envelope& message = *event.message;
    if (onQuotaMessage(message, *sender, context))
        return m_flow.onQuotaDecisions(context);
    if (message.has_evidence())
        m_health.onEvidence(message.evidence(), *sender, context);
    else if (message.has_outcomes())
        m_health.exchange().onOutcomes(message, *sender, context);
    else if (message.has_loads())
        m_health.exchange().onLoads(message.loads(), *sender, context);
    else if (message.has_beliefs_request())
        m_health.onBeliefsRequest(*sender, context);
    else if (message.has_beliefs_reply())
        m_health.exchange().onBeliefsReply(message.beliefs_reply(), *sender, context);
    else if (message.has_quarantine_news())
        m_health.quarantine().onNews(message, *sender, context);
    else if (message.has_limit_news())
        m_serverLimits.onLimitNews(message.limit_news(), *sender, context);
    else if (message.has_grant_request())
        m_serverLimits.onGrantRequest(message.grant_request(), *sender, context);
    else if (message.has_grant_reply()) {
        m_serverLimits.onGrantReply(message.grant_reply(), *sender, context);
        m_flow.dispatchQueues(context);
    } else if (message.has_grant_return())
        m_serverLimits.onGrantReturn(message.grant_return(), context);
    else if (message.has_servers_request())
        sendServerList(message.servers_request(), *sender, context);
    else if (message.has_servers_news())
        applyServerUpdates(message.servers_news(), context);
    else if (message.has_servers_reply())
        applyServerList(message.servers_reply(), context);
    else if (message.has_sheet_request())
        sendSheet(*sender, context);
    else if (message.has_sheet_reply())
        offerSheet(message.sheet_reply().text(), sender->name.value(), context);
    else
        m_drain.onMessage(message, *sender, context);
}

bool Reducer::State::onQuotaMessage(const peer::Envelope& message, const MemberRecord& sender, Context& context)
{
    switch (message.body_case()) {
    case peer::Envelope::kQuotaRequest:
        m_quotas.onRequest(message.quota_request(), sender, context);
        return true;
    case peer::Envelope::kQuotaReply:
        m_quotas.onReply(message.quota_reply(), sender, context);
        return true;
    case peer::Envelope::kQuotaReturn:
        m_quotas.onReturn(message.quota_return(), sender, context);
        return true;
    case peer::Envelope::kQuotaHandover:
        m_quotas.onHandover(message.quota_handover(), sender, context);
        return true;
    default:
        return false;
    }
}

void Reducer::State::on(const Tick&, Context& context)
{
    m_gossip.onTick(context);
    m_quotas.onTick(context);
    m_flow.onQuotaDecisions(context);
    m_flow.onTick(context);
    m_serverLimits.onTick(context);
    m_flow.dispatchQueues(context);
    m_health.onTick(context);
    m_drain.onTick(context);
    m_keys.expire(context.now());
    m_flow.setFleetSize(static_cast<std::uint32_t>(1 + m_members.liveCount()));
    if (m_serversPublishedSeparately)
        updateServers(context);
    updateWatch(context);
    updateReady(context);
}

void Reducer::State::offerSheet(const std::string& text, const std::string& source, Context& context)
{
    if (!m_activeSheet.adoptIfNewer(text, source, context))
        return;
    if (m_serversPublishedSeparately)
        adoptSheetWithServers(context);
    else
        adopt(m_activeSheet.current(), context);
    m_gossip.announce(context);
}

void Reducer::State::adopt(const SheetPtr& sheet, Context& context)
{
    m_pool.applySheet(*sheet, context.now());
    m_quotas.adopt(*sheet, context);
    m_flow.adopt(sheet);
    m_flow.onQuotaDecisions(context);
    m_health.adopt(sheet);
    if (sheet->callers && sheet->callers != m_callerLimits) {
        m_callerLimits = sheet->callers;
        context.emit(SetCallerLimits { *m_callerLimits });
    }
}

// The platform publishes the sheet and the backend servers separately. The sheet in force combines the latest of both.
void Reducer::State::adoptSheetWithServers(Context& context)
{
    if (m_activeSheet.current() && m_serverRegistry.hasServerList())
        adopt(std::make_shared<const Sheet>(m_serverRegistry.withServers(*m_activeSheet.current())), context);
}

void Reducer::State::updateServers(Context& context)
{
    if (m_serverRegistry.onTick(context))
        adoptSheetWithServers(context);
    notifyZoneOfServers(context);
    if (m_gossip.latestPeerPosition() <= m_serverRegistry.position()) {
        m_laggingSince.reset();
        return;
    }
    if (!m_laggingSince)
        m_laggingSince = context.now();
    if (context.now() - *m_laggingSince < CATCH_UP_DELAY || context.now() < m_nextCatchUp)
        return;
    m_nextCatchUp = context.now() + CATCH_UP_INTERVAL;
    catchUp(context);
}

// Peers know a newer revision. The watch of this instance may hang, so it asks the platform again, once for each
// revision. If it has no working watch or has already asked for this revision, it asks a peer for the list.
void Reducer::State::catchUp(Context& context)
{
    if (m_watch.enabled && m_serverRegistry.reachable() && m_gossip.latestPeerPosition() != m_refreshRequestedFor) {
        m_refreshRequestedFor = m_gossip.latestPeerPosition();
        context.emit(RefreshPublished {});
        return;
    }
    MemberRecord* source = m_members.find(m_gossip.latestPositionPeer());
    if (!source)
        return;
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_servers_request()->set_incarnation(m_members.incarnation().value());
    m_gossip.send(*source, std::move(message), context);
}

// An instance that watches the platform sends changes to the members of its zone at once. Other zones have their own
// watchers.
void Reducer::State::notifyZoneOfServers(Context& context)
{
    const auto update = m_serverRegistry.takePendingUpdate(context.now());
    if (!update || !m_watch.enabled)
        return;
    for (const MemberRecord* member : m_members.live()) {
        if (member->zone == m_members.zone())
            m_gossip.send(*member, std::make_shared<peer::Envelope>(*update), context);
    }
}

void Reducer::State::applyServerUpdates(const peer::ServersNews& update, Context& context)
{
    if (m_serverRegistry.onPeerUpdate(update, context))
        adoptSheetWithServers(context);
    m_gossip.setServersPosition(m_serverRegistry.position());
}

void Reducer::State::sendServerList(const peer::ServersRequest& request, const MemberRecord& to, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_servers_reply()->set_requested_by(request.incarnation());
    m_serverRegistry.write(*message->mutable_servers_reply(), context.now());
    m_gossip.send(to, std::move(message), context);
}

void Reducer::State::applyServerList(const peer::ServersReply& reply, Context& context)
{
    // The transport may deliver an answer to an earlier start of this instance, which by now is out of date. Zero comes
    // from members that do not know the field.
    if (reply.requested_by() && reply.requested_by() != m_members.incarnation().value())
        return;
    if (m_serverRegistry.onPeerList(reply, context))
        adoptSheetWithServers(context);
    m_gossip.setServersPosition(m_serverRegistry.position());
}

void Reducer::State::sendSheet(const MemberRecord& to, Context& context)
{
    if (!m_activeSheet.current())
        return;
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_sheet_reply()->set_text(m_activeSheet.current()->text);
    m_gossip.send(to, std::move(message), context);
}

void Reducer::State::updateWatch(Context& context)
{
    if (m_watch.enabled)
        m_gossip.announceContact(context);
    const Millis refresh = std::max<Millis>(MIN_LIST_REFRESH, LIST_REFRESH_PER_INSTANCE * (1 + m_members.liveCount()));
    const WatchPlatform before = std::exchange(m_watch, { m_gossip.contact().shouldWatch(context.now()), refresh, m_gossip.contact().watchWait(context.now()), m_serverRegistry.era() });
    if (m_watch == before)
        return;
    context.emit(m_watch);
    if (m_watch.enabled == before.enabled)
        return;
    reportWatch(context);
    // From now on the members in contact tell of changes, so an outage that only this instance has is over.
    if (!m_watch.enabled && m_serversPublishedSeparately)
        m_serverRegistry.onPlatformReachable(context);
}

void Reducer::State::reportWatch(Context& context) const
{
    const ZoneContact latest = m_gossip.contact().latestOfZone(context.now());
    const auto age = std::chrono::duration_cast<Millis>(latest.age);
    context.report(DecisionKind::WatchChanged, "platform", m_watch.enabled ? "this instance starts to watch it" : "this instance stops watching it",
        "last contact of the zone " + std::to_string(age.count()) + " ms ago by " + latest.instance.value());
}

// An instance that starts without state waits for its peers first: a platform with stale values could otherwise
// bring an old sheet into force.
void Reducer::State::updateReady(Context& context)
{
    if (m_drain.stopping() || !m_activeSheet.current())
        return;
    if (m_started)
        return reportApiKeysConfirmed(context);
    if (!m_gossip.joined(context.now()))
        return;
    if (m_serversPublishedSeparately && !m_serverRegistry.hasServerList())
        return;
    m_started = true;
    m_flow.startAccepting();
    // Public rules are served without a confirmation too.
    m_ready = keysConfirmed(context.now());
    if (m_ready)
        context.emit(SetReady { true });
}

bool Reducer::State::keysConfirmed(Time now) const
{
    return !m_activeSheet.current()->workspaces || m_gossip.confirmation().holds(now);
}

// An instance that does not know whether API keys are still valid refuses most requests, so the balancer should not send it any.
void Reducer::State::reportApiKeysConfirmed(Context& context)
{
    const bool confirmed = keysConfirmed(context.now());
    if (confirmed == m_ready)
        return;
    m_ready = confirmed;
    const auto age = m_gossip.confirmation().age(context.now());
    context.report(DecisionKind::ApiKeysConfirmed, "sheet", confirmed ? "confirmed again; requests with API keys are accepted" : "not confirmed; requests with API keys are refused",
        age ? "last confirmed " + std::to_string(std::chrono::duration_cast<Millis>(*age).count()) + " ms ago" : "never confirmed");
    context.emit(SetReady { confirmed });
}

Counters Reducer::State::counters() const
{
    Counters counters = m_flow.counters();
    counters.quotaTokens = m_quotas.granted();
    return counters;
}

Status Reducer::State::status(Time now) const
{
    Status status;
    status.name = m_members.self();
    status.incarnation = m_members.incarnation();
    status.ready = m_ready && !m_drain.stopping();
    status.stopping = m_drain.stopping();
    status.watching = m_watch.enabled;
    status.platformAge = m_gossip.contact().age(now);
    status.zoneContactAge = m_gossip.contact().latestOfZone(now).age;
    status.requests = m_flow.size();
    status.keys = m_keys.size();
    status.confirmationAge = m_gossip.confirmation().age(now);
    for (const auto& [name, member] : m_members.records())
        status.members.push_back({ name, member.zone, toString(member.state), member.listed, member.answersDirectly });
    if (!m_activeSheet.current())
        return status;
    status.sheet = m_activeSheet.current()->version;
    status.sheetAge = now - m_activeSheet.adoptedAt();
    status.apiKeysConfirmed = keysConfirmed(now);
    if (const WorkspaceDirectoryPtr& workspaces = m_activeSheet.current()->workspaces) {
        status.workspaces = workspaces->all().size();
        status.apiKeys = workspaces->keyCount();
    }
    for (std::uint32_t i = 0; i < m_pool.serviceCount(); ++i) {
        for (const Server* server : m_pool.servers(i)) {
            const ServerAssessment assessment = m_health.assess(server->id);
            const bool idle = m_pool.placement(i) == Placement::ExpectedCost && server->config.zone == m_members.zone() && IdleReport::isIdle(*server, now);
            const Limit* limit = m_pool.serverLimits().isLimited(server->id) ? m_pool.serverLimits().find(server->id) : nullptr;
            status.servers.push_back({ server->config.name, server->service, toString(server->state), server->avoided, server->inFlight,
                server->config.slots.value(), server->ownSlots, assessment.score,
                ejectionThreshold(m_activeSheet.current()->services[i].weighting), assessment.badShare, assessment.expectedShare,
                limit ? limit->perSecond : 0, limit ? now - limit->since : Duration {}, limit ? limit->source : std::string(),
                std::max<Duration>(server->backoffUntil - now, Duration {}),
                idle ? std::optional(m_pool.idleReason(i, *server, now)) : std::nullopt });
        }
    }
    return status;
}

} // namespace cornelwind
