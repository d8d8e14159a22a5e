// ServerPool: when a request waits for a grant of a limited server.
#include "cornelwind/server_pool.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr Duration LIMIT_CHECK_INTERVAL = std::chrono::seconds(2);
    // Time for a coordinator to reply, and the loss by that delay; 1 is the value of a response in time.
    constexpr Duration GRANT_REPLY_TIME = std::chrono::milliseconds(40);
    constexpr double GRANT_WAIT_COST = 0.02;
    // Longest wait for a grant while another server could take the request, and by how much the other must be riskier.
    constexpr Duration MAX_GRANT_WAIT = std::chrono::milliseconds(150);
    constexpr double MIN_RISK_GAIN = 0.1;

} // namespace

Time ServerPool::earliestOpening(std::uint32_t service, Time now) const
{
    std::optional<Time> earliest;
    for (const Server* server : m_services[service]) {
        if ((server->state != ServerState::Serving && server->state != ServerState::Trial) || server->avoided)
            continue;
        const Time opening = std::max(m_serverLimits.expectedOpening(server->id, now), server->backoffUntil);
        earliest = std::min(earliest.value_or(opening), opening);
    }
    return earliest.value_or(now);
}

// The time that a coordinator needs to reply is worth a limited server that costs less: otherwise the other servers, which many
// instances choose at once, fill up while the limited ones are left over. A short wait for a turn is worth one that is healthier,
// or that has not been asked for long: the fleet as a whole checks each limit about once in `LIMIT_CHECK_INTERVAL`.
bool ServerPool::isWorthWaiting(const PickContext& context, double chosenCost, double chosenRisk)
{
    const Duration checkInterval = LIMIT_CHECK_INTERVAL * static_cast<std::int64_t>(std::max<std::uint32_t>(m_position.instances, 1));
    const auto isWorse = [&](const UngrantedServer& server) {
        const Duration wait = context.waited + (m_serverLimits.expectedOpening(server.id, context.now) - context.now);
        if (wait < GRANT_REPLY_TIME && server.cost + GRANT_WAIT_COST < chosenCost)
            return false;
        const bool dueForCheck = context.now - m_serverLimits.find(server.id)->statedAt >= checkInterval;
        return wait >= std::min(MAX_GRANT_WAIT, context.waited + context.patience) || (server.risk + MIN_RISK_GAIN > chosenRisk && !dueForCheck);
    };
    if (std::all_of(m_withoutGrant.begin(), m_withoutGrant.end(), isWorse))
        return false;
    std::erase_if(m_withoutGrant, isWorse);
    return true;
}

// The servers that open first come first; one that has not been asked yet may open at once.
void ServerPool::wantGrants(const PickContext& context)
{
    const std::size_t count = std::min(m_withoutGrant.size(), std::max<std::size_t>(context.waiting, 1));
    const auto isBefore = [&](const UngrantedServer& a, const UngrantedServer& b) {
        const Time openingA = m_serverLimits.expectedOpening(a.id, context.now);
        const Time openingB = m_serverLimits.expectedOpening(b.id, context.now);
        return openingA != openingB ? openingA < openingB : a.cost < b.cost;
    };
    std::partial_sort(m_withoutGrant.begin(), m_withoutGrant.begin() + static_cast<std::ptrdiff_t>(count), m_withoutGrant.end(), isBefore);
    for (std::size_t i = 0; i < count; ++i)
        m_serverLimits.want(m_withoutGrant[i].id, context.patience, context.now);
}

} // namespace cornelwind
