#include "health.h"

#include "peer.pb.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_EVIDENCE_PEERS = 32;
    constexpr std::size_t MAX_QUEUED_CRASHES = 16;
    constexpr Duration PROBE_PERIOD = std::chrono::seconds(1);
    constexpr Millis PROBE_TIME_LIMIT { 1000 };
    // A server with fewer outcomes in the last seconds is probed.
    constexpr std::uint64_t MIN_TRAFFIC_SAMPLES = 10;

    std::uint64_t sourceOf(const MemberRecord& member)
    {
        return serverIdOf(ServerName { member.name.value() }).value();
    }

    Digest readDigest(const peer::Evidence& evidence)
    {
        Digest digest;
        digest.sequence = evidence.sequence();
        for (const peer::EvidenceRow& row : evidence.rows())
            digest.rows.push_back({ ServerId { row.server() }, { row.samples(), row.failures(), row.slow(), row.stalled(), row.hung() } });
        return digest;
    }

} // namespace

Health::Health(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_ejector(dependencies.pool, m_detector)
    , m_exchange({ dependencies.pool, dependencies.members, dependencies.gossip, dependencies.losses })
    , m_quarantine({ dependencies.quarantine, dependencies.pool, dependencies.members, dependencies.gossip })
    , m_idleReport(dependencies.pool, dependencies.members)
{
}

void Health::adopt(SheetPtr sheet)
{
    m_sheet = std::move(sheet);
    m_detector.adopt(*m_sheet);
    m_placesByCost = std::any_of(m_sheet->services.begin(), m_sheet->services.end(), [](const SheetService& service) { return service.placement == Placement::ExpectedCost; });
    for (std::uint32_t i = 0; i < m_dependencies.pool.serviceCount(); ++i) {
        for (const Server* server : m_dependencies.pool.servers(i)) {
            if (server->rampEnd > Time {})
                m_detector.ignoreSlownessUntil(server->id, server->rampEnd);
        }
    }
}

FleetView Health::fleetView() const
{
    FleetView view;
    view.rank = m_dependencies.members.rank();
    view.live = 1 + static_cast<std::uint32_t>(m_dependencies.members.liveCount());
    view.listed = static_cast<std::uint32_t>(m_dependencies.members.listedCount());
    view.listedLive = static_cast<std::uint32_t>(m_dependencies.members.listedLiveCount());
    return view;
}

void Health::onTick(Context& context)
{
    if (m_placesByCost)
        m_exchange.onTick(context);
    m_quarantine.onTick(context);
    if (!m_sheet || context.now() < m_nextEvaluation)
        return;
    m_nextEvaluation = context.now() + EVIDENCE_INTERVAL;
    if (m_placesByCost)
        m_dependencies.pool.learnPrevalence(context.now());
    const FleetView view = fleetView();
    m_dependencies.pool.setPosition({ view.rank, view.live, m_dependencies.members.zoneRank(), m_dependencies.members.zoneLiveCount() + 1 });
    const Digest& digest = m_detector.evaluate(context.now());
    if (m_detector.distrustsSelf() != m_selfDistrusted) {
        m_selfDistrusted = !m_selfDistrusted;
        context.report(DecisionKind::SelfDistrusted, m_dependencies.members.self().value(),
            m_selfDistrusted ? "most paths to servers fail from this instance only" : "paths to servers work again", "more than half of the paths");
    }
    m_ejector.evaluate(*m_sheet, view, context);
    redistributeSlotsIfChanged();
    m_dependencies.quarantine.expire(context.now());
    sendEvidence(digest, context);
    probeLowTrafficServers(context);
    m_idleReport.onTick(context);
}

// Only the slots of servers in service are divided among the entry instances, so that no instance has a share that it
// cannot use.
void Health::redistributeSlotsIfChanged()
{
    std::size_t serving = 0;
    for (std::uint32_t i = 0; i < m_dependencies.pool.serviceCount(); ++i) {
        for (const Server* server : m_dependencies.pool.servers(i))
            serving += server->state == ServerState::Serving;
    }
    if (serving == m_servingCount)
        return;
    m_servingCount = serving;
    m_dependencies.pool.redistributeSlots();
}

void Health::sendEvidence(const Digest& digest, Context& context)
{
    auto message = makeEvidence(digest, context);
    const peer::Evidence& evidence = message->evidence();
    const bool sentBefore = m_sentEjections;
    m_sentEjections = evidence.ejections_size() > 0;
    const bool hasContent = evidence.rows_size() || evidence.ejections_size() || evidence.crashes_size() || evidence.leaving_size() || sentBefore;
    if (!hasContent)
        return;
    m_dependencies.gossip.sendToSubset(*message, MAX_EVIDENCE_PEERS, context);
}

std::shared_ptr<peer::Envelope> Health::makeEvidence(const Digest& digest, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    peer::Evidence& evidence = *message->mutable_evidence();
    evidence.set_sequence(digest.sequence);
    for (const DigestRow& row : digest.rows) {
        peer::EvidenceRow& out = *evidence.add_rows();
        out.set_server(row.server.value());
        out.set_samples(row.counts.samples);
        out.set_failures(row.counts.failures);
        out.set_slow(row.counts.slow);
        out.set_stalled(row.counts.stalled);
        out.set_hung(row.counts.hung);
    }
    for (const PeerEjection& ejection : m_ejector.ejections(*m_sheet, context.now())) {
        peer::EjectionRow& out = *evidence.add_ejections();
        out.set_server(ejection.server.value());
        out.set_remaining_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(ejection.remaining).count()));
        out.set_relapses(ejection.ejectionCount);
    }
    for (const Fingerprint fingerprint : m_crashesToAnnounce) {
        peer::CrashRow& row = *evidence.add_crashes();
        row.set_fingerprint(fingerprint.value());
        row.set_in_news(true);
    }
    m_crashesToAnnounce.clear();
    for (const LeavingServer& leaving : m_ejector.leavingToAnnounce(context.now())) {
        evidence.add_leaving(leaving.server.value());
        evidence.add_leaving_incarnations(leaving.incarnation);
    }
    return message;
}

