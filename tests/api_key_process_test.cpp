// Process tests of API keys in the manner of the users' platform.
#include "support/fleet.h"
#include "support/platform_store.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

const std::string KEY = "kEy-Of-AlDeR-0001";
const std::string SECOND = "kEy-Of-AlDeR-0002";
const std::string OTHER = "kEy-Of-BiRcH-0001";
const std::string UNKNOWN = "kEy-Of-NoBoDy-0001";

std::string tenants(const std::string& alderKeys)
{
    return R"({"alder":{"apiKeys":[)" + alderKeys + R"(],"priority":0,"ratePerS":0},"birch":{"apiKeys":[")" + OTHER + R"("],"ratePerS":1000,"burst":50}})";
}

std::string configuration(int version, const std::string& tenants)
{
    std::string text = PlatformStore::configuration(version, R"("open":{"host":"test","prefix":"/open/","kind":"safe","timeoutS":2,"service":"service","public":true})");
    text.insert(text.size() - 1, ",\"tenants\":" + tenants);
    return text;
}

std::string quoted(const std::string& key) { return "\"" + key + "\""; }

/// Entry instances whose deployment asks to fail closed. They start without a configuration.
struct Scenario {
    Fleet fleet;
    PlatformStore store { fleet };
    std::vector<std::string> instances;

    explicit Scenario(std::size_t instanceCount)
    {
        fleet.addServer({ "s0", "service", 8, 5 });
        store.add("s0", "service", 8);
        std::string settings = PlatformStore::settings();
        settings.replace(settings.find("limits = ["), 10, R"(limits = ["configS=2.5", "revokeS=5", "failClosed=true", )");
        for (std::size_t i = 0; i < instanceCount; ++i) {
            instances.push_back("i" + std::to_string(i));
            fleet.addInstance(instances.back(), "leon", settings);
            if (i > 0)
                fleet.addSeed(instances[i], fleet.peerAddress(instances[0]));
        }
    }

    void start()
    {
        for (const std::string& name : instances)
            fleet.start(name);
        for (const std::string& name : instances)
            REQUIRE(waitFor([&] { return !fleet.statusJson(name).empty(); }));
    }

    /// Publishes a configuration and the server, then waits until all instances serve.
    void publish(const std::string& tenants)
    {
        store.publish(configuration(2, tenants));
        start();
        for (const std::string& name : instances)
            REQUIRE(fleet.waitForReady(name));
    }

    /// @param headers lines that each end with a line break
    int status(const std::string& target, const std::string& headers, const std::string& instance = "i0") const
    {
        const std::string response = exchangeRaw(fleet.callerAddress(instance), "GET " + target + " HTTP/1.1\r\nHost: test\r\nRequest-Id: 0000000000000001\r\nDeadline-Ms: 1000\r\nConnection: close\r\n" + headers + "\r\n");
        return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
    }

    std::string heads() const { return call(fleet.serverAddress("s0"), "GET", "/standin/heads")->body; }

    /// @return everything that an instance has written or shows to operators
    std::string output(const std::string& instance) const
    {
        std::ostringstream text;
        text << std::ifstream(fleet.logFile(instance)).rdbuf() << fleet.statusJson(instance);
        for (const char* path : { "/metrics", "/explain?subject=" })
            text << call(fleet.adminAddress(instance), "GET", path)->body;
        return text.str();
    }

    /// @return lines of the log of the first instance that contain a text
    std::size_t countLines(const std::string& text) const
    {
        std::ifstream log(fleet.logFile("i0"));
        std::size_t count = 0;
        for (std::string line; std::getline(log, line);)
            count += line.find(text) != std::string::npos;
        return count;
    }

    void checkNoOutputHas(const std::string& secret) const
    {
        for (const std::string& instance : instances)
            CHECK(output(instance).find(secret) == std::string::npos);
        CHECK(heads().find(secret) == std::string::npos);
    }
};

std::string keyHeader(const std::string& key) { return "X-Api-Key: " + key + "\r\n"; }

} // namespace

