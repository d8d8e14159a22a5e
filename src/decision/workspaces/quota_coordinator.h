#pragma once

#include "context.h"
#include "coordinator_choice.h"
#include "cornelwind/workspace.h"
#include "workspaces/quota_reports.h"
#include "workspaces/reach_check.h"
#include "workspaces/token_bucket.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Grants the tokens of the workspaces that this entry instance coordinates, see docs/design/workspace-quotas.md.
///
/// Members precede each other in the order of their hashes, see `CoordinatorChoice`. An instance that no live member precedes leads
/// the workspace: it grants the whole rate, or its part if members are not reachable. It grants only the part by which a quota may be
/// exceeded (`Policy::over`) as long as an earlier coordinator may be at work, and if others ask it although a member precedes it.
///
/// Memory: one row for each workspace in use that is coordinated here, with an entry for each instance that holds tokens ahead.
class QuotaCoordinator {
public:
    /// Grants up to this time ahead, for requests that wait.
    static constexpr Duration MAX_TOKEN_WAIT = std::chrono::milliseconds(100);
    /// An earlier coordinator may be at work for this time after it was first found to be not alive, unless this instance reaches
    /// nearly all other members: then it reaches hardly any.
    static constexpr Duration SETTLE_TIME = std::chrono::milliseconds(1500);

    /// How far all instances together may exceed a quota.
    struct Policy {
        /// Part of the quota, see `Settings::quotaOver`.
        double over = 0;
        /// Requests beyond that, see `Settings::quotaSlack`.
        double slack = 0;
        /// See `Settings::quotaWindow`.
        Duration window {};
    };

    /// The tokens that an instance asks for.
    struct Ask {
        InstanceName instance;
        /// Tokens for requests that wait.
        std::uint32_t needed = 0;
        /// Tokens for requests that are expected soon.
        std::uint32_t ahead = 0;
        /// Unused tokens that the instance holds.
        std::uint32_t held = 0;
    };

    /// The reply to an `Ask`.
    struct Grant {
        /// Tokens that may be used at once.
        std::uint32_t ready = 0;
        /// Tokens that may be used later, evenly spread over `wait`.
        std::uint32_t later = 0;
        Duration wait {};
        /// Time until a token is available for those that were needed and not granted; zero if there are none.
        Duration next {};
    };

    /// The bucket of a workspace for the next coordinator.
    struct Handover {
        WorkspaceName workspace;
        InstanceName to;
        double level = 0;
    };

    QuotaCoordinator(const CoordinatorChoice& choice, const ReachCheck& reach, QuotaReports& reports, Policy policy)
        : m_choice(choice)
        , m_reach(reach)
        , m_reports(reports)
        , m_policy(policy)
    {
    }

    /// Grants tokens of a workspace.
    Grant grant(const Workspace& workspace, const Ask& ask, Context& context);
    /// Takes back tokens that an instance did not use.
    void giveBack(const WorkspaceName& workspace, const InstanceName& instance, std::uint32_t tokens, Time now);

    /// Applies the quotas of a new sheet.
    void adopt(const WorkspaceDirectory* directory, Time now);
    /// Empties all buckets, after this process has not run for a while.
    void restart(Time now);
    /// Notices changes of the members, and forgets full buckets.
    ///
    /// @return the buckets that other instances lead from now on
    std::vector<Handover> onTick(Context& context);
    /// Takes over a bucket from the instance that led before.
    void onHandover(const Workspace& workspace, double level, const InstanceName& from, Context& context);

    /// @return the members that precede this instance as coordinators of workspaces that it was asked for, also if they are gone
    std::vector<InstanceName> predecessors(Time now) const;
    /// @return whether an earlier coordinator of a workspace may be at work
    bool isTakingOver(Time now) const;
    /// @return whether this instance reaches no other, though others are known
    bool isIsolated() const { return m_choice.isIsolated() || m_reach.isIsolated(); }

    /// @return tokens granted since the start
    std::uint64_t granted() const { return m_granted; }

private:
    /// Unused tokens of one instance, which may all be used at once.
    struct Held {
        std::uint32_t tokens = 0;
        Time expiresAt;
    };

    struct Row {
        TokenBucket bucket;
        WorkspaceQuota quota;
        std::uint64_t subject = 0;
        /// Whether no live member precedes this instance.
        bool leads = false;
        /// Since when that is so.
        Time leadsSince;
        /// When an earlier coordinator is no longer at work.
        Time settledAt;
        Time askedAt;
        std::map<InstanceName, Held> held;
    };

    Row& findOrCreate(const Workspace& workspace, Context& context);
    Row create(const Workspace& workspace, Context& context);
    void refill(Row& row, Time now) const;
    void grantAhead(Row& row, const Ask& ask, Grant& grant, Time now) const;
    bool isSettled(const Row& row, Time now) const { return row.leads && now >= row.settledAt; }
    /// @return part of the quota that this instance grants
    double partOf(const Row& row, Time now) const;
    TokenBucket::Limits limitsOf(const Row& row, Time now) const;
    /// @return tokens that a new coordinator grants at once although an earlier one may have granted the whole burst
    double takeoverTokens(const WorkspaceQuota& quota) const;
    void updateShare(Time now);
    /// Ends the takeover early if this instance reaches nearly all other members.
    void settle(Row& row, Time now) const;
    void updateLead(const WorkspaceName& workspace, Row& row, Context& context);

    const CoordinatorChoice& m_choice;
    const ReachCheck& m_reach;
    QuotaReports& m_reports;
    Policy m_policy;
    std::unordered_map<WorkspaceName, Row> m_rows;
    /// Part of the members that this instance reaches. It rises only after `SETTLE_TIME`.
    double m_share = 1;
    Time m_shareRisesAt;
    std::uint64_t m_seenVersion = 0;
    Time m_nextRefill;
    std::uint64_t m_granted = 0;
};

} // namespace cornelwind
