// Process tests of a whole fleet: adoption of sheets, membership, planned stops, crashes and partitions.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;

namespace {

const std::vector<std::string> INSTANCE_NAMES { "a", "b", "c" };

void startThreeInstances(Fleet& fleet, const std::string& extraSettings = {}, int serviceMs = 5)
{
    fleet.addServer({ "cat-1", "catalogue", 8, serviceMs });
    fleet.addServer({ "ord-1", "orders", 8, serviceMs });
    fleet.publishSheet(fleet.sheet(5));
    for (const std::string& name : INSTANCE_NAMES)
        fleet.addInstance(name, "leon", extraSettings);
    fleet.startAll();
}

bool hasSheetVersion(const Fleet& fleet, const std::string& name, int version)
{
    return fleet.statusJson(name).find("\"sheet_version\":" + std::to_string(version) + ",") != std::string::npos;
}

bool waitForSheetVersion(const Fleet& fleet, const std::string& name, int version, int timeLimitMs = 8000)
{
    return waitFor([&] { return hasSheetVersion(fleet, name, version); }, timeLimitMs);
}

bool servesLookups(const Fleet& fleet, const std::string& name)
{
    const auto response = call(fleet.callerAddress(name), "GET", "/catalogue");
    return response && response->status() == 200;
}

/// Sends look-ups and orders from four threads until stopped. Each round goes to the next ready instance. Each request uses
/// a new connection.
class LoadGenerator {
public:
    explicit LoadGenerator(const Fleet& fleet)
        : m_fleet(fleet)
    {
        for (int i = 0; i < 4; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~LoadGenerator() { stop(); }
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    void stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// @return one line for each failed request, with its response
    std::string failures() const
    {
        const std::lock_guard lock(m_mutex);
        return m_failures;
    }

    /// Started rounds. Each consists of a look-up and an order.
    std::atomic<int> sent = 0;
    /// Look-ups without a 200 response and orders without any response.
    std::atomic<int> failed = 0;
    /// Orders that ran more than once.
    std::atomic<int> duplicated = 0;
    /// Reported outcomes `not-run` and `ran` that contradict the record of the backend server.
    std::atomic<int> falseOutcomes = 0;
    std::atomic<int> unknownOutcomes = 0;

private:
    // Returns the address of the first instance from number `round` on that reports that it is ready, or an empty text if
    // there is none. The balancer also selects only ready instances.
    std::string pickReady(unsigned round) const
    {
        for (unsigned i = 0; i < INSTANCE_NAMES.size(); ++i) {
            const std::string address = m_fleet.callerAddress(INSTANCE_NAMES[(round + i) % INSTANCE_NAMES.size()]);
            const auto response = call(address, "GET", "/.cornelwind/ready", {}, "", 500);
            if (response && response->status() == 200)
                return address;
        }
        return {};
    }

    void run(int thread)
    {
        for (unsigned round = 0; !m_stop; ++round) {
            const std::string address = pickReady(round + static_cast<unsigned>(thread));
            if (address.empty())
                continue;
            ++sent;
            const auto lookup = call(address, "GET", "/catalogue");
            if (!lookup || lookup->status() != 200)
                recordFailure("look-up", lookup);
            sendOrder(address, "load-" + std::to_string(thread) + "-" + std::to_string(round) + ".");
        }
    }

    void recordFailure(const std::string& what, const std::optional<Message>& response)
    {
        const std::lock_guard lock(m_mutex);
        ++failed;
        m_failures += what + ": " + (response ? response->startLine + " " + response->body : std::string("no response")) + "\n";
    }

    // Sends an order without a key to obtain one. Then sends the order twice with this key, if possible through different
    // instances. It must run only once.
    void sendOrder(const std::string& address, const std::string& marker)
    {
        const auto unkeyed = call(address, "POST", "/orders", {}, marker);
        const std::string key = unkeyed ? unkeyed->header("cornelwind-next-key") : "";
        if (key.empty())
            return;
        const auto first = call(address, "POST", "/orders", { { "Idempotency-Key", key } }, marker);
        if (!first)
            recordFailure("order", first);
        const std::string otherAddress = pickReady(static_cast<unsigned>(marker.size()) + static_cast<unsigned>(sent));
        const auto second = otherAddress.empty() ? first : call(otherAddress, "POST", "/orders", { { "Idempotency-Key", key } }, marker);
        const int runs = m_fleet.countRuns("ord-1", marker);
        duplicated += runs > 1;
        for (const auto& response : { first, second }) {
            if (!response)
                continue;
            const std::string outcome = response->header("cornelwind-outcome");
            falseOutcomes += outcome == "not-run" && runs > 0;
            falseOutcomes += outcome == "ran" && runs != 1;
            unknownOutcomes += outcome == "unknown";
        }
    }

    const Fleet& m_fleet;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::string m_failures;
};

} // namespace

TEST_CASE("All instances adopt a newer sheet, and none adopts an older, conflicting or invalid one")
{
    Fleet fleet;
    startThreeInstances(fleet);
    fleet.publishSheet(fleet.sheet(6));
    for (const std::string& name : INSTANCE_NAMES)
        CHECK(waitForSheetVersion(fleet, name, 6));

    struct Row {
        const char* name;
        std::string text;
        const char* kind;
    };
    for (const Row& row : { Row { "older", fleet.sheet(4), "older-sheet" }, Row { "conflicting", fleet.sheet(6) + "# changed\n", "conflicting-sheet" },
             Row { "invalid", fleet.sheet(9) + "extra = 1\n", "unknown-key" } }) {
        INFO(row.name);
        fleet.publishSheet(row.text);
        const auto refused = [&] {
            const auto response = call(fleet.adminAddress("a"), "GET", "/explain?subject=sheet");
            return response && response->body.find(row.kind) != std::string::npos;
        };
        CHECK(waitFor(refused));
        for (const std::string& name : INSTANCE_NAMES) {
            CHECK(hasSheetVersion(fleet, name, 6));
            CHECK(servesLookups(fleet, name));
        }
    }
}

TEST_CASE("An instance that cannot reach the platform gets the sheet and the members from its peers")
{
    Fleet fleet;
    startThreeInstances(fleet);
    fleet.publishSheet(fleet.sheet(6));
    for (const std::string& name : INSTANCE_NAMES)
        REQUIRE(waitForSheetVersion(fleet, name, 6));
    fleet.controlPlatform("down");
    // The new instance knows its peers only from the seed in its settings.
    fleet.addInstance("e");
    fleet.addSeed("e", fleet.peerAddress("a"));
    fleet.start("e");
    CHECK(waitForSheetVersion(fleet, "e", 6));
    CHECK(fleet.waitForReady("e"));
    CHECK(servesLookups(fleet, "e"));
    CHECK(fleet.waitForMembers("e", 3));
    for (const std::string& name : INSTANCE_NAMES)
        CHECK(servesLookups(fleet, name));
}

TEST_CASE("A restarted instance does not adopt an older sheet from a stale platform")
{
    // The restarted instance has no sheet to compare with that of the platform. It learns of the newer sheet from its peers.
    Fleet fleet;
    startThreeInstances(fleet);
    fleet.publishSheet(fleet.sheet(7));
    for (const std::string& name : INSTANCE_NAMES)
        REQUIRE(waitForSheetVersion(fleet, name, 7));
    fleet.publishSheet(fleet.sheet(5));
    fleet.controlPlatform("stale");
    fleet.instance("c").kill();
    fleet.start("c");
    REQUIRE(fleet.waitForReady("c"));
    CHECK(hasSheetVersion(fleet, "c", 7));
    for (const std::string& name : INSTANCE_NAMES)
        CHECK(hasSheetVersion(fleet, name, 7));
}

TEST_CASE("A frozen instance that resumes late does not bring back an older sheet")
{
    Fleet fleet;
    startThreeInstances(fleet);
    fleet.instance("c").signal(SIGSTOP);
    fleet.publishSheet(fleet.sheet(6));
    REQUIRE(waitForSheetVersion(fleet, "a", 6));
    REQUIRE(waitForSheetVersion(fleet, "b", 6));
    fleet.instance("c").signal(SIGCONT);
    CHECK(waitForSheetVersion(fleet, "c", 6));
    CHECK(hasSheetVersion(fleet, "a", 6));
    CHECK(hasSheetVersion(fleet, "b", 6));
}

TEST_CASE("Concurrent publication of sheets does not make any instance return to an older version")
{
    Fleet fleet;
    startThreeInstances(fleet);
    std::thread first([&] {
        for (int version = 6; version < 30; version += 2)
            fleet.publishSheet(fleet.sheet(version));
    });
    std::thread second([&] {
        for (int version = 29; version > 6; version -= 2)
            fleet.publishSheet(fleet.sheet(version));
    });
    std::map<std::string, int> last;
    // Checks that no version decreases. Returns whether all instances have version 30, the last one.
    const auto reachedLastVersion = [&] {
        for (const std::string& name : INSTANCE_NAMES) {
            const std::string status = fleet.statusJson(name);
            const std::size_t at = status.find("\"sheet_version\":");
            REQUIRE(at != std::string::npos);
            const int version = std::atoi(status.c_str() + at + 16);
            CHECK(version >= last[name]);
            last[name] = version;
        }
        return last["a"] == 30 && last["b"] == 30 && last["c"] == 30;
    };
    waitFor(reachedLastVersion, 300);
    first.join();
    second.join();
    fleet.publishSheet(fleet.sheet(30));
    CHECK(waitFor(reachedLastVersion));
}

TEST_CASE("In a partition each side serves the keys whose owner it reaches, and no key is lost when the partition ends")
{
    // If a side served a key whose owner it cannot reach, an order could run a second time. It therefore reports `unknown`.
    Fleet fleet;
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.addServer({ "ord-1", "orders" });
    fleet.publishSheet(fleet.sheet(5));
    for (const std::string& name : INSTANCE_NAMES)
        fleet.addInstance(name);
    const std::vector<std::string> relays { fleet.addPeerRelay("a", "c"), fleet.addPeerRelay("b", "c"), fleet.addPeerRelay("c", "a"), fleet.addPeerRelay("c", "b") };
    fleet.startAll();
    const std::string keyOfA = fleet.fetchIdempotencyKey("a");
    const std::string keyOfC = fleet.fetchIdempotencyKey("c");
    for (const std::string& relay : relays)
        Fleet::controlRelay(relay, "forward=cut");
    CHECK(fleet.waitForMembers("c", 0));
    CHECK(fleet.waitForMembers("a", 1));
    const auto send = [&](const std::string& instance, const std::string& key, const std::string& order) {
        return call(fleet.callerAddress(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order);
    };
    CHECK(send("b", keyOfA, "of-a")->status() == 200);
    CHECK(send("a", keyOfC, "of-c")->header("cornelwind-outcome") == "unknown");
    CHECK(send("c", keyOfA, "of-a")->header("cornelwind-outcome") == "unknown");
    CHECK(send("c", keyOfC, "of-c")->status() == 200);
    for (const std::string& name : INSTANCE_NAMES)
        CHECK(servesLookups(fleet, name));
    for (const std::string& relay : relays)
        Fleet::controlRelay(relay, "forward=pass");
    for (const std::string& name : INSTANCE_NAMES)
        CHECK(fleet.waitForMembers(name, 2));
    for (const std::string& name : INSTANCE_NAMES) {
        CHECK(send(name, keyOfA, "of-a")->status() == 200);
        CHECK(send(name, keyOfC, "of-c")->status() == 200);
    }
    CHECK(fleet.countRuns("of-a") == 1);
    CHECK(fleet.countRuns("of-c") == 1);
}

TEST_CASE("Members detect that a member has died and that it has restarted")
{
    Fleet fleet;
    startThreeInstances(fleet);
    fleet.instance("b").kill();
    CHECK(fleet.waitForMembers("a", 1));
    CHECK(fleet.waitForMembers("c", 1));
    fleet.start("b");
    CHECK(fleet.waitForMembers("a", 2));
    CHECK(fleet.waitForMembers("c", 2));
    CHECK(fleet.waitForMembers("b", 2));
}

TEST_CASE("A one-way network failure between two members does not make either of them dead")
{
    // Direct pings from a to b fail. Instance a then pings b indirectly, through c.
    Fleet fleet;
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.publishSheet(fleet.sheet(1));
    for (const std::string& name : INSTANCE_NAMES)
        fleet.addInstance(name);
    const std::string relay = fleet.addPeerRelay("a", "b");
    fleet.startAll();
    Fleet::controlRelay(relay, "forward=cut");
    const auto indirect = [&] { return fleet.statusJson("a").find(R"("name":"b","zone":"leon","state":"alive","listed":true,"direct":false)") != std::string::npos; };
    CHECK(waitFor(indirect));
    // A suspected member counts as dead in less than 4 s.
    CHECK_FALSE(waitFor([&] { return fleet.statusJson("a").find(R"("state":"dead")") != std::string::npos; }, 4000));
    CHECK(fleet.waitForMembers("b", 2));
}

TEST_CASE("A planned stop hands keys and stored results over to a successor")
{
    Fleet fleet;
    startThreeInstances(fleet);
    const std::string usedKey = fleet.fetchIdempotencyKey("a");
    const std::string unusedKey = fleet.fetchIdempotencyKey("a");
    const auto first = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", usedKey } }, "used-order");
    REQUIRE(first);
    fleet.instance("a").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    for (const char* name : { "b", "c" }) {
        const auto again = call(fleet.callerAddress(name), "POST", "/orders", { { "Idempotency-Key", usedKey } }, "used-order");
        REQUIRE(again);
        CHECK(again->status() == 200);
        CHECK(again->body == first->body);
        const auto later = call(fleet.callerAddress(name), "POST", "/orders", { { "Idempotency-Key", unusedKey } }, "fresh-order");
        REQUIRE(later);
        CHECK(later->status() == 200);
    }
    CHECK(fleet.countRuns("used-order") == 1);
    CHECK(fleet.countRuns("fresh-order") == 1);
}

TEST_CASE("A planned stop completes the requests in flight")
{
    Fleet fleet;
    startThreeInstances(fleet, "", 800);
    const std::string key = fleet.fetchIdempotencyKey("a");
    std::optional<Message> order;
    std::optional<Message> lookup;
    std::thread orderThread([&] { order = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "slow-order"); });
    std::thread lookupThread([&] { lookup = call(fleet.callerAddress("a"), "GET", "/catalogue/slow"); });
    CHECK(waitFor([&] { return fleet.countRuns("slow") == 2; }));
    fleet.instance("a").signal(SIGTERM);
    orderThread.join();
    lookupThread.join();
    REQUIRE(order);
    REQUIRE(lookup);
    CHECK(order->status() == 200);
    CHECK(lookup->status() == 200);
    CHECK(fleet.instance("a").wait(10000) == 0);
}

TEST_CASE("A planned stop cuts no request that comes late, also if the instance has issued keys")
{
    Fleet fleet;
    startThreeInstances(fleet, "[limits]\nstop_ms = 3000\nstop_notice_ms = 300\n", 400);
    const std::string key = fleet.fetchIdempotencyKey("a");
    REQUIRE(call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "early-order"));
    std::atomic<int> cut = 0;
    std::atomic<int> served = 0;
    std::atomic<bool> gone = false;
    constexpr int callerCount = 6;
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&, i] {
            for (int number = 0; !gone; ++number) {
                const std::string target = "/catalogue/late-" + std::to_string(i) + "-" + std::to_string(number) + "-";
                const auto response = call(fleet.callerAddress("a"), "GET", target);
                served += response && response->status() == 200;
                // A connection that is closed before the request reached a backend server is no cut.
                cut += response ? response->header("cornelwind-outcome") == "unknown" : fleet.countRuns(target) > 0;
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fleet.instance("a").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(10000) == 0);
    gone = true;
    for (std::thread& caller : callers)
        caller.join();
    CHECK(served > 6);
    CHECK(cut == 0);
}

TEST_CASE("A rolling restart under load fails no request and runs no order twice")
{
    Fleet fleet;
    startThreeInstances(fleet);
    LoadGenerator load(fleet);
    for (const std::string& name : INSTANCE_NAMES) {
        const int before = load.sent;
        CHECK(waitFor([&] { return load.sent > before + 20; }));
        fleet.instance(name).signal(SIGTERM);
        CHECK(fleet.instance(name).wait(15000) == 0);
        fleet.start(name);
        REQUIRE(fleet.waitForReady(name));
        REQUIRE(fleet.waitForMembers(name, 2));
    }
    load.stop();
    INFO(load.failures());
    CHECK(load.failed == 0);
    CHECK(load.duplicated == 0);
    CHECK(load.falseOutcomes == 0);
}

TEST_CASE("Two instances that stop at the same time hand their keys over to the third")
{
    Fleet fleet;
    startThreeInstances(fleet);
    const std::string keyOfA = fleet.fetchIdempotencyKey("a");
    const std::string keyOfB = fleet.fetchIdempotencyKey("b");
    fleet.instance("a").signal(SIGTERM);
    fleet.instance("b").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    CHECK(fleet.instance("b").wait(15000) == 0);
    for (const std::string& key : { keyOfA, keyOfB }) {
        const auto response = call(fleet.callerAddress("c"), "POST", "/orders", { { "Idempotency-Key", key } }, "order-" + key);
        REQUIRE(response);
        CHECK(response->status() == 200);
    }
}

TEST_CASE("Requests with keys whose successor has died get the outcome unknown, and no order runs again")
{
    // Only b took over the keys of a. When b is killed, the stored results and the state of the keys are lost.
    Fleet fleet;
    startThreeInstances(fleet);
    const std::string usedKey = fleet.fetchIdempotencyKey("a");
    const std::string unusedKey = fleet.fetchIdempotencyKey("a");
    const auto send = [&](const std::string& instance, const std::string& key, const std::string& order) {
        return call(fleet.callerAddress(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order);
    };
    CHECK(send("a", usedKey, "used-order")->status() == 200);
    // With c frozen, only b can accept the handover.
    fleet.instance("c").signal(SIGSTOP);
    fleet.instance("a").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    fleet.instance("b").kill();
    fleet.instance("c").signal(SIGCONT);
    for (const auto& [key, order] : { std::pair { usedKey, "used-order" }, std::pair { unusedKey, "fresh-order" } }) {
        INFO(order);
        const auto response = send("c", key, order);
        REQUIRE(response);
        CHECK(response->header("cornelwind-outcome") == "unknown");
    }
    CHECK(fleet.countRuns("used-order") == 1);
    CHECK(fleet.countRuns("fresh-order") == 0);
}

TEST_CASE("A planned stop without a reachable successor completes and fails no request")
{
    Fleet fleet;
    startThreeInstances(fleet);
    const std::string key = fleet.fetchIdempotencyKey("a");
    for (const char* name : { "b", "c" })
        fleet.instance(name).signal(SIGSTOP);
    fleet.instance("a").signal(SIGTERM);
    const auto response = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "late-order");
    REQUIRE(response);
    CHECK(response->status() == 200);
    CHECK(fleet.instance("a").wait(15000) == 0);
    for (const char* name : { "b", "c" })
        fleet.instance(name).signal(SIGCONT);
    CHECK(fleet.countRuns("late-order") == 1);
}

TEST_CASE("After one instance is killed and another frozen, no order runs twice and the last one keeps serving")
{
    Fleet fleet;
    startThreeInstances(fleet);
    LoadGenerator load(fleet);
    CHECK(waitFor([&] { return load.sent > 20; }));
    fleet.instance("a").kill();
    fleet.instance("b").signal(SIGSTOP);
    const int before = load.sent;
    CHECK(waitFor([&] { return load.sent > before + 20; }, 20000));
    fleet.instance("b").signal(SIGCONT);
    load.stop();
    CHECK(load.duplicated == 0);
    CHECK(load.falseOutcomes == 0);
    CHECK(servesLookups(fleet, "c"));
}

TEST_CASE("A backend server that is removed from the sheet or reports that it is leaving gets no new requests")
{
    struct Row {
        const char* name;
        const char* channel;
    };
    for (const Row& row : { Row { "leaving by its responses", "responses" }, Row { "leaving by the instance list", "list" }, Row { "removed from the sheet", "sheet" } }) {
        INFO(row.name);
        Fleet fleet;
        fleet.addServer({ "cat-1", "catalogue", 8, 2 });
        fleet.addServer({ "cat-2", "catalogue", 8, 2 });
        fleet.publishSheet(fleet.sheet(1));
        for (const std::string& name : INSTANCE_NAMES)
            fleet.addInstance(name);
        fleet.startAll();
        if (std::string(row.channel) == "responses")
            fleet.controlServer("cat-2", "draining=1");
        else if (std::string(row.channel) == "list")
            fleet.publishServerAsLeaving("cat-2");
        else {
            const std::string sheet = fleet.sheet(2);
            const std::size_t start = sheet.find("[[service.server]]\nname = \"cat-2\"");
            fleet.publishSheet(sheet.substr(0, start) + sheet.substr(sheet.find("[[rule]]")));
        }
        int newRuns = -1;
        // The instances have to stop using the server within 3 s: then 40 requests through each of them do not reach it.
        const auto receivesNoRequests = [&] {
            const int before = fleet.countRuns("cat-2", "/catalogue");
            for (int i = 0; i < 40; ++i) {
                for (const std::string& name : INSTANCE_NAMES)
                    call(fleet.callerAddress(name), "GET", "/catalogue");
            }
            newRuns = fleet.countRuns("cat-2", "/catalogue") - before;
            return newRuns == 0;
        };
        CHECK(waitFor(receivesNoRequests, 3000));
    }
}
