// The fleet as one: sheets, members, stops, losses and partitions, as processes.
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

const std::vector<std::string> THREE { "a", "b", "c" };

void startThree(Fleet& fleet, const std::string& moreSettings = {}, int serviceMs = 5)
{
    fleet.addServer({ "cat-1", "catalogue", 8, serviceMs });
    fleet.addServer({ "ord-1", "orders", 8, serviceMs });
    fleet.publishSheet(fleet.sheet(5));
    for (const std::string& name : THREE)
        fleet.addInstance(name, "leon", moreSettings);
    fleet.startAll();
}

bool inForce(const Fleet& fleet, const std::string& name, int version)
{
    return fleet.status(name).find("\"sheet_version\":" + std::to_string(version) + ",") != std::string::npos;
}

bool waitInForce(const Fleet& fleet, const std::string& name, int version, int timeLimitMs = 8000)
{
    return waitFor([&] { return inForce(fleet, name, version); }, timeLimitMs);
}

bool serves(const Fleet& fleet, const std::string& name)
{
    const auto answer = call(fleet.callers(name), "GET", "/catalogue");
    return answer && answer->status() == 200;
}

/// Sends orders and look-ups, each on a fresh connection to the next ready instance, until stopped.
class Load {
public:
    explicit Load(const Fleet& fleet)
        : m_fleet(fleet)
    {
        for (int i = 0; i < 4; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~Load() { stop(); }
    Load(const Load&) = delete;
    Load& operator=(const Load&) = delete;

    void stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// @return what each request that was cut got
    std::string cuts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_cuts;
    }

    std::atomic<int> sent = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> doubled = 0;
    std::atomic<int> untrue = 0;
    std::atomic<int> uncertain = 0;

private:
    // As the balancer does: only instances that say that they are ready.
    std::string pickReady(unsigned turn) const
    {
        for (unsigned i = 0; i < THREE.size(); ++i) {
            const std::string address = m_fleet.callers(THREE[(turn + i) % THREE.size()]);
            const auto answer = call(address, "GET", "/.cornelwind/ready", {}, "", 500);
            if (answer && answer->status() == 200)
                return address;
        }
        return {};
    }

    void run(int thread)
    {
        for (unsigned turn = 0; !m_stop; ++turn) {
            const std::string address = pickReady(turn + static_cast<unsigned>(thread));
            if (address.empty())
                continue;
            ++sent;
            const auto lookup = call(address, "GET", "/catalogue");
            if (!lookup || lookup->status() != 200)
                noteCut("look-up", lookup);
            order(address, "load-" + std::to_string(thread) + "-" + std::to_string(turn) + ".");
        }
    }

    void noteCut(const std::string& what, const std::optional<Message>& answer)
    {
        const std::lock_guard lock(m_mutex);
        ++cut;
        m_cuts += what + ": " + (answer ? answer->startLine + " " + answer->body : std::string("no answer")) + "\n";
    }

    void order(const std::string& address, const std::string& mark)
    {
        const auto without = call(address, "POST", "/orders", {}, mark);
        const std::string key = without ? without->header("cornelwind-next-key") : "";
        if (key.empty())
            return;
        const auto first = call(address, "POST", "/orders", { { "Idempotency-Key", key } }, mark);
        if (!first)
            noteCut("order", first);
        const std::string elsewhere = pickReady(static_cast<unsigned>(mark.size()) + static_cast<unsigned>(sent));
        const auto second = elsewhere.empty() ? first : call(elsewhere, "POST", "/orders", { { "Idempotency-Key", key } }, mark);
        const int runs = m_fleet.runs("ord-1", mark);
        doubled += runs > 1;
        for (const auto& answer : { first, second }) {
            if (!answer)
                continue;
            const std::string outcome = answer->header("cornelwind-outcome");
            untrue += outcome == "not-run" && runs > 0;
            untrue += outcome == "ran" && runs != 1;
            uncertain += outcome == "unknown";
        }
    }

    const Fleet& m_fleet;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::string m_cuts;
};

} // namespace

TEST_CASE("A newer sheet is in force everywhere, and an older, conflicting or faulty one nowhere")
{
    Fleet fleet;
    startThree(fleet);
    fleet.publishSheet(fleet.sheet(6));
    for (const std::string& name : THREE)
        CHECK(waitInForce(fleet, name, 6));

    struct Row {
        const char* name;
        std::string text;
        const char* kind;
    };
    for (const Row& row : { Row { "older", fleet.sheet(4), "older-sheet" }, Row { "conflicting", fleet.sheet(6) + "# changed\n", "conflicting-sheet" },
             Row { "faulty", fleet.sheet(9) + "extra = 1\n", "unknown-key" } }) {
        INFO(row.name);
        fleet.publishSheet(row.text);
        const auto refused = [&] {
            const auto answer = call(fleet.admin("a"), "GET", "/explain?subject=sheet");
            return answer && answer->body.find(row.kind) != std::string::npos;
        };
        CHECK(waitFor(refused));
        for (const std::string& name : THREE) {
            CHECK(inForce(fleet, name, 6));
            CHECK(serves(fleet, name));
        }
    }
}

