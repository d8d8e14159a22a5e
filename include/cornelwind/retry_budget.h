#pragma once

#include <cstdint>

namespace cornelwind {

/// Bounds the retries and hedges of a service to a share of its requests.
///
/// A token bucket: each request adds `percent / 100` of a token, each retry
/// takes one. Retries never exceed that share plus the burst.
class RetryBudget {
public:
    /// @param percent retries allowed, in percent of requests
    explicit RetryBudget(std::uint32_t percent = 0);

    void setPercent(std::uint32_t percent) { m_percent = percent; }
    /// Bounds what may be saved up; half of it is there at the start.
    void setBurst(std::uint32_t tokens);

    /// Counts a request that is not a retry.
    void deposit();

    /// @return whether a retry is allowed; takes its token if so
    bool withdraw();

private:
    // Hundredths of a token, so that the sum stays exact.
    std::uint32_t m_percent;
    std::uint32_t m_burst;
    std::uint32_t m_balance;
};

} // namespace cornelwind
