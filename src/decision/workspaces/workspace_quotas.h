#pragma once

#include "context.h"
#include "coordinator_choice.h"
#include "cornelwind/sheet.h"
#include "gossip.h"
#include "member_table.h"
#include "peer_outbox.h"
#include "workspaces/quota_coordinator.h"
#include "workspaces/quota_lease.h"
#include "workspaces/quota_reports.h"
#include "workspaces/reach_check.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cornelwind {

namespace peer {
    class QuotaHandover;
    class QuotaReply;
    class QuotaRequest;
    class QuotaReturn;
}

/// Gives out the tokens of the quotas of workspaces to requests, see docs/design/workspace-quotas.md.
///
/// Each request of a workspace with a quota takes a token, which the coordinator of the workspace grants. Where that is this
/// instance, no message is needed. A request whose coordinator does not reply waits until `MAX_REPLY_WAIT`, in which the next
/// one is asked, and then takes a token of a local bucket with this instance's part of the quota.
///
/// Messages: one to the coordinator and one in reply for each workspace, batched by coordinator on ticks, and at most one pair at
/// a time for each workspace and instance.
class WorkspaceQuotas {
public:
    /// Longest time that a request waits for a reply of a coordinator.
    static constexpr Duration MAX_REPLY_WAIT = std::chrono::milliseconds(300);

    struct Dependencies {
        MemberTable& members;
        Gossip& gossip;
    };

    /// What a request that asks for a token has to do.
    enum class Verdict : std::uint8_t {
        /// The workspace has no quota, so that no token is taken.
        Unlimited,
        /// It has a token.
        Granted,
        /// It waits; `takeDecisions` tells what becomes of it.
        Waits,
        /// The quota is used up.
        Refused,
    };

    struct Answer {
        Verdict verdict = Verdict::Unlimited;
        /// Refused: time until a token is available.
        Duration next {};
    };

    WorkspaceQuotas(Dependencies dependencies, QuotaCoordinator::Policy policy);

    /// Applies the quotas of a new sheet.
    void adopt(const Sheet& sheet, Context& context);
    void onTick(Context& context);

    /// Takes a token for a request.
    Answer take(const WorkspaceName& workspace, RequestId request, Context& context);
    /// Gives back the token of a request that was not sent to any backend server.
    void giveBack(const WorkspaceName& workspace, Context& context);
    /// Forgets a request that waits.
    void cancel(const WorkspaceName& workspace, RequestId request, Context& context);
    /// @return what became of requests that waited, since the last call
    std::vector<QuotaDecision> takeDecisions();

    void onRequest(const peer::QuotaRequest& request, const MemberRecord& sender, Context& context);
    void onReply(const peer::QuotaReply& reply, const MemberRecord& sender, Context& context);
    void onReturn(const peer::QuotaReturn& unused, const MemberRecord& sender, Context& context);
    void onHandover(const peer::QuotaHandover& handover, const MemberRecord& sender, Context& context);

    /// @return tokens granted since the start, to this instance and to others
    std::uint64_t granted() const { return m_coordinator.granted(); }

private:
    /// @return the workspace; null if it has no quota
    const Workspace* findLimited(const WorkspaceName& name) const;
    QuotaLease& findOrCreate(const Workspace& workspace);
    /// Starts the observation of members and coordinators anew if this process has not run for a while. Sets the first
    /// sequence number.
    void observeTime(Context& context);
    /// Asks for the tokens that a lease needs or expects to need, unless it has asked already.
    void ask(const Workspace& workspace, QuotaLease& lease, PeerOutbox& outbox, Context& context);
    void updateCoordinator(QuotaLease& lease, Time now) const;
    void updateLease(const Workspace& workspace, QuotaLease& lease, PeerOutbox& outbox, Context& context);
    void takeLocally(const Workspace& workspace, QuotaLease& lease, Context& context);
    void returnTokens(const WorkspaceName& workspace, const InstanceName& to, std::uint32_t tokens, Time now);
    void sendReturns(Context& context);
    /// Asks some members at random, those that are passed over and earlier coordinators for a reply.
    void checkReach(Context& context);
    void handOver(Context& context);
    PeerOutbox makeOutbox() { return { m_dependencies.members, m_dependencies.gossip }; }

    Dependencies m_dependencies;
    CoordinatorChoice m_choice;
    ReachCheck m_reach;
    QuotaReports m_reports;
    QuotaCoordinator m_coordinator;
    WorkspaceDirectoryPtr m_directory;
    std::unordered_map<WorkspaceName, QuotaLease> m_leases;
    std::vector<QuotaDecision> m_decisions;
    /// Tokens to return with the next tick, by coordinator and workspace.
    std::map<InstanceName, std::map<WorkspaceName, std::uint32_t>> m_returns;
    std::uint64_t m_sequence = 0;
    /// Sequence of the messages of the last check of `m_reach`.
    std::uint64_t m_checkSequence = 0;
    Time m_lastEvent;
};

} // namespace cornelwind
