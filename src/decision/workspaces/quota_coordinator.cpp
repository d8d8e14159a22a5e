#include "workspaces/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelwind {
namespace {

    // Unused tokens are used or given back within this time.
    constexpr Duration HELD_TIME = std::chrono::seconds(1);
    // Part of the capacity that instances may hold ahead, and part that stays in the bucket for requests that wait.
    constexpr double MAX_HELD_PART = 0.25;
    constexpr double FILLED_PART = 0.5;
    // Part of the slack that one takeover may use. Several may follow each other within one window.
    constexpr double TAKEOVER_SLACK_PART = 0.25;
    // If this part of the other members answers, an earlier coordinator that does not can reach only the few others.
    constexpr double MIN_ANSWERING_PART = 0.8;
    // Nobody grants tokens while the members wait for the reply of a coordinator that is gone.
    constexpr Duration TAKEOVER_GAP = CoordinatorChoice::REPLY_TIMEOUT;
    // A full bucket that nobody has asked for tokens in this time is forgotten.
    constexpr Duration IDLE_LIFETIME = std::chrono::seconds(10);
    // Earlier coordinators of each workspace that are asked whether they answer again.
    constexpr std::size_t MAX_GONE_ASKED = 2;
    // Buckets are refilled this often, since their rate changes with the members.
    constexpr Duration REFILL_INTERVAL = std::chrono::milliseconds(100);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

QuotaCoordinator::Grant QuotaCoordinator::grant(const Workspace& workspace, const Ask& ask, Context& context)
{
    Row& row = findOrCreate(workspace, context);
    row.askedAt = context.now();
    row.held[ask.instance] = { ask.held, context.now() + HELD_TIME };
    refill(row, context.now());
    const double rate = limitsOf(row, context.now()).perSecond;
    Grant grant;
    grant.ready = row.bucket.take(ask.needed, 0);
    grant.later = row.bucket.take(ask.needed - grant.ready, -rate * seconds(MAX_TOKEN_WAIT));
    grant.wait = row.bucket.timeUntil(0, rate);
    if (grant.ready + grant.later < ask.needed) {
        grant.next = std::max(row.bucket.timeUntil(1, rate), MAX_TOKEN_WAIT + Duration { 1 });
        m_reports.onRefused(workspace, "the coordinator has no token left", context);
    } else
        grantAhead(row, ask, grant, context.now());
    m_granted += grant.ready + grant.later;
    return grant;
}

void QuotaCoordinator::grantAhead(Row& row, const Ask& ask, Grant& grant, Time now) const
{
    if (!ask.ahead || grant.later || !isSettled(row, now))
        return;
    const double capacity = limitsOf(row, now).capacity;
    double held = 0;
    for (const auto& [name, other] : row.held)
        held += other.tokens;
    const double allowed = std::floor(std::max(capacity * MAX_HELD_PART - held, 0.0));
    const auto wanted = static_cast<std::uint32_t>(std::min(allowed, static_cast<double>(ask.ahead)));
    const std::uint32_t ahead = row.bucket.take(wanted, capacity * FILLED_PART);
    row.held[ask.instance].tokens += ahead;
    grant.ready += ahead;
}

void QuotaCoordinator::giveBack(const WorkspaceName& workspace, const InstanceName& instance, std::uint32_t tokens, Time now)
{
    const auto found = m_rows.find(workspace);
    if (found == m_rows.end())
        return;
    Row& row = found->second;
    refill(row, now);
    const auto held = row.held.find(instance);
    if (held != row.held.end())
        held->second.tokens -= std::min(tokens, held->second.tokens);
    row.bucket.giveBack(tokens);
    refill(row, now);
}

void QuotaCoordinator::adopt(const WorkspaceDirectory* directory, Time now)
{
    std::erase_if(m_rows, [&](const auto& entry) {
        const Workspace* workspace = directory ? directory->findByName(entry.first) : nullptr;
        return !workspace || !workspace->quota;
    });
    for (auto& [name, row] : m_rows) {
        refill(row, now);
        row.held.clear();
        row.quota = *directory->findByName(name)->quota;
        refill(row, now);
    }
}

void QuotaCoordinator::restart(Time now)
{
    for (auto& [name, row] : m_rows) {
        refill(row, now);
        row.bucket.setLevel(0);
        row.settledAt = now + SETTLE_TIME;
    }
}

std::vector<QuotaCoordinator::Handover> QuotaCoordinator::onTick(Context& context)
{
    std::vector<Handover> handovers;
    const Time now = context.now();
    if (now < m_nextRefill)
        return handovers;
    m_nextRefill = now + REFILL_INTERVAL;
    updateShare(now);
    const bool changed = std::exchange(m_seenVersion, m_choice.version()) != m_choice.version();
    for (auto& [name, row] : m_rows) {
        refill(row, now);
        settle(row, now);
        if (!changed)
            continue;
        const InstanceName coordinator = m_choice.coordinatorOf(row.subject, now);
        if (row.leads && !m_choice.isSelf(coordinator)) {
            row.leads = false;
            handovers.push_back({ name, coordinator, row.bucket.level() });
            row.bucket.setLevel(std::min(row.bucket.level(), 0.0));
        } else
            updateLead(name, row, context);
    }
    std::erase_if(m_rows, [&](const auto& entry) {
        return now - entry.second.askedAt >= IDLE_LIFETIME && entry.second.bucket.level() >= limitsOf(entry.second, now).capacity;
    });
    return handovers;
}

void QuotaCoordinator::settle(Row& row, Time now) const
{
    const bool checked = m_reach.lastCheck() >= row.leadsSince && m_reach.answeringPart() >= MIN_ANSWERING_PART;
    if (row.leads && row.settledAt > now && row.leadsSince > m_choice.startedAt() && checked)
        row.settledAt = now;
}

bool QuotaCoordinator::isTakingOver(Time now) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& entry) { return !isSettled(entry.second, now); });
}

