// Plays days of a whole fleet in simulated time, and checks that sound backend servers get requests while callers are refused.
#include "support/simulated_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <vector>

using namespace cornelwind::test;

namespace {

// While more than a tenth and less than half of the requests are not served, at least this share of the sound servers gets some.
constexpr double FLOOR_SHARE = 0.7;
constexpr double MIN_UNSERVED = 0.1;
constexpr double MAX_UNSERVED = 0.5;

SimulatedDay makeDay(const char* name, std::vector<Trouble> troubles)
{
    SimulatedDay day;
    day.name = name;
    day.troubles = std::move(troubles);
    return day;
}

// Half of the failures end within 6 s, and one in ten lasts for 20 s or longer.
SimulatedDay makeDayOfLongFailures(const char* name, std::vector<Trouble> troubles)
{
    SimulatedDay day = makeDay(name, std::move(troubles));
    day.healthySeconds = 22;
    day.unhealthySeconds = 9;
    day.exponential = true;
    return day;
}

// A service that gets about two requests a second for each server, and about one for each entry instance.
SimulatedDay makeSmallDay(const char* name, std::vector<Trouble> troubles)
{
    SimulatedDay day = makeDayOfLongFailures(name, std::move(troubles));
    day.zones = 3;
    day.instances = 41;
    day.servers = 31;
    day.slots = 4;
    day.requestsPerSecond = 60;
    day.workSeconds = 0.22;
    return day;
}

// CORNELWIND_SEEDS=N plays each day with the seeds 1 to N.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 3;
    const char* count = std::getenv("CORNELWIND_SEEDS");
    return count ? std::strtoull(count, nullptr, 10) : defaultCount;
}

bool isTroubled(const WindowReport& window)
{
    const auto requests = static_cast<double>(window.requests);
    const auto unserved = static_cast<double>(window.unserved);
    return unserved > MIN_UNSERVED * requests && unserved < MAX_UNSERVED * requests;
}

double usedShare(const WindowReport& window)
{
    return window.sound ? 1 - static_cast<double>(window.idle) / static_cast<double>(window.sound) : 1;
}

// The troubled window with the smallest share of sound servers that got requests.
WindowReport worstWindow(const std::vector<WindowReport>& windows)
{
    WindowReport worst;
    for (const WindowReport& window : windows) {
        if (isTroubled(window) && usedShare(window) < usedShare(worst))
            worst = window;
    }
    return worst;
}

} // namespace

TEST_CASE("Sound servers do not stay idle while callers are not served")
{
    const SimulatedDay days[] = {
        makeDay("links harmed, then responses lost", {
                                                         { TroubleKind::ServersFail, 1.2, 8.2, 0.13, 0.63 },
                                                         { TroubleKind::LinksLossy, 2, 12, 0.45, 0.5 },
                                                         { TroubleKind::LinksLossy, 6, 12, 0.4, 0.5 },
                                                         { TroubleKind::ResponsesLost, 13, 17, 0.6, 0.4 },
                                                     }),
        makeDayOfLongFailures("links harmed, then responses lost, long failures", {
                                                                                      { TroubleKind::ServersFail, 1.2, 8.2, 0.13, 0.63 },
                                                                                      { TroubleKind::LinksLossy, 2, 12, 0.45, 0.5 },
                                                                                      { TroubleKind::LinksLossy, 6, 12, 0.4, 0.5 },
                                                                                      { TroubleKind::ResponsesLost, 13, 17, 0.6, 0.4 },
                                                                                  }),
        makeDayOfLongFailures("a third of the servers fails, then responses lost", {
                                                                                       { TroubleKind::ServersFail, 1, 10, 0.35, 0.9 },
                                                                                       { TroubleKind::ResponsesLost, 10, 22, 0.4, 0.4 },
                                                                                   }),
        makeDayOfLongFailures("a zone without entry instances", {
                                                                    { TroubleKind::ResponsesLost, 3, 22, 0.4, 0.4 },
                                                                    { TroubleKind::ZoneStopped, 6, 18, 0, 0 },
                                                                }),
        makeSmallDay("few requests for each server", {
                                                         { TroubleKind::ResponsesLost, 3, 22, 0.4, 0.4 },
                                                     }),
    };
    for (const SimulatedDay& day : days) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            SimulatedFleet fleet(day, seed);
            fleet.run();
            const WindowReport worst = worstWindow(fleet.windows());
            CAPTURE(day.name, seed, fleet.requests(), fleet.served());
            CAPTURE(worst.from, worst.sound, worst.idle, worst.requests, worst.unserved);
            UNSCOPED_INFO(fleet.idleReports(worst.from, 2));
            CHECK(usedShare(worst) >= FLOOR_SHARE);
        }
    }
}
