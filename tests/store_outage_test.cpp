// Process tests of entry instances of which the platform's store serves only some.
#include "support/fleet.h"
#include "support/platform_store.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <string>
#include <thread>

using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

// Time within which an instance that reaches the store has to follow a change.
constexpr int CHANGE_LIMIT_MS = 2000;
// Time in which members that hear each other agree.
constexpr int AGREEMENT_LIMIT_MS = 1200;
constexpr std::size_t INSTANCES = 4;
// The store's response takes longer than a tick of the instances, as over a real network.
constexpr const char* SERVED = "forward=pass\nbackward=20\n";

/// Entry instances of one availability zone, each with a link of its own to the store.
struct Scenario {
    Fleet fleet;
    PlatformStore store { fleet };
    std::array<std::string, INSTANCES> links;

    Scenario()
    {
        fleet.addServer({ "s", "service", 8, 5 });
        store.add("s", "service", 8);
        store.publish();
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            fleet.addInstance(nameOf(i), "leon", PlatformStore::settings());
            links[i] = fleet.addPlatformRelay(nameOf(i));
            fleet.controlRelay(links[i], SERVED);
            if (i)
                fleet.addSeed(nameOf(i), fleet.peerAddress(nameOf(0)));
        }
        for (std::size_t i = 0; i < INSTANCES; ++i)
            fleet.start(nameOf(i));
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            REQUIRE(fleet.waitForReady(nameOf(i)));
            REQUIRE(fleet.waitForMembers(nameOf(i), INSTANCES - 1));
        }
        // By now the first two watch the store, and the others have had no contact with it for a while.
        std::this_thread::sleep_for(2s);
    }

    static std::string nameOf(std::size_t index) { return "i" + std::to_string(index); }

    void publish(int version) { store.change({ store.item("op/config", PlatformStore::configuration(version)) }); }

    /// @return whether the instance adopted the version of the configuration within the time
    bool adopts(std::size_t instance, int version, int timeLimitMs) const
    {
        const std::string text = "\"sheet_version\":" + std::to_string(version);
        return waitFor([&] { return fleet.statusJson(nameOf(instance)).find(text) != std::string::npos; }, timeLimitMs);
    }
};

} // namespace

TEST_CASE("A change reaches all instances in time through the only one that the store serves")
{
    struct Row {
        const char* name;
        const char* link;
        std::size_t reacher;
    };
    const Row rows[] = {
        { "rejected, the first watcher is served", "forward=reset\nbackward=reset\n", 0 },
        { "rejected, an instance that does not watch is served", "forward=reset\nbackward=reset\n", 3 },
        { "no answer, an instance that does not watch is served", "forward=cut\nbackward=cut\n", 2 },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        Scenario scenario;
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            if (i != row.reacher)
                Fleet::controlRelay(scenario.links[i], row.link);
        }
        std::this_thread::sleep_for(200ms);
        scenario.publish(2);
        CHECK(scenario.adopts(row.reacher, 2, CHANGE_LIMIT_MS));
        for (std::size_t i = 0; i < INSTANCES; ++i)
            CHECK(scenario.adopts(i, 2, AGREEMENT_LIMIT_MS));
        for (const std::string& link : scenario.links)
            Fleet::controlRelay(link, SERVED);
        scenario.publish(3);
        for (std::size_t i = 0; i < INSTANCES; ++i)
            CHECK(scenario.adopts(i, 3, CHANGE_LIMIT_MS));
    }
}
