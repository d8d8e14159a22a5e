#include "observations.h"

#include <algorithm>

namespace cornelwind::soak {
namespace {

    // Default value of `retry_percent` in the sheet, as a fraction of the requests.
    constexpr double RETRY_SHARE = 0.1;
    // Retries that a retry budget allows without any request. Each process has one budget for each service.
    constexpr std::size_t RETRY_BURST = 5;
    constexpr int STATUS_OK = 200;

    int executionCount(const std::map<std::string, int>& executions, const std::string& tag)
    {
        const auto found = executions.find(tag);
        return found == executions.end() ? 0 : found->second;
    }

    std::string describe(const std::vector<OrderResponse>& responses)
    {
        std::string list;
        for (const OrderResponse& response : responses)
            list.append(list.empty() ? "" : ", ").append(response.outcome).append(" by ").append(response.instance);
        return list;
    }

} // namespace

void Observations::recordOrder(const std::string& tag, const std::string& outcome, const std::string& instance)
{
    const std::lock_guard lock(m_mutex);
    m_orders[tag].push_back({ outcome, instance });
}

void Observations::recordLookup(const std::string& tag, int status)
{
    const std::lock_guard lock(m_mutex);
    m_lookups[tag] = status;
}

void Observations::recordWrongResponse(const std::string& text)
{
    recordViolation("wrong response: " + text);
}

void Observations::recordViolation(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(text);
}

Violations Observations::check(const std::map<std::string, int>& executions, std::size_t processStarts) const
{
    const std::lock_guard lock(m_mutex);
    Violations violations = m_violations;
    checkOrders(executions, violations);
    checkRetryBudget(executions, processStarts, violations);
    return violations;
}

void Observations::checkOrders(const std::map<std::string, int>& executions, Violations& violations) const
{
    for (const auto& [tag, responses] : m_orders) {
        const int count = executionCount(executions, tag);
        if (count > 1)
            violations.push_back("order " + tag + " was executed " + std::to_string(count) + " times");
        for (const auto& [outcome, instance] : responses) {
            if (outcome == "not-run" && count > 0)
                violations.push_back("order " + tag + " was executed, but the reported outcomes are " + describe(responses));
            if (outcome == "ran" && count == 0)
                violations.push_back("order " + tag + " was not executed, but the reported outcomes are " + describe(responses));
        }
    }
}

void Observations::checkRetryBudget(const std::map<std::string, int>& executions, std::size_t processStarts, Violations& violations) const
{
    std::size_t repeatedExecutions = 0;
    for (const auto& [tag, status] : m_lookups)
        repeatedExecutions += static_cast<std::size_t>(std::max(executionCount(executions, tag) - 1, 0));
    const double allowed = RETRY_SHARE * static_cast<double>(m_lookups.size()) + static_cast<double>(RETRY_BURST * processStarts);
    if (static_cast<double>(repeatedExecutions) > allowed)
        violations.push_back("look-ups had " + std::to_string(repeatedExecutions) + " repeated executions, allowed " + std::to_string(allowed));
}

std::string Observations::summary() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, int> outcomes;
    for (const auto& [tag, responses] : m_orders) {
        for (const OrderResponse& response : responses)
            ++outcomes[response.outcome];
    }
    std::string text = "orders=" + std::to_string(m_orders.size());
    for (const auto& [outcome, count] : outcomes)
        text.append(" ").append(outcome).append("=").append(std::to_string(count));
    const auto succeeded = std::count_if(m_lookups.begin(), m_lookups.end(), [](const auto& entry) { return entry.second == STATUS_OK; });
    return text + " lookups=" + std::to_string(m_lookups.size()) + " ok=" + std::to_string(succeeded);
}

} // namespace cornelwind::soak