// Guards against a request that runs without a valid key, and against a key that shows up anywhere.
TEST_CASE("Only one whole valid key lets a request run, and no key leaves the process")
{
    Scenario scenario(2);
    scenario.publish(tenants(quoted(KEY) + "," + quoted(SECOND)));
    const std::string longest(256, 'k');
    struct Row {
        const char* name;
        std::string target;
        std::string headers;
        int status;
        const char* workspace;
    };
    const Row rows[] = {
        { "valid", "/safe/valid", keyHeader(KEY), 200, "alder" },
        { "second key", "/safe/second", keyHeader(SECOND), 200, "alder" },
        { "other case of the header", "/safe/case", "x-API-key: " + OTHER + "\r\n", 200, "birch" },
        { "white space around the key", "/safe/around", "X-Api-Key:  " + KEY + " \t\r\n", 200, "alder" },
        { "stated workspace", "/safe/stated", keyHeader(KEY) + "Tenant: forged\r\ntenant: birch\r\n", 200, "alder" },
        { "no key", "/safe/none", "", 401, nullptr },
        { "unknown key", "/safe/unknown", keyHeader(UNKNOWN), 401, nullptr },
        { "stated workspace without key", "/safe/claim", "Tenant: alder\r\n", 401, nullptr },
        { "twice", "/safe/twice", keyHeader(KEY) + keyHeader(KEY), 401, nullptr },
        { "two keys", "/safe/two", keyHeader(KEY) + keyHeader(SECOND), 401, nullptr },
        { "list", "/safe/list", keyHeader(KEY + ", " + SECOND), 401, nullptr },
        { "empty", "/safe/empty", keyHeader(""), 401, nullptr },
        { "white space", "/safe/space", keyHeader("kEy-Of AlDeR-0001"), 401, nullptr },
        { "prefix", "/safe/prefix", keyHeader(KEY.substr(0, 9)), 401, nullptr },
        { "longest", "/safe/longest", keyHeader(longest), 401, nullptr },
        { "too long", "/safe/long", keyHeader(longest + "k"), 401, nullptr },
        { "very long", "/safe/very", keyHeader(std::string(5000, 'k')), 401, nullptr },
        { "no route", "/nowhere", "", 404, nullptr },
        { "public", "/open/none", "Tenant: forged\r\n", 200, "" },
        { "public with a valid key", "/open/valid", keyHeader(KEY) + "Tenant: forged\r\n", 200, "alder" },
        { "public with an unknown key", "/open/unknown", keyHeader(UNKNOWN), 200, "" },
        { "public with two keys", "/open/two", keyHeader(KEY) + keyHeader(SECOND), 200, "" },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        CHECK(scenario.status(row.target, row.headers) == row.status);
        const std::string heads = scenario.heads();
        const auto found = heads.find("GET " + row.target + " ");
        REQUIRE((found == std::string::npos) == (row.workspace == nullptr));
        if (!row.workspace)
            continue;
        const std::string head = heads.substr(found, heads.find("\n\n", found) - found);
        const std::string stated = std::string("\r\nTenant: ") + row.workspace;
        CHECK((head.find(stated) != std::string::npos) == (row.workspace[0] != 0));
        CHECK(head.find("enant:", head.find("enant:") + 1) == std::string::npos);
    }
    // The parser may refuse control bytes as malformed before the key is looked at.
    for (const char byte : { '\0', '\x01', '\t', '\x7f' }) {
        CAPTURE(static_cast<int>(byte));
        const int status = scenario.status("/safe/control", keyHeader(KEY.substr(0, 5) + byte + KEY.substr(5)));
        CHECK((status == 401 || status == 400));
    }
    CHECK(scenario.heads().find("/safe/control") == std::string::npos);
    CHECK(scenario.heads().find("forged") == std::string::npos);
    CHECK(scenario.countLines("workspace=\"alder\"") > 0);
    const std::string output = scenario.output("i0");
    for (const char* part : { "error=api-key-rejected", "\"workspaces\":2,\"api_keys\":3,\"api_keys_confirmed\":true,\"confirmation_age_ms\":", "cornelwind_api_keys_confirmed 1", "cornelwind_api_keys_rejected_total 1", "cornelwind_confirmation_age_seconds" })
        CHECK(output.find(part) != std::string::npos);
    for (const std::string& secret : { KEY, SECOND, OTHER, UNKNOWN, longest })
        scenario.checkNoOutputHas(secret);
}

