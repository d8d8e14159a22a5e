#include "cornelwind/recovery_model.h"

#include <algorithm>
#include <cmath>

namespace cornelwind {
namespace {

    // Without data: as if this many recoveries had been seen in each interval, at the rate of a mean length of 5 s.
    // Gray failures last seconds; half a recovery gives way to the first few that are seen.
    constexpr double PRIOR_RECOVERIES = 0.5;
    constexpr double PRIOR_MEAN_S = 5;

    double secondsOf(Duration duration)
    {
        return std::max(std::chrono::duration<double>(duration).count(), 0.0);
    }

    bool isCount(double value)
    {
        return std::isfinite(value) && value >= 0;
    }

    bool isValid(const RecoveryModel::Interval& interval)
    {
        return isCount(interval.recoveries) && isCount(interval.sickSeconds);
    }

    double secondsIn(std::span<const RecoveryModel::Interval> intervals)
    {
        double sum = 0;
        for (const RecoveryModel::Interval& interval : intervals)
            sum += interval.sickSeconds;
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

double RecoveryModel::rate(std::size_t interval) const
{
    const Interval& seen = m_intervals[interval];
    return (seen.recoveries + PRIOR_RECOVERIES) / (seen.sickSeconds + PRIOR_RECOVERIES * PRIOR_MEAN_S);
}

void RecoveryModel::addSick(Duration from, Duration to)
{
    const double last = secondsOf(to);
    for (double at = secondsOf(from); at < last; at = endOf(at, last))
        m_intervals[intervalOf(at)].sickSeconds += endOf(at, last) - at;
}

// The recovery is divided over the ages at which it may have come, by how likely each was.
void RecoveryModel::addRecovered(Duration from, Duration to)
{
    const double last = secondsOf(to);
    const double total = recovered(from, to);
    if (total <= 0)
        return;
    std::array<Interval, INTERVALS> added {};
    double sick = 1;
    for (double at = secondsOf(from); at < last; at = endOf(at, last)) {
        const std::size_t interval = intervalOf(at);
        const double length = endOf(at, last) - at;
        const double after = sick * std::exp(-rate(interval) * length);
        const double share = (sick - after) / total;
        const double sickLater = (after - (1 - total)) / total;
        added[interval].recoveries += share;
        added[interval].sickSeconds += length * (sickLater + share / 2);
        sick = after;
    }
    for (std::size_t i = 0; i < INTERVALS; ++i) {
        m_intervals[i].recoveries += added[i].recoveries;
        m_intervals[i].sickSeconds += std::max(added[i].sickSeconds, 0.0);
    }
}

void RecoveryModel::adopt(std::span<const Interval> learnt)
{
    if (learnt.size() != INTERVALS || !std::all_of(learnt.begin(), learnt.end(), isValid))
        return;
    if (secondsIn(learnt) > secondsIn(m_intervals))
        std::copy(learnt.begin(), learnt.end(), m_intervals.begin());
}

double RecoveryModel::recovered(Duration from, Duration to) const
{
    const double last = secondsOf(to);
    double exponent = 0;
    for (double at = secondsOf(from); at < last; at = endOf(at, last))
        exponent += rate(intervalOf(at)) * (endOf(at, last) - at);
    return 1 - std::exp(-exponent);
}

} // namespace cornelwind
