// Tests of the report of idle servers and of the share of lost requests that bounds the wait for trials.
#include "context.h"
#include "cornelwind/server_pool.h"
#include "idle_report.h"
#include "loss_table.h"
#include "member_table.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace std::chrono_literals;

namespace {

const Time START { 100s };
constexpr int SERVERS = 4;

Sheet makeSheet()
{
    Sheet sheet;
    SheetService service;
    service.name = ServiceName { "orders" };
    service.placement = Placement::ExpectedCost;
    for (int i = 0; i < SERVERS; ++i) {
        SheetServer server;
        server.name = ServerName { "s" + std::to_string(i) };
        server.zone = ZoneName { "a" };
        server.slots = Slots { 2 };
        service.servers.push_back(server);
    }
    sheet.services.push_back(service);
    return sheet;
}

/// A pool whose last server has just been used, and the reports about it.
struct Reported {
    Reported()
        : pool(makeSlotShareSelector(), ZoneName { "a" })
        , members(InstanceName { "i" }, ZoneName { "a" }, {})
        , report(pool, members)
    {
        pool.applySheet(makeSheet(), START);
        pool.setPosition({ 0, 1, 0, 1 });
    }

    Server& server(int index) { return *pool.servers(0)[static_cast<std::size_t>(index)]; }

    /// @return the evidence of the decision reported at `at`; empty if there is none
    std::string tick(Time at)
    {
        EffectList effects;
        Context context(at, 1, effects);
        report.onTick(context);
        REQUIRE(effects.size() <= 1);
        return effects.empty() ? "" : std::get<ReportDecision>(effects[0]).decision.evidence;
    }

    ServerPool pool;
    MemberTable members;
    IdleReport report;
};

} // namespace

TEST_CASE("An idle server is reported with the reason why it gets no requests")
{
    const Time now = START + 10s;
    struct Row {
        const char* reason;
        std::function<void(Reported&, Server&)> prepare;
    };
    const Row rows[] = {
        { "not-serving", [](Reported&, Server& server) { server.avoided = true; } },
        { "shedding", [&](Reported&, Server& server) { server.busyUntil = now + 1s; } },
        { "on-hold", [&](Reported& reported, Server& server) { reported.pool.beliefs().observe(server.id, Observation::Failure, now, now); } },
        { "not-its-turn", [&](Reported& reported, Server& server) {
             reported.pool.setPosition({ static_cast<std::uint32_t>(4 - server.id.value() % 5), 5, static_cast<std::uint32_t>(4 - server.id.value() % 5), 5 });
             reported.pool.beliefs().observe(server.id, Observation::Failure, now - 600ms, now - 600ms);
         } },
        { "probably-unhealthy", [&](Reported& reported, Server& server) { reported.pool.beliefs().observe(server.id, Observation::Failure, now - 1s, now - 1s); } },
        { "no-trial-budget", [&](Reported& reported, Server& server) {
             reported.pool.beliefs().observe(server.id, Observation::Failure, START, START);
             PickContext pick;
             pick.now = now;
             pick.trialAllowed = true;
             pick.trialBudgeted = false;
             CHECK(reported.pool.pick(0, pick) != &server);
         } },
        { "no-request", [](Reported&, Server&) {} },
    };
    for (const Row& row : rows) {
        CAPTURE(row.reason);
        Reported reported;
        for (int i = 1; i < SERVERS; ++i)
            reported.server(i).lastSentAt = now;
        row.prepare(reported, reported.server(0));
        const std::string evidence = reported.tick(now);
        CAPTURE(evidence);
        CHECK(evidence.find("1 of 4 servers of the zone: " + std::string(row.reason) + " 1; s0 ") == 0);
    }
}

TEST_CASE("Idle servers are reported at most every two seconds, and only while others of the service are used")
{
    Reported reported;
    CHECK(reported.tick(START + 5s).empty());
    int reports = 0;
    for (Time at = START + 10s; at < START + 20s; at += 10ms) {
        reported.server(0).lastSentAt = at;
        const std::string evidence = reported.tick(at);
        reports += !evidence.empty();
        CHECK(evidence.size() < 200);
    }
    CHECK(reports == 5);
}

TEST_CASE("The share of lost requests is high if more than a tenth of the recent ones were lost")
{
    const ServiceId service { 1 };
    struct Row {
        const char* name;
        std::uint32_t served;
        std::uint32_t lost;
        Duration later;
        bool high;
    };
    const Row rows[] = {
        { "a tenth", 90, 10, 0s, false },
        { "more than a tenth", 89, 11, 0s, true },
        { "one of a few", 5, 4, 0s, false },
        { "a second later", 89, 11, 1500ms, true },
        { "two seconds later", 89, 11, 2s, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        LossTable table;
        table.recordPeer({ service, row.served, row.lost }, START);
        CHECK(table.isHigh(service, START + row.later) == row.high);
        CHECK_FALSE(table.isHigh(ServiceId { 2 }, START + row.later));
    }
}

TEST_CASE("The counts of a request are sent to peers once")
{
    LossTable table;
    table.recordOwn(ServiceId { 1 }, true, START);
    table.recordOwn(ServiceId { 1 }, false, START);
    table.recordPeer({ ServiceId { 1 }, 7, 7 }, START);
    const auto counts = table.takeUnsent();
    REQUIRE(counts.size() == 1);
    CHECK(counts[0].served == 1);
    CHECK(counts[0].lost == 1);
    CHECK(table.takeUnsent().empty());
}
