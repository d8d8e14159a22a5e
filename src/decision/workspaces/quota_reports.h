#pragma once

#include "context.h"
#include "cornelwind/workspace.h"

#include <string>
#include <unordered_map>

namespace cornelwind {

/// Reports when requests of a workspace begin and cease to be refused, and when its coordinator changes.
///
/// Memory: one entry for each workspace whose requests are refused.
class QuotaReports {
public:
    /// Largest number of reports in `PERIOD`; others are left out.
    static constexpr std::uint32_t MAX_REPORTS = 20;
    static constexpr Duration PERIOD = std::chrono::seconds(10);

    /// @param quietTime time without a refusal after which a workspace counts as available again
    explicit QuotaReports(Duration quietTime)
        : m_quietTime(quietTime)
    {
    }

    void onRefused(const Workspace& workspace, const char* where, Context& context);
    void onTakenOver(const WorkspaceName& workspace, std::string evidence, Context& context);
    void onTick(Context& context);

private:
    void report(DecisionKind kind, const WorkspaceName& workspace, std::string evidence, std::string bound, Context& context);

    Duration m_quietTime;
    /// When a request of the workspace was last refused.
    std::unordered_map<WorkspaceName, Time> m_refusedAt;
    Time m_periodStart;
    std::uint32_t m_reports = 0;
};

} // namespace cornelwind
