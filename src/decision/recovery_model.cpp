#include "cornelwind/recovery_model.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Prior of each interval: half a recovery, at the rate of a mean length of 5 s, since gray failures last seconds.
    // The weight of half a recovery lets the first few observations outweigh the prior.
    constexpr double PRIOR_RECOVERIES = 0.5;
    constexpr double PRIOR_MEAN_S = 5;

    double secondsOf(Duration duration)
    {
        return std::max(std::chrono::duration<double>(duration).count(), 0.0);
    }

    bool isFiniteAndNotNegative(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

    bool isValid(const RecoveryModel::Interval& interval)
    {
        return isFiniteAndNotNegative(interval.recoveries) && isFiniteAndNotNegative(interval.unhealthySeconds);
    }

    double unhealthySecondsIn(std::span<const RecoveryModel::Interval> intervals)
    {
        double sum = 0;
        for (const RecoveryModel::Interval& interval : intervals)
            sum += interval.unhealthySeconds;
        return sum;
    }

} // namespace

std::size_t RecoveryModel::intervalOf(double at)
{
    return std::min(static_cast<std::size_t>(at), INTERVALS - 1);
}

double RecoveryModel::endOf(double at, double to)
{
    const std::size_t interval = intervalOf(at);
    return interval + 1 == INTERVALS ? to : std::min(to, static_cast<double>(interval + 1));
}

double RecoveryModel::recoveryRate(std::size_t interval) const
{
    const Interval& seen = m_intervals[interval];
    return (seen.recoveries + PRIOR_RECOVERIES) / (seen.unhealthySeconds + PRIOR_RECOVERIES * PRIOR_MEAN_S);
}

void RecoveryModel::addUnhealthy(Duration from, Duration to)
{
    const double last = secondsOf(to);
    for (double at = secondsOf(from); at < last; at = endOf(at, last))
        m_intervals[intervalOf(at)].unhealthySeconds += endOf(at, last) - at;
}

// The time of the recovery is unknown. Each interval of age gets a share of it, in proportion to the probability that
// the server recovered in that interval.
void RecoveryModel::addRecovered(Duration from, Duration to)
{
    const double last = secondsOf(to);
    const double total = recovered(from, to);
    if (total <= 0)
        return;
    std::array<Interval, INTERVALS> added {};
    double unhealthy = 1;
    for (double at = secondsOf(from); at < last; at = endOf(at, last)) {
        const std::size_t interval = intervalOf(at);
        const double length = endOf(at, last) - at;
        const double after = unhealthy * std::exp(-recoveryRate(interval) * length);
        const double share = (unhealthy - after) / total;
        const double unhealthyLater = (after - (1 - total)) / total;
        added[interval].recoveries += share;
        added[interval].unhealthySeconds += length * (unhealthyLater + share / 2);
        unhealthy = after;
    }
    for (std::size_t i = 0; i < INTERVALS; ++i) {
        m_intervals[i].recoveries += added[i].recoveries;
        m_intervals[i].unhealthySeconds += std::max(added[i].unhealthySeconds, 0.0);
    }
}

void RecoveryModel::adopt(std::span<const Interval> learned)
{
    if (learned.size() != INTERVALS || !std::all_of(learned.begin(), learned.end(), isValid))
        return;
    if (unhealthySecondsIn(learned) > unhealthySecondsIn(m_intervals))
        std::copy(learned.begin(), learned.end(), m_intervals.begin());
}

double RecoveryModel::recovered(Duration from, Duration to) const
{
    const double last = secondsOf(to);
    double exponent = 0;
    for (double at = secondsOf(from); at < last; at = endOf(at, last))
        exponent += recoveryRate(intervalOf(at)) * (endOf(at, last) - at);
    return 1 - std::exp(-exponent);
}

} // namespace cornelwind
