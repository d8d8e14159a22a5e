#pragma once

#include "cornelwind/reducer.h"
#include "support/limit_record.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cornelwind::test {

/// Kind of trouble on a simulated day.
enum class TroubleKind : std::uint8_t {
    /// The affected backend servers fail a share of their requests within milliseconds.
    ServersFail,
    /// The affected backend servers run their requests, and a share of the responses is lost with the connection.
    ResponsesLost,
    /// The links of the affected backend servers to some entry instances lose a share of the requests, without a sign of it.
    LinksLossy,
    /// The entry instances of one availability zone stop. Their callers go to the other availability zones.
    ZoneStopped,
    /// The affected backend servers name a limit in all their responses: `strength` requests a second from all entry instances
    /// together, less or more by up to a half.
    ServersLimited,
    /// The affected entry instances stand still, and go on with what arrived meanwhile.
    InstancesFrozen,
    /// The affected entry instances are killed, and start again without state.
    InstancesRestarted,
    /// The affected entry instances exchange no messages with the others, nor with each other across this line.
    InstancesApart,
    /// Messages from the affected entry instances arrive `strength` seconds late.
    InstancesLag,
};

/// One trouble of a simulated day. Times are in seconds from the start of the load.
struct Trouble {
    TroubleKind kind;
    double from;
    double to;
    /// Share of the backend servers, or of the entry instances, that are affected, drawn anew for each trouble.
    double share;
    /// Share of the requests at an affected server or link that fail, unless the kind says otherwise.
    double strength;
};

/// Size of the fleet and load of a simulated day.
struct SimulatedDay {
    const char* name;
    std::size_t zones = 5;
    std::size_t instances = 53;
    std::size_t servers = 186;
    std::uint32_t slots = 2;
    double requestsPerSecond = 735;
    double workSeconds = 0.16;
    /// Mean time for which each server is healthy before it fails by itself, and for which it then fails.
    double healthySeconds = 8.4;
    double unhealthySeconds = 3.6;
    /// Whether these times are exponentially distributed; otherwise uniformly within half of the mean.
    bool exponential = false;
    double lengthSeconds = 24;
    std::vector<Trouble> troubles;
};

/// What callers and servers saw in a window of two seconds.
struct WindowReport {
    /// Start of the window, in seconds from the start of the load.
    double from = 0;
    /// Servers that were sound throughout the window, and how many of them got no request.
    std::size_t sound = 0;
    std::size_t idle = 0;
    /// Requests that arrived in the window, and how many of them were not served.
    std::size_t requests = 0;
    std::size_t unserved = 0;
};

/// A fleet of reducers with one service whose requests must not repeat, in simulated time.
///
/// A server is sound if it does not fail by itself and has not for 2 s, and neither it nor its links have had any trouble for
/// 6 s. The same seed gives the same run.
class SimulatedFleet {
public:
    SimulatedFleet(SimulatedDay day, std::uint64_t seed);
    ~SimulatedFleet();

    /// Plays the whole day.
    void run();

    /// @return all windows, one each tenth of a second
    std::vector<WindowReport> windows() const;

    /// @return what the fleet reported of idle servers from the start of a window to `seconds` later, one line each
    std::string idleReports(double from, double seconds) const;

    /// Counts what limited servers got, from 3 s after they named the limit until they named another or none.
    ///
    /// An entry instance is left out while it is frozen or killed and for 3 s after that.
    ///
    /// @return the window with the most arrivals beyond what is allowed, or nearest to it; empty if no server is limited
    std::vector<LimitReport> worstLimitWindows() const;

    /// @return requests that limited servers got while they were limited, and what their limits allowed for that time
    std::pair<double, double> limitedUse() const;

    /// @return the longest time, in seconds, from the arrival of a request to its refusal as not run
    double slowestRefusal() const;
    /// @return number of refusals as not run that do not say when to try again
    std::size_t refusalsWithoutTime() const;

    /// @return number of requests, and of those that got the response of a server
    std::size_t requests() const;
    std::size_t served() const;

private:
    class Play;

    std::unique_ptr<Play> m_play;
};

} // namespace cornelwind::test
