#include "ejector.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace cornelwind {
namespace {

    // The first ejection of a server lasts 5 s. Each further one is twice as long, up to 5 min.
    constexpr Duration BASE_EJECTION_TIME = std::chrono::seconds(5);
    constexpr Duration MAX_EJECTION_TIME = std::chrono::minutes(5);
    constexpr std::uint32_t MAX_DOUBLINGS = 6;
    // After this time in service the next ejection counts as the first one.
    constexpr Duration RELAPSE_RESET_TIME = std::chrono::minutes(10);
    // A trial that has enough samples passes after this time.
    constexpr Duration MIN_TRIAL_TIME = std::chrono::seconds(2);
    // A trial without enough samples ends this long after its minimum time, and the server returns to service.
    constexpr Duration MAX_TRIAL_EXTENSION = std::chrono::seconds(20);
    constexpr std::uint64_t TRIAL_SAMPLES = 3;
    // Less evidence suffices against a server on trial: this share of the ejection threshold ejects it again.
    constexpr double TRIAL_THRESHOLD_SHARE = 0.4;
    // Less evidence suffices against a server that a peer has ejected: this share of the ejection threshold.
    constexpr double PEER_SUPPORTED_THRESHOLD_SHARE = 0.5;
    // Ejections reported by a peer expire after this time without a new report.
    constexpr Duration PEER_EJECTION_LIFETIME = std::chrono::seconds(3);
    // A server returns to service this long after the last notice that it is leaving.
    constexpr Duration LEAVE_EXPIRY = std::chrono::seconds(60);
    // A direct notice that a server is leaving is passed on to the peers for this time.
    constexpr Duration LEAVE_ANNOUNCE_TIME = std::chrono::seconds(5);
    constexpr Duration WITHHOLD_REPORT_INTERVAL = std::chrono::seconds(10);

    // Sets when an ejection or avoidance ends. It lasts twice as long as the previous one of the server.
    //
    // @return the ejection time
    Duration startEjectionTime(Server& server, Time now)
    {
        const Duration ejectionTime = std::min(BASE_EJECTION_TIME * (1U << std::min(server.ejectionCount, MAX_DOUBLINGS)), MAX_EJECTION_TIME);
        ++server.ejectionCount;
        server.stateEndsAt = now + ejectionTime;
        return ejectionTime;
    }

    std::string describeEvidence(const ServerAssessment& assessment)
    {
        char text[160];
        std::snprintf(text, sizeof text, "score %.1f, bad %.1f%% against %.1f%% expected, %llu samples, %u sources", assessment.score,
            assessment.badShare * 100, assessment.expectedShare * 100, static_cast<unsigned long long>(assessment.recentSamples), assessment.sources);
        return text;
    }

    std::string describeBound(double threshold, std::uint32_t unavailable, std::uint32_t budget)
    {
        char text[120];
        std::snprintf(text, sizeof text, "threshold %.1f, %u of %u slots ejected", threshold, unavailable, budget);
        return text;
    }

} // namespace

Ejector::Ejector(ServerPool& pool, Detector& detector)
    : m_pool(pool)
    , m_detector(detector)
{
}

std::uint32_t Ejector::budget(std::uint32_t slots, Slots floor, const FleetView& view)
{
    if (slots <= floor.value())
        return 0;
    const std::uint64_t spare = slots - floor.value();
    return static_cast<std::uint32_t>(spare * std::min(view.listedLive, view.listed) / std::max<std::uint32_t>(view.listed, 1));
}

void Ejector::evaluate(const Sheet& sheet, const FleetView& fleet, Context& context)
{
    std::erase_if(m_peerEjections, [&](const auto& row) { return context.now() - row.second.at > PEER_EJECTION_LIFETIME; });
    countPeerEjections();
    std::erase_if(m_withheldUntil, [&](const auto& row) { return row.second <= context.now(); });
    for (std::uint32_t i = 0; i < sheet.services.size(); ++i) {
        const SheetService& config = sheet.services[i];
        ServiceView view { config, i, ejectionThreshold(config.weighting), 0, 0 };
        evaluateService(view, fleet, context);
    }
}

void Ejector::countPeerEjections()
{
    m_ejectionCounts.clear();
    for (const auto& [source, ejections] : m_peerEjections) {
        for (const PeerEjection& ejection : ejections.rows) {
            EjectionCount& count = m_ejectionCounts[ejection.server];
            ++count.unavailable;
            // A server on trial has no remaining time and counts as unavailable only.
            count.ejected += ejection.remaining > Duration {};
        }
    }
}

void Ejector::evaluateService(ServiceView& view, const FleetView& fleet, Context& context)
{
    endExpiredStates(view, context);
    std::uint32_t slots = 0;
    for (const Server* server : m_pool.servers(view.index))
        slots += server->state == ServerState::Leaving ? 0 : server->config.slots.value();
    view.budget = budget(slots, view.config.floorSlots, fleet);
    view.unavailable = unavailableSlots(view.index);
    returnLowestScores(view, context);
    if (!m_detector.distrustsSelf())
        ejectUnhealthy(view, fleet, context);
}

