#pragma once

#include <cstdint>

namespace cornelwind {

/// Limits the retries and hedges of a service to a share of its requests.
///
/// Token bucket: each request adds `percent / 100` of a token, and each retry or hedge takes
/// one token. Retries never exceed that share of the requests plus the burst.
class RetryBudget {
public:
    /// @param percent retries allowed, in percent of requests; with 0 the bucket starts empty,
    ///                otherwise full with a burst of 5 tokens
    explicit RetryBudget(std::uint32_t percent = 0);

    void setPercent(std::uint32_t percent) { m_percent = percent; }
    /// Sets the capacity of the bucket. Tokens above the new capacity are lost; none are added.
    ///
    /// @param tokens retries that may be saved up
    void setBurst(std::uint32_t tokens);

    /// Counts a request that is not a retry.
    void deposit();

    /// @return whether a retry is allowed; takes its token if so
    bool withdraw();

private:
    // Burst and balance are in hundredths of a token, so that sums of percentages stay exact.
    std::uint32_t m_percent;
    std::uint32_t m_burst;
    std::uint32_t m_balance;
};

} // namespace cornelwind
