#include "belief_exchange.h"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    // Instances that start at the same time have few observations yet, so the reply of one may not be enough.
    constexpr std::size_t MAX_BELIEF_REQUESTS = 3;
    // After a longer time without a tick the process was paused and has missed observations of its peers.
    constexpr Duration MAX_TICK_GAP = std::chrono::seconds(1);
    // Upper limit of the ages that peers state: 1 h, since no request lasts longer.
    constexpr std::uint64_t MAX_AGE_US = 3'600'000'000;
    // Limits the message to about 16 KB.
    constexpr std::size_t MAX_SUSPICIONS_SENT = 500;
    constexpr double PERMILLE = 1000;

    std::uint64_t ageInUs(Time time, Time now)
    {
        return static_cast<std::uint64_t>(std::max<Duration::rep>((now - time).count(), 0));
    }

    Time timeFromAge(std::uint64_t ageUs, Time now)
    {
        return now - Duration { std::min(ageUs, MAX_AGE_US) };
    }

} // namespace

BeliefExchange::BeliefExchange(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_broadcast(dependencies.members, dependencies.gossip)
{
}

void BeliefExchange::onTick(Context& context)
{
    if (context.now() - m_lastTick > MAX_TICK_GAP)
        m_requestedFrom.clear();
    m_lastTick = context.now();
    m_broadcast.expire(context.now());
    requestBeliefs(context);
    sendLoads(context);
}

void BeliefExchange::observed(ServerId server, Observation observation, Time sentAt, const std::string& request, Context& context)
{
    BeliefTable& beliefs = m_dependencies.pool.beliefs();
    if (observation == Observation::Success && !beliefs.isStale(server, sentAt))
        m_answered.insert(server);
    if (!beliefs.observe(server, observation, sentAt, context.now()))
        return;
    reportBelief(server, observation, "request " + request, context);
    if (observation != Observation::Unreachable)
        sendOutcome(server, observation, sentAt, context);
}

// The outcome is sent at once. Otherwise each of many instances with few requests would lose one to the same server.
void BeliefExchange::sendOutcome(ServerId server, Observation observation, Time sentAt, Context& context)
{
    peer::Envelope message;
    peer::OutcomeRow& row = *message.mutable_outcomes()->add_rows();
    row.set_server(server.value());
    row.set_observation(static_cast<std::uint32_t>(observation));
    row.set_sent_ago_us(ageInUs(sentAt, context.now()));
    m_broadcast.send(message, context);
}

void BeliefExchange::onOutcomes(const peer::Envelope& message, const MemberRecord& sender, Context& context)
{
    if (!m_broadcast.receive(message, context))
        return;
    BeliefTable& beliefs = m_dependencies.pool.beliefs();
    for (const peer::OutcomeRow& row : message.outcomes().rows()) {
        if (row.observation() >= OBSERVATIONS)
            continue;
        const ServerId server { row.server() };
        const auto observation = static_cast<Observation>(row.observation());
        const Time sentAt = timeFromAge(row.sent_ago_us(), context.now());
        if (!m_dependencies.pool.find(server) || (observation == Observation::Success && beliefs.isStale(server, sentAt)))
            continue;
        beliefs.observeFromPeer(server, observation, sentAt, context.now());
        reportBelief(server, observation, "instance " + sender.name.value(), context);
    }
}

void BeliefExchange::requestBeliefs(Context& context)
{
    if (m_requestedFrom.size() >= MAX_BELIEF_REQUESTS)
        return;
    for (const MemberRecord* member : m_dependencies.members.live()) {
        if (!m_requestedFrom.insert(member->name).second)
            continue;
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_beliefs_request();
        m_dependencies.gossip.send(*member, std::move(message), context);
        if (m_requestedFrom.size() >= MAX_BELIEF_REQUESTS)
            return;
    }
}

void BeliefExchange::onBeliefsRequest(const MemberRecord& sender, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    peer::BeliefsReply& reply = *message->mutable_beliefs_reply();
    const BeliefTable& beliefs = m_dependencies.pool.beliefs();
    for (const Suspicion& suspicion : beliefs.suspicions(MAX_SUSPICIONS_SENT)) {
        peer::SuspicionRow& row = *reply.add_suspicions();
        row.set_server(suspicion.server.value());
        row.set_sick_permille(static_cast<std::uint32_t>(suspicion.unhealthyProbability * PERMILLE));
        row.set_failed_from_ago_us(ageInUs(suspicion.firstFailureSentAt, context.now()));
        row.set_failed_at_ago_us(ageInUs(suspicion.lastFailureSentAt, context.now()));
    }
    for (const RecoveryModel::Interval& interval : beliefs.recovery().intervals()) {
        peer::RecoveryRow& row = *reply.add_recovery();
        row.set_recoveries(interval.recoveries);
        row.set_sick_seconds(interval.unhealthySeconds);
    }
    m_dependencies.gossip.send(sender, std::move(message), context);
}

void BeliefExchange::onBeliefsReply(const peer::BeliefsReply& reply, const MemberRecord& sender, Context& context)
{
    BeliefTable& beliefs = m_dependencies.pool.beliefs();
    for (const peer::SuspicionRow& row : reply.suspicions()) {
        const Suspicion suspicion { ServerId { row.server() }, row.sick_permille() / PERMILLE,
            timeFromAge(row.failed_from_ago_us(), context.now()), timeFromAge(row.failed_at_ago_us(), context.now()) };
        if (m_dependencies.pool.find(suspicion.server) && beliefs.adopt(suspicion, context.now()))
            reportBelief(suspicion.server, Observation::Failure, "suspicion reported by instance " + sender.name.value(), context);
    }
    std::vector<RecoveryModel::Interval> intervals;
    for (const peer::RecoveryRow& row : reply.recovery())
        intervals.push_back({ row.recoveries(), row.sick_seconds() });
    beliefs.adoptRecovery(intervals);
}

// Loads are sent on each change, but only within the availability zone: its instances share the servers, and messages
// are cheap there.
void BeliefExchange::sendLoads(Context& context)
{
    m_dependencies.pool.peerLoads().expire(context.now());
    std::vector<ServerLoad> loads = m_dependencies.pool.ownLoads();
    if (loads == m_sentLoads && m_answered.empty() && context.now() < m_nextLoads)
        return;
    m_nextLoads = context.now() + PeerLoadTable::LIFETIME / 3;
    auto message = std::make_shared<peer::Envelope>();
    for (const ServerLoad& load : loads) {
        peer::LoadRow& row = *message->mutable_loads()->add_rows();
        row.set_server(load.server.value());
        row.set_in_flight(load.inFlight);
        row.set_answered(m_answered.erase(load.server) > 0);
    }
    for (const ServerId server : std::exchange(m_answered, {})) {
        peer::LoadRow& row = *message->mutable_loads()->add_rows();
        row.set_server(server.value());
        row.set_answered(true);
    }
    for (const ResultCount& count : m_dependencies.losses.takeUnsent()) {
        peer::ResultRow& row = *message->mutable_loads()->add_results();
        row.set_service(count.service.value());
        row.set_served(count.served);
        row.set_lost(count.lost);
    }
    // Sets the field even without rows, so that an empty report replaces the previous one.
    message->mutable_loads();
    m_sentLoads = std::move(loads);
    for (const MemberRecord* member : m_dependencies.members.live()) {
        if (member->zone == m_dependencies.members.zone())
            m_dependencies.gossip.send(*member, std::make_shared<peer::Envelope>(*message), context);
    }
}

void BeliefExchange::onLoads(const peer::Loads& loads, const MemberRecord& sender, Context& context)
{
    std::vector<ServerLoad> rows;
    for (const peer::LoadRow& row : loads.rows()) {
        m_dependencies.pool.recordPeerUse(ServerId { row.server() }, row.answered(), context.now());
        if (row.in_flight())
            rows.push_back({ ServerId { row.server() }, row.in_flight() });
    }
    for (const peer::ResultRow& row : loads.results())
        m_dependencies.losses.recordPeer({ ServiceId { row.service() }, row.served(), row.lost() }, context.now());
    m_dependencies.pool.peerLoads().report(sender.name, std::move(rows), context.now());
}

void BeliefExchange::reportBelief(ServerId id, Observation observation, const std::string& source, Context& context) const
{
    const Server* server = m_dependencies.pool.find(id);
    if (!server)
        return;
    const auto percent = static_cast<int>(m_dependencies.pool.beliefs().unhealthyProbability(id, context.now()) * 100);
    const DecisionKind kind = observation == Observation::Success ? DecisionKind::ServerCleared : DecisionKind::ServerSuspected;
    context.report(kind, server->config.name.value(), std::string(toString(observation)) + ", " + source, "unhealthy with probability " + std::to_string(percent) + "%");
}

} // namespace cornelwind
