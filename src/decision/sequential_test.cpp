#include "cornelwind/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {

// Who reaches a degree gives back what the degree below it was worth.
double SequentialTest::gainOf(double good, std::span<const BadCount> bad, double share)
{
    double gain = good * std::log1p(-share);
    double worthBelow = 0;
    for (const BadCount& degree : bad) {
        const double p1 = degree.expected + (1 - degree.expected) * share;
        const double worth = std::max(worthBelow, std::log(p1 / degree.expected));
        gain += degree.count * (worth - worthBelow);
        worthBelow = worth;
    }
    return gain;
}

void SequentialTest::add(double good, std::span<const BadCount> bad, double mostGain)
{
    for (std::size_t i = 0; i < ALTERNATIVES.size(); ++i) {
        const double gain = gainOf(good, bad, ALTERNATIVES[i]) + m_deferred[i];
        m_deferred[i] = std::max(0.0, gain - mostGain);
        m_sums[i] = std::max(0.0, m_sums[i] + std::min(gain, mostGain));
    }
}

double SequentialTest::score() const
{
    return *std::max_element(m_sums.begin(), m_sums.end());
}

} // namespace cornelwind
