// Process tests in the manner of the users' platform: a store that publishes servers and routes, and backend servers that
// speak its headers.
#include "support/fleet.h"
#include "support/platform_store.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

int requestNumber = 0;

/// @return the memory of a process that is resident, in KiB
long residentKilobytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

/// Entry instances before backend servers that a store publishes.
struct Scenario {
    Fleet fleet;
    PlatformStore store { fleet };
    std::vector<std::string> instances;

    Scenario(std::size_t instanceCount, const std::vector<std::string>& servers, int serviceMs = 5, int slots = 8)
    {
        for (const std::string& server : servers) {
            fleet.addServer({ server, "service", slots, serviceMs });
            store.add(server, "service", slots);
        }
        store.publish();
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const std::string name = "i" + std::to_string(i);
            instances.push_back(name);
            fleet.addInstance(name, "leon", PlatformStore::settings());
        }
        for (std::size_t i = 1; i < instanceCount; ++i)
            fleet.addSeed(instances[i], fleet.peerAddress(instances[0]));
        for (const std::string& name : instances)
            fleet.start(name);
        for (const std::string& name : instances) {
            REQUIRE(fleet.waitForReady(name));
            REQUIRE(fleet.waitForMembers(name, instanceCount - 1));
        }
    }

    std::optional<Message> send(const std::string& instance, const char* method, const std::string& target, int deadlineMs = 1000) const
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++requestNumber);
        return call(fleet.callerAddress(instance), method, target, { { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) } });
    }

    /// Sends requests for a time, and returns how many were answered with 200.
    int sendFor(std::chrono::milliseconds time, std::chrono::milliseconds pause, const std::string& target)
    {
        int served = 0;
        const auto until = Clock::now() + time;
        for (std::size_t i = 0; Clock::now() < until; ++i) {
            const auto response = send(instances[i % instances.size()], "GET", target);
            served += response && response->status() == 200;
            std::this_thread::sleep_for(pause);
        }
        return served;
    }

    /// @return requests that a server has received whose target contains `marker`, refused ones included
    int arrivals(const std::string& server, const std::string& marker) const
    {
        const auto list = call(fleet.serverAddress(server), "GET", "/standin/deadlines");
        int count = 0;
        for (auto at = list->body.find(marker); at != std::string::npos; at = list->body.find(marker, at + 1))
            ++count;
        return count;
    }
};

} // namespace

TEST_CASE("A server that says it is leaving gets no more requests, although its entry says ready and the store is away")
{
    Scenario scenario(2, { "s0", "s1" });
    scenario.sendFor(500ms, 2ms, "/safe/before");
    CHECK(scenario.arrivals("s0", "before") > 0);
    scenario.fleet.controlServer("s0", "extra_headers=Server-Leaving: 1");
    scenario.fleet.controlPlatform("down");
    scenario.sendFor(1000ms, 2ms, "/safe/notice");
    const int served = scenario.sendFor(2000ms, 2ms, "/safe/after");
    CHECK(served > 100);
    CHECK(scenario.arrivals("s0", "after") == 0);
    CHECK(scenario.arrivals("s1", "after") >= served);
    for (const std::string& instance : scenario.instances)
        CHECK(scenario.fleet.statusJson(instance).find("\"standing\":\"leaving\"") != std::string::npos);
}

TEST_CASE("A server that answers 503 with Retry-After gets nothing until that time is over")
{
    Scenario scenario(1, { "s0", "s1" });
    scenario.sendFor(300ms, 2ms, "/safe/before");
    scenario.fleet.controlServer("s0", "shed_percent=100\nextra_headers=Retry-After: 2.5");
    for (int i = 0; i < 200 && !scenario.arrivals("s0", "refused"); ++i)
        scenario.send("i0", "GET", "/safe/refused");
    REQUIRE(scenario.arrivals("s0", "refused") > 0);
    const int served = scenario.sendFor(2000ms, 2ms, "/safe/meanwhile");
    CHECK(served > 100);
    CHECK(scenario.arrivals("s0", "meanwhile") == 0);
    scenario.fleet.controlServer("s0", "shed_percent=0\nextra_headers=");
    std::this_thread::sleep_for(1000ms);
    scenario.sendFor(1000ms, 2ms, "/safe/again");
    CHECK(scenario.arrivals("s0", "again") > 0);
}

