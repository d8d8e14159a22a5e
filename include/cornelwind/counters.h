#pragma once

#include <cstdint>

namespace cornelwind {

/// Running totals of one entry instance, for metrics.
struct Counters {
    std::uint64_t requests = 0;
    /// Answers of backend servers passed on.
    std::uint64_t relayed = 0;
    /// Answers that the fleet made.
    std::uint64_t refused = 0;
    /// Sends to backend servers, retries and hedges included.
    std::uint64_t tries = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /// Requests passed to the owner of their key.
    std::uint64_t forwarded = 0;
    /// Requests that waited for another send of their key.
    std::uint64_t joined = 0;
    /// Requests answered from the ledger.
    std::uint64_t repeated = 0;
    std::uint64_t sheds = 0;
};

} // namespace cornelwind
