#include "support/limit_record.h"

#include <algorithm>

namespace cornelwind::test {
namespace {

    // A server may get LIMIT_FACTOR times its limit, and LIMIT_SLACK requests more, in any LIMIT_WINDOW_SECONDS.
    constexpr double LIMIT_WINDOW_SECONDS = 4;
    constexpr double LIMIT_FACTOR = 1.5;
    constexpr double LIMIT_SLACK = 5;
    // A limit counts this long after it was first named, and for an entry instance this long after it got a response with it.
    constexpr double SETTLING_SECONDS = 3;
    constexpr double BOUND_AFTER_SECONDS = 0.5;

} // namespace

const NamedLimit* LimitRecord::current(double at) const
{
    const auto found = std::find_if(m_limits.begin(), m_limits.end(), [at](const NamedLimit& limit) { return within(limit.span, at); });
    return found == m_limits.end() ? nullptr : &*found;
}

std::size_t LimitRecord::countArrivals(const Span& span) const
{
    const auto isBefore = [](const Arrival& arrival, double at) { return arrival.at < at; };
    const auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), span.from, isBefore);
    return static_cast<std::size_t>(std::lower_bound(first, m_arrivals.end(), span.to, isBefore) - first);
}

// The times of the requests that count for a limit.
std::vector<double> LimitRecord::boundArrivals(const NamedLimit& limit, const Excused& isExcused) const
{
    std::vector<double> times;
    for (const Arrival& arrival : m_arrivals) {
        const auto told = m_toldAt.find({ limit.span.from, arrival.instance });
        const bool isBound = told != m_toldAt.end() && told->second + BOUND_AFTER_SECONDS <= arrival.at;
        if (isBound && within({ limit.span.from + SETTLING_SECONDS, limit.span.to }, arrival.at) && !isExcused(arrival.instance, arrival.at))
            times.push_back(arrival.at);
    }
    return times;
}

std::vector<LimitReport> LimitRecord::worstWindows(const Excused& isExcused) const
{
    std::vector<LimitReport> reports;
    for (const NamedLimit& limit : m_limits) {
        LimitReport worst { 0, limit.span.from, limit.perSecond, 0, LIMIT_FACTOR * limit.perSecond * LIMIT_WINDOW_SECONDS + LIMIT_SLACK };
        const std::vector<double> times = boundArrivals(limit, isExcused);
        for (std::size_t i = 0; i < times.size(); ++i) {
            const auto end = std::lower_bound(times.begin(), times.end(), times[i] + LIMIT_WINDOW_SECONDS);
            const auto count = static_cast<std::size_t>(end - times.begin()) - i;
            if (count > worst.arrivals) {
                worst.arrivals = count;
                worst.from = times[i];
            }
        }
        reports.push_back(worst);
    }
    return reports;
}

std::pair<double, double> LimitRecord::use(double lengthSeconds) const
{
    std::pair<double, double> sum { 0, 0 };
    for (const NamedLimit& limit : m_limits) {
        const Span span { limit.span.from + SETTLING_SECONDS, std::min(limit.span.to, lengthSeconds) };
        sum.first += static_cast<double>(countArrivals(span));
        sum.second += limit.perSecond * (span.to - span.from);
    }
    return sum;
}

} // namespace cornelwind::test