TEST_CASE("A server that names a limit gets no more from all instances together")
{
    constexpr double limit = 2;
    constexpr double allowed = 1.5 * limit * 4 + 5;
    Scenario scenario(3, { "s0", "s1" });
    scenario.fleet.controlServer("s0", "extra_headers=Server-Limit: 2.0");
    scenario.sendFor(3000ms, 2ms, "/safe/settle");
    const int served = scenario.sendFor(4000ms, 2ms, "/safe/limited");
    CHECK(served > 200);
    CHECK(scenario.arrivals("s0", "limited") <= allowed);
    CHECK(scenario.arrivals("s0", "limited") > 0);
    for (const std::string& instance : scenario.instances)
        CHECK(scenario.fleet.statusJson(instance).find("\"limit\":2E0") != std::string::npos);
    const auto metrics = call(scenario.fleet.adminAddress("i0"), "GET", "/metrics");
    REQUIRE(metrics);
    CHECK(metrics->body.find("cornelwind_server_limit{") != std::string::npos);
    scenario.fleet.controlServer("s0", "extra_headers=");
    scenario.sendFor(6000ms, 2ms, "/safe/settle");
    scenario.sendFor(1000ms, 2ms, "/safe/free");
    CHECK(scenario.arrivals("s0", "free") > 20);
}

TEST_CASE("Bad values of a server never take the service down")
{
    struct Row {
        const char* name;
        std::string control;
    };
    const std::string headers = "extra_headers=";
    const Row rows[] = {
        { "limit of zero", headers + "Server-Limit: 0" },
        { "negative limit", headers + "Server-Limit: -3" },
        { "huge limit", headers + "Server-Limit: 1e308" },
        { "limit that is no number", headers + "Server-Limit: soon" },
        { "limit as a list", headers + "Server-Limit: 0, 0, x" },
        { "empty limit", headers + "Server-Limit: " },
        { "leaving: a word", headers + "Server-Leaving: maybe" },
        { "leaving: huge", headers + "Server-Leaving: 99999999999999999999" },
        { "backoff of a day", "shed_percent=100\n" + headers + "Retry-After: 86400" },
        { "negative backoff", "shed_percent=100\n" + headers + "Retry-After: -1" },
        { "endless backoff", "shed_percent=100\n" + headers + "Retry-After: inf" },
        { "backoff as a date", "shed_percent=100\n" + headers + "Retry-After: Fri, 31 Dec 1999 23:59:59 GMT" },
        { "all at once", "shed_percent=50\n" + headers + "Retry-After: nan|Server-Limit: -|Server-Leaving: 0" },
    };
    Scenario scenario(2, { "s0", "s1" });
    for (const Row& row : rows) {
        CAPTURE(row.name);
        scenario.fleet.controlServer("s0", row.control);
        int sent = 0;
        int served = 0;
        for (int i = 0; i < 60; ++i) {
            const auto response = scenario.send(scenario.instances[static_cast<std::size_t>(i) % 2], i % 3 ? "GET" : "POST", i % 3 ? "/safe/x" : "/unsafe/x");
            ++sent;
            served += response && response->status() == 200;
        }
        // One request of each instance may be the one that was turned away.
        CHECK(served >= sent - 2);
        scenario.fleet.controlServer("s0", "shed_percent=0\nextra_headers=");
    }
}

TEST_CASE("A refusal that a server writes once more belongs to no other request")
{
    for (const char* mode : { "1", "2" }) {
        CAPTURE(mode);
        Scenario scenario(1, { "s0" });
        scenario.fleet.controlServer("s0", "shed_percent=100");
        scenario.send("i0", "GET", "/safe/refused", 300);
        scenario.fleet.controlServer("s0", std::string("shed_percent=0\nrepeat_refusal=") + mode);
        for (const char* method : { "GET", "POST" }) {
            for (int i = 0; i < 8; ++i) {
                const std::string target = std::string(method[0] == 'G' ? "/safe/" : "/unsafe/") + "repeat-" + mode + "-" + std::to_string(i) + "-";
                const auto response = scenario.send("i0", method, target);
                REQUIRE(response);
                const int runs = scenario.fleet.countRuns(std::string(method) + " " + target);
                CAPTURE(target, response->status(), runs);
                if (method[0] == 'P')
                    CHECK(runs <= 1);
                if (response->status() == 503 || response->status() == 429)
                    CHECK((runs == 0 || method[0] == 'G'));
                if (response->status() == 200)
                    CHECK(response->body.find(target) != std::string::npos);
            }
        }
    }
}

