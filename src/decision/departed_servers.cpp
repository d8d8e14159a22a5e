#include "departed_servers.h"

namespace cornelwind {

void DepartedServers::add(const PublishedServer& server, StorePosition position, Time now)
{
    if (position.era.value())
        m_departures[server.name] = { position, server.incarnation, server.leaving, now };
}

std::optional<DepartedServers::Departure> DepartedServers::find(const ServerName& name) const
{
    const auto found = m_departures.find(name);
    return found == m_departures.end() ? std::nullopt : std::optional(found->second);
}

void DepartedServers::expire(Time now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + KEEP_TIME;
    std::erase_if(m_departures, [&](const auto& row) { return now - row.second.at > KEEP_TIME; });
}

} // namespace cornelwind