// Guards against 401 for a key that the instance cannot know yet, and against a configuration that is accepted in part.
TEST_CASE("Without a configuration requests get 503, and an invalid one leaves the last valid one in use")
{
    Scenario scenario(1);
    scenario.start();
    CHECK(scenario.status("/safe/early", keyHeader(KEY)) == 503);
    CHECK(scenario.status("/safe/early", keyHeader(UNKNOWN)) == 503);
    scenario.fleet.instance("i0").kill();
    scenario.publish(tenants(quoted(KEY)));
    CHECK(scenario.status("/safe/valid", keyHeader(KEY)) == 200);
    int version = 2;
    const std::string invalid[] = { R"(["x"])", R"({"alder":5})", tenants("5"), tenants(quoted(OTHER)), R"({"alder":{"apiKeys":[")" + UNKNOWN + R"("],"ratePerS":-2}})" };
    for (const std::string& text : invalid) {
        CAPTURE(text);
        const auto refusals = [&] { return scenario.countLines("event=sheet-refused"); };
        const std::size_t before = refusals();
        scenario.store.change({ scenario.store.item("op/config", configuration(++version, text)) });
        REQUIRE(waitFor([&] { return refusals() > before; }));
        CHECK(scenario.status("/safe/valid", keyHeader(KEY)) == 200);
        CHECK(scenario.status("/safe/unknown", keyHeader(UNKNOWN)) == 401);
    }
    for (const std::string& secret : { KEY, OTHER, UNKNOWN })
        scenario.checkNoOutputHas(secret);
}

// Guards against a check that is made once for a connection, and against an instance that uses old keys after a freeze.
TEST_CASE("A removed key is refused on an open connection, and by an instance that was frozen meanwhile")
{
    Scenario scenario(2);
    scenario.publish(tenants(quoted(KEY) + "," + quoted(SECOND)));
    const auto address = splitAddress(scenario.fleet.callerAddress("i0"));
    const Socket socket = connectTo(address.first, address.second);
    setTimeLimit(socket, 8000);
    std::string buffered;
    const auto send = [&](const std::string& key) {
        REQUIRE(writeAll(socket, "GET /safe/open HTTP/1.1\r\nHost: test\r\nRequest-Id: 0000000000000001\r\nDeadline-Ms: 1000\r\n" + keyHeader(key) + "\r\n"));
        const auto response = readMessage(socket, buffered);
        REQUIRE(response);
        return response->status();
    };
    CHECK(send(KEY) == 200);
    CHECK(send(SECOND) == 200);
    scenario.fleet.instance("i1").signal(SIGSTOP);
    std::this_thread::sleep_for(300ms);
    scenario.store.change({ scenario.store.item("op/config", configuration(3, tenants(quoted(SECOND)))) });
    std::this_thread::sleep_for(2500ms);
    CHECK(send(KEY) == 401);
    CHECK(send(SECOND) == 200);
    std::this_thread::sleep_for(3000ms);
    scenario.fleet.instance("i1").signal(SIGCONT);
    for (int i = 0; i < 40; ++i) {
        const int status = scenario.status("/safe/frozen", keyHeader(KEY), "i1");
        CHECK((status == 503 || status == 401));
        std::this_thread::sleep_for(20ms);
    }
    REQUIRE(waitFor([&] { return scenario.status("/safe/frozen", keyHeader(SECOND), "i1") == 200; }));
    CHECK(scenario.status("/safe/frozen", keyHeader(KEY), "i1") == 401);
    for (const std::string& secret : { KEY, SECOND })
        scenario.checkNoOutputHas(secret);
}

