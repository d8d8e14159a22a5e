#pragma once

#include "cornelwind/reducer.h"
#include "memory_budget.h"

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelwind {

/// Counters and gauges of the I/O layer.
struct IoStats {
    /// Open connections of callers.
    std::size_t connections = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t peerBytesReceived = 0;
    /// `peerBytesSent` less the bytes of forwarded requests and their responses.
    std::uint64_t controlBytesSent = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t spansDropped = 0;
    /// Bytes of responses that are held in memory.
    std::uint64_t responseBytes = 0;
    /// Responses given up because all together took too much memory.
    std::uint64_t responsesOverMemory = 0;
    /// Bytes of bodies that are held in memory, indexed by `MemoryKind`.
    std::array<std::uint64_t, MEMORY_KINDS> bodyBytes {};
    /// Transfers ended because all bodies together took too much memory, indexed by `Transfer`.
    std::array<std::uint64_t, TRANSFERS> endedForMemory {};
    std::uint64_t logLinesDropped = 0;
    /// Number of decisions, indexed by `DecisionKind`.
    std::array<std::uint64_t, DECISION_KINDS> decisions {};
};

/// Renders all metrics of this entry instance.
///
/// @param requests metrics of requests, by service
/// @return the metrics in the Prometheus text format
std::string renderMetrics(const Status& status, const Counters& counters, const IoStats& stats, std::vector<prometheus::MetricFamily> requests);

} // namespace cornelwind
