// Tests of the registry of published backend servers without, during and after an outage of the platform.
#include "server_registry.h"

#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

PublishedServer makeServer(const std::string& name, bool leaving = false, const std::string& service = "s")
{
    PublishedServer server;
    server.name = ServerName { name };
    server.service = ServiceName { service };
    server.address = { "10.0.0.1", 80 };
    server.zone = ZoneName { "a" };
    server.slots = Slots { 4 };
    server.leaving = leaving;
    return server;
}

/// A server registry with a simulated clock.
class ServerRegistryFixture {
public:
    void publish(std::vector<ServerChange> changes, std::uint64_t revision, bool complete = false)
    {
        Context context(m_now, 1, m_effects);
        m_serverRegistry.onPublished({ std::move(changes), StorePosition { {}, StoreRevision { revision } }, complete }, context);
    }

    void upsert(const std::string& name, std::uint64_t revision, bool leaving = false) { publish({ { ServerName { name }, makeServer(name, leaving), StorePosition { {}, StoreRevision { revision } } } }, revision); }
    void remove(const std::string& name, std::uint64_t revision) { publish({ { ServerName { name }, {}, StorePosition { {}, StoreRevision { revision } } } }, revision); }

    void disconnect()
    {
        Context context(m_now, 1, m_effects);
        m_serverRegistry.onPlatformUnreachable(context);
    }

    void reconnect()
    {
        Context context(m_now, 1, m_effects);
        m_serverRegistry.onPlatformReachable(context);
    }

    void advance(int millis)
    {
        for (int done = 0; done < millis; done += 10) {
            m_now += std::chrono::milliseconds(10);
            Context context(m_now, 1, m_effects);
            m_serverRegistry.onTick(context);
        }
    }

    std::set<std::string> inUse() const
    {
        Sheet sheet;
        SheetService service;
        service.name = ServiceName { "s" };
        sheet.services.push_back(service);
        std::set<std::string> names;
        const Sheet filled = m_serverRegistry.withServers(sheet);
        for (const SheetServer& server : filled.services[0].servers)
            names.insert(server.name.value());
        return names;
    }

    ServerRegistry& registry() { return m_serverRegistry; }
    Time now() const { return m_now; }

private:
    ServerRegistry m_serverRegistry;
    EffectList m_effects;
    Time m_now { std::chrono::seconds(100) };
};

using Names = std::set<std::string>;

} // namespace

TEST_CASE("Without an outage a removed or leaving server is out of use at once")
{
    ServerRegistryFixture fixture;
    fixture.upsert("a", 1);
    fixture.upsert("b", 2);
    fixture.upsert("c", 3);
    fixture.upsert("b", 4, true);
    CHECK(fixture.inUse() == Names { "a", "c" });
    fixture.remove("c", 5);
    CHECK(fixture.inUse() == Names { "a" });
}

TEST_CASE("An entry that cannot be parsed removes that server and no other")
{
    ServerRegistryFixture fixture;
    fixture.upsert("a", 1);
    fixture.upsert("b", 2);
    fixture.publish({ { ServerName { "a" }, {}, StorePosition { {}, StoreRevision { 3 } } }, { ServerName { "ghost" }, {}, StorePosition { {}, StoreRevision { 3 } } } }, 3);
    CHECK(fixture.inUse() == Names { "b" });
}

TEST_CASE("Servers whose entries expire in an outage stay in use until the grace time after it ends")
{
    struct Row {
        const char* name;
        int outageMs;
        bool restored;
        Names atOnce;
        Names later;
    };
    const Row rows[] = {
        { "entry returns within the grace time", 1500, true, { "a", "b" }, { "a", "b" } },
        { "entry does not return", 1500, false, { "a", "b" }, { "b" } },
        { "entry does not return after a long outage", 20000, false, { "a", "b" }, { "b" } },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        ServerRegistryFixture fixture;
        fixture.upsert("a", 1);
        fixture.upsert("b", 2);
        fixture.disconnect();
        fixture.advance(row.outageMs);
        CHECK(fixture.inUse() == Names { "a", "b" });
        fixture.reconnect();
        fixture.remove("a", 3);
        CHECK(fixture.inUse() == row.atOnce);
        fixture.advance(1000);
        if (row.restored)
            fixture.upsert("a", 4);
        fixture.advance(1300);
        CHECK(fixture.inUse() == row.later);
    }
}

