#include "cornelwind/server_pool.h"

#include <algorithm>

namespace cornelwind {
namespace {

    std::uint64_t limitedBytes(ByteCount bodySize)
    {
        return bodySize.value() > ServerPool::UNLIMITED_BODY_BYTES ? bodySize.value() : 0;
    }

} // namespace

const char* toString(ServerState state)
{
    switch (state) {
    case ServerState::Serving:
        return "serving";
    case ServerState::Ejected:
        return "ejected";
    case ServerState::Trial:
        return "trial";
    case ServerState::Leaving:
        return "leaving";
    case ServerState::Removed:
        return "removed";
    }
    return "unknown";
}

ServerPool::ServerPool(std::unique_ptr<Selector> selector, ZoneName zone)
    : m_selector(std::move(selector))
    , m_zone(std::move(zone))
{
}

void ServerPool::applySheet(const Sheet& sheet, Time now)
{
    const bool first = m_services.empty();
    m_services.clear();
    m_placements.clear();
    std::unordered_map<ServerId, bool> listed;
    for (const SheetService& service : sheet.services) {
        auto& servers = m_services.emplace_back();
        m_placements.push_back(service.placement);
        for (const SheetServer& config : service.servers) {
            const ServerId id = serverIdOf(config.name);
            listed[id] = true;
            Server& server = m_servers[id];
            const bool isNew = server.id != id || server.config.incarnation != config.incarnation;
            if (isNew) {
                m_beliefs.forget(id);
                m_serverLimits.forget(id);
                server.knownSince = now;
                server.backoffUntil = {};
                if (server.state == ServerState::Leaving)
                    server.state = ServerState::Serving;
            }
            server.id = id;
            server.config = config;
            server.service = service.name;
            if (server.state == ServerState::Removed)
                server.state = ServerState::Serving;
            // With the first sheet after the start of this process, nothing indicates that a server has
            // just started.
            if (isNew && !first) {
                server.rampStart = now;
                server.rampEnd = now + config.warmup.value_or(service.coldStart);
            }
            servers.push_back(&server);
        }
    }
    for (auto& [id, server] : m_servers) {
        if (!listed.contains(id))
            server.state = ServerState::Removed;
    }
    std::erase_if(m_servers, [](const auto& row) { return row.second.state == ServerState::Removed && !row.second.inFlight; });
    m_trialBudgetEmptyAt.resize(m_services.size());
    redistributeSlots();
}

void ServerPool::setPosition(const FleetPosition& position)
{
    if (position == m_position)
        return;
    m_position = position;
    redistributeSlots();
}

Server* ServerPool::pick(std::uint32_t service, const PickContext& context)
{
    return m_placements[service] == Placement::Slots ? pickBySlots(service, context) : pickByCost(service, context);
}

Server* ServerPool::pickByCost(std::uint32_t service, const PickContext& context)
{
    Server* best = nullptr;
    double bestCost = 0;
    double bestRisk = 0;
    double lowestRisk = 1;
    for (const Server* server : m_services[service])
        lowestRisk = std::min(lowestRisk, m_beliefs.unhealthyProbability(server->id, context.now));
    std::uint64_t random = context.random;
    m_withoutGrant.clear();
    for (Server* server : m_services[service]) {
        if (!accepts(*server, context))
            continue;
        const std::uint32_t totalInFlight = server->inFlight + m_peerLoads.peerInFlight(server->id);
        if (totalInFlight >= server->config.slots.value() + context.overcommit)
            continue;
        const PlacementInput input { m_beliefs.unhealthyProbability(server->id, context.now), server->config.zone == m_zone, totalInFlight, server->inFlight, server->ownSlots, server->config.slots.value(),
            context.explorationAllowed && !m_beliefs.suspected(server->id) ? context.now - server->lastSentAt : Duration {}, context.riskWeight };
        if (input.risk > std::max(context.acceptableRisk, lowestRisk + context.acceptableRisk / 2))
            continue;
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        const double cost = expectedCost(input, random);
        if (!m_serverLimits.maySend(server->id, context.now))
            m_withoutGrant.push_back({ server->id, cost, input.risk });
        else if (!best || cost < bestCost) {
            best = server;
            bestCost = cost;
            bestRisk = input.risk;
        }
    }
    Server* trial = context.trialAllowed ? pickForTrial(service, context, best != nullptr) : nullptr;
    if (trial)
        return trial;
    if (best && !isWorthWaiting(context, bestCost, bestRisk))
        return best;
    wantGrants(context);
    return nullptr;
}

void ServerPool::learnPrevalence(Time now)
{
    // A fixed prior keeps the estimate from drifting if few servers are observed.
    constexpr double priorPrevalence = 0.05;
    constexpr double priorWeight = 0.2;
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        if (m_placements[i] != Placement::ExpectedCost || m_services[i].empty())
            continue;
        double sum = 0;
        for (const Server* server : m_services[i])
            sum += m_beliefs.unhealthyProbability(server->id, now);
        const double mean = sum / static_cast<double>(m_services[i].size());
        for (const Server* server : m_services[i])
            m_beliefs.setPrevalence(server->id, priorWeight * priorPrevalence + (1 - priorWeight) * mean, now);
    }
}

void ServerPool::recordPeerUse(ServerId id, bool answered, Time now)
{
    Server* server = find(id);
    if (!server)
        return;
    server->lastSentAt = std::max(server->lastSentAt, now);
    if (answered && !m_beliefs.isOnHold(id, now))
        m_beliefs.observeFromPeer(id, Observation::Success, now, now);
}