// Guards against a key in the messages between instances: in the sheet, and in requests that go to the owner of their idempotency key.
TEST_CASE("Instances send each other the sheet and requests without API keys")
{
    Fleet fleet;
    fleet.addServer({ "s0", "orders" });
    fleet.addInstance("a");
    fleet.addInstance("b");
    fleet.disconnectFromPlatform("a");
    const std::string relays[] = { fleet.addPeerRelay("a", "b"), fleet.addPeerRelay("b", "a") };
    fleet.addSeed("a", fleet.peerAddress("b"));
    fleet.publishSheet(fleet.sheet(1) + "[[workspace]]\nname = \"alder\"\nkeys = [\"" + KEY + "\"]\n");
    fleet.publishInstances();
    fleet.startAll();
    for (const char* name : { "a", "b" })
        REQUIRE(fleet.waitForReady(name));
    const std::string idempotencyKey = fleet.fetchIdempotencyKey("a");
    std::map<std::string, std::string> headers { { "Idempotency-Key", idempotencyKey }, { "Cornelwind-Api-Key", UNKNOWN }, { "Cornelwind-Workspace", "forged" } };
    CHECK(call(fleet.callerAddress("b"), "POST", "/orders", headers, "order-1")->status() == 401);
    headers["Cornelwind-Api-Key"] = KEY;
    const auto response = call(fleet.callerAddress("b"), "POST", "/orders", headers, "order-1");
    REQUIRE(response);
    CHECK(response->status() == 200);
    CHECK(call(fleet.callerAddress("a"), "GET", "/orders", { { "Cornelwind-Api-Key", KEY } })->status() == 200);
    const std::string heads = call(fleet.serverAddress("s0"), "GET", "/standin/heads")->body;
    CHECK(heads.find("POST /orders ") != std::string::npos);
    CHECK(heads.find("Cornelwind-Workspace: alder") != std::string::npos);
    CHECK(heads.find(KEY) == std::string::npos);
    CHECK(heads.find("forged") == std::string::npos);
    std::string messages;
    for (const std::string& relay : relays)
        messages += call(relay, "GET", "/record")->body;
    CHECK(messages.find("order-1") != std::string::npos);
    CHECK(messages.find("sha256:") != std::string::npos);
    CHECK(messages.find(KEY) == std::string::npos);
    CHECK(messages.find(UNKNOWN) == std::string::npos);
}

// Guards against an instance that goes on with keys that nobody confirms.
TEST_CASE("Instances that lose the store stop accepting keys, and serve again with its first answer")
{
    Scenario scenario(2);
    scenario.publish(tenants(quoted(KEY)));
    scenario.fleet.controlPlatform("down");
    std::this_thread::sleep_for(2000ms);
    CHECK(scenario.status("/safe/outage", keyHeader(KEY)) == 200);
    std::this_thread::sleep_for(3500ms);
    for (const std::string& instance : scenario.instances) {
        const auto refused = call(scenario.fleet.callerAddress(instance), "GET", "/safe/outage", { { "Request-Id", "0000000000000002" }, { "X-Api-Key", KEY } });
        REQUIRE(refused);
        CHECK(refused->status() == 503);
        CHECK_FALSE(refused->header("retry-after").empty());
        CHECK(scenario.status("/open/outage", keyHeader(KEY), instance) == 200);
        CHECK(scenario.fleet.statusJson(instance).find("\"ready\":false") != std::string::npos);
    }
    scenario.fleet.controlPlatform("ok");
    for (const std::string& instance : scenario.instances)
        REQUIRE(waitFor([&] { return scenario.status("/safe/outage", keyHeader(KEY), instance) == 200; }));
    // Requests are accepted at once; the decision is logged with the next tick.
    REQUIRE(waitFor([&] { return scenario.countLines("event=api-keys-confirmed") >= 2; }));
    CHECK(scenario.countLines("event=api-keys-confirmed") == 2);
    CHECK(scenario.output("i0").find("cornelwind_api_keys_unconfirmed_total 0") == std::string::npos);
    scenario.checkNoOutputHas(KEY);
}