TEST_CASE("A leaving server is removed at once, even shortly after an outage")
{
    ServerRegistryFixture fixture;
    fixture.upsert("a", 1);
    fixture.disconnect();
    fixture.reconnect();
    fixture.upsert("a", 2, true);
    fixture.remove("a", 3);
    CHECK(fixture.inUse().empty());
}

TEST_CASE("A complete list removes the servers it does not contain")
{
    ServerRegistryFixture fixture;
    fixture.upsert("a", 1);
    fixture.upsert("b", 2);
    fixture.publish({ { ServerName { "b" }, makeServer("b"), StorePosition { {}, StoreRevision { 2 } } } }, 9, true);
    CHECK(fixture.inUse() == Names { "b" });
    CHECK(fixture.registry().position() == StorePosition { {}, StoreRevision { 9 } });
}

TEST_CASE("The list of a member is adopted only if its revision is higher")
{
    ServerRegistryFixture source;
    source.upsert("a", 5);
    source.upsert("b", 7);
    peer::ServersReply reply;
    source.registry().write(reply, source.now());

    ServerRegistryFixture behind;
    behind.upsert("c", 3);
    EffectList effects;
    Context context(Time { std::chrono::seconds(1) }, 1, effects);
    CHECK(behind.registry().onPeerList(reply, context));
    CHECK(behind.inUse() == Names { "a", "b" });

    ServerRegistryFixture ahead;
    ahead.upsert("c", 8);
    CHECK_FALSE(ahead.registry().onPeerList(reply, context));
    CHECK(ahead.inUse() == Names { "c" });
}

// Guards against requests to a removed server: an instance that the platform rejected read the removal in a
// member's list as an expired entry, and still sent a request 2.3 s after the removal.
TEST_CASE("A removal reported by a member takes effect at once, also while the platform is unreachable")
{
    ServerRegistryFixture source;
    source.upsert("a", 5);
    source.upsert("b", 7);
    source.remove("a", 8);
    peer::ServersReply list;
    source.registry().write(list, source.now());
    peer::ServersNews update;
    update.set_since(7);
    update.set_revision(8);
    update.add_removed("a");

    struct Row {
        const char* name;
        bool byUpdate;
        bool reachableAgain;
    };
    const Row rows[] = { { "full list from a peer", false, false }, { "update from a peer", true, false }, { "full list from a peer after an outage", false, true }, { "update from a peer after an outage", true, true } };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        ServerRegistryFixture fixture;
        fixture.upsert("a", 5);
        fixture.upsert("b", 7);
        fixture.disconnect();
        fixture.advance(500);
        if (row.reachableAgain)
            fixture.reconnect();
        EffectList effects;
        Context context(fixture.now(), 1, effects);
        if (row.byUpdate)
            fixture.registry().onPeerUpdate(update, context);
        else
            fixture.registry().onPeerList(list, context);
        CHECK(fixture.inUse() == Names { "b" });
    }
}

// Guards against removed servers that come back: an instance that the platform rejected for 9 s resumed its watch
// at an old revision, applied the old changes and sent them to its availability zone.
TEST_CASE("A watch that resumes at an old revision does not restore servers removed since")
{
    ServerRegistryFixture source;
    source.upsert("b", 7);
    source.upsert("c", 8);
    peer::ServersReply list;
    source.registry().write(list, source.now());

    ServerRegistryFixture fixture;
    fixture.upsert("b", 3);
    fixture.disconnect();
    EffectList effects;
    Context context(fixture.now(), 1, effects);
    fixture.registry().onPeerList(list, context);
    fixture.reconnect();
    fixture.upsert("a", 5);
    fixture.upsert("b", 6, true);
    CHECK(fixture.inUse() == Names { "b", "c" });
    fixture.upsert("a", 9);
    CHECK(fixture.inUse() == Names { "a", "b", "c" });
}

TEST_CASE("A server of an unknown service is not used for another service")
{
    ServerRegistryFixture fixture;
    fixture.publish({ { ServerName { "x" }, makeServer("x", false, "other") } }, 1);
    CHECK(fixture.inUse().empty());
}

