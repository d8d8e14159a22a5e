#pragma once

#include "cornelwind/types.h"

#include <array>
#include <cstddef>
#include <span>

namespace cornelwind {

/// Distribution of the length of gray failures, learned from the trial requests to suspected servers.
///
/// A survival model with a constant rate of recovery in each second of age,
/// where age is the time since the first failure. Each trial gives an interval of
/// age: the server is still unhealthy at its end, or has recovered at an unknown
/// time within it. Without data the rate is that of a mean length of 5 s.
/// Memory: constant. Cost of each call: linear in the number of intervals.
class RecoveryModel {
public:
    /// Observations of one second of age; the last interval also holds those of all later ages.
    struct Interval {
        /// Number of recoveries; fractional, since one recovery is divided over the ages at which it may have happened.
        double recoveries = 0;
        /// Time for which servers were unhealthy at this age, in seconds.
        double unhealthySeconds = 0;
    };

    /// Adds a trial that failed: the server was unhealthy from age `from` to age `to`.
    void addUnhealthy(Duration from, Duration to);

    /// Adds a trial that succeeded: the server failed at age `from` and had recovered by age `to`.
    void addRecovered(Duration from, Duration to);

    /// @return probability that a server that failed at age `from` has recovered by age `to`
    double recovered(Duration from, Duration to) const;

    /// @return all intervals, ordered by age
    std::span<const Interval> intervals() const { return m_intervals; }

    /// Replaces all intervals by those of another entry instance if they cover more unhealthy time.
    ///
    /// @param learned intervals of the other entry instance, as `intervals` returns them; ignored as a whole if
    ///     their number differs or a value is negative or not finite
    void adopt(std::span<const Interval> learned);

private:
    /// One interval for each second of age. The last one covers all later ages as well.
    static constexpr std::size_t INTERVALS = 40;

    /// @return recoveries per second at the ages of an interval
    double recoveryRate(std::size_t interval) const;
    /// @return end of the interval that contains age `at`, or `to` if that is earlier; both in seconds
    static double endOf(double at, double to);
    /// @param at age in seconds
    static std::size_t intervalOf(double at);

    std::array<Interval, INTERVALS> m_intervals {};
};

} // namespace cornelwind
