#include "workspaces/workspace_quotas.h"

#include "peer.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelwind {
namespace {

    // Ticks come every 10 ms. After a gap of this length the process did not run, and others may have taken its place.
    constexpr Duration MAX_EVENT_GAP = std::chrono::milliseconds(500);
    // Upper limit of the times that peers state.
    constexpr std::uint32_t MAX_NEXT_MS = 3'600'000;

    bool isLowered(const WorkspaceQuota& before, const WorkspaceQuota& after)
    {
        return after.perSecond < before.perSecond || after.burst < before.burst;
    }

} // namespace

WorkspaceQuotas::WorkspaceQuotas(Dependencies dependencies, QuotaCoordinator::Policy policy)
    : m_dependencies(dependencies)
    , m_choice(dependencies.members, dependencies.gossip)
    , m_reach(dependencies.members)
    , m_reports(policy.window)
    , m_coordinator(m_choice, m_reach, m_reports, policy)
{
}

void WorkspaceQuotas::adopt(const Sheet& sheet, Context& context)
{
    if (sheet.workspaces == m_directory)
        return;
    const WorkspaceDirectoryPtr before = std::exchange(m_directory, sheet.workspaces);
    m_coordinator.adopt(m_directory.get(), context.now());
    for (auto& [name, lease] : m_leases) {
        const Workspace* workspace = findLimited(name);
        const Workspace* old = before ? before->findByName(name) : nullptr;
        if (!workspace)
            lease.grantAll(m_decisions);
        else if (old && old->quota != workspace->quota)
            lease.reset(old->quota && isLowered(*old->quota, *workspace->quota));
    }
    std::erase_if(m_leases, [this](const auto& entry) { return !findLimited(entry.first); });
}

void WorkspaceQuotas::onTick(Context& context)
{
    observeTime(context);
    m_choice.observe(context.now());
    if (!m_choice.passOverSilent(context.now()).empty())
        m_reach.request(context.now());
    m_reach.finish(context.now());
    checkReach(context);
    PeerOutbox outbox = makeOutbox();
    for (auto& [name, lease] : m_leases) {
        if (const Workspace* workspace = findLimited(name))
            updateLease(*workspace, lease, outbox, context);
    }
    std::erase_if(m_leases, [&](const auto& entry) { return entry.second.isIdle(context.now()); });
    outbox.send(context);
    handOver(context);
    sendReturns(context);
    m_reports.onTick(context);
}

void WorkspaceQuotas::updateLease(const Workspace& workspace, QuotaLease& lease, PeerOutbox& outbox, Context& context)
{
    const Time now = context.now();
    for (const QuotaLease::Unused& unused : lease.takeExpired(now))
        returnTokens(workspace.name, unused.coordinator, unused.tokens, now);
    lease.grantDue(now, m_decisions);
    if (lease.currentAsk() && now - lease.currentAsk()->sentAt >= CoordinatorChoice::REPLY_TIMEOUT)
        lease.dropAsk();
    if (!lease.hasWaiting())
        return;
    takeLocally(workspace, lease, context);
    ask(workspace, lease, outbox, context);
}

// The coordinators that were asked did not reply.
void WorkspaceQuotas::takeLocally(const Workspace& workspace, QuotaLease& lease, Context& context)
{
    const double part = 1 / static_cast<double>(m_choice.knownCount());
    const TokenBucket::Limits limits { part * workspace.quota->perSecond, part * workspace.quota->burst };
    const double start = limits.capacity < 1 ? randomLevel(context.random()) : 0;
    for (const RequestId request : lease.takeWaitingSince(context.now() - MAX_REPLY_WAIT)) {
        TokenBucket& bucket = lease.localBucket(limits, start, context.now());
        const bool granted = bucket.take(1, 0) == 1;
        m_decisions.push_back({ request, granted, granted ? Duration {} : bucket.timeUntil(1, limits.perSecond) });
        if (!granted)
            m_reports.onRefused(workspace, "no coordinator replies, and the local bucket is empty", context);
    }
}

WorkspaceQuotas::Answer WorkspaceQuotas::take(const WorkspaceName& name, RequestId request, Context& context)
{
    observeTime(context);
    const Workspace* workspace = findLimited(name);
    if (!workspace)
        return {};
    QuotaLease& lease = findOrCreate(*workspace);
    lease.countRequest(context.now());
    Answer answer { Verdict::Granted, {} };
    if (!lease.takeHeld(context.now())) {
        const Duration blocked = lease.blockedFor(context.now());
        if (blocked > Duration {})
            return { Verdict::Refused, blocked };
        lease.addWaiting(request, context.now());
        answer.verdict = Verdict::Waits;
    }
    PeerOutbox outbox = makeOutbox();
    ask(*workspace, lease, outbox, context);
    outbox.send(context);
    const auto decision = std::find_if(m_decisions.begin(), m_decisions.end(), [request](const QuotaDecision& row) { return row.request == request; });
    if (answer.verdict == Verdict::Granted || decision == m_decisions.end())
        return answer;
    answer = { decision->granted ? Verdict::Granted : Verdict::Refused, decision->next };
    m_decisions.erase(decision);
    return answer;
}

