// ServerPool: when suspected servers get a trial request, and why idle servers get none.
#include "cornelwind/server_pool.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Gain from one more healthy server; 1 is the value of a response in time. It falls exponentially
    // with the share of free slots, from MAX_GAIN with no free slot to MIN_GAIN at about 16 % free
    // slots. MIN_GAIN is at least the cost of a failed request, so a server that is more likely healthy
    // than unhealthy still gets requests.
    constexpr double MAX_GAIN = 10;
    constexpr double FREE_SHARE_SCALE = 0.07;
    constexpr double MIN_GAIN = 1;

    // Longest interval between the turns of two successive instances to try a suspected server. The outcome of a trial
    // reaches the others within milliseconds.
    constexpr Duration MAX_TURN_INTERVAL = std::chrono::milliseconds(200);
    // All instances have had their turn after this time, whatever their number.
    constexpr Duration MAX_TURN_CYCLE = std::chrono::seconds(1);

    // Longest time from the last request of a suspected server to its next trial, before the turns of the instances, while
    // many requests are lost. A server that has failed for long may wait this part of that time instead.
    constexpr Duration MAX_TRIAL_WAIT = std::chrono::seconds(3);
    constexpr int FAILURE_AGE_DIVISOR = 4;
    // The same at other times, when each failed trial costs more than an idle server. A longer failure doubles the wait.
    constexpr Duration MAX_CALM_TRIAL_WAIT = std::chrono::seconds(30);

    // Time until the turn of the instance at `position` of `instances`.
    Duration turnDelay(std::uint64_t position, std::uint32_t instances)
    {
        const std::uint32_t count = std::max<std::uint32_t>(instances, 1);
        return std::min(MAX_TURN_INTERVAL, MAX_TURN_CYCLE / count) * static_cast<std::int64_t>(position % count);
    }

    // Highest risk at which the expected gain of a trial outweighs its expected cost: (1 - risk) * gain >= risk * trialCost.
    double trialRiskLimit(double freeShare, double trialCost)
    {
        const double gain = std::max(MAX_GAIN * std::exp(-freeShare / FREE_SHARE_SCALE), MIN_GAIN);
        return gain / (gain + trialCost);
    }

} // namespace

// A request that no other server can take may be a trial even if the trial budget is used up.
Server* ServerPool::pickForTrial(std::uint32_t service, const PickContext& context, bool hasOther)
{
    if (Server* overdue = pickOverdue(service, context))
        return overdue;
    const double riskLimit = trialRiskLimit(hasOther ? freeShare(service, context.now) : 0, context.trialCost);
    Server* best = nullptr;
    double lowestRisk = riskLimit;
    for (Server* server : m_services[service]) {
        if (server->inFlight || !m_beliefs.suspected(server->id) || !accepts(*server, context) || reasonAgainstTrial(*server, riskLimit, context.now))
            continue;
        const double risk = m_beliefs.unhealthyProbability(server->id, context.now - trialDelay(*server));
        if (risk > lowestRisk)
            continue;
        if (!m_serverLimits.maySend(server->id, context.now)) {
            m_serverLimits.want(server->id, hasOther ? Duration {} : context.patience, context.now);
            continue;
        }
        lowestRisk = risk;
        best = server;
    }
    if (!best || !hasOther || context.trialBudgeted)
        return best;
    m_trialBudgetEmptyAt[service] = context.now;
    return nullptr;
}

// The server that has waited longest beyond its limit. Its risk and the trial budget do not matter, so that a server that
// has recovered gets a request within a bounded time, whatever the model has learned.
Server* ServerPool::pickOverdue(std::uint32_t service, const PickContext& context)
{
    Server* longest = nullptr;
    Duration longestOverdue { -1 };
    for (Server* server : m_services[service]) {
        if (server->inFlight || !m_beliefs.dueForTrial(server->id, context.now) || !accepts(*server, context))
            continue;
        const Duration overdue = context.now - trialDeadline(*server, context.manyRequestsLost);
        if (overdue <= longestOverdue)
            continue;
        if (!m_serverLimits.maySend(server->id, context.now)) {
            m_serverLimits.want(server->id, Duration {}, context.now);
            continue;
        }
        longestOverdue = overdue;
        longest = server;
    }
    return longest;
}

Time ServerPool::trialDeadline(const Server& server, bool manyRequestsLost) const
{
    const Belief& belief = *m_beliefs.find(server.id);
    const Time lastTried = std::max(server.lastSentAt, belief.lastFailureSentAt);
    const Duration age = lastTried - belief.firstFailureSentAt;
    const Duration wait = manyRequestsLost ? std::max(MAX_TRIAL_WAIT, age / FAILURE_AGE_DIVISOR) : std::max(MAX_CALM_TRIAL_WAIT, age);
    // The instances of the zone of a server know its last request; others leave it to them unless they fail to try it.
    return lastTried + (server.config.zone == m_zone ? wait : 2 * wait) + turn(server);
}

std::optional<IdleReason> ServerPool::reasonAgainstTrial(const Server& server, double riskLimit, Time now) const
{
    if (!m_beliefs.dueForTrial(server.id, now))
        return IdleReason::OnHold;
    const Time at = now - trialDelay(server);
    if (!m_beliefs.dueForTrial(server.id, at))
        return IdleReason::NotItsTurn;
    if (m_beliefs.unhealthyProbability(server.id, at) > riskLimit)
        return IdleReason::ProbablyUnhealthy;
    return std::nullopt;
}

IdleReason ServerPool::idleReason(std::uint32_t service, const Server& server, Time now) const
{
    constexpr Duration budgetReportTime = std::chrono::seconds(1);
    constexpr double orderTrialCost = 1;
    if (server.state != ServerState::Serving || server.avoided)
        return IdleReason::NotServing;
    if (server.busyUntil > now || server.backoffUntil > now)
        return IdleReason::Shedding;
    if (!m_serverLimits.maySend(server.id, now))
        return IdleReason::Limited;
    if (!m_beliefs.suspected(server.id))
        return IdleReason::NoRequest;
    if (const auto reason = reasonAgainstTrial(server, trialRiskLimit(freeShare(service, now), orderTrialCost), now))
        return *reason;
    return now - m_trialBudgetEmptyAt[service] < budgetReportTime ? IdleReason::NoTrialBudget : IdleReason::NoRequest;
}

// Share of the slots of a service that are free on serving servers that are not suspected and may be sent to.
double ServerPool::freeShare(std::uint32_t service, Time now) const
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    for (const Server* server : m_services[service]) {
        const std::uint32_t serverSlots = server->config.slots.value();
        slots += serverSlots;
        if (server->state != ServerState::Serving || m_beliefs.suspected(server->id) || !m_serverLimits.maySend(server->id, now))
            continue;
        freeSlots += serverSlots - std::min(serverSlots, server->inFlight + m_peerLoads.peerInFlight(server->id));
    }
    return slots ? static_cast<double>(freeSlots) / slots : 0;
}

// Staggers the trials of a suspected server: one instance after the other may try it, those of its
// zone first, so that one trial is enough for all of them.
Duration ServerPool::trialDelay(const Server& server) const
{
    constexpr Duration otherZoneDelay = std::chrono::milliseconds(1500);
    return server.config.zone == m_zone ? turn(server) : otherZoneDelay + turn(server);
}

Duration ServerPool::turn(const Server& server) const
{
    const std::uint64_t hash = server.id.value();
    if (server.config.zone != m_zone)
        return turnDelay(m_position.rank + hash, m_position.instances);
    return turnDelay(m_position.zoneRank + hash, m_position.zoneInstances);
}

} // namespace cornelwind
