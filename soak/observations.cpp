#include "observations.h"

#include <algorithm>

namespace cornelwind::soak {
namespace {

    // `retry_percent` of the sheet where it does not say.
    constexpr double RETRY_SHARE = 0.1;
    // Burst of a retry budget; each process has one for each service.
    constexpr std::size_t RETRY_BURST = 5;
    constexpr int STATUS_OK = 200;

    int countOf(const std::map<std::string, int>& runs, const std::string& mark)
    {
        const auto found = runs.find(mark);
        return found == runs.end() ? 0 : found->second;
    }

    std::string listOf(const std::vector<Told>& answers)
    {
        std::string list;
        for (const Told& answer : answers)
            list.append(list.empty() ? "" : ", ").append(answer.outcome).append(" by ").append(answer.instance);
        return list;
    }

} // namespace

void Observations::noteOrder(const std::string& mark, const std::string& outcome, const std::string& instance)
{
    const std::lock_guard lock(m_mutex);
    m_orders[mark].push_back({ outcome, instance });
}

void Observations::noteLookup(const std::string& mark, int status)
{
    const std::lock_guard lock(m_mutex);
    m_lookups[mark] = status;
}

void Observations::noteWrongAnswer(const std::string& text)
{
    noteViolation("wrong answer: " + text);
}

void Observations::noteViolation(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(text);
}

Violations Observations::check(const std::map<std::string, int>& runs, std::size_t processStarts) const
{
    const std::lock_guard lock(m_mutex);
    Violations violations = m_violations;
    checkOrders(runs, violations);
    checkRetryBudget(runs, processStarts, violations);
    return violations;
}

void Observations::checkOrders(const std::map<std::string, int>& runs, Violations& violations) const
{
    for (const auto& [mark, answers] : m_orders) {
        const int count = countOf(runs, mark);
        if (count > 1)
            violations.push_back("order " + mark + " ran " + std::to_string(count) + " times");
        for (const auto& [outcome, instance] : answers) {
            if (outcome == "not-run" && count > 0)
                violations.push_back("order " + mark + " ran and was told " + listOf(answers));
            if (outcome == "ran" && count == 0)
                violations.push_back("order " + mark + " did not run and was told " + listOf(answers));
        }
    }
}

void Observations::checkRetryBudget(const std::map<std::string, int>& runs, std::size_t processStarts, Violations& violations) const
{
    std::size_t repeats = 0;
    for (const auto& [mark, status] : m_lookups)
        repeats += static_cast<std::size_t>(std::max(countOf(runs, mark) - 1, 0));
    const double allowed = RETRY_SHARE * static_cast<double>(m_lookups.size()) + static_cast<double>(RETRY_BURST * processStarts);
    if (static_cast<double>(repeats) > allowed)
        violations.push_back("look-ups ran " + std::to_string(repeats) + " times more than once, allowed " + std::to_string(allowed));
}

std::string Observations::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, int> outcomes;
    for (const auto& [mark, told] : m_orders) {
        for (const Told& answer : told)
            ++outcomes[answer.outcome];
    }
    std::string text = "orders=" + std::to_string(m_orders.size());
    for (const auto& [outcome, count] : outcomes)
        text.append(" ").append(outcome).append("=").append(std::to_string(count));
    const auto good = std::count_if(m_lookups.begin(), m_lookups.end(), [](const auto& entry) { return entry.second == STATUS_OK; });
    return text + " lookups=" + std::to_string(m_lookups.size()) + " ok=" + std::to_string(good);
}

} // namespace cornelwind::soak
