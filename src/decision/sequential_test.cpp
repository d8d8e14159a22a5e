#include "cornelwind/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {

void SequentialTest::add(double good, double bad, double p0, double mostGain)
{
    for (std::size_t i = 0; i < ALTERNATIVES.size(); ++i) {
        const double share = ALTERNATIVES[i];
        const double p1 = p0 + (1 - p0) * share;
        const double gain = bad * std::log(p1 / p0) + good * std::log1p(-share) + m_deferred[i];
        m_deferred[i] = std::max(0.0, gain - mostGain);
        m_sums[i] = std::max(0.0, m_sums[i] + std::min(gain, mostGain));
    }
}

double SequentialTest::score() const
{
    return *std::max_element(m_sums.begin(), m_sums.end());
}

} // namespace cornelwind
