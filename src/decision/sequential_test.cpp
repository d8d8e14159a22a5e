#include "cornelwind/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {

// An outcome is counted at its own degree and at all lower ones, so each degree adds only the difference to the one
// below.
double SequentialTest::gainOf(double good, std::span<const BadCount> bad, double share)
{
    double gain = good * std::log1p(-share);
    double lowerDegreeGain = 0;
    for (const BadCount& degree : bad) {
        const double p1 = degree.expected + (1 - degree.expected) * share;
        const double degreeGain = std::max(lowerDegreeGain, std::log(p1 / degree.expected));
        gain += degree.count * (degreeGain - lowerDegreeGain);
        lowerDegreeGain = degreeGain;
    }
    return gain;
}

void SequentialTest::add(double good, std::span<const BadCount> bad, double maxGain)
{
    for (std::size_t i = 0; i < ALTERNATIVES.size(); ++i) {
        const double gain = gainOf(good, bad, ALTERNATIVES[i]) + m_deferred[i];
        m_deferred[i] = std::max(0.0, gain - maxGain);
        m_sums[i] = std::max(0.0, m_sums[i] + std::min(gain, maxGain));
    }
}

double SequentialTest::score() const
{
    return *std::max_element(m_sums.begin(), m_sums.end());
}

} // namespace cornelwind
