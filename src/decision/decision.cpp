#include "cornelwind/decision.h"

#include <array>

namespace cornelwind {
namespace {

    // In the order of DecisionKind.
    constexpr std::array KIND_NAMES {
        "ejected", "ejection-withheld", "returned", "path-avoided", "path-restored", "leaving", "quarantined",
        "refused", "sheet-adopted", "sheet-refused", "member-changed", "self-distrusted", "draining", "handed-over",
        "platform-changed", "server-suspected", "server-cleared", "servers-idle",
        "server-limited", "server-unlimited", "server-backoff", "notice-invalid",
        "server-added", "entry-invalid", "watch-changed", "api-keys-confirmed",
        "quota-taken-over", "quota-used-up", "quota-available", "store-restored",
        "quarantine-trial", "quarantine-ended"
    };
    static_assert(KIND_NAMES.size() == DECISION_KINDS);

} // namespace

const char* toString(DecisionKind kind)
{
    return KIND_NAMES.at(static_cast<std::size_t>(kind));
}

void DecisionLog::add(Decision decision)
{
    if (m_decisions.size() == CAPACITY)
        m_decisions.pop_front();
    m_decisions.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::matching(const std::string& subject, std::size_t maxCount) const
{
    std::vector<Decision> found;
    for (auto decision = m_decisions.rbegin(); decision != m_decisions.rend() && found.size() < maxCount; ++decision) {
        if (subject.empty() || decision->subject == subject)
            found.push_back(*decision);
    }
    return found;
}

} // namespace cornelwind
