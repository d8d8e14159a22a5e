// Process tests of gray failures: backend servers that fail, stall or slow down while their health checks pass.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;

namespace {

const std::vector<std::string> INSTANCE_NAMES { "a", "b", "c" };

/// Sends look-ups through all instances, each on a new connection, until destroyed.
class Traffic {
public:
    explicit Traffic(const Fleet& fleet, int threads = 12)
    {
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, &fleet, i] {
                while (!m_stop)
                    call(fleet.callerAddress(INSTANCE_NAMES[static_cast<std::size_t>(i) % INSTANCE_NAMES.size()]), "GET", "/catalogue/x");
            });
        }
    }
    ~Traffic()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
    }
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

private:
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
};

void addFiveServers(Fleet& fleet)
{
    for (int i = 1; i <= 5; ++i)
        fleet.addServer({ "cat-" + std::to_string(i), "catalogue", 6, 10 });
}

std::string makeSheet(const Fleet& fleet, int version = 1, int coldStartMs = 500)
{
    return fleet.sheet(version, "floor_slots = 15\nweighting = \"detection-time\"\nhealth_path = \"/standin/health\"\ncold_start_ms = " + std::to_string(coldStartMs) + "\n");
}

void startFiveServers(Fleet& fleet)
{
    addFiveServers(fleet);
    fleet.publishSheet(makeSheet(fleet));
    for (const std::string& name : INSTANCE_NAMES)
        fleet.addInstance(name);
    fleet.startAll();
}

bool hasState(const Fleet& fleet, const std::string& instance, const std::string& server, const std::string& state)
{
    return fleet.statusJson(instance).find("\"name\":\"" + server + "\",\"service\":\"catalogue\",\"standing\":\"" + state + "\"") != std::string::npos;
}

bool hasStateEverywhere(const Fleet& fleet, const std::string& server, const std::string& state)
{
    for (const std::string& name : INSTANCE_NAMES) {
        if (!hasState(fleet, name, server, state))
            return false;
    }
    return true;
}

int countServing(const Fleet& fleet)
{
    int count = 0;
    for (int i = 1; i <= 5; ++i)
        count += hasState(fleet, "a", "cat-" + std::to_string(i), "serving");
    return count;
}

} // namespace

TEST_CASE("All instances eject a failing server whose health checks pass, explain the ejection, and use the server again after it recovers")
{
    struct Row {
        const char* name;
        const char* fault;
        const char* recovery;
    };
    for (const Row& row : { Row { "stalls requests", "stall_percent=50", "stall_percent=0" }, Row { "fails requests", "fail_percent=50", "fail_percent=0" },
             Row { "responds slowly", "slow_factor=1500", "slow_factor=100" }, Row { "truncates responses", "truncate_percent=50", "truncate_percent=0" } }) {
        INFO(row.name);
        Fleet fleet;
        startFiveServers(fleet);
        Traffic traffic(fleet);
        CHECK(waitFor([&] { return fleet.countRuns("cat-1", "/x") > 100; }));
        fleet.controlServer("cat-1", row.fault);
        CHECK(waitFor([&] { return hasStateEverywhere(fleet, "cat-1", "ejected"); }, 6000));
        const auto explained = call(fleet.adminAddress("b"), "GET", "/explain?subject=cat-1");
        REQUIRE(explained);
        CHECK(explained->body.find("\"decision\":\"ejected\"") != std::string::npos);
        CHECK(explained->body.find("threshold") != std::string::npos);
        fleet.controlServer("cat-1", row.recovery);
        CHECK(waitFor([&] { return hasStateEverywhere(fleet, "cat-1", "serving"); }, 30000));
        CHECK(countServing(fleet) == 5);
    }
}

TEST_CASE("When all servers fail, the floor of slots stays in use")
{
    Fleet fleet;
    startFiveServers(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.countRuns("cat-5", "/x") > 50; }));
    for (int i = 1; i <= 5; ++i)
        fleet.controlServer("cat-" + std::to_string(i), "fail_percent=60");
    // The floor is 15 of 30 slots. Each server has 6, so at least 3 of the 5 servers have to stay in use.
    CHECK_FALSE(waitFor([&] { return countServing(fleet) < 3; }, 4000));
}

TEST_CASE("All instances refuse a request after it has caused two server crashes")
{
    Fleet fleet;
    startFiveServers(fleet);
    for (int i = 0; i < 6; ++i) {
        const auto response = call(fleet.callerAddress(INSTANCE_NAMES[static_cast<std::size_t>(i) % 3]), "GET", "/catalogue/crash-me");
        REQUIRE(response);
        INFO(response->body);
        CHECK(response->status() != 200);
        // The other instances learn of the two crashes from the next evidence digest.
        if (i == 0) {
            const auto quarantineKnown = [&] {
                const auto explained = call(fleet.adminAddress("c"), "GET", "/explain");
                return explained && explained->body.find("quarantined") != std::string::npos;
            };
            CHECK(waitFor(quarantineKnown));
        } else {
            CHECK(response->status() == 422);
            CHECK(response->header("cornelwind-outcome") == "not-run");
        }
    }
    CHECK(fleet.countRuns("crash-me") == 2);
    CHECK(countServing(fleet) == 5);
}

