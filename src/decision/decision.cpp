#include "cornelwind/decision.h"

#include <array>

namespace cornelwind {
namespace {

    constexpr std::array kindNames {
        "ejected", "ejection-withheld", "returned", "path-avoided", "path-restored", "leaving", "quarantined",
        "refused", "sheet-adopted", "sheet-refused", "member-changed", "self-distrusted", "draining", "handed-over",
        "platform-changed", "server-suspected", "server-cleared"
    };

} // namespace

const char* toString(DecisionKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

void DecisionLog::add(Decision decision)
{
    if (m_decisions.size() == CAPACITY)
        m_decisions.pop_front();
    m_decisions.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::about(const std::string& subject, std::size_t most) const
{
    std::vector<Decision> found;
    for (auto decision = m_decisions.rbegin(); decision != m_decisions.rend() && found.size() < most; ++decision) {
        if (subject.empty() || decision->subject == subject)
            found.push_back(*decision);
    }
    return found;
}

} // namespace cornelwind
