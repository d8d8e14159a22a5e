#include "cornelwind/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Weight that remains of earlier samples after one decay.
    constexpr double DECAY = 0.9;
    // Total weight of the samples below which no median is returned.
    constexpr double MIN_SAMPLES = 20;
    // Buckets for each doubling of the latency in microseconds.
    constexpr double BUCKETS_PER_OCTAVE = 5;

} // namespace

std::size_t LatencyHistogram::bucketIndex(Duration latency)
{
    const double microseconds = std::max<double>(1, static_cast<double>(latency.count()));
    return std::min(static_cast<std::size_t>(std::log2(microseconds) * BUCKETS_PER_OCTAVE), BUCKETS - 1);
}

void LatencyHistogram::add(Duration latency)
{
    ++m_counts[bucketIndex(latency)];
    ++m_total;
}

void LatencyHistogram::decay()
{
    for (double& count : m_counts)
        count *= DECAY;
    m_total *= DECAY;
}

Duration LatencyHistogram::median() const
{
    if (m_total < MIN_SAMPLES)
        return {};
    double sum = 0;
    for (std::size_t i = 0; i < BUCKETS; ++i) {
        sum += m_counts[i];
        if (sum * 2 >= m_total)
            return Duration { static_cast<std::int64_t>(std::exp2((static_cast<double>(i) + 0.5) / BUCKETS_PER_OCTAVE)) };
    }
    return {};
}

} // namespace cornelwind
