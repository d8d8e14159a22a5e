// Backend servers that are published apart from the sheet, through calm times and outages.
#include "catalogue.h"

#include "peer.pb.h"

#include <catch2/catch.hpp>

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

/// A catalogue with a clock.
class Driver {
public:
    void publish(std::vector<ServerChange> changes, std::uint64_t revision, bool complete = false)
    {
        Context context(m_now, 1, m_effects);
        m_catalogue.onPublished({ std::move(changes), StoreRevision { revision }, complete }, context);
    }

    void put(const std::string& name, std::uint64_t revision, bool leaving = false) { publish({ { ServerName { name }, makeServer(name, leaving), StoreRevision { revision } } }, revision); }
    void remove(const std::string& name, std::uint64_t revision) { publish({ { ServerName { name }, {}, StoreRevision { revision } } }, revision); }

    void lose()
    {
        Context context(m_now, 1, m_effects);
        m_catalogue.onLost(context);
    }

    void reach()
    {
        Context context(m_now, 1, m_effects);
        m_catalogue.onReached(context);
    }

    void pass(int millis)
    {
        for (int done = 0; done < millis; done += 10) {
            m_now += std::chrono::milliseconds(10);
            Context context(m_now, 1, m_effects);
            m_catalogue.onTick(context);
        }
    }

    std::set<std::string> inUse() const
    {
        Sheet sheet;
        SheetService service;
        service.name = ServiceName { "s" };
        sheet.services.push_back(service);
        std::set<std::string> names;
        const Sheet filled = m_catalogue.fill(sheet);
        for (const SheetServer& server : filled.services[0].servers)
            names.insert(server.name.value());
        return names;
    }

    Catalogue& catalogue() { return m_catalogue; }
    Time now() const { return m_now; }

private:
    Catalogue m_catalogue;
    EffectList m_effects;
    Time m_now { std::chrono::seconds(100) };
};

using Names = std::set<std::string>;

} // namespace

TEST_CASE("In calm times a removed or leaving server takes no work at once")
{
    Driver driver;
    driver.put("a", 1);
    driver.put("b", 2);
    driver.put("c", 3);
    driver.put("b", 4, true);
    CHECK(driver.inUse() == Names { "a", "c" });
    driver.remove("c", 5);
    CHECK(driver.inUse() == Names { "a" });
}

TEST_CASE("An entry that cannot be read removes that server and no other")
{
    Driver driver;
    driver.put("a", 1);
    driver.put("b", 2);
    driver.publish({ { ServerName { "a" }, {}, StoreRevision { 3 } }, { ServerName { "ghost" }, {}, StoreRevision { 3 } } }, 3);
    CHECK(driver.inUse() == Names { "b" });
}

TEST_CASE("Entries that lapse around an outage stay in use until they could be back")
{
    struct Row {
        const char* name;
        int reachedAfterMs;
        bool returns;
        Names atOnce;
        Names later;
    };
    const Row rows[] = {
        { "returns in time", 1500, true, { "a", "b" }, { "a", "b" } },
        { "does not return", 1500, false, { "a", "b" }, { "b" } },
        { "after a long outage", 20000, false, { "a", "b" }, { "b" } },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        Driver driver;
        driver.put("a", 1);
        driver.put("b", 2);
        driver.lose();
        driver.pass(row.reachedAfterMs);
        CHECK(driver.inUse() == Names { "a", "b" });
        driver.reach();
        driver.remove("a", 3);
        CHECK(driver.inUse() == row.atOnce);
        driver.pass(1000);
        if (row.returns)
            driver.put("a", 4);
        driver.pass(1300);
        CHECK(driver.inUse() == row.later);
    }
}

TEST_CASE("A server that says it is leaving is not kept by an outage")
{
    Driver driver;
    driver.put("a", 1);
    driver.lose();
    driver.reach();
    driver.put("a", 2, true);
    driver.remove("a", 3);
    CHECK(driver.inUse().empty());
}

TEST_CASE("A whole list drops what it does not name")
{
    Driver driver;
    driver.put("a", 1);
    driver.put("b", 2);
    driver.publish({ { ServerName { "b" }, makeServer("b"), StoreRevision { 2 } } }, 9, true);
    CHECK(driver.inUse() == Names { "b" });
    CHECK(driver.catalogue().revision() == StoreRevision { 9 });
}

TEST_CASE("A peer's list counts only if it is newer")
{
    Driver source;
    source.put("a", 5);
    source.put("b", 7);
    peer::ServersReply reply;
    source.catalogue().write(reply);

    Driver behind;
    behind.put("c", 3);
    EffectList effects;
    Context context(Time { std::chrono::seconds(1) }, 1, effects);
    CHECK(behind.catalogue().onPeerList(reply, context));
    CHECK(behind.inUse() == Names { "a", "b" });

    Driver ahead;
    ahead.put("c", 8);
    CHECK_FALSE(ahead.catalogue().onPeerList(reply, context));
    CHECK(ahead.inUse() == Names { "c" });
}

// hunt-679e-7 of suaje-gw: a request reached a server 2.3 s after its entry was removed, from an instance
// that the store turned away and that took the removal in its members' list for a lapse.
TEST_CASE("What members say was removed takes no work, also where the platform turns this instance away")
{
    Driver source;
    source.put("a", 5);
    source.put("b", 7);
    source.remove("a", 8);
    peer::ServersReply list;
    source.catalogue().write(list);
    peer::ServersNews news;
    news.set_since(7);
    news.set_revision(8);
    news.add_removed("a");

    struct Row {
        const char* name;
        bool byNews;
        bool reachedAgain;
    };
    const Row rows[] = { { "list", false, false }, { "news", true, false }, { "list after an outage", false, true }, { "news after an outage", true, true } };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        Driver driver;
        driver.put("a", 5);
        driver.put("b", 7);
        driver.lose();
        driver.pass(500);
        if (row.reachedAgain)
            driver.reach();
        EffectList effects;
        Context context(driver.now(), 1, effects);
        if (row.byNews)
            driver.catalogue().onNews(news, context);
        else
            driver.catalogue().onPeerList(list, context);
        CHECK(driver.inUse() == Names { "b" });
    }
}

// hunt-679e-7 of suaje-gw: an instance that was turned away for 9 s read old changes on its return and told its zone.
TEST_CASE("A watch that resumes from an old revision does not bring back what was removed since")
{
    Driver source;
    source.put("b", 7);
    source.put("c", 8);
    peer::ServersReply list;
    source.catalogue().write(list);

    Driver driver;
    driver.put("b", 3);
    driver.lose();
    EffectList effects;
    Context context(driver.now(), 1, effects);
    driver.catalogue().onPeerList(list, context);
    driver.reach();
    driver.put("a", 5);
    driver.put("b", 6, true);
    CHECK(driver.inUse() == Names { "b", "c" });
    driver.put("a", 9);
    CHECK(driver.inUse() == Names { "a", "b", "c" });
}

TEST_CASE("Servers of a service that no route names are not listed for another")
{
    Driver driver;
    driver.publish({ { ServerName { "x" }, makeServer("x", false, "other") } }, 1);
    CHECK(driver.inUse().empty());
}
