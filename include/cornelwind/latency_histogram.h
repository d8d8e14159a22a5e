#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstddef>

namespace cornelwind {

/// Histogram of answer times whose counts decay, with buckets of a fixed ratio.
///
/// Cost: constant to add, one pass over `BUCKETS` for the rest; no allocation.
class LatencyHistogram {
public:
    void add(Duration latency);

    /// Lets the weight of what was added so far decline.
    void decay();

    /// @return the median to within half a bucket (7%), or zero while there are too few answers
    Duration median() const;

private:
    static constexpr std::size_t BUCKETS = 128;

    static std::size_t bucketIndex(Duration latency);

    std::array<double, BUCKETS> m_counts {};
    double m_total = 0;
};

} // namespace cornelwind
