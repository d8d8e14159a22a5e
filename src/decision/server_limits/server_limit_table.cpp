#include "cornelwind/server_limit_table.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // A smaller change of a limit is not worth a message.
    constexpr double MIN_CHANGE = 0.05;

} // namespace

LimitChange ServerLimitTable::state(ServerId server, std::optional<double> perSecond, Time statedAt, const std::string& source, Time now)
{
    const auto found = m_rows.find(server);
    const bool wasLimited = found != m_rows.end() && found->second.limit.holds();
    if (found != m_rows.end() && statedAt <= found->second.limit.statedAt)
        return LimitChange::None;
    if (!perSecond) {
        if (found == m_rows.end())
            return LimitChange::None;
        found->second = Row { Limit { 0, now, statedAt, source } };
        return wasLimited ? LimitChange::Ended : LimitChange::None;
    }
    const double bounded = std::clamp(*perSecond, Limit::MIN_PER_SECOND, Limit::MAX_PER_SECOND);
    if (!wasLimited) {
        m_rows[server] = Row { Limit { bounded, now, statedAt, source } };
        return LimitChange::Begun;
    }
    Limit& limit = found->second.limit;
    const bool changes = std::abs(bounded - limit.perSecond) > MIN_CHANGE * limit.perSecond;
    limit.statedAt = statedAt;
    if (!changes)
        return LimitChange::None;
    limit.perSecond = bounded;
    limit.source = source;
    return LimitChange::Changed;
}

void ServerLimitTable::expire(Time now)
{
    std::erase_if(m_rows, [now](const auto& row) { return !row.second.limit.holds() && now - row.second.limit.statedAt > ENDED_LIFETIME; });
}

const Limit* ServerLimitTable::find(ServerId server) const
{
    const auto found = m_rows.find(server);
    return found == m_rows.end() ? nullptr : &found->second.limit;
}

const ServerLimitTable::Row* ServerLimitTable::findLimited(ServerId server) const
{
    const auto found = m_rows.find(server);
    return found == m_rows.end() || !found->second.limit.holds() ? nullptr : &found->second;
}

bool ServerLimitTable::isLimited(ServerId server) const
{
    return findLimited(server);
}

bool ServerLimitTable::maySend(ServerId server, Time now) const
{
    const Row* row = findLimited(server);
    return !row || (!row->grants.empty() && row->grants.back().expiresAt > now);
}

void ServerLimitTable::use(ServerId server, Time now)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end())
        return;
    std::vector<Grant>& grants = found->second.grants;
    const auto usable = std::find_if(grants.begin(), grants.end(), [now](const Grant& grant) { return grant.expiresAt > now; });
    if (usable != grants.end())
        grants.erase(usable);
}

void ServerLimitTable::want(ServerId server, Duration patience, Time now)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end())
        return;
    found->second.wantedAt = now;
    found->second.wantedUntil = std::max(found->second.wantedUntil, now + patience);
}

std::vector<std::pair<ServerId, Duration>> ServerLimitTable::wanted(Time now) const
{
    std::vector<std::pair<ServerId, Duration>> servers;
    for (const auto& [server, row] : m_rows) {
        const bool isWanted = row.limit.holds() && row.wantedAt > Time {} && now - row.wantedAt < WANT_LIFETIME;
        if (isWanted && !maySend(server, now))
            servers.emplace_back(server, std::max(row.wantedUntil - now, Duration {}));
    }
    return servers;
}

void ServerLimitTable::addGrant(ServerId server, const InstanceName& coordinator, Time now)
{
    const auto found = m_rows.find(server);
    if (found == m_rows.end() || !found->second.limit.holds())
        return;
    found->second.grants.push_back({ now + GRANT_LIFETIME, coordinator });
    found->second.expectedAt = {};
}

std::vector<std::pair<ServerId, InstanceName>> ServerLimitTable::takeUnused(Time now)
{
    std::vector<std::pair<ServerId, InstanceName>> unused;
    for (auto& [server, row] : m_rows) {
        for (const Grant& grant : row.grants) {
            if (grant.expiresAt <= now)
                unused.emplace_back(server, grant.coordinator);
        }
        std::erase_if(row.grants, [now](const Grant& grant) { return grant.expiresAt <= now; });
    }
    return unused;
}

void ServerLimitTable::expectGrant(ServerId server, Time at)
{
    const auto found = m_rows.find(server);
    if (found != m_rows.end())
        found->second.expectedAt = at;
}

Time ServerLimitTable::expectedOpening(ServerId server, Time now) const
{
    const Row* row = findLimited(server);
    return !row || maySend(server, now) ? now : std::max(row->expectedAt, now);
}

} // namespace cornelwind
