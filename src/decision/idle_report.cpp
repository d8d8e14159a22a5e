#include "idle_report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cornelwind {
namespace {

    // The log cuts off longer reports.
    constexpr std::size_t MAX_NAMED_SERVERS = 2;

    // Returns ", WORD 3.2 s ago", or nothing if the time is not set.
    std::string describeAge(const char* word, Time time, Time now)
    {
        if (time == Time {})
            return {};
        std::array<char, 48> text {};
        std::snprintf(text.data(), text.size(), ", %s %.1f s ago", word, std::chrono::duration<double>(now - time).count());
        return text.data();
    }

} // namespace

IdleReport::IdleReport(const ServerPool& pool, const MemberTable& members)
    : m_pool(pool)
    , m_members(members)
{
}

bool IdleReport::isIdle(const Server& server, Time now)
{
    return now - server.lastSentAt >= IDLE_TIME && now - server.knownSince >= IDLE_TIME && !server.inFlight;
}

void IdleReport::onTick(Context& context)
{
    if (context.now() < m_nextReport || m_members.zoneRank() > 0)
        return;
    m_nextReport = context.now() + IDLE_TIME;
    for (std::uint32_t i = 0; i < m_pool.serviceCount(); ++i) {
        if (m_pool.placement(i) == Placement::ExpectedCost)
            reportService(i, context);
    }
}

void IdleReport::reportService(std::uint32_t service, Context& context) const
{
    std::vector<IdleServer> idle;
    std::size_t servers = 0;
    for (const Server* server : m_pool.servers(service)) {
        if (server->config.zone != m_members.zone())
            continue;
        ++servers;
        if (isIdle(*server, context.now()))
            idle.push_back({ server, m_pool.idleReason(service, *server, context.now()) });
    }
    std::sort(idle.begin(), idle.end(), [](const IdleServer& a, const IdleServer& b) { return a.server->lastSentAt < b.server->lastSentAt; });
    // A service without any request has no load.
    if (!idle.empty() && idle.size() < servers)
        context.report(DecisionKind::ServersIdle, idle.front().server->service.value(), describe(idle, servers, context.now()), "no request for 2 s");
}

std::string IdleReport::describe(const std::vector<IdleServer>& idle, std::size_t servers, Time now) const
{
    std::array<std::size_t, IDLE_REASONS> counts {};
    for (const IdleServer& row : idle)
        ++counts.at(static_cast<std::size_t>(row.reason));
    std::string text = std::to_string(idle.size()) + " of " + std::to_string(servers) + " servers of the zone:";
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (counts.at(i))
            text += std::string(" ") + toString(static_cast<IdleReason>(i)) + " " + std::to_string(counts.at(i));
    }
    for (std::size_t i = 0; i < std::min(idle.size(), MAX_NAMED_SERVERS); ++i)
        text += "; " + describe(idle[i], now);
    return text;
}

std::string IdleReport::describe(const IdleServer& idle, Time now) const
{
    std::string text = idle.server->config.name.value() + " " + toString(idle.reason);
    const Belief* belief = m_pool.beliefs().find(idle.server->id);
    if (!belief)
        return text;
    text += ", risk " + std::to_string(static_cast<int>(m_pool.beliefs().unhealthyProbability(idle.server->id, now) * 100)) + "%";
    return text + describeAge("failed", belief->lastFailureSentAt, now) + describeAge("answered", belief->lastSuccessSentAt, now);
}

} // namespace cornelwind
