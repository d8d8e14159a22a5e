// Tests of the quotas of workspaces: by one entry instance, and by a fleet in simulated time.
#include "support/quota_fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

using namespace cornelwind;
using namespace std::chrono_literals;
using namespace cornelwind::test;

namespace {

// CORNELWIND_SEEDS=N plays each day with the seeds 1 to N.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 2;
    const char* count = std::getenv("CORNELWIND_SEEDS");
    return count ? std::strtoull(count, nullptr, 10) : defaultCount;
}

struct Row {
    QuotaDay day;
    /// Largest share of the requests that may be refused below the quota.
    double maxWronglyRefused;
};

// CORNELWIND_REPORT=1 prints one line for each day.
void print(const QuotaDay& day, std::uint64_t seed, const QuotaReport& report)
{
    if (!std::getenv("CORNELWIND_REPORT"))
        return;
    std::printf("%-60s seed=%llu requests=%zu served=%zu refused=%zu wrong=%.4f others=%zu use=%.3f over=%.0f delay99=%.2f messages=%.2f takeovers=%zu lines=%zu\n",
        day.name, static_cast<unsigned long long>(seed), report.requests, report.served, report.refused,
        static_cast<double>(report.wronglyRefused) / static_cast<double>(report.requests), report.others, report.highestUse, report.overBound,
        report.delay99, report.messages, report.takeovers, report.logLines);
}

QuotaReport play(const Row& row, std::uint64_t seed)
{
    const QuotaReport report = playQuotaDay(row.day, seed);
    print(row.day, seed, report);
    INFO(row.day.name << ", seed " << seed << ": requests " << report.requests << ", served " << report.served << ", refused " << report.refused
                      << ", wrongly " << report.wronglyRefused << ", others " << report.others << ", highest use " << report.highestUse);
    CHECK(report.overBound <= 0);
    CHECK(report.logLines <= 20 * row.day.instances);
    CHECK(report.served + report.refused + report.others > 0);
    CHECK(static_cast<double>(report.wronglyRefused) <= row.maxWronglyRefused * static_cast<double>(report.requests));
    return report;
}

/// One entry instance before one server, with a workspace of 10 requests a second and a burst of 2.
class Driver {
public:
    explicit Driver(RequestKind kind = RequestKind::AtMostOnce)
        : m_reducer(Reducer::Builder()
                        .settings(makeSettings())
                        .incarnation(Incarnation { 7 })
                        .start(m_now)
                        .sheetReader([kind](std::string_view, Reasons&) { return makeSheet(kind); })
                        .build())
    {
        apply(InstancesListed {});
        apply(SheetFetched { "sheet" });
        advance(5000ms);
    }

    void apply(EventBody body)
    {
        EffectList effects;
        m_reducer.apply({ m_now, ++m_random * 0x9e3779b97f4a7c15, std::move(body) }, effects);
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<SendTry>(&effect))
                sends.push_back(*send);
            if (const auto* refuse = std::get_if<Refuse>(&effect))
                refusals.push_back(*refuse);
            stopped = stopped || std::holds_alternative<Stopped>(effect);
        }
    }

    void advance(Duration time)
    {
        for (Duration done {}; done < time; done += 10ms) {
            m_now += 10ms;
            apply(Tick {});
        }
    }

    RequestId request(const char* target = "/order", std::optional<Millis> remaining = {})
    {
        const RequestId id { ++m_lastRequest };
        apply(HeadReceived { id, "POST", target, {}, remaining, false, {}, {}, "key" });
        apply(BodyReceived { id, Fingerprint { id.value() } });
        return id;
    }

    void requests(int count)
    {
        for (int i = 0; i < count; ++i)
            request();
    }

    void finish(TryId id, TryResult result)
    {
        const bool hasResponse = result == TryResult::Answered || result == TryResult::Shed;
        apply(TryFinished { id, result, hasResponse ? std::make_shared<Response>(Response { 200, {}, "x" }) : nullptr, {} });
    }

    Counters counters() const { return m_reducer.counters(); }

    std::vector<SendTry> sends;
    std::vector<Refuse> refusals;
    bool stopped = false;

