#pragma once

#include <array>
#include <cstdint>
#include <span>

namespace cornelwind {

/// Bad outcomes of one degree. Degrees are ordered: an outcome of a higher
/// degree was counted at each lower one as well.
struct BadCount {
    double count = 0;
    /// Probability that an outcome of a healthy server reaches this degree, in (0, 1).
    double expected = 0;
};

/// Tells whether a backend server is sick from a stream of good and bad outcomes.
///
/// For each alternative "a share `d` of the requests fails beyond the share
/// `p0` that fails everywhere", a cumulative sum of log-likelihood ratios is
/// kept at or above zero (CUSUM; Page, Biometrika 41, 1954). With threshold
/// `h` the mean number of samples to a false alarm of one such sum is at least
/// `e^h` (Lorden, Ann. Math. Statist. 42, 1971). An outcome that has reached
/// degree `k` and may still rise is worth the ratio of the probabilities to
/// reach at least `k`, as a censored observation is.
///
/// Cost: constant, no allocation.
class SequentialTest {
public:
    /// Shares of additional failures that are tested for.
    static constexpr std::array<double, 4> ALTERNATIVES { 0.05, 0.15, 0.3, 0.6 };

    /// Adds outcomes that were observed together.
    ///
    /// @param good number of outcomes that reached no degree
    /// @param bad numbers of outcomes that newly reached each degree, lowest first
    /// @param mostGain bound on the rise of the score by this call; what exceeds
    ///     it is added to the next call, where good outcomes can outweigh it
    void add(double good, std::span<const BadCount> bad, double mostGain);

    /// @return the largest of the sums, in nats
    double score() const;

private:
    static double gainOf(double good, std::span<const BadCount> bad, double share);

    std::array<double, ALTERNATIVES.size()> m_sums {};
    std::array<double, ALTERNATIVES.size()> m_deferred {};
};

} // namespace cornelwind