TEST_CASE("An instance that cannot reach the platform gets the sheet and the members from its peers")
{
    Fleet fleet;
    startThree(fleet);
    fleet.publishSheet(fleet.sheet(6));
    for (const std::string& name : THREE)
        REQUIRE(waitInForce(fleet, name, 6));
    fleet.controlPlatform("down");
    // Only its settings name a peer.
    fleet.addInstance("e");
    fleet.addSeed("e", fleet.peers("a"));
    fleet.start("e");
    CHECK(waitInForce(fleet, "e", 6));
    CHECK(fleet.waitReady("e"));
    CHECK(serves(fleet, "e"));
    CHECK(fleet.waitMembers("e", 3));
    for (const std::string& name : THREE)
        CHECK(serves(fleet, name));
}

TEST_CASE("A start with empty memory does not bring an older sheet of a stale platform into force")
{
    Fleet fleet;
    startThree(fleet);
    fleet.publishSheet(fleet.sheet(7));
    for (const std::string& name : THREE)
        REQUIRE(waitInForce(fleet, name, 7));
    fleet.publishSheet(fleet.sheet(5));
    fleet.controlPlatform("stale");
    fleet.instance("c").kill();
    fleet.start("c");
    REQUIRE(fleet.waitReady("c"));
    CHECK(inForce(fleet, "c", 7));
    for (const std::string& name : THREE)
        CHECK(inForce(fleet, name, 7));
}

TEST_CASE("A frozen instance that wakes late does not bring back an older sheet")
{
    Fleet fleet;
    startThree(fleet);
    fleet.instance("c").signal(SIGSTOP);
    fleet.publishSheet(fleet.sheet(6));
    REQUIRE(waitInForce(fleet, "a", 6));
    REQUIRE(waitInForce(fleet, "b", 6));
    fleet.instance("c").signal(SIGCONT);
    CHECK(waitInForce(fleet, "c", 6));
    CHECK(inForce(fleet, "a", 6));
    CHECK(inForce(fleet, "b", 6));
}

TEST_CASE("Operators who publish two sheets at once do not make any instance go back")
{
    Fleet fleet;
    startThree(fleet);
    std::thread first([&] {
        for (int version = 6; version < 30; version += 2)
            fleet.publishSheet(fleet.sheet(version));
    });
    std::thread second([&] {
        for (int version = 29; version > 6; version -= 2)
            fleet.publishSheet(fleet.sheet(version));
    });
    std::map<std::string, int> last;
    const auto look = [&] {
        for (const std::string& name : THREE) {
            const std::string status = fleet.status(name);
            const std::size_t at = status.find("\"sheet_version\":");
            REQUIRE(at != std::string::npos);
            const int version = std::atoi(status.c_str() + at + 16);
            CHECK(version >= last[name]);
            last[name] = version;
        }
        return last["a"] == 30 && last["b"] == 30 && last["c"] == 30;
    };
    waitFor(look, 300);
    first.join();
    second.join();
    fleet.publishSheet(fleet.sheet(30));
    CHECK(waitFor(look));
}

