#pragma once

#include <array>
#include <cstdint>
#include <span>

namespace cornelwind {

/// Number of bad outcomes of one degree. Degrees are ordered: an outcome of a
/// higher degree is also counted at each lower one.
struct BadCount {
    double count = 0;
    /// Probability that an outcome of a healthy server reaches this degree, in (0, 1).
    double expected = 0;
};

/// Sequential test of whether a backend server is unhealthy, from a stream of good and bad outcomes.
///
/// Each alternative states that a share `d` of the requests fails in addition to
/// the share `p0` that fails on healthy servers. For each, a cumulative sum of
/// log-likelihood ratios is kept at or above zero (CUSUM; Page, Biometrika 41,
/// 1954). With threshold `h` the mean number of samples to a false alarm of one
/// such sum is at least `e^h` (Lorden, Ann. Math. Statist. 42, 1971). The degree
/// of an outcome can still rise while the request waits, so an outcome of degree
/// `k` is a censored observation: it adds the log-likelihood ratio of reaching at
/// least `k`.
///
/// Cost: constant, no allocation.
class SequentialTest {
public:
    /// Shares of additional failures that are tested for, one for each alternative.
    static constexpr std::array<double, 4> ALTERNATIVES { 0.05, 0.15, 0.3, 0.6 };

    /// Adds outcomes that were observed together.
    ///
    /// @param good number of outcomes that reached no degree; negative to take back outcomes
    ///     that were added as good and have reached a degree since
    /// @param bad number of outcomes that newly reached each degree, lowest degree first
    /// @param maxGain upper bound on the increase of the score by this call, in nats. The excess is
    ///     carried over to the next call, where good outcomes can outweigh it
    void add(double good, std::span<const BadCount> bad, double maxGain);

    /// @return the largest sum of all alternatives, in nats; at least zero
    double score() const;

private:
    /// @return increase of the sum of the alternative `share`, in nats
    static double gainOf(double good, std::span<const BadCount> bad, double share);

    std::array<double, ALTERNATIVES.size()> m_sums {};
    std::array<double, ALTERNATIVES.size()> m_deferred {};
};

} // namespace cornelwind
