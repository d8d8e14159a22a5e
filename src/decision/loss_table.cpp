#include "loss_table.h"

namespace cornelwind {
namespace {

    constexpr Duration WINDOW = std::chrono::seconds(1);
    // Fewer requests say little about the share.
    constexpr std::uint32_t MIN_REQUESTS = 10;
    constexpr double HIGH_SHARE = 0.1;

} // namespace

void LossTable::recordOwn(ServiceId service, bool served, Time now)
{
    const ResultCount count { service, served ? 1U : 0U, served ? 0U : 1U };
    ResultCount& unsent = m_unsent.try_emplace(service, ResultCount { service, 0, 0 }).first->second;
    unsent.served += count.served;
    unsent.lost += count.lost;
    add(count, now);
}

void LossTable::recordPeer(const ResultCount& count, Time now)
{
    add(count, now);
}

void LossTable::add(const ResultCount& count, Time now)
{
    Windows& windows = m_windows[count.service];
    if (now - windows.current.start >= WINDOW) {
        windows.previous = windows.current;
        windows.current = { now, 0, 0 };
    }
    windows.current.requests += count.served + count.lost;
    windows.current.lost += count.lost;
}

std::vector<ResultCount> LossTable::takeUnsent()
{
    std::vector<ResultCount> counts;
    for (const auto& [service, count] : m_unsent)
        counts.push_back(count);
    m_unsent.clear();
    return counts;
}

bool LossTable::isHigh(ServiceId service, Time now) const
{
    const auto found = m_windows.find(service);
    if (found == m_windows.end())
        return false;
    std::uint32_t requests = 0;
    std::uint32_t lost = 0;
    for (const Window& window : { found->second.current, found->second.previous }) {
        if (now - window.start >= 2 * WINDOW)
            continue;
        requests += window.requests;
        lost += window.lost;
    }
    return requests >= MIN_REQUESTS && lost > HIGH_SHARE * requests;
}

} // namespace cornelwind