std::uint32_t Ejector::unavailableSlots(std::uint32_t service) const
{
    std::uint32_t unavailable = 0;
    for (const Server* server : m_pool.servers(service)) {
        if (server->state == ServerState::Leaving)
            continue;
        const bool isUnavailable = server->state == ServerState::Ejected || server->state == ServerState::Trial || server->avoided || m_ejectionCounts.contains(server->id);
        unavailable += isUnavailable ? server->config.slots.value() : 0;
    }
    return unavailable;
}

void Ejector::endExpiredStates(const ServiceView& view, Context& context)
{
    for (Server* server : m_pool.servers(view.index)) {
        if (server->avoided && server->stateEndsAt <= context.now()) {
            server->avoided = false;
            m_detector.clearEvidence(server->id);
            context.report(DecisionKind::PathRestored, server->config.name.value(), "hold ended");
        }
        if (server->state == ServerState::Trial)
            endTrial(*server, view, context);
        if (server->state == ServerState::Ejected && server->stateEndsAt <= context.now()) {
            server->state = ServerState::Trial;
            server->stateEndsAt = context.now() + MIN_TRIAL_TIME;
            m_detector.clearEvidence(server->id);
        }
        if (server->state == ServerState::Leaving && server->stateEndsAt <= context.now())
            returnToService(*server, view.config, "leaving notice expired", context);
        if (server->state == ServerState::Serving && server->ejectionCount && server->rampEnd + RELAPSE_RESET_TIME < context.now())
            server->ejectionCount = 0;
    }
}

void Ejector::endTrial(Server& server, const ServiceView& view, Context& context)
{
    const ServerAssessment assessment = m_detector.assess(server.id);
    if (assessment.score >= view.threshold * TRIAL_THRESHOLD_SHARE) {
        server.state = ServerState::Ejected;
        const Duration ejectionTime = startEjectionTime(server, context.now());
        context.report(DecisionKind::Ejected, server.config.name.value(), "failed on trial: " + describeEvidence(assessment),
            describeBound(view.threshold * TRIAL_THRESHOLD_SHARE, view.unavailable, view.budget), ejectionTime);
        return;
    }
    const bool passed = assessment.recentSamples >= TRIAL_SAMPLES && context.now() >= server.stateEndsAt;
    const bool timedOut = context.now() >= server.stateEndsAt + MAX_TRIAL_EXTENSION;
    if (passed || timedOut)
        returnToService(server, view.config, passed ? "trial passed" : "trial ended with too few requests", context);
}

void Ejector::returnToService(Server& server, const SheetService& config, const char* why, Context& context)
{
    server.state = ServerState::Serving;
    server.rampStart = context.now();
    server.rampEnd = context.now() + config.coldStart;
    m_detector.clearEvidence(server.id);
    m_detector.ignoreSlownessUntil(server.id, server.rampEnd);
    context.report(DecisionKind::Returned, server.config.name.value(), why, "ramp", config.coldStart);
}

// Returns the ejected servers with the lowest scores while more slots are ejected than the floor allows, as after a
// loss of capacity. The floor has priority over all evidence against a server.
void Ejector::returnLowestScores(ServiceView& view, Context& context)
{
    while (view.unavailable > view.budget) {
        Server* lowest = nullptr;
        double lowestScore = 0;
        for (Server* server : m_pool.servers(view.index)) {
            const bool isUnavailableHere = server->state == ServerState::Ejected || server->state == ServerState::Trial || server->avoided;
            const double score = m_detector.assess(server->id).score;
            if (!isUnavailableHere || server->state == ServerState::Leaving || (lowest && score >= lowestScore))
                continue;
            lowest = server;
            lowestScore = score;
        }
        if (!lowest)
            return;
        lowest->avoided = false;
        returnToService(*lowest, view.config, "ejected slots exceed the limit set by the floor", context);
        // A server that a peer has ejected or on trial as well still counts as unavailable.
        if (!m_ejectionCounts.contains(lowest->id))
            view.unavailable -= std::min(view.unavailable, lowest->config.slots.value());
    }
}

void Ejector::ejectUnhealthy(ServiceView& view, const FleetView& fleet, Context& context)
{
    struct UnhealthyServer {
        Server* server;
        ServerAssessment assessment;
    };
    std::vector<UnhealthyServer> unhealthy;
    for (Server* server : m_pool.servers(view.index)) {
        if (server->state != ServerState::Serving)
            continue;
        const ServerAssessment assessment = m_detector.assess(server->id);
        if (isUnhealthy(*server, view, fleet, assessment))
            unhealthy.push_back({ server, assessment });
    }
    std::sort(unhealthy.begin(), unhealthy.end(), [](const UnhealthyServer& a, const UnhealthyServer& b) {
        return a.assessment.score != b.assessment.score ? a.assessment.score > b.assessment.score : a.server->id < b.server->id;
    });
    for (const UnhealthyServer& candidate : unhealthy) {
        const ServerAssessment& assessment = candidate.assessment;
        const bool hasSingleSource = fleet.live > 1 && assessment.topSourceShare > ONE_SOURCE_SHARE && !peersEjecting(candidate.server->id);
        if (!hasSingleSource)
            eject(*candidate.server, view, assessment, context);
        else if (assessment.topSourceIsSelf)
            avoid(*candidate.server, view, assessment, context);
    }
}

