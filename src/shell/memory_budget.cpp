#include "memory_budget.h"

#include "log.h"

#include <string>
#include <vector>

namespace cornelwind {
namespace {

    // Ticks come every 10 ms. A longer gap than this means that the process itself did not run.
    constexpr Duration MAX_TICK_GAP = std::chrono::milliseconds(200);

    // Interval at which the progress of all transfers is measured.
    constexpr Duration MEASUREMENT_INTERVAL = std::chrono::milliseconds(100);

    constexpr std::array<const char*, MEMORY_KINDS> kindNames { "receiving-request", "request", "response", "writing-response" };

} // namespace

const char* toString(MemoryKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

Shortage MemoryBudget::shortage() const
{
    if (m_used > m_limit)
        return Shortage::All;
    if (used(MemoryKind::ReceivingRequest) + used(MemoryKind::Request) > m_limit / 100 * REQUEST_PERCENT)
        return Shortage::Requests;
    return Shortage::None;
}

void MemoryBudget::tick(Time now)
{
    if (now - m_lastTick > MAX_TICK_GAP)
        m_resumedAt = now;
    m_lastTick = now;
    measureProgress(now);
    enforce(now);
}

// `memoryStake` also records the progress of a transfer. Nothing else calls it while memory suffices, but the progress must be known
// as soon as memory is short.
void MemoryBudget::measureProgress(Time now)
{
    if (now < m_nextMeasurement)
        return;
    m_nextMeasurement = now + MEASUREMENT_INTERVAL;
    for (MemoryHolder* holder : m_holders)
        holder->memoryStake(now);
}

void MemoryBudget::enforce(Time now)
{
    while (isExceeded()) {
        MemoryHolder* holder = chooseHolder(now);
        if (!holder)
            return;
        const MemoryStake stake = *holder->memoryStake(now);
        ++m_ended.at(static_cast<std::size_t>(stake.transfer));
        report(stake, now);
        holder->endTransfer();
    }
}

MemoryHolder* MemoryBudget::chooseHolder(Time now) const
{
    std::vector<MemoryHolder*> holders;
    std::vector<MemoryStake> stakes;
    for (MemoryHolder* holder : m_holders) {
        if (const auto stake = holder->memoryStake(now)) {
            holders.push_back(holder);
            stakes.push_back(*stake);
        }
    }
    const auto chosen = chooseTransferToEnd(stakes, shortage(), m_resumedAt, now);
    return chosen ? holders[*chosen] : nullptr;
}

void MemoryBudget::report(const MemoryStake& stake, Time now)
{
    if (!m_logRateLimiter.allow(true, now))
        return;
    std::string fields = std::string(" transfer=") + toString(stake.transfer) + " bytes=" + std::to_string(stake.bytes);
    fields += " slow_ms=" + std::to_string(std::chrono::duration_cast<Millis>(now - stake.slowSince).count());
    fields += " held=" + std::to_string(m_used) + " limit=" + std::to_string(m_limit);
    fields += " suppressed=" + std::to_string(m_logRateLimiter.takeSuppressed());
    logEvent(LogLevel::Warn, LogComponent::Main, "ended-for-memory", fields);
}

} // namespace cornelwind
