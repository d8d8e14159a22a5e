#include "server_limits/grant_coordinator.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // A server for which nobody has asked for this time is forgotten.
    constexpr Duration IDLE_LIFETIME = std::chrono::seconds(30);
    // Grants that nobody asks for are saved up for this time.
    constexpr Duration MAX_SAVED = std::chrono::seconds(1);
    constexpr Duration MIN_PATIENCE = std::chrono::milliseconds(20);

    Duration intervalOf(double rate)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate));
    }

} // namespace

Duration GrantCoordinator::ask(ServerId server, const InstanceName& instance, Duration patience, double rate, Time now)
{
    Row& row = m_rows.try_emplace(server, Row { now, now, {} }).first->second;
    std::erase_if(row.waiting, [now](const Waiting& waiting) { return waiting.expiresAt <= now; });
    const auto place = std::find_if(row.waiting.begin(), row.waiting.end(), [&](const Waiting& waiting) { return waiting.instance == instance; });
    const Duration interval = intervalOf(rate);
    const Duration untilNext = std::max<Duration>(row.dueAt - now, Duration {});
    const Duration wait = untilNext + interval * (place - row.waiting.begin());
    // A grant that is due at once waits for the next tick.
    const Time expiresAt = now + std::max(patience, MIN_PATIENCE);
    if (place != row.waiting.end())
        place->expiresAt = expiresAt;
    else if (wait <= patience)
        row.waiting.push_back({ instance, expiresAt });
    return wait;
}

void GrantCoordinator::giveBack(ServerId server, double rate, Time now)
{
    const auto found = m_rows.find(server);
    if (found != m_rows.end() && rate > 0)
        found->second.dueAt = std::min(found->second.dueAt - intervalOf(rate), now);
}

std::vector<GrantCoordinator::Grant> GrantCoordinator::takeDue(const Rate& rate, Time now)
{
    std::vector<Grant> grants;
    for (auto& [server, row] : m_rows) {
        const double perSecond = row.waiting.empty() ? 0 : rate(server);
        if (perSecond > 0)
            grantDue(server, row, perSecond, now, grants);
    }
    std::erase_if(m_rows, [now](const auto& row) { return now - std::max(row.second.dueAt, row.second.since) > IDLE_LIFETIME; });
    return grants;
}

void GrantCoordinator::grantDue(ServerId server, Row& row, double rate, Time now, std::vector<Grant>& grants)
{
    std::erase_if(row.waiting, [now](const Waiting& waiting) { return waiting.expiresAt <= now; });
    const Duration interval = intervalOf(rate);
    while (!row.waiting.empty() && row.dueAt <= now) {
        row.dueAt = std::max(row.dueAt, now - MAX_SAVED) + interval;
        grants.push_back({ server, row.waiting.front().instance });
        row.waiting.pop_front();
    }
}

std::optional<Time> GrantCoordinator::coordinatedSince(ServerId server) const
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second.since;
}

} // namespace cornelwind
