#pragma once

#include "cornelwind/reducer.h"

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelwind {

/// Figures that the shell itself counts.
struct ShellFigures {
    std::size_t connections = 0;
    std::uint64_t peerBytesSent = 0;
    std::uint64_t peerBytesReceived = 0;
    std::uint64_t controlBytesSent = 0;
    std::uint64_t platformCalls = 0;
    std::uint64_t spansDropped = 0;
    std::uint64_t logLinesDropped = 0;
    /// Decisions by kind.
    std::array<std::uint64_t, DECISION_KINDS> decisions {};
};

/// @param requests metrics of the requests by service
/// @return all metrics in the Prometheus text format
std::string renderMetrics(const Status& status, const Counters& counters, const ShellFigures& figures, std::vector<prometheus::MetricFamily> requests);

} // namespace cornelwind