// Guards against DRAIN: a removed server got requests again, because an older entry of another member put it back.
TEST_CASE("An older entry of a member does not put a removed server back")
{
    ServerRegistryFixture behind;
    behind.upsert("a", 5);
    const auto oldNews = behind.registry().takePendingUpdate(behind.now());
    peer::ServersReply oldList;
    behind.registry().write(oldList, behind.now());

    for (const bool byList : { false, true }) {
        CAPTURE(byList);
        ServerRegistryFixture fixture;
        fixture.publish({}, 4, true);
        fixture.upsert("a", 5);
        // Later than what the member claims to have seen, but the entry in its message is older.
        fixture.remove("a", 6);
        oldList.set_revision(9);
        EffectList effects;
        Context context(fixture.now(), 1, effects);
        if (byList)
            fixture.registry().onPeerList(oldList, context);
        else
            fixture.registry().onPeerUpdate(oldNews->servers_news(), context);
        CHECK(fixture.inUse().empty());
    }
}

TEST_CASE("A malformed entry in a message of a member names no server, and the others hold")
{
    struct Row {
        const char* name;
        void (*spoil)(peer::ServerEntry& entry);
    };
    const Row rows[] = {
        { "no address", [](peer::ServerEntry& entry) { entry.clear_address(); } },
        { "port 0", [](peer::ServerEntry& entry) { entry.set_address("10.0.0.1:0"); } },
        { "port 65536", [](peer::ServerEntry& entry) { entry.set_address("10.0.0.1:65536"); } },
        { "address in words", [](peer::ServerEntry& entry) { entry.set_address("somewhere:80"); } },
        { "no slots", [](peer::ServerEntry& entry) { entry.set_slots(0); } },
        { "slots too large", [](peer::ServerEntry& entry) { entry.set_slots(2000000000); } },
        { "warm-up too long", [](peer::ServerEntry& entry) { entry.set_warmup_ms(4294967295U); } },
        { "no service", [](peer::ServerEntry& entry) { entry.clear_service(); } },
        { "long name", [](peer::ServerEntry& entry) { entry.set_name(std::string(10000, 'x')); } },
        { "no name", [](peer::ServerEntry& entry) { entry.clear_name(); } },
        { "name with an ampersand", [](peer::ServerEntry& entry) { entry.set_name("a&x"); } },
        { "name with a plus sign", [](peer::ServerEntry& entry) { entry.set_name("a+x"); } },
        { "name with a number sign", [](peer::ServerEntry& entry) { entry.set_name("a#x"); } },
        { "name with a percent sign", [](peer::ServerEntry& entry) { entry.set_name("a%41"); } },
        { "name with a space", [](peer::ServerEntry& entry) { entry.set_name("a x"); } },
        { "name with a slash", [](peer::ServerEntry& entry) { entry.set_name("a/x"); } },
        { "name beyond ASCII", [](peer::ServerEntry& entry) { entry.set_name("a\xc3\xa9"); } },
    };
    for (const Row& row : rows) {
        for (const bool byList : { false, true }) {
            CAPTURE(row.name, byList);
            ServerRegistryFixture source;
            source.upsert("a", 5);
            source.upsert("b", 6);
            peer::ServersReply list;
            source.registry().write(list, source.now());
            auto news = *source.registry().takePendingUpdate(source.now())->mutable_servers_news();
            row.spoil(*list.mutable_servers(0));
            row.spoil(*news.mutable_changed(0));

            ServerRegistryFixture fixture;
            fixture.publish({}, 1, true);
            EffectList effects;
            Context context(fixture.now(), 1, effects);
            if (byList)
                fixture.registry().onPeerList(list, context);
            else
                fixture.registry().onPeerUpdate(news, context);
            CHECK(fixture.inUse() == Names { "b" });
            CHECK_FALSE(effects.empty());
        }
    }
}

TEST_CASE("The slots of an entry count up to the connections of its service, and their sum does not overflow")
{
    ServerRegistryFixture fixture;
    Sheet sheet;
    sheet.services.emplace_back();
    sheet.services[0].name = ServiceName { "s" };
    sheet.services[0].connections = std::numeric_limits<std::uint32_t>::max();
    PublishedServer server = makeServer("big");
    server.slots = MAX_SLOTS;
    std::vector<ServerChange> changes;
    for (std::uint64_t i = 1; i <= 70000; ++i) {
        server.name = ServerName { "big-" + std::to_string(i) };
        changes.push_back({ server.name, server, StorePosition { {}, StoreRevision { i } } });
    }
    fixture.publish(std::move(changes), 70000, true);
    CHECK(fixture.registry().withServers(sheet).services[0].floorSlots == Slots { std::numeric_limits<std::uint32_t>::max() });
    sheet.services[0].connections = 330;
    CHECK(fixture.registry().withServers(sheet).services[0].servers.front().slots == Slots { 330 });
}
