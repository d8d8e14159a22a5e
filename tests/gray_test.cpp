// Backend servers that fail grayly, as processes.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;

namespace {

const std::vector<std::string> THREE { "a", "b", "c" };

/// Look-ups through all instances until stopped.
class Traffic {
public:
    explicit Traffic(const Fleet& fleet, int threads = 12)
    {
        for (int i = 0; i < threads; ++i) {
            m_threads.emplace_back([this, &fleet, i] {
                while (!m_stop)
                    call(fleet.callers(THREE[static_cast<std::size_t>(i) % THREE.size()]), "GET", "/catalogue/x");
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

void addFive(Fleet& fleet)
{
    for (int i = 1; i <= 5; ++i)
        fleet.addServer({ "cat-" + std::to_string(i), "catalogue", 6, 10 });
}

std::string sheetOf(const Fleet& fleet, int version = 1, int coldStartMs = 500)
{
    return fleet.sheet(version, "floor_slots = 15\nweighting = \"detection-time\"\nhealth_path = \"/standin/health\"\ncold_start_ms = " + std::to_string(coldStartMs) + "\n");
}

void startFive(Fleet& fleet)
{
    addFive(fleet);
    fleet.publishSheet(sheetOf(fleet));
    for (const std::string& name : THREE)
        fleet.addInstance(name);
    fleet.startAll();
}

bool hasStanding(const Fleet& fleet, const std::string& instance, const std::string& server, const std::string& standing)
{
    return fleet.status(instance).find("\"name\":\"" + server + "\",\"service\":\"catalogue\",\"standing\":\"" + standing + "\"") != std::string::npos;
}

bool everywhere(const Fleet& fleet, const std::string& server, const std::string& standing)
{
    for (const std::string& name : THREE) {
        if (!hasStanding(fleet, name, server, standing))
            return false;
    }
    return true;
}

int servingCount(const Fleet& fleet)
{
    int count = 0;
    for (int i = 1; i <= 5; ++i)
        count += hasStanding(fleet, "a", "cat-" + std::to_string(i), "serving");
    return count;
}

} // namespace

TEST_CASE("A sick server that reports health is ejected by all, explained, and taken back")
{
    struct Row {
        const char* name;
        const char* sick;
        const char* well;
    };
    for (const Row& row : { Row { "stalls", "stall_percent=50", "stall_percent=0" }, Row { "fails", "fail_percent=50", "fail_percent=0" },
             Row { "slow", "slow_factor=1500", "slow_factor=100" }, Row { "cuts answers", "truncate_percent=50", "truncate_percent=0" } }) {
        INFO(row.name);
        Fleet fleet;
        startFive(fleet);
        Traffic traffic(fleet);
        CHECK(waitFor([&] { return fleet.runs("cat-1", "/x") > 100; }));
        fleet.controlServer("cat-1", row.sick);
        CHECK(waitFor([&] { return everywhere(fleet, "cat-1", "ejected"); }, 6000));
        const auto explained = call(fleet.admin("b"), "GET", "/explain?subject=cat-1");
        REQUIRE(explained);
        CHECK(explained->body.find("\"decision\":\"ejected\"") != std::string::npos);
        CHECK(explained->body.find("threshold") != std::string::npos);
        fleet.controlServer("cat-1", row.well);
        CHECK(waitFor([&] { return everywhere(fleet, "cat-1", "serving"); }, 30000));
        CHECK(servingCount(fleet) == 5);
    }
}

TEST_CASE("When all servers fail, the floor stays in use")
{
    Fleet fleet;
    startFive(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.runs("cat-5", "/x") > 50; }));
    for (int i = 1; i <= 5; ++i)
        fleet.controlServer("cat-" + std::to_string(i), "fail_percent=60");
    // 15 of 30 slots are the floor: 3 of 5 servers.
    CHECK_FALSE(waitFor([&] { return servingCount(fleet) < 3; }, 4000));
}

TEST_CASE("A request that crashes servers is stopped after the second crash, for all instances")
{
    Fleet fleet;
    startFive(fleet);
    for (int i = 0; i < 6; ++i) {
        const auto answer = call(fleet.callers(THREE[static_cast<std::size_t>(i) % 3]), "GET", "/catalogue/crash-me");
        REQUIRE(answer);
        INFO(answer->body);
        CHECK(answer->status() != 200);
        // The news spreads with the next digest.
        if (i == 0) {
            const auto known = [&] {
                const auto explained = call(fleet.admin("c"), "GET", "/explain");
                return explained && explained->body.find("quarantined") != std::string::npos;
            };
            CHECK(waitFor(known));
        } else {
            CHECK(answer->status() == 422);
            CHECK(answer->header("cornelwind-outcome") == "not-run");
        }
    }
    CHECK(fleet.runs("crash-me") == 2);
    CHECK(servingCount(fleet) == 5);
}

TEST_CASE("A one-way cut between one instance and a server makes only that instance avoid it")
{
    // Instance a reads a sheet of its own, which leads to cat-1 through a relay.
    Fleet fleet;
    Fleet other;
    addFive(fleet);
    for (const std::string& name : THREE)
        fleet.addInstance(name);
    std::string relay;
    const std::string control = fleet.relayServer("cat-1", relay);
    std::string sheet = sheetOf(fleet);
    fleet.publishSheet(sheet);
    const std::string direct = fleet.serverAddress("cat-1");
    other.publishSheet(sheet.replace(sheet.find(direct), direct.size(), relay));
    call(other.platform(), "PUT", "/instances", {}, fleet.instanceList());
    fleet.usePlatform("a", other.platform());
    fleet.startAll();
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.runs("cat-1", "/x") > 100; }));
    Fleet::controlRelay(control, "backward=cut");
    CHECK(waitFor([&] { return hasStanding(fleet, "a", "cat-1", "avoided"); }, 8000));
    const auto evicted = [&] { return hasStanding(fleet, "b", "cat-1", "ejected") || hasStanding(fleet, "c", "cat-1", "ejected"); };
    CHECK_FALSE(waitFor(evicted, 3000));
    Fleet::controlRelay(control, "backward=pass");
    CHECK(waitFor([&] { return hasStanding(fleet, "a", "cat-1", "serving"); }, 20000));
}

