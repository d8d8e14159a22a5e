#include "cornelwind/reducer.h"

#include "active_sheet.h"
#include "drain.h"
#include "gossip.h"
#include "health.h"
#include "key_registry.h"
#include "loss_table.h"
#include "member_table.h"
#include "peer.pb.h"
#include "request_flow.h"
#include "server_registry.h"

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

    Gossip::Identity makeIdentity(const Settings& settings, Incarnation incarnation)
    {
        return { settings.name, settings.zone, settings.advertised.value_or(settings.peers), incarnation, settings.seeds, settings.platformForm == PlatformForm::Store };
    }

    KeyRegistry::Limits makeKeyLimits(const Settings& settings)
    {
        return { { settings.maxKeys, static_cast<std::size_t>(settings.maxStoredResponses.value()) }, settings.keyLifetime };
    }

} // namespace

/// Owns the modules of one entry instance and dispatches each event to them.
class Reducer::State {
public:
    State(const Settings& settings, Incarnation incarnation, const KeySecret& secret, Time start, SheetReader reader)
        : m_keys(KeyIssuer(settings.name, incarnation, secret, start), makeKeyLimits(settings))
        , m_pool(makeSlotShareSelector(), settings.zone)
        , m_activeSheet(std::move(reader))
        , m_members(settings.name, settings.zone, settings.peerRoutes)
        , m_gossip(makeIdentity(settings, incarnation), m_members, m_activeSheet)
        , m_health({ m_pool, m_quarantine, m_members, m_gossip, m_losses })
        , m_flow({ m_pool, m_losses, m_keys, m_quarantine, m_health, m_members,
              [this](ServerId server, Context& context) { m_health.onLeaving(server, context); },
              [this](Fingerprint fingerprint, Context& context) { m_health.onCrash(fingerprint, context); } })
        , m_drain({ m_gossip, m_members, m_keys, m_flow }, settings.shutdownTimeout, settings.stopNotice)
        , m_serversPublishedSeparately(settings.platformForm == PlatformForm::Store)
    {
        m_flow.setRetryAllowance(settings.fleetRetryAllowance);
    }

    void apply(const Event& event, EffectList& effects)
    {
        Context context(event.at, event.random, effects);
        const std::size_t before = effects.size();
        std::visit([&](const auto& body) { on(body, context); }, event.body);
        for (std::size_t i = before; i < effects.size(); ++i) {
            if (const auto* report = std::get_if<ReportDecision>(&effects[i]))
                m_decisions.add(report->decision);
        }
    }

    void setSender(peer::Envelope& message) const { m_gossip.setSender(message); }
    Status status(Time now) const;
    const Counters& counters() const { return m_flow.counters(); }
    std::vector<Decision> explain(const std::string& subject, std::size_t maxCount) const { return m_decisions.matching(subject, maxCount); }

private:
    void on(const HeadReceived& event, Context& context) { m_flow.onHead(event, context); }
    void on(const BodyReceived& event, Context& context) { m_flow.onBody(event, context); }
    void on(const ReceiveFailed& event, Context& context) { m_flow.onReceiveFailed(event, context); }
    void on(const CallerDisconnected& event, Context& context) { m_flow.onCallerDisconnected(event, context); }
    void on(const TryFinished& event, Context& context) { m_flow.onTryFinished(event, context); }
    void on(const OwnerReplied& event, Context& context) { m_flow.onOwnerReplied(event, context); }
    void on(const ProbeFinished& event, Context& context) { m_health.onProbe(event, context); }
    void on(const ServersListed& event, Context& context) { m_health.onServersListed(event, context); }
    void on(const StopRequested&, Context& context) { m_drain.onStopRequested(context); }
    void on(const PlatformReachable&, Context& context) { platformAnswered(context); }
    void on(const SettingsChanged& event, Context&) { m_gossip.setSeeds(event.seeds); }
    void on(const PlatformUnreachable&, Context& context) { m_serverRegistry.onPlatformUnreachable(context); }

    void on(const ServersPublished& event, Context& context)
    {
        platformAnswered(context);
        if (m_serverRegistry.onPublished(event, context))
            adoptSheetWithServers(context);
        notifyZoneOfServers(context);
        m_gossip.setServersRevision(m_serverRegistry.revision());
    }

    void platformAnswered(Context& context)
    {
        m_gossip.platformAnswered(context.now());
        m_serverRegistry.onPlatformReachable(context);
    }

    void on(const KeysRequested& event, Context& context)
    {
        IssueKeys keys { event.request, {} };
        for (std::uint32_t i = 0; i < std::min(event.count, MAX_KEYS_PER_CALL); ++i)
            keys.keys.push_back(m_keys.issueKey(context.now()));
        context.emit(std::move(keys));
    }

