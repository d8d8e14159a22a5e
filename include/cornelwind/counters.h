#pragma once

#include <cstdint>

namespace cornelwind {

/// Totals of one entry instance since its start, for metrics.
struct Counters {
    /// Requests received, from callers and from other entry instances.
    std::uint64_t requests = 0;
    /// Responses of backend servers passed on.
    std::uint64_t relayed = 0;
    /// Requests answered with an error of the fleet.
    std::uint64_t refused = 0;
    /// Requests sent to backend servers; each retry and each hedge counts once more.
    std::uint64_t tries = 0;
    std::uint64_t retries = 0;
    /// Second tries started while the first was still in progress.
    std::uint64_t hedges = 0;
    /// Requests forwarded to the owner of their key.
    std::uint64_t forwarded = 0;
    /// Requests that waited for the result of an earlier request with the same key.
    std::uint64_t joined = 0;
    /// Requests that got the stored result of an earlier request with the same key.
    std::uint64_t repeated = 0;
    /// Tries that a backend server shed without running the request.
    std::uint64_t sheds = 0;
    /// Tokens of workspace quotas that this entry instance granted, to itself and to others.
    std::uint64_t quotaTokens = 0;
    /// Requests refused because the quota of their workspace was used up.
    std::uint64_t quotaRefusals = 0;
    /// Requests that waited for a token of the quota of their workspace.
    std::uint64_t quotaWaits = 0;
    /// Waiting requests refused because others took their places in a full queue.
    std::uint64_t displaced = 0;
    /// Requests refused on arrival because they could not be done before their deadlines.
    std::uint64_t refusedTooLate = 0;
    /// Requests that waited and were sent although they were expected to miss their target latency.
    std::uint64_t servedLate = 0;
    /// Requests refused because such requests crash backend servers.
    std::uint64_t quarantined = 0;
    /// Requests refused because they have no valid API key.
    std::uint64_t apiKeysRejected = 0;
    /// Requests refused because this instance cannot confirm its API keys.
    std::uint64_t apiKeysUnconfirmed = 0;
};

} // namespace cornelwind