private:
    static Settings makeSettings()
    {
        Settings settings;
        settings.name = InstanceName { "a" };
        settings.zone = ZoneName { "z" };
        settings.peers = { "10.1.0.1", 9000 };
        settings.stopNotice = 100ms;
        settings.shutdownTimeout = 1000ms;
        return settings;
    }

    static Sheet makeSheet(RequestKind kind)
    {
        Sheet sheet;
        sheet.version = SheetVersion { 1 };
        SheetService service;
        service.name = ServiceName { "orders" };
        service.placement = Placement::ExpectedCost;
        for (const char* name : { "s0", "s1" })
            service.servers.push_back({ ServerName { name }, { "10.2.0.1", 80 }, ZoneName { "z" }, Slots { 50 }, 1000, 0, {} });
        sheet.services.push_back(std::move(service));
        SheetRule rule;
        rule.name = "order";
        rule.path = "/order";
        rule.kind = kind;
        rule.key = KeyMode::None;
        rule.tries = kind == RequestKind::Idempotent ? 2 : 1;
        sheet.rules.push_back(rule);
        rule.name = rule.path = "/public";
        rule.isPublic = true;
        sheet.rules.push_back(rule);
        WorkspaceDirectory::Builder builder;
        builder.addWorkspace({ WorkspaceName { "w" }, {}, WorkspaceQuota { 10, 2 } });
        builder.addKey("key");
        sheet.workspaces = std::make_shared<const WorkspaceDirectory>(builder.build());
        return sheet;
    }

    Time m_now { 100s };
    std::uint64_t m_random = 0;
    std::uint64_t m_lastRequest = 0;
    Reducer m_reducer;
};

} // namespace

TEST_CASE("A request beyond the quota waits for the next token or is refused as not run with a time")
{
    Driver driver;
    driver.requests(4);
    CHECK(driver.sends.size() == 2);
    REQUIRE(driver.refusals.size() == 1);
    CHECK(driver.refusals[0].error == ErrorKind::QuotaExceeded);
    CHECK(driver.refusals[0].outcome == Outcome::NotRun);
    REQUIRE(driver.refusals[0].retryAfter);
    CHECK(*driver.refusals[0].retryAfter >= 100ms);
    CHECK(*driver.refusals[0].retryAfter <= 300ms);
    driver.advance(110ms);
    CHECK(driver.sends.size() == 3);
    CHECK(driver.counters().quotaTokens == 3);
    CHECK(driver.counters().quotaWaits == 1);
    CHECK(driver.counters().quotaRefusals == 1);
}

TEST_CASE("Requests of a public rule take no token")
{
    Driver driver;
    for (int i = 0; i < 9; ++i)
        driver.request("/public");
    CHECK(driver.sends.size() == 9);
    CHECK(driver.counters().quotaTokens == 0);
}

TEST_CASE("A request that ends while it waits gives its token to the next one")
{
    enum class End { Disconnect,
        Deadline };
    const auto end = GENERATE(End::Disconnect, End::Deadline);
    Driver driver;
    driver.requests(2);
    const RequestId waiting = driver.request("/order", 50ms);
    if (end == End::Disconnect)
        driver.apply(CallerDisconnected { waiting });
    driver.advance(60ms);
    CHECK(driver.sends.size() == 2);
    // A caller that has disconnected gets no response.
    REQUIRE(driver.refusals.size() == (end == End::Deadline ? 1 : 0));
    for (const Refuse& refusal : driver.refusals) {
        CHECK(refusal.error == ErrorKind::DeadlinePassed);
        CHECK(refusal.outcome == Outcome::NotRun);
    }
    driver.request();
    driver.advance(60ms);
    CHECK(driver.sends.size() == 3);
}

TEST_CASE("A request that reaches no server gives its token back, and retries of one request use one token")
{
    const auto [result, sent] = GENERATE(table<TryResult, std::size_t>({ { TryResult::NotSent, 1 }, { TryResult::Shed, 0 }, { TryResult::Crashed, 0 } }));
    Driver driver(RequestKind::Idempotent);
    driver.requests(2);
    for (int i = 0; i < 2; ++i) {
        const auto sends = std::exchange(driver.sends, {});
        for (const SendTry& send : sends)
            driver.finish(send.id, result);
    }
    CHECK(driver.sends.empty());
    driver.sends.clear();
    driver.request();
    CHECK(driver.sends.size() == sent);
}

TEST_CASE("A planned stop serves the requests that wait for a token, and its end refuses them")
{
    Driver driver;
    driver.requests(3);
    driver.apply(StopRequested {});
    driver.advance(200ms);
    CHECK(driver.sends.size() == 3);
    CHECK_FALSE(driver.stopped);
    for (const SendTry& send : std::exchange(driver.sends, {}))
        driver.finish(send.id, TryResult::Answered);
    driver.advance(50ms);
    CHECK(driver.stopped);
    CHECK(driver.refusals.empty());
}

