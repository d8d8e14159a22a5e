#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelwind::soak {

/// Descriptions of the violated guarantees of a run.
using Violations = std::vector<std::string>;

/// Response to one send of an order.
struct OrderResponse {
    /// Value of the `Cornelwind-Outcome` header, or "none" if there was no response.
    std::string outcome;
    /// Entry instance that the order was sent to.
    std::string instance;
};

/// Records the responses that callers received and compares them with the executions on the backend servers.
///
/// Thread-safe.
class Observations {
public:
    /// Records one send of an order.
    ///
    /// @param tag unique text in the body of the order
    /// @param outcome value of the `Cornelwind-Outcome` header, or "none" if there was no response
    /// @param instance entry instance that the order was sent to
    void recordOrder(const std::string& tag, const std::string& outcome, const std::string& instance);

    /// Records a look-up.
    ///
    /// @param tag unique text in the target of the look-up
    /// @param status HTTP status of the response, or 0 if there was no response
    void recordLookup(const std::string& tag, int status);

    /// Records a violation: a caller received a response that does not belong to its request.
    ///
    /// @param text the request and the received body
    void recordWrongResponse(const std::string& text);

    /// Records any other violation.
    ///
    /// @param text description of the violated guarantee
    void recordViolation(const std::string& text);

    /// Checks that no order was executed twice, that no reported outcome is false, and that the retries of look-ups stay
    /// within the retry budgets.
    ///
    /// @param executions number of executions by tag, from the logs of all backend servers
    /// @param processStarts number of started entry instance processes; each starts with full retry budgets
    /// @return all violations, including those recorded earlier
    Violations check(const std::map<std::string, int>& executions, std::size_t processStarts) const;

    /// @return one line with the number of orders by outcome, of look-ups, and of successful look-ups
    std::string summary() const;

private:
    void checkOrders(const std::map<std::string, int>& executions, Violations& violations) const;
    void checkRetryBudget(const std::map<std::string, int>& executions, std::size_t processStarts, Violations& violations) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<OrderResponse>> m_orders;
    std::map<std::string, int> m_lookups;
    Violations m_violations;
};

} // namespace cornelwind::soak