void WorkspaceQuotas::ask(const Workspace& workspace, QuotaLease& lease, PeerOutbox& outbox, Context& context)
{
    updateCoordinator(lease, context.now());
    const bool local = m_choice.isSelf(lease.coordinator);
    auto tokens = lease.nextAsk(!local, context.now());
    if (!tokens)
        return;
    tokens->instance = m_dependencies.members.self();
    if (local) {
        m_reach.request(context.now());
        lease.beginAsk({ 0, lease.coordinator, context.now(), *tokens });
        const QuotaCoordinator::Grant grant = m_coordinator.grant(workspace, *tokens, context);
        returnTokens(workspace.name, lease.coordinator, lease.receive(grant, context.now(), m_decisions), context.now());
        return;
    }
    peer::QuotaRequest& request = *outbox.messageTo(lease.coordinator).mutable_quota_request();
    if (!request.sequence())
        request.set_sequence(++m_sequence);
    peer::QuotaAsk& row = *request.add_rows();
    row.set_workspace(workspace.name.value());
    row.set_needed(tokens->needed);
    row.set_ahead(tokens->ahead);
    row.set_held(tokens->held);
    lease.beginAsk({ request.sequence(), lease.coordinator, context.now(), *tokens });
    m_choice.expectReply(lease.coordinator, context.now());
}

void WorkspaceQuotas::updateCoordinator(QuotaLease& lease, Time now) const
{
    if (m_coordinator.isIsolated()) {
        lease.coordinator = m_dependencies.members.self();
        lease.chosenAt.reset();
    }
    if (m_coordinator.isIsolated() || lease.chosenAt == m_choice.version())
        return;
    lease.coordinator = m_choice.coordinatorOf(lease.subject(), now);
    lease.chosenAt = m_choice.version();
}

void WorkspaceQuotas::giveBack(const WorkspaceName& name, Context& context)
{
    const auto lease = m_leases.find(name);
    if (lease != m_leases.end() && lease->second.passOn(m_decisions))
        return;
    const InstanceName coordinator = m_choice.coordinatorOf(workspaceIdOf(name).value(), context.now());
    returnTokens(name, coordinator, 1, context.now());
}

void WorkspaceQuotas::cancel(const WorkspaceName& name, RequestId request, Context& context)
{
    std::erase_if(m_decisions, [&](const QuotaDecision& decision) { return decision.request == request; });
    const auto lease = m_leases.find(name);
    if (lease == m_leases.end())
        return;
    if (const auto unused = lease->second.cancel(request))
        returnTokens(name, unused->coordinator, unused->tokens, context.now());
}

std::vector<QuotaDecision> WorkspaceQuotas::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

void WorkspaceQuotas::onRequest(const peer::QuotaRequest& request, const MemberRecord& sender, Context& context)
{
    observeTime(context);
    if (request.rows_size())
        m_reach.request(context.now());
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_quota_reply()->set_sequence(request.sequence());
    for (const peer::QuotaAsk& ask : request.rows()) {
        peer::QuotaGrant& row = *message->mutable_quota_reply()->add_rows();
        row.set_workspace(ask.workspace());
        const Workspace* workspace = findLimited(WorkspaceName { ask.workspace() });
        if (!workspace) {
            row.set_ready(ask.needed());
            continue;
        }
        const QuotaCoordinator::Grant grant = m_coordinator.grant(*workspace, { sender.name, ask.needed(), ask.ahead(), ask.held() }, context);
        row.set_ready(grant.ready);
        row.set_later(grant.later);
        row.set_wait_us(static_cast<std::uint32_t>(grant.wait.count()));
        row.set_next_ms(static_cast<std::uint32_t>(std::chrono::ceil<Millis>(grant.next).count()));
    }
    m_dependencies.gossip.send(sender, std::move(message), context);
}

