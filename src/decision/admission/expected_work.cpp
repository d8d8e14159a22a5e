#include "admission/expected_work.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {

void WorkEstimate::add(Duration elapsed)
{
    const auto value = static_cast<double>(elapsed.count());
    const double weight = std::max(MIN_WEIGHT, 1.0 / ++m_samples);
    const double difference = value - m_mean;
    m_mean += weight * difference;
    // The first sample has no deviation from a mean that consists of itself.
    if (m_samples > 1)
        m_deviation += weight * (std::abs(difference) - m_deviation);
}

ExpectedWork WorkEstimate::expected() const
{
    if (m_samples < MIN_SAMPLES)
        return {};
    return { Duration { std::llround(m_mean) }, Duration { std::llround(m_deviation) } };
}

} // namespace cornelwind