bool Ejector::isUnhealthy(const Server& server, const ServiceView& view, const FleetView& fleet, const ServerAssessment& assessment) const
{
    if (assessment.score >= view.threshold)
        return true;
    if (fleet.live > 1 && assessment.topSourceIsSelf && assessment.ownScore >= view.threshold * OWN_THRESHOLD_SHARE
        && assessment.topSourceShare > ONE_SOURCE_SHARE)
        return !server.avoided;
    const std::uint32_t ejecting = peersEjecting(server.id);
    const bool supported = ejecting && assessment.score >= view.threshold * PEER_SUPPORTED_THRESHOLD_SHARE;
    return supported || ejecting * 2 > fleet.live;
}

void Ejector::eject(Server& server, ServiceView& view, const ServerAssessment& assessment, Context& context)
{
    const std::uint32_t slots = server.config.slots.value();
    // The slots of avoided servers and of those that a peer has ejected or on trial are counted already.
    const std::uint32_t added = m_ejectionCounts.contains(server.id) || server.avoided ? 0 : slots;
    if (view.unavailable + added > view.budget)
        return withhold(server, view, assessment, context);
    view.unavailable += added;
    server.state = ServerState::Ejected;
    server.avoided = false;
    m_detector.removeFromBaseline(server.id);
    const Duration ejectionTime = startEjectionTime(server, context.now());
    context.report(DecisionKind::Ejected, server.config.name.value(), describeEvidence(assessment),
        describeBound(view.threshold, view.unavailable, view.budget), ejectionTime);
}

void Ejector::avoid(Server& server, ServiceView& view, const ServerAssessment& assessment, Context& context)
{
    if (server.avoided)
        return;
    if (view.unavailable + server.config.slots.value() > view.budget)
        return withhold(server, view, assessment, context);
    view.unavailable += server.config.slots.value();
    server.avoided = true;
    const Duration ejectionTime = startEjectionTime(server, context.now());
    context.report(DecisionKind::PathAvoided, server.config.name.value(), "observed by this instance only: " + describeEvidence(assessment),
        describeBound(view.threshold, view.unavailable, view.budget), ejectionTime);
}

void Ejector::withhold(const Server& server, const ServiceView& view, const ServerAssessment& assessment, Context& context)
{
    if (!m_withheldUntil.emplace(server.id, context.now() + WITHHOLD_REPORT_INTERVAL).second)
        return;
    context.report(DecisionKind::EjectionWithheld, server.config.name.value(), describeEvidence(assessment),
        describeBound(view.threshold, view.unavailable, view.budget), WITHHOLD_REPORT_INTERVAL);
}

void Ejector::onPeerEjections(std::uint64_t source, std::vector<PeerEjection> ejections, Time now)
{
    m_peerEjections[source] = PeerEjections { std::move(ejections), now };
}

std::uint32_t Ejector::peersEjecting(ServerId server) const
{
    const auto found = m_ejectionCounts.find(server);
    return found == m_ejectionCounts.end() ? 0 : found->second.ejected;
}

void Ejector::onLeaving(ServerId id, bool direct, Context& context)
{
    Server* server = m_pool.find(id);
    if (!server || server->state == ServerState::Removed)
        return;
    if (server->state != ServerState::Leaving)
        context.report(DecisionKind::Leaving, server->config.name.value(), direct ? "notice from the server or the platform" : "notice from a peer", {}, LEAVE_EXPIRY);
    server->state = ServerState::Leaving;
    server->stateEndsAt = context.now() + LEAVE_EXPIRY;
    if (direct)
        m_leavingNotices[id] = { server->config.incarnation, context.now() };
}

std::vector<PeerEjection> Ejector::ejections(const Sheet& sheet, Time now) const
{
    std::vector<PeerEjection> ejections;
    for (std::uint32_t i = 0; i < sheet.services.size(); ++i) {
        for (const Server* server : m_pool.servers(i)) {
            if (server->state == ServerState::Ejected)
                ejections.push_back({ server->id, std::max<Duration>(server->stateEndsAt - now, Millis { 1 }), server->ejectionCount });
            if (server->state == ServerState::Trial)
                ejections.push_back({ server->id, Duration {}, server->ejectionCount });
        }
    }
    return ejections;
}

std::vector<LeavingServer> Ejector::leavingToAnnounce(Time now)
{
    std::erase_if(m_leavingNotices, [now](const auto& row) { return now - row.second.at > LEAVE_ANNOUNCE_TIME; });
    std::vector<LeavingServer> servers;
    for (const auto& [server, notice] : m_leavingNotices)
        servers.push_back({ server, notice.incarnation });
    return servers;
}

} // namespace cornelwind
