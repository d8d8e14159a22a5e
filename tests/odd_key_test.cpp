// Process tests of entries that another writer left in the platform's store under odd keys, in lists of several pages: instances
// that start or read the list again find the other servers.
#include "support/fleet.h"
#include "support/platform_store.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

using namespace cornelwind::test;

namespace {

// Odd entries that neighbour in the order of keys, so that some page ends between them.
constexpr std::size_t ODD_ENTRIES = 3;
const std::vector<std::string> SERVERS { "s0", "s1", "s2", "s3" };

struct OddName {
    const char* title;
    std::string text;
};

/// Names sort after `s1` and before `s2`, unless they begin with another letter.
const OddName NAMES[] = {
    { "plus sign", "s1+x" },
    { "plus sign alone", "+" },
    { "plus signs at both ends", "+s1+" },
    { "ampersand", "s1&x" },
    { "ampersand and a field of the query", "s1&after=servers/" },
    { "number sign", "s1#x" },
    { "percent sign", "s1%x" },
    { "percent sign at the end", "s1%" },
    { "percent sign and hexadecimal digits", "s1%2b" },
    { "encoded null character", "s1%00" },
    { "space", "s1 x" },
    { "space at the start", " s1" },
    { "space at the end", "s1 " },
    { "question mark", "s1?x" },
    { "equals sign", "s1=x" },
    { "semicolon", "s1;x" },
    { "comma", "s1,x" },
    { "slash", "s1/x" },
    { "backslash", "s1\\x" },
    { "quotation mark", "s1\"x" },
    { "apostrophe", "s1'x" },
    { "brackets", "s1[x]{y}<z>" },
    { "all of them", "s1&+#% =?;/\\\"" },
    { "line end", "s1\r\nx" },
    { "null character", std::string("s1\0x", 4) },
    { "delete character", "s1\x7f" },
    { "letters beyond ASCII", "s1\xc3\xa9\xe2\x82\xac" },
    { "empty", "" },
};

/// Entry instances before four servers, and a fifth server that only odd entries name.
struct Scenario {
    Fleet fleet;
    PlatformStore store { fleet };
    std::vector<std::string> instances;

    explicit Scenario(int instanceCount)
    {
        for (const std::string& server : SERVERS)
            fleet.addServer({ server, "service", 8, 5 });
        fleet.addServer({ "decoy", "service", 8, 5 });
        for (int i = 0; i < instanceCount; ++i) {
            instances.push_back("i" + std::to_string(i));
            fleet.addInstance(instances.back(), "leon", PlatformStore::settings());
        }
        for (std::size_t i = 1; i < instances.size(); ++i)
            fleet.addSeed(instances[i], fleet.peerAddress(instances[0]));
    }

    /// Writes the servers, and odd entries that are valid but for their keys.
    void publish(const std::vector<std::string>& oddNames, int pageItems)
    {
        std::vector<PlatformStore::KeyedItem> items;
        items.reserve(SERVERS.size() + oddNames.size());
        for (const std::string& server : SERVERS)
            items.push_back({ "servers/" + server, store.entry(server, "service", 8) });
        for (const std::string& name : oddNames)
            items.push_back({ "servers/" + name, store.entry("decoy", "service", 8) });
        store.publishPages(items, pageItems);
    }

    void start()
    {
        for (const std::string& name : instances)
            fleet.start(name);
    }

    void kill()
    {
        for (const std::string& name : instances)
            fleet.instance(name).kill();
    }

    bool areReady()
    {
        return std::all_of(instances.begin(), instances.end(), [&](const std::string& name) { return fleet.waitForReady(name); });
    }

    /// @return the largest number of servers that an instance knows
    std::size_t countKnown() const
    {
        const std::string marker = "\"standing\":";
        std::size_t most = 0;
        for (const std::string& name : instances) {
            const std::string status = fleet.statusJson(name);
            std::size_t count = 0;
            for (auto at = status.find(marker); at != std::string::npos; at = status.find(marker, at + 1))
                ++count;
            most = std::max(most, count);
        }
        return most;
    }

    /// @return whether all instances know a server
    bool know(const std::string& server) const
    {
        return std::all_of(instances.begin(), instances.end(), [&](const std::string& name) { return fleet.statusJson(name).find("\"name\":\"" + server + "\"") != std::string::npos; });
    }

    bool knowServers() const
    {
        return std::all_of(SERVERS.begin(), SERVERS.end(), [&](const std::string& server) { return know(server); });
    }

