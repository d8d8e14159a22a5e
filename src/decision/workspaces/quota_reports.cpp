#include "workspaces/quota_reports.h"

#include <cstdio>
#include <utility>

namespace cornelwind {

void QuotaReports::onRefused(const Workspace& workspace, const char* where, Context& context)
{
    const auto [row, isNew] = m_refusedAt.insert_or_assign(workspace.name, context.now());
    if (!isNew || !workspace.quota)
        return;
    char bound[96];
    std::snprintf(bound, sizeof bound, "%.2f requests a second, burst %.0f", workspace.quota->perSecond, workspace.quota->burst);
    report(DecisionKind::QuotaUsedUp, workspace.name, where, bound, context);
}

void QuotaReports::onTakenOver(const WorkspaceName& workspace, std::string evidence, Context& context)
{
    report(DecisionKind::QuotaTakenOver, workspace, std::move(evidence), {}, context);
}

void QuotaReports::onTick(Context& context)
{
    std::erase_if(m_refusedAt, [&](const auto& row) {
        if (context.now() - row.second < m_quietTime)
            return false;
        report(DecisionKind::QuotaAvailable, row.first, "no request refused lately", {}, context);
        return true;
    });
}

void QuotaReports::report(DecisionKind kind, const WorkspaceName& workspace, std::string evidence, std::string bound, Context& context)
{
    if (context.now() - m_periodStart >= PERIOD) {
        m_periodStart = context.now();
        m_reports = 0;
    }
    if (m_reports++ < MAX_REPORTS)
        context.report(kind, workspace.value(), std::move(evidence), std::move(bound));
}

} // namespace cornelwind
