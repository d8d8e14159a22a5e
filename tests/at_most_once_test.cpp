// Tests of at-most-once requests while the instance that owns the key is killed, frozen, restarted or cut off.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <string>
#include <vector>

using namespace cornelwind::test;

namespace {

using Response = std::optional<Message>;

/// Instances a and b in front of two backend servers. Instance a owns the key. Requests through b reach it over a relay.
struct OwnerScenario {
    static constexpr std::array servers { "ord-1", "ord-2" };
    Fleet fleet;
    std::string key;
    /// Control addresses of the relays between b and a.
    std::string relayToOwner;
    std::string relayFromOwner;

    /// @param reuse whether the rule lets orders use connections that have carried other requests
    explicit OwnerScenario(int serviceMs = 300, bool reuse = false)
    {
        for (const char* server : servers)
            fleet.addServer({ server, "orders", 8, serviceMs });
        fleet.publishSheet(fleet.sheet(1, "", std::string(R"([[rule]]
method = "POST"
path = "/orders"
service = "orders"
kind = "at-most-once"
time_limit_ms = 1500
)") + (reuse ? "connection = \"reuse\"\n" : "")));
        fleet.addInstance("a");
        fleet.addInstance("b");
        relayToOwner = fleet.addPeerRelay("b", "a");
        relayFromOwner = fleet.addPeerRelay("a", "b");
        fleet.startAll();
        key = fleet.fetchIdempotencyKey("a");
    }

    Response send(const std::string& instance, const std::string& order = "order-1") const
    {
        return call(fleet.callerAddress(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order, 4000);
    }

    std::future<Response> sendAsync(const std::string& instance) const
    {
        return std::async(std::launch::async, [this, instance] { return send(instance); });
    }

    void controlServers(const std::string& pairs)
    {
        for (const char* server : servers)
            fleet.controlServer(server, pairs);
    }

    /// @return whether a backend server started the order within 10 s
    bool waitUntilRunning() const
    {
        return waitFor([this] { return fleet.countRuns("order-1") == 1; });
    }
};

std::string outcomeOf(const Response& response)
{
    return response ? response->header("cornelwind-outcome") : "none";
}

bool logContains(const OwnerScenario& scenario, const std::string& instance, const std::string& substring)
{
    std::ifstream log(scenario.fleet.logFile(instance));
    const std::string text { std::istreambuf_iterator<char>(log), {} };
    return text.find(substring) != std::string::npos;
}

/// Checks that the order ran at most once and that every reported `not-run` and `ran` is true.
void checkOutcomes(const OwnerScenario& scenario, const std::vector<Response>& responses)
{
    const int runs = scenario.fleet.countRuns("order-1");
    CHECK(runs <= 1);
    for (const Response& response : responses) {
        if (outcomeOf(response) == "not-run")
            CHECK(runs == 0);
        if (outcomeOf(response) == "ran")
            CHECK(runs == 1);
    }
}

/// A fault of the owner and the recovery from it.
struct Fault {
    const char* name;
    void (*inject)(OwnerScenario&);
    void (*recover)(OwnerScenario&);
};

void killOwner(OwnerScenario& scenario) { scenario.fleet.instance("a").kill(); }
void restartOwner(OwnerScenario& scenario)
{
    scenario.fleet.start("a");
    scenario.fleet.waitForReady("a");
}
void freezeOwner(OwnerScenario& scenario) { scenario.fleet.instance("a").signal(SIGSTOP); }
void resumeOwner(OwnerScenario& scenario) { scenario.fleet.instance("a").signal(SIGCONT); }
void cutToOwner(OwnerScenario& scenario) { Fleet::controlRelay(scenario.relayToOwner, "forward=cut"); }
void restoreToOwner(OwnerScenario& scenario) { Fleet::controlRelay(scenario.relayToOwner, "forward=pass"); }
void cutFromOwner(OwnerScenario& scenario) { Fleet::controlRelay(scenario.relayFromOwner, "forward=cut"); }
void restoreFromOwner(OwnerScenario& scenario) { Fleet::controlRelay(scenario.relayFromOwner, "forward=pass"); }
void killAndRestart(OwnerScenario& scenario)
{
    killOwner(scenario);
    restartOwner(scenario);
}
void doNothing(OwnerScenario&) { }

const std::vector<Fault> faults {
    { "killed", killOwner, restartOwner },
    { "frozen", freezeOwner, resumeOwner },
    { "restarted at the same address", killAndRestart, doNothing },
    { "cut off, requests lost", cutToOwner, restoreToOwner },
    { "cut off, replies lost", cutFromOwner, restoreFromOwner },
};

} // namespace

