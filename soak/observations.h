#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelwind::soak {

/// Violated guarantees of a run, each with a description of the observation.
using Violations = std::vector<std::string>;

/// Result of one transmission of an order.
struct OrderResponse {
    /// Value of the `Cornelwind-Outcome` header, or "none" without a response.
    std::string outcome;
    /// Entry instance that the order was sent to.
    std::string instance;
};

/// Records the responses that callers received and compares them with the executions on the backend servers.
///
/// Thread-safe.
class Observations {
public:
    /// Records one transmission of an order.
    ///
    /// @param tag unique text in the body of the order
    /// @param outcome value of the `Cornelwind-Outcome` header; "none" without a response
    /// @param instance entry instance that the order was sent to
    void recordOrder(const std::string& tag, const std::string& outcome, const std::string& instance);

    /// Records a look-up.
    ///
    /// @param tag unique text in the target of the look-up
    /// @param status HTTP status of the response; 0 without a response
    void recordLookup(const std::string& tag, int status);

    /// Records a violation: a caller received a response that does not belong to its request.
    ///
    /// @param text the request and the received body
    void recordWrongResponse(const std::string& text);

    /// @param text description of the violated guarantee
    void recordViolation(const std::string& text);

    /// Checks that no order was executed twice, that reported outcomes are true, and that retries stay within the budget.
    ///
    /// @param executions number of executions by tag, from the logs of all backend servers
    /// @param processStarts number of started entry instance processes; each has a retry burst of its own
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