// Trials were neither logged nor counted, since the counters had no place for the decision.
TEST_CASE("One instance lets a quarantined request through as a trial, and logs and counts it")
{
    Fleet fleet;
    startFiveServers(fleet);
    const auto sendToAll = [&] {
        for (const std::string& name : INSTANCE_NAMES)
            call(fleet.callerAddress(name), "GET", "/catalogue/crash-me");
    };
    // The retry of the first request crashes the second server; then all instances learn of it.
    call(fleet.callerAddress("a"), "GET", "/catalogue/crash-me");
    const auto isBlockedEverywhere = [&] {
        return std::all_of(INSTANCE_NAMES.begin(), INSTANCE_NAMES.end(), [&](const std::string& name) {
            const auto explained = call(fleet.adminAddress(name), "GET", "/explain");
            return explained && explained->body.find("\"quarantined\"") != std::string::npos;
        });
    };
    REQUIRE(waitFor(isBlockedEverywhere));
    sendToAll();
    CHECK(fleet.countRuns("crash-me") == 2);
    const auto trialSeen = [&] {
        sendToAll();
        return fleet.countRuns("crash-me") > 2;
    };
    CHECK(waitFor(trialSeen, 60000));
    std::size_t trials = 0;
    for (const std::string& name : INSTANCE_NAMES) {
        CAPTURE(name);
        const auto response = call(fleet.callerAddress(name), "GET", "/catalogue/x");
        REQUIRE(response);
        CHECK(response->status() == 200);
        const auto metrics = call(fleet.adminAddress(name), "GET", "/metrics");
        REQUIRE(metrics);
        trials += metrics->body.find("cornelwind_decisions_total{kind=\"quarantine-trial\"} 1") != std::string::npos;
    }
    CHECK(trials == 1);
}

TEST_CASE("A one-way network failure between an instance and a server makes only that instance avoid the server")
{
    // Instance a reads its sheet from a second platform. In that sheet cat-1 has the address of a relay.
    Fleet fleet;
    Fleet secondPlatform;
    addFiveServers(fleet);
    for (const std::string& name : INSTANCE_NAMES)
        fleet.addInstance(name);
    std::string relay;
    const std::string control = fleet.addServerRelay("cat-1", relay);
    std::string sheet = makeSheet(fleet);
    fleet.publishSheet(sheet);
    const std::string direct = fleet.serverAddress("cat-1");
    secondPlatform.publishSheet(sheet.replace(sheet.find(direct), direct.size(), relay));
    call(secondPlatform.platformAddress(), "PUT", "/instances", {}, fleet.instanceListJson());
    fleet.setPlatformAddress("a", secondPlatform.platformAddress());
    fleet.startAll();
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.countRuns("cat-1", "/x") > 100; }));
    Fleet::controlRelay(control, "backward=cut");
    CHECK(waitFor([&] { return hasState(fleet, "a", "cat-1", "avoided"); }, 8000));
    const auto ejectedByOthers = [&] { return hasState(fleet, "b", "cat-1", "ejected") || hasState(fleet, "c", "cat-1", "ejected"); };
    CHECK_FALSE(waitFor(ejectedByOthers, 3000));
    Fleet::controlRelay(control, "backward=pass");
    CHECK(waitFor([&] { return hasState(fleet, "a", "cat-1", "serving"); }, 20000));
}

TEST_CASE("A server that fails again after its return is ejected for longer each time")
{
    Fleet fleet;
    startFiveServers(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.countRuns("cat-1", "/x") > 100; }));
    fleet.controlServer("cat-1", "fail_percent=60");
    // The first ejection lasts 5 s, the one after the server fails again 10 s.
    const auto relapsed = [&] {
        const auto explained = call(fleet.adminAddress("a"), "GET", "/explain?subject=cat-1");
        return explained && explained->body.find("\"lasts_ms\":1E4") != std::string::npos;
    };
    CHECK(waitFor(relapsed, 25000));
}

TEST_CASE("A new server is not ejected for being slow during its cold start")
{
    // The server is slow for 60 s, which is longer than the test runs. The sheet allows a cold start of 20 s.
    constexpr int COLD_START_MS = 20000;
    Fleet fleet;
    startFiveServers(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.countRuns("cat-1", "/x") > 100; }));
    fleet.addServer({ "cat-6", "catalogue", 6, 10 });
    fleet.controlServer("cat-6", "cold_ms=60000\ncold_factor=1500");
    fleet.publishSheet(makeSheet(fleet, 2, COLD_START_MS));
    CHECK(waitFor([&] { return fleet.countRuns("cat-6", "/x") > 10; }, COLD_START_MS / 2));
    const auto ejected = [&] { return hasState(fleet, "a", "cat-6", "ejected") || hasState(fleet, "b", "cat-6", "ejected"); };
    CHECK_FALSE(waitFor(ejected, 3000));
    CHECK(countServing(fleet) == 5);
}