std::vector<InstanceName> QuotaCoordinator::predecessors(Time now) const
{
    std::vector<InstanceName> names;
    for (const auto& [name, row] : m_rows) {
        if (!row.leads)
            names.push_back(m_choice.coordinatorOf(row.subject, now));
        for (const InstanceName& gone : m_choice.gonePredecessors(row.subject, MAX_GONE_ASKED))
            names.push_back(gone);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

// Members that return may still be served by another coordinator until that one knows of this instance.
void QuotaCoordinator::updateShare(Time now)
{
    const double share = m_choice.liveShare() * m_reach.answeringPart();
    if (share <= m_share && now - m_choice.startedAt() >= SETTLE_TIME)
        m_shareRisesAt = now + SETTLE_TIME;
    if (share <= m_share || now >= m_shareRisesAt)
        m_share = share;
}

void QuotaCoordinator::updateLead(const WorkspaceName& workspace, Row& row, Context& context)
{
    const auto since = m_choice.precedesSince(row.subject);
    if (since && !row.leads) {
        row.leadsSince = *since;
        row.settledAt = *since + SETTLE_TIME;
        m_reports.onTakenOver(workspace, "the coordinator before does not answer", context);
    }
    row.leads = since.has_value();
}

void QuotaCoordinator::onHandover(const Workspace& workspace, double level, const InstanceName& from, Context& context)
{
    Row& row = findOrCreate(workspace, context);
    refill(row, context.now());
    if (!m_choice.precedesSince(row.subject))
        return;
    row.leads = true;
    if (isSettled(row, context.now()))
        return;
    row.settledAt = context.now();
    row.bucket.setLevel(std::max(std::min(level, row.quota.burst), row.bucket.level()));
    m_reports.onTakenOver(workspace.name, "handed over by " + from.value(), context);
}

QuotaCoordinator::Row& QuotaCoordinator::findOrCreate(const Workspace& workspace, Context& context)
{
    const auto found = m_rows.find(workspace.name);
    return found != m_rows.end() ? found->second : m_rows.emplace(workspace.name, create(workspace, context)).first->second;
}

// A bucket that has been idle since this instance leads is as full as it would have become by now.
QuotaCoordinator::Row QuotaCoordinator::create(const Workspace& workspace, Context& context)
{
    const Time now = context.now();
    Row row { TokenBucket(0, now), *workspace.quota, workspaceIdOf(workspace.name).value(), false, {}, {}, now, {} };
    const auto since = m_choice.precedesSince(row.subject);
    row.leads = since.has_value();
    row.leadsSince = since.value_or(now);
    row.settledAt = row.leadsSince + SETTLE_TIME;
    const TokenBucket::Limits limits = limitsOf(row, now);
    const double idle = isSettled(row, now) ? limits.perSecond * seconds(now - row.settledAt) : 0;
    const double start = isIsolated() ? randomLevel(context.random()) : takeoverTokens(row.quota);
    row.bucket.setLevel(std::min(std::max(idle, start), std::max(limits.capacity, 1.0)));
    if (!isSettled(row, now))
        m_reports.onTakenOver(workspace.name, row.leads ? "the coordinator before has left lately" : "an instance does not reach the coordinator", context);
    return row;
}

void QuotaCoordinator::refill(Row& row, Time now) const
{
    std::erase_if(row.held, [now](const auto& entry) { return !entry.second.tokens || entry.second.expiresAt <= now; });
    TokenBucket::Limits limits = limitsOf(row, now);
    // What instances hold counts as if it were in the bucket.
    double held = 0;
    for (const auto& [name, other] : row.held)
        held += other.tokens;
    if (limits.capacity >= 1)
        limits.capacity = std::max(limits.capacity - held, 1.0);
    row.bucket.refill(limits, now);
}

double QuotaCoordinator::partOf(const Row& row, Time now) const
{
    if (isIsolated())
        return 1 / static_cast<double>(m_choice.knownCount());
    return isSettled(row, now) ? std::min(1.0, (1 + m_policy.over) * m_share) : m_policy.over * m_share;
}

TokenBucket::Limits QuotaCoordinator::limitsOf(const Row& row, Time now) const
{
    const double part = partOf(row, now);
    const double capacity = part * row.quota.burst;
    if (isIsolated())
        return { part * row.quota.perSecond, capacity };
    const double least = isSettled(row, now) ? 1 : std::max(1.0, takeoverTokens(row.quota));
    return { part * row.quota.perSecond, std::max(capacity, least) };
}

double QuotaCoordinator::takeoverTokens(const WorkspaceQuota& quota) const
{
    return std::min(quota.burst, std::max(m_policy.slack * TAKEOVER_SLACK_PART, quota.perSecond * seconds(TAKEOVER_GAP)));
}

} // namespace cornelwind