void Health::onEvidence(const peer::Evidence& evidence, const MemberRecord& sender, Context& context)
{
    if (!m_dependencies.members.acceptsEvidenceFrom(sender.name))
        return;
    const std::uint64_t source = sourceOf(sender);
    if (!m_detector.merge(source, sender.incarnation.value(), readDigest(evidence), context.now()))
        return;
    std::vector<PeerEjection> ejections;
    for (const peer::EjectionRow& row : evidence.ejections())
        ejections.push_back({ ServerId { row.server() }, Millis { row.remaining_ms() }, row.relapses() });
    m_ejector.onPeerEjections(source, std::move(ejections), context.now());
    for (const peer::CrashRow& row : evidence.crashes()) {
        if (!row.in_news())
            m_quarantine.onUnattributedCrash(Fingerprint { row.fingerprint() }, sender, evidence.sequence(), context);
    }
    for (int i = 0; i < evidence.leaving_size(); ++i) {
        const Server* server = m_dependencies.pool.find(ServerId { evidence.leaving(i) });
        // A server that has started again since is not leaving.
        const bool isSameStart = i >= evidence.leaving_incarnations_size() || (server && evidence.leaving_incarnations(i) == server->config.incarnation);
        if (server && isSameStart)
            m_ejector.onLeaving(server->id, false, context);
    }
}

void Health::onCrash(Fingerprint id, Fingerprint fingerprint, const ServerCrash& crash, Context& context)
{
    if (m_quarantine.onCrash(id, crash, context) && m_crashesToAnnounce.size() < MAX_QUEUED_CRASHES)
        m_crashesToAnnounce.push_back(fingerprint);
}

void Health::onBeliefsRequest(const MemberRecord& sender, Context& context)
{
    m_exchange.onBeliefsRequest(sender, context);
    m_quarantine.sendBlocked(sender, context);
}

void Health::onServersListed(const ServersListed& event, Context& context)
{
    for (const ServerName& name : event.leaving)
        m_ejector.onLeaving(serverIdOf(name), true, context);
}

// The entry instance of rank `i mod n` probes server number `i`, where `n` is the number of live instances, so that the
// fleet probes each server at most once per period.
void Health::probeLowTrafficServers(Context& context)
{
    if (context.now() < m_nextProbe)
        return;
    m_nextProbe = context.now() + PROBE_PERIOD;
    const FleetView view = fleetView();
    std::uint32_t position = 0;
    for (std::uint32_t i = 0; i < m_sheet->services.size(); ++i) {
        const SheetService& config = m_sheet->services[i];
        for (const Server* server : m_dependencies.pool.servers(i)) {
            const bool isOwnTurn = position++ % view.live == view.rank;
            const bool hasLowTraffic = m_detector.assess(server->id).recentSamples < MIN_TRAFFIC_SAMPLES;
            // A probe is a request too.
            const bool wantsNone = server->backoffUntil > context.now() || m_dependencies.pool.serverLimits().isLimited(server->id);
            if (isOwnTurn && hasLowTraffic && !wantsNone && !config.healthPath.empty())
                context.emit(SendProbe { server->id, server->config.address, config.healthPath, config.drainHeader, PROBE_TIME_LIMIT });
        }
    }
}

void Health::onProbe(const ProbeFinished& event)
{
    // The response of a health endpoint is weak evidence, so it counts only where traffic is too low to judge the server by.
    if (m_detector.assess(event.server).recentSamples < MIN_TRAFFIC_SAMPLES)
        m_detector.probed(event.server, !event.answered || !event.healthy);
}

void Health::trySent(TryId id, ServerId server, Time now)
{
    m_detector.trySent(id, server, now);
}

void Health::tryEnded(TryId id, cornelwind::SendEvidence evidence, Time now)
{
    std::optional<bool> failed;
    if (evidence != cornelwind::SendEvidence::None)
        failed = evidence == cornelwind::SendEvidence::Failure;
    m_detector.tryEnded(id, failed, now);
}

} // namespace cornelwind