    /// Sends requests to all instances.
    ///
    /// @return the number that was not answered with 200
    int countFailed(int requests)
    {
        int failed = 0;
        for (int i = 0; i < requests; ++i) {
            char id[17];
            std::snprintf(id, sizeof id, "%016x", ++m_requests);
            const auto response = call(fleet.callerAddress(instances[static_cast<std::size_t>(i) % instances.size()]), "GET", "/safe/x", { { "Request-Id", id }, { "Deadline-Ms", "1000" } });
            failed += !response || response->status() != 200;
        }
        return failed;
    }

private:
    int m_requests = 0;
};

/// @return names that sort beside each other
std::vector<std::string> similarNames(const std::string& name)
{
    std::vector<std::string> names { name };
    while (names.size() < ODD_ENTRIES)
        names.push_back(names.back() + name);
    return names;
}

} // namespace

TEST_CASE("An odd key in a list of several pages does not keep a starting instance from the other servers")
{
    Scenario scenario(1);
    for (const OddName& row : NAMES) {
        for (const int pageItems : { 1, 2, 3 }) {
            CAPTURE(row.title, pageItems);
            scenario.publish(similarNames(row.text), pageItems);
            scenario.start();
            CHECK(scenario.areReady());
            CHECK(scenario.knowServers());
            CHECK(scenario.countFailed(8) == 0);
            scenario.kill();
        }
    }
}

TEST_CASE("All instances start while an odd key stands in a list of several pages, and requests are served")
{
    Scenario scenario(3);
    for (const char* name : { "s1+x", "s1&+#% x" }) {
        CAPTURE(name);
        scenario.publish(similarNames(name), 1);
        scenario.start();
        CHECK(scenario.areReady());
        CHECK(scenario.knowServers());
        CHECK(scenario.countFailed(60) == 0);
        scenario.kill();
    }
}

TEST_CASE("An instance that reads the list again, because the store has dropped its history, passes odd keys")
{
    Scenario scenario(1);
    scenario.publish({}, 2);
    scenario.start();
    REQUIRE(scenario.areReady());
    int number = 0;
    for (const OddName& row : NAMES) {
        CAPTURE(row.title);
        const std::string last = "t" + std::to_string(++number);
        std::vector<PlatformStore::KeyedItem> items { { "servers/s0", scenario.store.entry("s0", "service", 8) }, { "servers/" + last, scenario.store.entry("s1", "service", 8) } };
        for (const std::string& name : similarNames(row.text))
            items.push_back({ "servers/" + name, scenario.store.entry("decoy", "service", 8) });
        scenario.store.publishPages(items, 1);
        scenario.store.forgetHistory();
        CHECK(waitFor([&] { return scenario.know(last); }));
    }
    CHECK(scenario.countFailed(30) == 0);
}

TEST_CASE("An entry under an odd key puts no server to use")
{
    Scenario scenario(2);
    std::vector<std::string> names;
    for (const OddName& row : NAMES)
        names.push_back(row.text);
    scenario.publish(names, 3);
    scenario.start();
    REQUIRE(scenario.areReady());
    REQUIRE(waitFor([&] { return scenario.knowServers(); }));
    CHECK(scenario.countKnown() == SERVERS.size());
    std::size_t number = 0;
    for (const OddName& row : NAMES) {
        CAPTURE(row.title);
        const std::string good = "good-" + std::to_string(++number);
        scenario.store.change({ scenario.store.item("servers/" + PlatformStore::escapeJson(row.text), scenario.store.entry("decoy", "service", 8)),
            scenario.store.item("servers/" + good, scenario.store.entry("s1", "service", 8)) });
        CHECK(waitFor([&] { return scenario.know(good); }, 5000));
        CHECK(scenario.countKnown() == SERVERS.size() + number);
    }
    scenario.publish(names, 2);
    scenario.store.forgetHistory();
    CHECK(waitFor([&] { return scenario.countKnown() == SERVERS.size(); }));
    CHECK(scenario.countFailed(60) == 0);
    CHECK(scenario.fleet.countRuns("decoy", "/safe/x") == 0);
}

TEST_CASE("A key that is no valid text does not keep a starting instance from the other servers")
{
    Scenario scenario(1);
    for (const char* name : { "s1\xff", "s1\xc3", "s1\xed\xa0\x80x", "\xff" }) {
        for (const int pageItems : { 1, 2, 3 }) {
            CAPTURE(name, pageItems);
            scenario.publish(similarNames(name), pageItems);
            scenario.start();
            CHECK(scenario.areReady());
            CHECK(scenario.knowServers());
            CHECK(scenario.countKnown() == SERVERS.size());
            CHECK(scenario.countFailed(8) == 0);
            scenario.kill();
        }
    }
}