    void on(const SheetFetched& event, Context& context)
    {
        platformAnswered(context);
        offerSheet(event.text, "the platform", context);
    }

    void on(const InstancesListed& event, Context& context)
    {
        platformAnswered(context);
        m_members.onListed(event, context);
    }

    void on(const PeerMessageReceived& event, Context& context)
    {
        MemberRecord* sender = m_gossip.onMessage(*event.message, context);
        if (!sender)
            return;
        const peer::Envelope& message = *event.message;
        if (message.has_evidence())
            m_health.onEvidence(message.evidence(), *sender, context);
        else if (message.has_outcomes())
            m_health.exchange().onOutcomes(message.outcomes(), *sender, context);
        else if (message.has_loads())
            m_health.exchange().onLoads(message.loads(), *sender, context);
        else if (message.has_beliefs_request())
            m_health.exchange().onBeliefsRequest(*sender, context);
        else if (message.has_beliefs_reply())
            m_health.exchange().onBeliefsReply(message.beliefs_reply(), *sender, context);
        else if (message.has_servers_request())
            sendServerList(*sender, context);
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

    void on(const Tick&, Context& context)
    {
        m_gossip.onTick(context);
        m_flow.onTick(context);
        m_health.onTick(context);
        m_drain.onTick(context);
        m_keys.expire(context.now());
        m_flow.setFleetSize(static_cast<std::uint32_t>(1 + m_members.liveCount()));
        if (m_serversPublishedSeparately)
            updateServers(context);
        updateWatch(context);
        updateReady(context);
    }

    void offerSheet(const std::string& text, const std::string& source, Context& context)
    {
        if (!m_activeSheet.adoptIfNewer(text, source, context))
            return;
        if (m_serversPublishedSeparately)
            adoptSheetWithServers(context);
        else
            adopt(m_activeSheet.current(), context);
        m_gossip.announce(context);
    }

    void adopt(const SheetPtr& sheet, Context& context)
    {
        m_pool.applySheet(*sheet, context.now());
        m_flow.adopt(sheet);
        m_health.adopt(sheet);
        if (sheet->callers && sheet->callers != m_callerLimits) {
            m_callerLimits = sheet->callers;
            context.emit(SetCallerLimits { *m_callerLimits });
        }
    }

    // The platform publishes the sheet and the backend servers separately. The sheet in force combines the latest of both.
    void adoptSheetWithServers(Context& context)
    {
        if (m_activeSheet.current() && m_serverRegistry.hasServerList())
            adopt(std::make_shared<const Sheet>(m_serverRegistry.withServers(*m_activeSheet.current())), context);
    }

    void updateServers(Context& context)
    {
        if (m_serverRegistry.onTick(context))
            adoptSheetWithServers(context);
        notifyZoneOfServers(context);
        m_gossip.setWatchOpen(m_watching && m_serverRegistry.reachable() && m_serverRegistry.hasServerList(), context);
        if (m_gossip.highestPeerRevision() <= m_serverRegistry.revision()) {
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
    void catchUp(Context& context)
    {
        if (m_watching && m_serverRegistry.reachable() && m_gossip.highestPeerRevision() != m_refreshRequestedFor) {
            m_refreshRequestedFor = m_gossip.highestPeerRevision();
            context.emit(RefreshPublished {});
            return;
        }
        MemberRecord* source = m_members.find(m_gossip.highestRevisionPeer());
        if (!source)
            return;
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_servers_request();
        m_gossip.send(*source, std::move(message), context);
    }

    // An instance that watches the platform sends changes to the members of its zone at once. Other zones have their own
    // watchers.
    void notifyZoneOfServers(Context& context)
    {
        const auto update = m_serverRegistry.takePendingUpdate();
        if (!update || !m_watching)
            return;
        for (const MemberRecord* member : m_members.live()) {
            if (member->zone == m_members.zone())
                m_gossip.send(*member, std::make_shared<peer::Envelope>(*update), context);
        }
    }

    void applyServerUpdates(const peer::ServersNews& update, Context& context)
    {
        if (m_serverRegistry.onPeerUpdate(update, context))
            adoptSheetWithServers(context);
        m_gossip.setServersRevision(m_serverRegistry.revision());
    }

    void sendServerList(const MemberRecord& to, Context& context)
    {
        auto message = std::make_shared<peer::Envelope>();
        m_serverRegistry.write(*message->mutable_servers_reply());
        m_gossip.send(to, std::move(message), context);
    }

    void applyServerList(const peer::ServersReply& reply, Context& context)
    {
        if (m_serverRegistry.onPeerList(reply, context))
            adoptSheetWithServers(context);
        m_gossip.setServersRevision(m_serverRegistry.revision());
    }

    void sendSheet(const MemberRecord& to, Context& context)
    {
        if (!m_activeSheet.current())
            return;
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_sheet_reply()->set_text(m_activeSheet.current()->text);
        m_gossip.send(to, std::move(message), context);
    }

    void updateWatch(Context& context)
    {
        const bool watch = m_gossip.shouldWatch(context.now());
        const Millis refresh = std::max<Millis>(MIN_LIST_REFRESH, LIST_REFRESH_PER_INSTANCE * (1 + m_members.liveCount()));
        if (watch == m_watching && refresh == m_listRefresh)
            return;
        m_watching = watch;
        m_listRefresh = refresh;
        context.emit(WatchPlatform { watch, refresh });
    }

    // An instance that starts without state waits for its peers first: a platform with stale values could otherwise
    // bring an old sheet into force.
    void updateReady(Context& context)
    {
        if (m_ready || m_drain.stopping() || !m_activeSheet.current() || !m_gossip.joined(context.now()))
            return;
        if (m_serversPublishedSeparately && !m_serverRegistry.hasServerList())
            return;
        m_ready = true;
        m_flow.startAccepting();
        context.emit(SetReady { true });
    }

    KeyRegistry m_keys;
    Quarantine m_quarantine;
    ServerPool m_pool;
    LossTable m_losses;
    ActiveSheet m_activeSheet;
    ServerRegistry m_serverRegistry;
    MemberTable m_members;
    Gossip m_gossip;
    Health m_health;
    RequestFlow m_flow;
    Drain m_drain;
    DecisionLog m_decisions;
    std::optional<CallerLimits> m_callerLimits;
    std::optional<Time> m_laggingSince;
    Time m_nextCatchUp;
    StoreRevision m_refreshRequestedFor;
    Millis m_listRefresh {};
    bool m_serversPublishedSeparately;
    bool m_watching = false;
    bool m_ready = false;
};

Status Reducer::State::status(Time now) const
{
    Status status;
    status.name = m_members.self();
    status.incarnation = m_members.incarnation();
    status.ready = m_ready && !m_drain.stopping();
    status.stopping = m_drain.stopping();
    status.watching = m_watching;
    status.platformAge = m_gossip.platformAge(now);
    status.requests = m_flow.size();
    status.keys = m_keys.size();
    for (const auto& [name, member] : m_members.records())
        status.members.push_back({ name, member.zone, toString(member.state), member.listed, member.answersDirectly });
    if (!m_activeSheet.current())
        return status;
    status.sheet = m_activeSheet.current()->version;
    status.sheetAge = now - m_activeSheet.adoptedAt();
    for (std::uint32_t i = 0; i < m_pool.serviceCount(); ++i) {
        for (const Server* server : m_pool.servers(i)) {
            const ServerAssessment assessment = m_health.assess(server->id);
            const bool idle = m_pool.placement(i) == Placement::ExpectedCost && server->config.zone == m_members.zone() && IdleReport::isIdle(*server, now);
            status.servers.push_back({ server->config.name, server->service, toString(server->state), server->avoided, server->inFlight,
                server->config.slots.value(), server->ownSlots, assessment.score,
                ejectionThreshold(m_activeSheet.current()->services[i].weighting), assessment.badShare, assessment.expectedShare,
                idle ? std::optional(m_pool.idleReason(i, *server, now)) : std::nullopt });
        }
    }
    return status;
}

Reducer::Reducer(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Reducer::Reducer(Reducer&&) noexcept = default;
Reducer& Reducer::operator=(Reducer&&) noexcept = default;
Reducer::~Reducer() = default;

void Reducer::apply(const Event& event, EffectList& effects)
{
    m_state->apply(event, effects);
}

void Reducer::setSender(peer::Envelope& message) const
{
    m_state->setSender(message);
}

Status Reducer::status(Time now) const
{
    return m_state->status(now);
}

Counters Reducer::counters() const
{
    return m_state->counters();
}

std::vector<Decision> Reducer::explain(const std::string& subject, std::size_t maxCount) const
{
    return m_state->explain(subject, maxCount);
}

Reducer::Builder& Reducer::Builder::settings(Settings settings)
{
    m_settings = std::move(settings);
    return *this;
}

Reducer::Builder& Reducer::Builder::incarnation(Incarnation incarnation)
{
    m_incarnation = incarnation;
    return *this;
}

Reducer::Builder& Reducer::Builder::secret(const KeySecret& secret)
{
    m_secret = secret;
    return *this;
}

Reducer::Builder& Reducer::Builder::start(Time start)
{
    m_start = start;
    return *this;
}

Reducer::Builder& Reducer::Builder::sheetReader(SheetReader reader)
{
    m_reader = std::move(reader);
    return *this;
}

Reducer Reducer::Builder::build()
{
    return Reducer(std::make_unique<State>(m_settings, m_incarnation, m_secret, m_start, m_reader));
}

} // namespace cornelwind
