#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstddef>

namespace cornelwind {

/// Histogram of latencies with exponential decay and logarithmic buckets.
///
/// `add` takes constant time; `decay` and `median` take one pass over the buckets. No allocation.
class LatencyHistogram {
public:
    /// Adds a sample; latencies beyond the last bucket count in it.
    void add(Duration latency);

    /// Reduces the weight of the samples added so far, so that later ones count more.
    void decay();

    /// @return the median to within half a bucket (7%), or zero while the decayed samples are fewer than 20
    Duration median() const;

private:
    static constexpr std::size_t BUCKETS = 128;

    static std::size_t bucketIndex(Duration latency);

    std::array<double, BUCKETS> m_counts {};
    double m_total = 0;
};

} // namespace cornelwind
