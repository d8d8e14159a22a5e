#pragma once

#include <array>
#include <cstdint>

namespace cornelwind {

/// Tells whether a backend server is sick from a stream of good and bad outcomes.
///
/// For each alternative "a share `d` of the requests fails beyond the share
/// `p0` that fails everywhere", a cumulative sum of log-likelihood ratios is
/// kept at or above zero (CUSUM; Page, Biometrika 41, 1954). With threshold
/// `h` the mean number of samples to a false alarm of one such sum is at least
/// `e^h` (Lorden, Ann. Math. Statist. 42, 1971).
///
/// Cost: constant, no allocation.
class SequentialTest {
public:
    /// Shares of additional failures that are tested for.
    static constexpr std::array<double, 4> ALTERNATIVES { 0.05, 0.15, 0.3, 0.6 };

    /// Adds outcomes that were observed together.
    ///
    /// @param good, bad numbers of outcomes
    /// @param p0 probability of a bad outcome at a healthy server, in (0, 1)
    /// @param mostGain bound on the rise of the score by this call; what exceeds
    ///     it is added to the next call, where good outcomes can outweigh it
    void add(double good, double bad, double p0, double mostGain);

    /// @return the largest of the sums, in nats
    double score() const;

private:
    std::array<double, ALTERNATIVES.size()> m_sums {};
    std::array<double, ALTERNATIVES.size()> m_deferred {};
};

} // namespace cornelwind