TEST_CASE("An order that a failing server has run is never refused with a status that says it has not run")
{
    Scenario scenario(1, { "s0" });
    for (const int status : { 408, 421, 429, 503, 500 }) {
        CAPTURE(status);
        scenario.fleet.controlServer("s0", "fail_percent=100\nfail_status=" + std::to_string(status));
        const std::string target = "/unsafe/ran-" + std::to_string(status) + "-";
        std::optional<Message> response;
        // Until the server is used again after its earlier failures.
        REQUIRE(waitFor([&] { response = scenario.send("i0", "POST", target); return scenario.fleet.countRuns("POST " + target) > 0; }, 20000));
        REQUIRE(response);
        CHECK(response->status() == (status == 500 ? 500 : 502));
        CHECK(scenario.fleet.countRuns("POST " + target) == 1);
        scenario.fleet.controlServer("s0", "fail_percent=0");
        CHECK(waitFor([&] {
            const auto recovered = scenario.send("i0", "GET", "/safe/recovered");
            return recovered && recovered->status() == 200;
        },
            20000));
    }
}

TEST_CASE("A request that may be repeated is sent to another server if a failing one refuses it without proof")
{
    Scenario scenario(1, { "s0", "s1" });
    for (const int status : { 408, 421, 429, 503 }) {
        CAPTURE(status);
        scenario.fleet.controlServer("s0", "fail_percent=100\nfail_status=" + std::to_string(status));
        const std::string target = "/safe/refused-" + std::to_string(status) + "-";
        REQUIRE(waitFor([&] {
            const auto response = scenario.send("i0", "GET", target);
            CHECK((response && response->status() == 200));
            return scenario.fleet.countRuns("s0", "GET " + target) > 0;
        },
            20000));
        scenario.fleet.controlServer("s0", "fail_percent=0");
    }
}

TEST_CASE("An invalid status reaches no caller, and an order that may have run is not refused as not run")
{
    Scenario scenario(1, { "s0", "s1" });
    const auto useAgain = [&](const std::string& target) {
        return waitFor([&] {
            scenario.send("i0", "GET", target);
            return scenario.fleet.countRuns("s0", "GET " + target) > 0;
        },
            20000);
    };
    for (const char* status : { "000", "099", "600", "999" }) {
        CAPTURE(status);
        scenario.fleet.controlServer("s0", std::string("fail_percent=100\nfail_status=") + status);
        const std::string order = std::string("/unsafe/none-") + status + "-";
        REQUIRE(waitFor([&] {
            const auto sent = Clock::now();
            const auto response = scenario.send("i0", "POST", order, 3000);
            CHECK(Clock::now() - sent < 1500ms);
            CHECK((response && (response->status() == 200 || response->status() == 502)));
            return scenario.fleet.countRuns("s0", "POST " + order) > 0;
        },
            20000));
        const auto response = scenario.send("i0", "GET", std::string("/safe/none-") + status + "-");
        CHECK((response && response->status() == 200));
        scenario.fleet.controlServer("s0", "fail_percent=0");
        REQUIRE(useAgain(std::string("/safe/recovered-") + status + "-"));
    }
}

TEST_CASE("Servers that send answers without end do not take the memory of the process, nor the answers of other callers")
{
    Scenario scenario(1, { "s0", "s1" }, 5, 64);
    const std::string limits = R"(,"limits":{"maxBodyBytes":67108864}})";
    std::string configuration = PlatformStore::configuration(2);
    configuration.replace(configuration.size() - 1, 1, limits);
    scenario.store.change({ scenario.store.item("op/config", configuration) });
    REQUIRE(waitFor([&] { return scenario.fleet.statusJson("i0").find("\"sheet_version\":2") != std::string::npos; }));
    for (const char* server : { "s0", "s1" })
        scenario.fleet.controlServer(server, "endless_target=/unsafe/");
    std::atomic<bool> stop = false;
    constexpr int callerCount = 32;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&] {
            while (!stop)
                scenario.send("i0", "POST", "/unsafe/endless", 2000);
        });
    }
    // The memory that the process may use unless its settings state another one.
    constexpr long memoryKilobytes = 512 * 1024;
    long most = 0;
    int served = 0;
    int lost = 0;
    const auto until = Clock::now() + 6s;
    while (Clock::now() < until && most <= memoryKilobytes) {
        const auto response = scenario.send("i0", "GET", "/safe/sound", 2000);
        lost += !response;
        served += response && response->status() == 200;
        most = std::max(most, residentKilobytes(scenario.fleet.instance("i0").pid()));
    }
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    CAPTURE(most, served, lost);
    CHECK(scenario.fleet.countRuns("POST /unsafe/endless") > 10);
    CHECK(most <= memoryKilobytes);
    CHECK(served > 20);
    CHECK(lost == 0);
    CHECK_FALSE(scenario.fleet.instance("i0").wait(0));
}