TEST_CASE("A server that flaps is held longer with each relapse")
{
    Fleet fleet;
    startFive(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.runs("cat-1", "/x") > 100; }));
    fleet.controlServer("cat-1", "fail_percent=60");
    const auto relapsed = [&] {
        const auto explained = call(fleet.admin("a"), "GET", "/explain?subject=cat-1");
        return explained && explained->body.find("\"lasts_ms\":1E4") != std::string::npos;
    };
    CHECK(waitFor(relapsed, 25000));
}

TEST_CASE("A new server that starts cold is not ejected for its slowness")
{
    // The server stays slow for longer than the test looks, and the sheet allows for that.
    constexpr int COLD_START_MS = 20000;
    Fleet fleet;
    startFive(fleet);
    Traffic traffic(fleet);
    CHECK(waitFor([&] { return fleet.runs("cat-1", "/x") > 100; }));
    fleet.addServer({ "cat-6", "catalogue", 6, 10 });
    fleet.controlServer("cat-6", "cold_ms=60000\ncold_factor=1500");
    fleet.publishSheet(sheetOf(fleet, 2, COLD_START_MS));
    CHECK(waitFor([&] { return fleet.runs("cat-6", "/x") > 10; }, COLD_START_MS / 2));
    const auto ejected = [&] { return hasStanding(fleet, "a", "cat-6", "ejected") || hasStanding(fleet, "b", "cat-6", "ejected"); };
    CHECK_FALSE(waitFor(ejected, 3000));
    CHECK(servingCount(fleet) == 5);
}