TEST_CASE("Each part of a divided fleet serves what it can prove, and healing loses nothing")
{
    Fleet fleet;
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.addServer({ "ord-1", "orders" });
    fleet.publishSheet(fleet.sheet(5));
    for (const std::string& name : THREE)
        fleet.addInstance(name);
    const std::vector<std::string> relays { fleet.relayPeers("a", "c"), fleet.relayPeers("b", "c"), fleet.relayPeers("c", "a"), fleet.relayPeers("c", "b") };
    fleet.startAll();
    const std::string ofA = fleet.fetchKey("a");
    const std::string ofC = fleet.fetchKey("c");
    for (const std::string& relay : relays)
        Fleet::controlRelay(relay, "forward=cut");
    CHECK(fleet.waitMembers("c", 0));
    CHECK(fleet.waitMembers("a", 1));
    const auto send = [&](const std::string& instance, const std::string& key, const std::string& order) {
        return call(fleet.callers(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order);
    };
    CHECK(send("b", ofA, "of-a")->status() == 200);
    CHECK(send("a", ofC, "of-c")->header("cornelwind-outcome") == "unknown");
    CHECK(send("c", ofA, "of-a")->header("cornelwind-outcome") == "unknown");
    CHECK(send("c", ofC, "of-c")->status() == 200);
    for (const std::string& name : THREE)
        CHECK(serves(fleet, name));
    for (const std::string& relay : relays)
        Fleet::controlRelay(relay, "forward=pass");
    for (const std::string& name : THREE)
        CHECK(fleet.waitMembers(name, 2));
    for (const std::string& name : THREE) {
        CHECK(send(name, ofA, "of-a")->status() == 200);
        CHECK(send(name, ofC, "of-c")->status() == 200);
    }
    CHECK(fleet.runs("of-a") == 1);
    CHECK(fleet.runs("of-c") == 1);
}

TEST_CASE("A dead member is noticed, and its return as another start as well")
{
    Fleet fleet;
    startThree(fleet);
    fleet.instance("b").kill();
    CHECK(fleet.waitMembers("a", 1));
    CHECK(fleet.waitMembers("c", 1));
    fleet.start("b");
    CHECK(fleet.waitMembers("a", 2));
    CHECK(fleet.waitMembers("c", 2));
    CHECK(fleet.waitMembers("b", 2));
}

TEST_CASE("A one-way cut between two members does not make either of them dead")
{
    Fleet fleet;
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.publishSheet(fleet.sheet(1));
    for (const std::string& name : THREE)
        fleet.addInstance(name);
    const std::string relay = fleet.relayPeers("a", "b");
    fleet.startAll();
    Fleet::controlRelay(relay, "forward=cut");
    const auto indirect = [&] { return fleet.status("a").find(R"("name":"b","zone":"leon","state":"alive","listed":true,"direct":false)") != std::string::npos; };
    CHECK(waitFor(indirect));
    // Longer than any suspicion lasts.
    CHECK_FALSE(waitFor([&] { return fleet.status("a").find(R"("state":"dead")") != std::string::npos; }, 4000));
    CHECK(fleet.waitMembers("b", 2));
}

TEST_CASE("A planned stop hands keys and results to an heir")
{
    Fleet fleet;
    startThree(fleet);
    const std::string used = fleet.fetchKey("a");
    const std::string fresh = fleet.fetchKey("a");
    const auto first = call(fleet.callers("a"), "POST", "/orders", { { "Idempotency-Key", used } }, "used-order");
    REQUIRE(first);
    fleet.instance("a").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    for (const char* name : { "b", "c" }) {
        const auto again = call(fleet.callers(name), "POST", "/orders", { { "Idempotency-Key", used } }, "used-order");
        REQUIRE(again);
        CHECK(again->status() == 200);
        CHECK(again->body == first->body);
        const auto later = call(fleet.callers(name), "POST", "/orders", { { "Idempotency-Key", fresh } }, "fresh-order");
        REQUIRE(later);
        CHECK(later->status() == 200);
    }
    CHECK(fleet.runs("used-order") == 1);
    CHECK(fleet.runs("fresh-order") == 1);
}

TEST_CASE("A stop finishes the request in flight")
{
    Fleet fleet;
    startThree(fleet, "", 800);
    const std::string key = fleet.fetchKey("a");
    std::optional<Message> order;
    std::optional<Message> lookup;
    std::thread ordering([&] { order = call(fleet.callers("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "slow-order"); });
    std::thread looking([&] { lookup = call(fleet.callers("a"), "GET", "/catalogue/slow"); });
    CHECK(waitFor([&] { return fleet.runs("slow") == 2; }));
    fleet.instance("a").signal(SIGTERM);
    ordering.join();
    looking.join();
    REQUIRE(order);
    REQUIRE(lookup);
    CHECK(order->status() == 200);
    CHECK(lookup->status() == 200);
    CHECK(fleet.instance("a").wait(10000) == 0);
}

TEST_CASE("A rolling restart under load cuts and doubles nothing")
{
    Fleet fleet;
    startThree(fleet);
    Load load(fleet);
    for (const std::string& name : THREE) {
        const int before = load.sent;
        CHECK(waitFor([&] { return load.sent > before + 20; }));
        fleet.instance(name).signal(SIGTERM);
        CHECK(fleet.instance(name).wait(15000) == 0);
        fleet.start(name);
        REQUIRE(fleet.waitReady(name));
        REQUIRE(fleet.waitMembers(name, 2));
    }
    load.stop();
    INFO(load.cuts());
    CHECK(load.cut == 0);
    CHECK(load.doubled == 0);
    CHECK(load.untrue == 0);
}

TEST_CASE("Two instances that stop at once hand over to the third")
{
    Fleet fleet;
    startThree(fleet);
    const std::string ofA = fleet.fetchKey("a");
    const std::string ofB = fleet.fetchKey("b");
    fleet.instance("a").signal(SIGTERM);
    fleet.instance("b").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    CHECK(fleet.instance("b").wait(15000) == 0);
    for (const std::string& key : { ofA, ofB }) {
        const auto answer = call(fleet.callers("c"), "POST", "/orders", { { "Idempotency-Key", key } }, "order-" + key);
        REQUIRE(answer);
        CHECK(answer->status() == 200);
    }
}

TEST_CASE("Keys whose heir dies end in unknown, and no order runs again")
{
    Fleet fleet;
    startThree(fleet);
    const std::string used = fleet.fetchKey("a");
    const std::string fresh = fleet.fetchKey("a");
    const auto send = [&](const std::string& instance, const std::string& key, const std::string& order) {
        return call(fleet.callers(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order);
    };
    CHECK(send("a", used, "used-order")->status() == 200);
    // Only b can accept.
    fleet.instance("c").signal(SIGSTOP);
    fleet.instance("a").signal(SIGTERM);
    CHECK(fleet.instance("a").wait(15000) == 0);
    fleet.instance("b").kill();
    fleet.instance("c").signal(SIGCONT);
    for (const auto& [key, order] : { std::pair { used, "used-order" }, std::pair { fresh, "fresh-order" } }) {
        INFO(order);
        const auto answer = send("c", key, order);
        REQUIRE(answer);
        CHECK(answer->header("cornelwind-outcome") == "unknown");
    }
    CHECK(fleet.runs("used-order") == 1);
    CHECK(fleet.runs("fresh-order") == 0);
}

TEST_CASE("A stop without anyone to hand over to still ends, and cuts nothing")
{
    Fleet fleet;
    startThree(fleet);
    const std::string key = fleet.fetchKey("a");
    for (const char* name : { "b", "c" })
        fleet.instance(name).signal(SIGSTOP);
    fleet.instance("a").signal(SIGTERM);
    const auto answer = call(fleet.callers("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "late-order");
    REQUIRE(answer);
    CHECK(answer->status() == 200);
    CHECK(fleet.instance("a").wait(15000) == 0);
    for (const char* name : { "b", "c" })
        fleet.instance(name).signal(SIGCONT);
    CHECK(fleet.runs("late-order") == 1);
}

TEST_CASE("Killing all but one instance doubles nothing, and the last one serves on")
{
    Fleet fleet;
    startThree(fleet);
    Load load(fleet);
    CHECK(waitFor([&] { return load.sent > 20; }));
    fleet.instance("a").kill();
    fleet.instance("b").signal(SIGSTOP);
    const int before = load.sent;
    CHECK(waitFor([&] { return load.sent > before + 20; }, 20000));
    fleet.instance("b").signal(SIGCONT);
    load.stop();
    CHECK(load.doubled == 0);
    CHECK(load.untrue == 0);
    CHECK(serves(fleet, "c"));
}

TEST_CASE("A server that leaves the sheet, and one that says that it leaves, get no new work")
{
    struct Row {
        const char* name;
        const char* how;
    };
    for (const Row& row : { Row { "by its answers", "answers" }, Row { "by the instance list", "list" }, Row { "by the sheet", "sheet" } }) {
        INFO(row.name);
        Fleet fleet;
        fleet.addServer({ "cat-1", "catalogue", 8, 2 });
        fleet.addServer({ "cat-2", "catalogue", 8, 2 });
        fleet.publishSheet(fleet.sheet(1));
        for (const std::string& name : THREE)
            fleet.addInstance(name);
        fleet.startAll();
        if (std::string(row.how) == "answers")
            fleet.controlServer("cat-2", "draining=1");
        else if (std::string(row.how) == "list")
            fleet.publishLeavingServer("cat-2");
        else {
            const std::string sheet = fleet.sheet(2);
            const std::size_t start = sheet.find("[[service.server]]\nname = \"cat-2\"");
            fleet.publishSheet(sheet.substr(0, start) + sheet.substr(sheet.find("[[rule]]")));
        }
        int seen = -1;
        // Quiet for 40 requests through each instance within the 3 s that a leave may take.
        const auto quiet = [&] {
            const int before = fleet.runs("cat-2", "/catalogue");
            for (int i = 0; i < 40; ++i) {
                for (const std::string& name : THREE)
                    call(fleet.callers(name), "GET", "/catalogue");
            }
            seen = fleet.runs("cat-2", "/catalogue") - before;
            return seen == 0;
        };
        CHECK(waitFor(quiet, 3000));
    }
}
