#include "admission/competition.h"

#include <cstdint>

namespace cornelwind {

std::vector<bool> competingServices(const Sheet& sheet)
{
    const bool hasWorkspaces = sheet.workspaces && !sheet.workspaces->all().empty();
    std::vector<bool> competing(sheet.services.size());
    std::vector<const SheetRule*> first(sheet.services.size());
    const auto add = [&](const SheetRule& rule, std::uint32_t service) {
        if (!first[service])
            first[service] = &rule;
        const bool differs = rule.priority != first[service]->priority || rule.targetLatency != first[service]->targetLatency;
        competing[service] = competing[service] || hasWorkspaces || differs;
    };
    for (const SheetRule& rule : sheet.rules) {
        if (rule.split.empty())
            add(rule, rule.service);
        for (const TrafficShare& share : rule.split) {
            if (share.weight)
                add(rule, share.service);
        }
    }
    return competing;
}

} // namespace cornelwind
