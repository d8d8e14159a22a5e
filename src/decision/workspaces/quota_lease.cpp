#include "workspaces/quota_lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelwind {
namespace {

    // Tokens are held for the requests that are expected in this time.
    constexpr Duration EXPECTED_TIME = std::chrono::milliseconds(200);
    constexpr Duration DEMAND_WINDOW = std::chrono::seconds(1);
    // A workspace with fewer requests in a window gets its tokens one by one.
    constexpr std::uint32_t MIN_REQUESTS = 2;
    // A coordinator that granted fewer tokens ahead than asked for is not asked for them again for this time.
    constexpr Duration AHEAD_PAUSE = std::chrono::milliseconds(200);
    // A coordinator without tokens is asked again after this time, since tokens may have been returned to it.
    constexpr Duration MAX_BLOCKED = std::chrono::seconds(1);
    constexpr Duration IDLE_LIFETIME = std::chrono::seconds(3);

} // namespace

void QuotaLease::countRequest(Time now)
{
    if (now - m_windowStart >= DEMAND_WINDOW) {
        m_previousRequests = now - m_windowStart < 2 * DEMAND_WINDOW ? m_requests : 0;
        m_requests = 0;
        m_windowStart = now;
    }
    ++m_requests;
}

std::uint32_t QuotaLease::expectedCount(Time now) const
{
    if (now - m_windowStart >= DEMAND_WINDOW)
        return 0;
    const std::uint32_t requests = m_requests + m_previousRequests;
    if (requests < MIN_REQUESTS)
        return 0;
    const auto counted = static_cast<double>((DEMAND_WINDOW + (now - m_windowStart)).count());
    return 1 + static_cast<std::uint32_t>(std::ceil(requests * static_cast<double>(EXPECTED_TIME.count()) / counted));
}

std::uint32_t QuotaLease::heldCount() const
{
    std::uint32_t count = 0;
    for (const Batch& batch : m_held)
        count += batch.unused.tokens;
    return count;
}

bool QuotaLease::takeHeld(Time now)
{
    const auto usable = std::find_if(m_held.begin(), m_held.end(), [now](const Batch& batch) { return batch.expiresAt > now; });
    if (usable == m_held.end())
        return false;
    if (!--usable->unused.tokens)
        m_held.erase(usable);
    return true;
}

std::optional<QuotaCoordinator::Ask> QuotaLease::nextAsk(bool remote, Time now) const
{
    if (m_ask)
        return std::nullopt;
    QuotaCoordinator::Ask ask;
    ask.needed = static_cast<std::uint32_t>(m_waiting.size());
    ask.held = heldCount();
    const std::uint32_t expected = remote && now >= m_nextAheadAt ? expectedCount(now) : 0;
    if (ask.held * 2 <= expected)
        ask.ahead = expected - ask.held;
    if (!ask.needed && !ask.ahead)
        return std::nullopt;
    return ask;
}

std::uint32_t QuotaLease::receive(const QuotaCoordinator::Grant& grant, Time now, std::vector<QuotaDecision>& decisions)
{
    const PendingAsk ask = *std::exchange(m_ask, std::nullopt);
    std::uint32_t ready = grant.ready;
    for (; ready && passOn(decisions); --ready)
        continue;
    if (ready)
        m_held.push_back({ { ask.coordinator, ready }, ask.sentAt + TOKEN_LIFETIME });
    if (grant.ready < ask.tokens.needed + ask.tokens.ahead)
        m_nextAheadAt = now + AHEAD_PAUSE;
    const auto later = std::min(grant.later, static_cast<std::uint32_t>(m_waiting.size()));
    for (std::uint32_t i = 1; i <= later; ++i) {
        m_due.push_back({ m_waiting.front().request, ask.coordinator, now + grant.wait * i / grant.later });
        m_waiting.pop_front();
    }
    if (grant.next <= Duration {})
        return grant.later - later;
    m_nextTokenAt = now + grant.next;
    m_blockedUntil = now + std::min<Duration>(grant.next - QuotaCoordinator::MAX_TOKEN_WAIT, MAX_BLOCKED);
    for (const Waiting& waiting : std::exchange(m_waiting, {}))
        decisions.push_back({ waiting.request, false, grant.next });
    return grant.later - later;
}

bool QuotaLease::passOn(std::vector<QuotaDecision>& decisions)
{
    if (m_waiting.empty())
        return false;
    decisions.push_back({ m_waiting.front().request, true, {} });
    m_waiting.pop_front();
    return true;
}

void QuotaLease::grantAll(std::vector<QuotaDecision>& decisions)
{
    while (passOn(decisions))
        continue;
    for (const Due& due : std::exchange(m_due, {}))
        decisions.push_back({ due.request, true, {} });
}

void QuotaLease::grantDue(Time now, std::vector<QuotaDecision>& decisions)
{
    std::erase_if(m_due, [&](const Due& due) {
        if (due.at > now)
            return false;
        decisions.push_back({ due.request, true, {} });
        return true;
    });
}

std::vector<RequestId> QuotaLease::takeWaitingSince(Time before)
{
    std::vector<RequestId> requests;
    for (; !m_waiting.empty() && m_waiting.front().since <= before; m_waiting.pop_front())
        requests.push_back(m_waiting.front().request);
    return requests;
}

std::optional<QuotaLease::Unused> QuotaLease::cancel(RequestId request)
{
    std::erase_if(m_waiting, [request](const Waiting& waiting) { return waiting.request == request; });
    const auto due = std::find_if(m_due.begin(), m_due.end(), [request](const Due& row) { return row.request == request; });
    if (due == m_due.end())
        return std::nullopt;
    const Unused unused { due->coordinator, 1 };
    m_due.erase(due);
    return unused;
}

std::vector<QuotaLease::Unused> QuotaLease::takeExpired(Time now)
{
    std::vector<Unused> expired;
    for (; !m_held.empty() && m_held.front().expiresAt <= now; m_held.pop_front())
        expired.push_back(m_held.front().unused);
    return expired;
}

void QuotaLease::reset(bool dropTokens)
{
    if (dropTokens)
        m_held.clear();
    m_blockedUntil = Time {};
    m_local.reset();
}

bool QuotaLease::isIdle(Time now) const
{
    return m_held.empty() && m_waiting.empty() && m_due.empty() && !m_ask && now - m_windowStart >= IDLE_LIFETIME;
}

TokenBucket& QuotaLease::localBucket(const TokenBucket::Limits& limits, double start, Time now)
{
    if (!m_local)
        m_local = TokenBucket(start, now);
    m_local->refill(limits, now);
    return *m_local;
}

} // namespace cornelwind
