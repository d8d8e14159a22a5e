#include "cornelwind/peer_load_table.h"

#include <utility>

namespace cornelwind {

void PeerLoadTable::report(const InstanceName& from, std::vector<ServerLoad> loads, Time now)
{
    Report& report = m_reports[from];
    subtract(report);
    report = { std::move(loads), now };
    for (const ServerLoad& load : report.loads)
        m_peerInFlight[load.server] += load.inFlight;
}

void PeerLoadTable::expire(Time now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now - report->second.receivedAt < LIFETIME) {
            ++report;
            continue;
        }
        subtract(report->second);
        report = m_reports.erase(report);
    }
}

std::uint32_t PeerLoadTable::peerInFlight(ServerId server) const
{
    const auto found = m_peerInFlight.find(server);
    return found == m_peerInFlight.end() ? 0 : found->second;
}

void PeerLoadTable::subtract(const Report& report)
{
    for (const ServerLoad& load : report.loads) {
        const auto sum = m_peerInFlight.find(load.server);
        if (sum == m_peerInFlight.end())
            continue;
        sum->second -= load.inFlight;
        if (!sum->second)
            m_peerInFlight.erase(sum);
    }
}

} // namespace cornelwind
