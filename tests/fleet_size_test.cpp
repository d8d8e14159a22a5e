// Plays days of fleets of different size in simulated time. The load and the backend servers are the same, so each instance of a
// larger fleet sees less of each server.
#include "support/simulated_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cornelwind::test;

namespace {

SimulatedDay makeDay(std::size_t instances)
{
    SimulatedDay day;
    day.name = "servers that fail by themselves";
    day.zones = 3;
    day.instances = instances;
    day.servers = 119;
    day.requestsPerSecond = 413;
    day.workSeconds = 0.14;
    day.lengthSeconds = 20;
    return day;
}

// CORNELWIND_SEEDS=N plays the seeds 1 to N.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 2;
    const char* count = std::getenv("CORNELWIND_SEEDS");
    return count ? std::strtoull(count, nullptr, 10) : defaultCount;
}

double lostShare(std::size_t instances)
{
    std::size_t requests = 0;
    std::size_t served = 0;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        SimulatedFleet fleet(makeDay(instances), seed);
        fleet.run();
        requests += fleet.requests();
        served += fleet.served();
    }
    return 1 - static_cast<double>(served) / static_cast<double>(requests);
}

} // namespace

TEST_CASE("A larger fleet loses no more requests to servers that fail by themselves, since each instance learns from all others")
{
    constexpr std::size_t smallFleet = 17;
    constexpr std::size_t largeFleet = 100;
    constexpr double tolerance = 1.1;
    const double small = lostShare(smallFleet);
    const double large = lostShare(largeFleet);
    CAPTURE(small, large);
    CHECK(large <= small * tolerance);
}