TEST_CASE("An order runs at most once if the owner fails before the order arrives")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        OwnerScenario scenario(5);
        fault.inject(scenario);
        std::vector<Response> responses { scenario.send("b") };
        fault.recover(scenario);
        responses.push_back(scenario.send("b"));
        responses.push_back(scenario.send("a"));
        checkOutcomes(scenario, responses);
        REQUIRE(responses[2]);
    }
}

TEST_CASE("An order runs once if the owner fails while the order runs")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        OwnerScenario scenario;
        auto first = scenario.sendAsync("a");
        REQUIRE(scenario.waitUntilRunning());
        fault.inject(scenario);
        std::vector<Response> responses { scenario.send("b") };
        fault.recover(scenario);
        responses.push_back(scenario.send("b"));
        responses.push_back(scenario.send("a"));
        responses.push_back(first.get());
        checkOutcomes(scenario, responses);
        CHECK(scenario.fleet.countRuns("order-1") == 1);
    }
}

TEST_CASE("An order does not run again if the owner fails after the order has run")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        OwnerScenario scenario(5);
        std::vector<Response> responses { scenario.send("a") };
        CHECK(outcomeOf(responses[0]) == "ran");
        fault.inject(scenario);
        responses.push_back(scenario.send("b"));
        CHECK(outcomeOf(responses[1]) != "not-run");
        fault.recover(scenario);
        responses.push_back(scenario.send("a"));
        checkOutcomes(scenario, responses);
        CHECK(scenario.fleet.countRuns("order-1") == 1);
    }
}

TEST_CASE("An order runs at most once, whatever fault the backend server has")
{
    struct Row {
        const char* fault;
        const char* outcome;
    };
    for (const bool reuse : { false, true }) {
        OwnerScenario scenario(5, reuse);
        for (const Row& row : { Row { "shed_percent", "not-run" }, Row { "truncate_percent", "unknown" }, Row { "mismatch_percent", "unknown" },
                 Row { "close_before_answer_percent", "unknown" }, Row { "stall_percent", "unknown" }, Row { "fail_percent", "ran" } }) {
            INFO(row.fault << (reuse ? " on a reused connection" : ""));
            const std::string order = std::string("order-") + row.fault;
            scenario.key = scenario.fleet.fetchIdempotencyKey("a");
            scenario.controlServers(std::string(row.fault) + "=100");
            const Response first = scenario.send("a", order);
            scenario.controlServers(std::string(row.fault) + "=0");
            CHECK(outcomeOf(first) == row.outcome);
            const int runs = scenario.fleet.countRuns(order);
            CHECK(runs == (std::string(row.outcome) == "not-run" ? 0 : 1));
            // Every instance reports the same final result.
            for (const char* instance : { "a", "b" })
                CHECK(outcomeOf(scenario.send(instance, order)) == row.outcome);
            CHECK(scenario.fleet.countRuns(order) == runs);
        }
    }
}

TEST_CASE("Concurrent requests with the same key join the running one")
{
    OwnerScenario scenario;
    std::vector<std::future<Response>> sends;
    sends.reserve(6);
    for (int i = 0; i < 6; ++i)
        sends.push_back(scenario.sendAsync(i % 2 ? "a" : "b"));
    for (auto& send : sends) {
        const Response response = send.get();
        REQUIRE(response);
        CHECK(response->status() == 200);
    }
    CHECK(scenario.fleet.countRuns("order-1") == 1);
}

TEST_CASE("An instance that resumes late does not send a request whose deadline has passed")
{
    OwnerScenario scenario(5);
    // The order stays unread in the socket of the frozen owner.
    freezeOwner(scenario);
    const Response timedOut = call(scenario.fleet.callerAddress("a"), "POST", "/orders",
        { { "Idempotency-Key", scenario.key }, { "Cornelwind-Deadline-Ms", "0" } }, "order-1", 500);
    CHECK_FALSE(timedOut);
    resumeOwner(scenario);
    // The repeated order is sent only after the owner has refused the first one. Otherwise the owner could read the repeated
    // order first and run it.
    REQUIRE(waitFor([&scenario] { return logContains(scenario, "a", "error=deadline-passed outcome=not-run"); }));
    CHECK(scenario.fleet.countRuns("order-1") == 0);
    const Response repeated = scenario.send("a");
    CHECK(outcomeOf(repeated) == "not-run");
    CHECK(scenario.fleet.countRuns("order-1") == 0);
}