void WorkspaceQuotas::onReply(const peer::QuotaReply& reply, const MemberRecord& sender, Context& context)
{
    observeTime(context);
    m_choice.onReply(sender.name);
    if (reply.sequence() == m_checkSequence && context.now() - m_reach.lastBegun() < CoordinatorChoice::REPLY_TIMEOUT)
        m_choice.endSilence(sender.name);
    PeerOutbox outbox = makeOutbox();
    for (const peer::QuotaGrant& row : reply.rows()) {
        const WorkspaceName name { row.workspace() };
        const Workspace* workspace = findLimited(name);
        const auto lease = m_leases.find(name);
        const QuotaLease::PendingAsk* asked = lease == m_leases.end() ? nullptr : lease->second.currentAsk();
        const bool answers = asked && asked->sequence == reply.sequence() && asked->coordinator == sender.name;
        // A token that came late would be used in another window than it was granted for.
        if (!workspace || !answers || context.now() - asked->sentAt >= QuotaLease::TOKEN_LIFETIME) {
            returnTokens(name, sender.name, row.ready() + row.later(), context.now());
            continue;
        }
        const QuotaCoordinator::Grant grant {
            std::min(row.ready(), asked->tokens.needed + asked->tokens.ahead), std::min(row.later(), asked->tokens.needed),
            std::min<Duration>(Duration { row.wait_us() }, QuotaCoordinator::MAX_TOKEN_WAIT), Millis { std::min(row.next_ms(), MAX_NEXT_MS) }
        };
        returnTokens(name, sender.name, lease->second.receive(grant, context.now(), m_decisions), context.now());
        if (lease->second.hasWaiting())
            ask(*workspace, lease->second, outbox, context);
    }
    outbox.send(context);
}

void WorkspaceQuotas::onReturn(const peer::QuotaReturn& unused, const MemberRecord& sender, Context& context)
{
    observeTime(context);
    for (const peer::QuotaReturnRow& row : unused.rows())
        m_coordinator.giveBack(WorkspaceName { row.workspace() }, sender.name, row.tokens(), context.now());
}

void WorkspaceQuotas::onHandover(const peer::QuotaHandover& handover, const MemberRecord& sender, Context& context)
{
    observeTime(context);
    for (const peer::QuotaHandoverRow& row : handover.rows()) {
        const Workspace* workspace = findLimited(WorkspaceName { row.workspace() });
        if (workspace && std::isfinite(row.level()))
            m_coordinator.onHandover(*workspace, row.level(), sender.name, context);
    }
}

const Workspace* WorkspaceQuotas::findLimited(const WorkspaceName& name) const
{
    const Workspace* workspace = m_directory ? m_directory->findByName(name) : nullptr;
    return workspace && workspace->quota ? workspace : nullptr;
}

QuotaLease& WorkspaceQuotas::findOrCreate(const Workspace& workspace)
{
    const auto found = m_leases.find(workspace.name);
    return found != m_leases.end() ? found->second : m_leases.emplace(workspace.name, QuotaLease(workspaceIdOf(workspace.name).value())).first->second;
}

void WorkspaceQuotas::observeTime(Context& context)
{
    // Replies to messages of an earlier start of this instance are told apart by the sequence.
    if (!m_sequence)
        m_sequence = m_dependencies.members.incarnation().value();
    if (context.now() - std::exchange(m_lastEvent, context.now()) < MAX_EVENT_GAP)
        return;
    m_choice.restart(context.now());
    m_reach.restart();
    m_coordinator.restart(context.now());
}

// A member that is passed over may be an earlier coordinator, so it matters when it replies again.
void WorkspaceQuotas::checkReach(Context& context)
{
    const std::vector<InstanceName> silent = m_choice.silentMembers();
    std::vector<InstanceName> asked = m_reach.begin(!silent.empty() || m_coordinator.isTakingOver(context.now()), context);
    if (asked.empty())
        return;
    for (const auto& names : { silent, m_coordinator.predecessors(context.now()) })
        asked.insert(asked.end(), names.begin(), names.end());
    m_checkSequence = ++m_sequence;
    PeerOutbox outbox = makeOutbox();
    for (const InstanceName& name : asked) {
        if (m_choice.isSelf(name))
            continue;
        outbox.messageTo(name).mutable_quota_request()->set_sequence(m_checkSequence);
        if (m_choice.isLive(name))
            m_choice.expectReply(name, context.now());
    }
    outbox.send(context);
}

void WorkspaceQuotas::handOver(Context& context)
{
    PeerOutbox outbox = makeOutbox();
    for (const QuotaCoordinator::Handover& handover : m_coordinator.onTick(context)) {
        peer::QuotaHandoverRow& row = *outbox.messageTo(handover.to).mutable_quota_handover()->add_rows();
        row.set_workspace(handover.workspace.value());
        row.set_level(handover.level);
    }
    outbox.send(context);
}

void WorkspaceQuotas::returnTokens(const WorkspaceName& workspace, const InstanceName& to, std::uint32_t tokens, Time now)
{
    if (!tokens)
        return;
    if (m_choice.isSelf(to))
        m_coordinator.giveBack(workspace, to, tokens, now);
    else
        m_returns[to][workspace] += tokens;
}

void WorkspaceQuotas::sendReturns(Context& context)
{
    PeerOutbox outbox = makeOutbox();
    for (const auto& [coordinator, rows] : std::exchange(m_returns, {})) {
        for (const auto& [workspace, tokens] : rows) {
            peer::QuotaReturnRow& row = *outbox.messageTo(coordinator).mutable_quota_return()->add_rows();
            row.set_workspace(workspace.value());
            row.set_tokens(tokens);
        }
    }
    outbox.send(context);
}

} // namespace cornelwind