TEST_CASE("An answer that a server writes once more, on a connection in use again, reaches no other caller")
{
    for (const char* mode : { "1", "2" }) {
        for (const char* method : { "GET", "POST" }) {
            CAPTURE(mode, method);
            Scenario scenario(1, { "s0" });
            scenario.send("i0", "GET", "/safe/first");
            scenario.fleet.controlServer("s0", std::string("repeat_answer=") + mode);
            int served = 0;
            for (int i = 0; i < 8; ++i) {
                const std::string target = std::string(method[0] == 'G' ? "/safe/" : "/unsafe/") + "copy-" + std::to_string(i) + "-";
                const auto response = scenario.send("i0", method, target);
                REQUIRE(response);
                CAPTURE(target, response->status(), response->body);
                if (response->status() == 200)
                    CHECK(response->body.find(target) != std::string::npos);
                served += response->status() == 200;
                CHECK(scenario.fleet.countRuns(std::string(method) + " " + target) <= (method[0] == 'P' ? 1 : 2));
            }
            // A copy with its request id is told apart, so the caller's own answer follows.
            if (mode[0] == '1' && method[0] == 'G')
                CHECK(served == 8);
        }
    }
}

TEST_CASE("A response whose head breaks off is never passed on as complete")
{
    Scenario scenario(1, { "s0" });
    for (const int bytes : { 1, 9, 12, 13, 17, 30, 40, 60, 80, -1, -2, -3, -10 }) {
        for (const char* method : { "GET", "POST" }) {
            CAPTURE(bytes, method);
            scenario.fleet.controlServer("s0", "close_in_head_bytes=" + std::to_string(bytes));
            const auto response = scenario.send("i0", method, method[0] == 'G' ? "/safe/cut" : "/unsafe/cut");
            REQUIRE(response);
            CHECK(response->status() >= 500);
            CHECK(response->status() != 503);
        }
    }
    scenario.fleet.controlServer("s0", "close_in_head_bytes=0");
    const auto whole = scenario.send("i0", "GET", "/safe/whole");
    REQUIRE(whole);
    CHECK(whole->status() == 200);
}

TEST_CASE("In a planned stop every request on an open connection is answered, however late it comes")
{
    for (const char* path : { "/safe/stop", "/unsafe/stop" }) {
        CAPTURE(path);
        Scenario scenario(2, { "s0", "s1" }, 300);
        const std::pair<std::string, std::uint16_t> address = splitAddress(scenario.fleet.callerAddress("i0"));
        std::vector<std::thread> callers;
        callers.reserve(6);
        std::atomic<int> cut = 0;
        std::atomic<int> answered = 0;
        std::atomic<int> falseRefusals = 0;
        for (int caller = 0; caller < 6; ++caller) {
            callers.emplace_back([&, caller] {
                const Socket socket = connectTo(address.first, address.second);
                setTimeLimit(socket, 8000);
                std::string buffered;
                for (int i = 0; i < 100; ++i) {
                    const std::string target = std::string(path) + "-" + std::to_string(caller) + "-" + std::to_string(i) + "-";
                    const std::string id = std::to_string(1000000 + caller * 1000 + i);
                    const std::string method = path[1] == 's' ? "GET" : "POST";
                    if (!writeAll(socket, method + " " + target + " HTTP/1.1\r\nHost: test\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"))
                        return;
                    const auto response = readMessage(socket, buffered);
                    if (!response) {
                        // A connection that was closed before the request was read is no cut.
                        cut += scenario.fleet.countRuns(target) > 0;
                        return;
                    }
                    ++answered;
                    falseRefusals += response->status() == 503 && scenario.fleet.countRuns(target) > 0;
                    cut += response->status() == 502 || response->status() == 504;
                    if (response->header("connection") == "close")
                        return;
                }
            });
        }
        std::this_thread::sleep_for(1s);
        scenario.fleet.instance("i0").signal(SIGTERM);
        const auto exitCode = scenario.fleet.instance("i0").wait(8000);
        for (std::thread& caller : callers)
            caller.join();
        CHECK(exitCode == 0);
        CHECK(answered > 20);
        CHECK(cut == 0);
        CHECK(falseRefusals == 0);
    }
}
