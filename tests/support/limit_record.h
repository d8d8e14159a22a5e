#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace cornelwind::test {

/// A span of time, in seconds from the start of the load.
struct Span {
    double from;
    double to;
};

inline bool within(const Span& span, double at) { return span.from <= at && at < span.to; }

/// Requests that a limited server got in a window of four seconds.
struct LimitReport {
    /// Index of the server, and start of the window in seconds from the start of the load.
    std::size_t server = 0;
    double from = 0;
    /// Requests a second that the server named.
    double limit = 0;
    /// Requests from entry instances that had passed on a response with the limit half a second before.
    std::size_t arrivals = 0;
    /// One and a half times what the limit allows in the window, and five more.
    double allowed = 0;
};

/// A limit that a server names, in requests a second.
struct NamedLimit {
    Span span;
    double perSecond;
};

/// A request that reached a server, in seconds from the start of the load.
struct Arrival {
    double at;
    std::size_t instance;
};

/// The limits that one server names, the requests that it gets, and who knows of a limit since when.
class LimitRecord {
public:
    /// @return whether the requests of an entry instance do not count at a time
    using Excused = std::function<bool(std::size_t instance, double at)>;

    void addLimit(const NamedLimit& limit) { m_limits.push_back(limit); }
    /// Adds a request. Times never decrease.
    void addArrival(const Arrival& arrival) { m_arrivals.push_back(arrival); }
    /// Records that an entry instance got a response with the limit that starts at `limitFrom`.
    void addTold(double limitFrom, std::size_t instance, double at) { m_toldAt.try_emplace({ limitFrom, instance }, at); }

    /// @return the limit that the server names at a time, or null
    const NamedLimit* current(double at) const;
    /// @return number of requests within the span
    std::size_t countArrivals(const Span& span) const;
    /// @return for each limit the window with the most requests that count
    std::vector<LimitReport> worstWindows(const Excused& isExcused) const;
    /// @return requests that the server got while it was limited, and what its limits allowed for that time
    std::pair<double, double> use(double lengthSeconds) const;

private:
    std::vector<double> boundArrivals(const NamedLimit& limit, const Excused& isExcused) const;

    std::vector<NamedLimit> m_limits;
    std::vector<Arrival> m_arrivals;
    /// When each entry instance first got a response with a limit, by the start of that limit.
    std::map<std::pair<double, std::size_t>, double> m_toldAt;
};

} // namespace cornelwind::test
