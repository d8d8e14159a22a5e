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

// CORNELWIND_SEEDS=N plays each day with the seeds 1 to N.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 3;
    const char* count = std::getenv("CORNELWIND_SEEDS");
    return count ? std::strtoull(count, nullptr, 10) : defaultCount;
}

bool breaksFloor(const WindowReport& window)
{
    const auto requests = static_cast<double>(window.requests);
    const auto unserved = static_cast<double>(window.unserved);
    const auto used = static_cast<double>(window.sound - window.idle);
    return unserved > MIN_UNSERVED * requests && unserved < MAX_UNSERVED * requests && used > 0 && used < FLOOR_SHARE * static_cast<double>(window.sound);
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
    };
    for (const SimulatedDay& day : days) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            SimulatedFleet fleet(day, seed);
            fleet.run();
            std::size_t broken = 0;
            WindowReport worst;
            for (const WindowReport& window : fleet.windows()) {
                if (!breaksFloor(window))
                    continue;
                ++broken;
                if (window.idle * worst.sound >= worst.idle * window.sound)
                    worst = window;
            }
            CAPTURE(day.name, seed, fleet.requests(), fleet.served());
            CAPTURE(worst.from, worst.sound, worst.idle, worst.requests, worst.unserved);
            UNSCOPED_INFO(fleet.idleReports(worst.from, 2));
            CHECK(broken == 0);
        }
    }
}