std::vector<ServerLoad> ServerPool::ownLoads() const
{
    std::vector<ServerLoad> loads;
    for (const auto& [id, server] : m_servers) {
        if (server.inFlight)
            loads.push_back({ id, server.inFlight });
    }
    return loads;
}

Server* ServerPool::pickBySlots(std::uint32_t service, const PickContext& context)
{
    m_candidates.clear();
    // An instance without a reserved slot can only use those of others.
    const bool mayBorrow = context.borrowAllowed || !hasReservedSlot(service);
    m_withoutGrant.clear();
    for (const Server* server : m_services[service]) {
        const bool wouldBorrow = server->ownSlots <= server->inFlight && server->state != ServerState::Trial;
        if (!accepts(*server, context) || (!mayBorrow && wouldBorrow))
            continue;
        if (!m_serverLimits.maySend(server->id, context.now))
            m_withoutGrant.push_back({ server->id, static_cast<double>(server->inFlight), 0 });
        else
            m_candidates.push_back({ server->id, server->inFlight, server->ownSlots, server->config.slots.value() });
    }
    if (m_candidates.empty())
        wantGrants(context);
    const auto position = m_selector->select(m_candidates, context.random);
    return position ? find(m_candidates[*position].server) : nullptr;
}

bool ServerPool::hasUsable(std::uint32_t service) const
{
    const auto& servers = m_services[service];
    return std::any_of(servers.begin(), servers.end(), [](const Server* server) {
        return (server->state == ServerState::Serving || server->state == ServerState::Trial) && !server->avoided;
    });
}

bool ServerPool::hasReservedSlot(std::uint32_t service) const
{
    const auto& servers = m_services[service];
    return std::any_of(servers.begin(), servers.end(), [](const Server* server) { return server->ownSlots > 0; });
}

Server* ServerPool::find(ServerId id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const Server* ServerPool::find(ServerId id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerPool::begin(Server& server, Time now, ByteCount bodySize)
{
    m_serverLimits.use(server.id, now);
    server.lastSentAt = now;
    ++server.inFlight;
    server.bodyBytes = ByteCount { server.bodyBytes.value() + limitedBytes(bodySize) };
}

void ServerPool::end(ServerId id, ByteCount bodySize)
{
    Server* server = find(id);
    if (!server || !server->inFlight)
        return;
    --server->inFlight;
    server->bodyBytes = ByteCount { server->bodyBytes.value() - limitedBytes(bodySize) };
    if (server->state == ServerState::Removed && !server->inFlight)
        m_servers.erase(id);
}

std::span<Server* const> ServerPool::servers(std::uint32_t service) const
{
    return m_services[service];
}

bool ServerPool::accepts(const Server& server, const PickContext& context) const
{
    const bool stateAllows = server.state == ServerState::Serving || (server.state == ServerState::Trial && context.trialAllowed);
    if (!stateAllows || server.avoided || server.busyUntil > context.now || server.backoffUntil > context.now)
        return false;
    if (server.inFlight >= limit(server, context.now) || !hasRoomForBody(server, context.bodySize))
        return false;
    return std::find(context.excluded.begin(), context.excluded.end(), server.id) == context.excluded.end();
}

bool ServerPool::hasRoomForBody(const Server& server, ByteCount bodySize) const
{
    const std::uint64_t bytes = limitedBytes(bodySize);
    return !bytes || !server.bodyBytes.value() || server.bodyBytes.value() + bytes <= m_maxBodyBytes.value();
}

std::uint32_t ServerPool::limit(const Server& server, Time now) const
{
    if (server.state == ServerState::Trial)
        return 1;
    const std::uint32_t connectionShare = std::max<std::uint32_t>(server.config.connections / std::max<std::uint32_t>(m_position.instances, 1), 1);
    const std::uint32_t full = std::min(server.config.slots.value(), connectionShare);
    if (now >= server.rampEnd)
        return full;
    const auto done = (now - server.rampStart).count() * full;
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(done / (server.rampEnd - server.rampStart).count()), 1);
}

void ServerPool::redistributeSlots()
{
    for (std::size_t i = 0; i < m_services.size(); ++i)
        m_placements[i] == Placement::Slots ? shareSlotsInFleet(m_services[i]) : shareSlotsInZone(m_services[i]);
}

void ServerPool::shareSlotsInFleet(std::vector<Server*>& servers)
{
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (const Server* server : servers)
        candidates.push_back({ server->id, 0, 0, server->state == ServerState::Serving ? server->config.slots.value() : 0 });
    shareSlots(candidates, m_position.rank, std::max<std::uint32_t>(m_position.instances, 1));
    for (std::size_t i = 0; i < servers.size(); ++i)
        servers[i]->ownSlots = candidates[i].ownSlots;
}

// The instances of a zone divide the slots of the servers of that zone, since requests within a zone cost least.
void ServerPool::shareSlotsInZone(std::vector<Server*>& servers)
{
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (const Server* server : servers) {
        const bool participates = server->state == ServerState::Serving && server->config.zone == m_zone;
        candidates.push_back({ server->id, 0, 0, participates ? server->config.slots.value() : 0 });
    }
    shareSlots(candidates, m_position.zoneRank, std::max<std::uint32_t>(m_position.zoneInstances, 1));
    for (std::size_t i = 0; i < servers.size(); ++i)
        servers[i]->ownSlots = candidates[i].ownSlots;
}

} // namespace cornelwind