TEST_CASE("A quota is kept and used, however the callers are spread")
{
    using enum QuotaSpread;
    const Row rows[] = {
        { { "even, 13 instances, below" }, 0 },
        { { "even, 53 instances, below", 53 }, 0 },
        { { "one instance, below", 13, { 200, 100 }, 0.6, One }, 0 },
        { { "moving, below", 13, { 200, 100 }, 0.6, Moving }, 0 },
        { { "even, 53 instances, over", 53, { 200, 100 }, 2.5 }, 0.02 },
        { { "one instance, over", 13, { 200, 100 }, 2.5, One }, 0.02 },
        { { "moving, over", 53, { 200, 100 }, 2.5, Moving }, 0.02 },
        { { "less than one a second for each instance, below", 53, { 20, 20 }, 0.6 }, 0 },
        { { "less than one a second for each instance, over", 53, { 20, 5 }, 6 }, 0.02 },
        { { "one a second, burst of one, over", 53, { 1, 1 }, 30 }, 0.02 },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const QuotaReport report = play(row, seed);
            CHECK(report.others == 0);
            // Over the quota the callers get at least nine tenths of it.
            const double allowed = row.day.quota.perSecond * row.day.seconds;
            if (row.day.load > 1)
                CHECK(static_cast<double>(report.served) >= 0.9 * allowed - 1);
            else
                CHECK(report.delay99 <= 4.7);
        }
    }
}

TEST_CASE("A quota is kept whatever happens to the fleet")
{
    using enum QuotaTrouble::Kind;
    constexpr WorkspaceQuota large { 400, 100 };
    const Row rows[] = {
        { { "coordinator killed, below", 13, large, 0.6, QuotaSpread::Even, { { Killed, 4, 9 } } }, 0.02 },
        { { "coordinator killed, over", 13, large, 2.5, QuotaSpread::Even, { { Killed, 4, 9 } } }, 0.02 },
        { { "coordinator frozen, over", 13, large, 2.5, QuotaSpread::Even, { { Frozen, 4, 9 } } }, 0.02 },
        { { "coordinator frozen for 1 s, over", 13, large, 2.5, QuotaSpread::Even, { { Frozen, 4, 5 } } }, 0.02 },
        { { "coordinator stopped, below", 13, large, 0.6, QuotaSpread::Even, { { Stopped, 4, 99 } } }, 0.01 },
        { { "coordinator stopped, over", 13, large, 2.5, QuotaSpread::Even, { { Stopped, 4, 99 } } }, 0.05 },
        { { "coordinator added, below", 13, large, 0.6, QuotaSpread::Even, { { Absent, 0, 6 } } }, 0.01 },
        { { "coordinator added, over", 13, large, 2.5, QuotaSpread::Even, { { Absent, 0, 6 } } }, 0.05 },
        { { "coordinator cut off, below", 13, large, 0.6, QuotaSpread::Even, { { CutOff, 4, 10 } } }, 0.02 },
        { { "coordinator cut off, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10 } } }, 0.02 },
        { { "all callers at the coordinator that is cut off", 13, large, 2.5, QuotaSpread::One, { { CutOff, 4, 10, 0 } } }, 0.2 },
        { { "halves, over", 12, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 6 } } }, 0.05 },
        { { "halves of 52, over", 52, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 11, 0, 26 } } }, 0.05 },
        { { "halves of 52, over, small quota", 52, { 20, 20 }, 6, QuotaSpread::Even, { { CutOff, 4, 11, 0, 26 } } }, 0.05 },
        { { "a fifth cut off, below", 53, large, 0.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 10 } } }, 0.1 },
        { { "three of 13 alone, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 3, true } } }, 0.05 },
        { { "all of 13 alone, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 12, 0, 13, true } } }, 0.1 },
        { { "all of 53 alone, one a second", 53, { 1, 1 }, 30, QuotaSpread::Even, { { CutOff, 4, 14, 0, 53, true } } }, 0.1 },
        { { "coordinator lags, over", 13, large, 2.5, QuotaSpread::Even, { { Lagging, 4, 10 } } }, 0.1 },
        { { "half of the instances restart, over", 13, large, 2.5, QuotaSpread::Even, { { Killed, 4, 6, 0, 6 } } }, 0.1 },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed)
            play(row, seed);
    }
}

TEST_CASE("A changed quota applies to all instances")
{
    const Row rows[] = {
        { { "lowered far below the load", 13, { 400, 100 }, 0.9, QuotaSpread::Even, {}, 6, WorkspaceQuota { 20, 10 } }, 0.02 },
        { { "raised", 13, { 50, 20 }, 3, QuotaSpread::Even, {}, 6, WorkspaceQuota { 300, 50 } }, 0.03 },
        { { "removed", 13, { 50, 20 }, 3, QuotaSpread::Even, {}, 6 }, 0.03 },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const QuotaReport report = play(row, seed);
            CHECK(report.others == 0);
        }
    }
}
