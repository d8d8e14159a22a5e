#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cornelwind::soak {

/// Broken promises of a run, each with what was seen.
using Violations = std::vector<std::string>;

/// What one send of an order was told.
struct Told {
    std::string outcome;
    std::string instance;
};

/// What callers were told, to be held against what the backend servers ran.
///
/// Safe to use from several threads.
class Observations {
public:
    /// @param mark names one order in its body
    /// @param outcome what its answer says of the outcome; "none" without an answer
    /// @param instance that answered
    void noteOrder(const std::string& mark, const std::string& outcome, const std::string& instance);
    /// @param mark names one look-up in its target
    void noteLookup(const std::string& mark, int status);
    /// An answer that is not the one to its request, or that is not whole.
    void noteWrongAnswer(const std::string& text);
    void noteViolation(const std::string& text);

    /// Compares with what ran.
    ///
    /// @param runs number of runs by mark, from the logs of all backend servers
    /// @param processStarts entry instances started; each may save up some retries
    Violations check(const std::map<std::string, int>& runs, std::size_t processStarts) const;

    /// @return one line with the number of orders, look-ups and their results
    std::string summary() const;

private:
    void checkOrders(const std::map<std::string, int>& runs, Violations& violations) const;
    void checkRetryBudget(const std::map<std::string, int>& runs, std::size_t processStarts, Violations& violations) const;

    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<Told>> m_orders;
    std::map<std::string, int> m_lookups;
    Violations m_violations;
};

} // namespace cornelwind::soak
