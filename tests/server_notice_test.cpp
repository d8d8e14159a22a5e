// Tests of the reducer: what it does after a backend server has said something of itself.
#include "cornelwind/reducer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace std::chrono_literals;

namespace {

const ServerName SPEAKER { "s0" };
constexpr std::uint32_t SLOTS = 4;

/// One entry instance before three backend servers that the platform publishes, with a simulated clock.
class Driver {
public:
    explicit Driver(Placement placement = Placement::ExpectedCost, std::size_t servers = 3)
        : m_servers(servers)
    {
        Settings settings;
        settings.name = InstanceName { "a" };
        settings.zone = ZoneName { "z" };
        settings.peers = { "10.1.0.1", 9000 };
        settings.platformForm = PlatformForm::Store;
        m_reducer.emplace(Reducer::Builder()
                              .settings(settings)
                              .incarnation(Incarnation { 7 })
                              .start(m_now)
                              .sheetReader([placement](std::string_view, Reasons&) { return makeSheet(placement); })
                              .build());
        apply(SheetFetched { "sheet" });
        for (std::size_t i = 0; i < servers; ++i)
            publish("s" + std::to_string(i), 1);
        advance(1s);
    }

    /// Publishes a start of a server.
    void publish(const std::string& name, std::uint64_t incarnation)
    {
        PublishedServer server;
        server.name = ServerName { name };
        server.service = ServiceName { "service" };
        server.address = { "10.2.0.1", 80 };
        server.zone = ZoneName { "z" };
        server.slots = Slots { SLOTS };
        server.incarnation = incarnation;
        const StorePosition position { {}, StoreRevision { ++m_revision } };
        apply(ServersPublished { { { server.name, server, position } }, position });
    }

    void apply(EventBody body)
    {
        EffectList effects;
        m_reducer->apply({ m_now, ++m_random * 0x9e3779b97f4a7c15, std::move(body) }, effects);
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<SendTry>(&effect))
                sends.push_back(*send);
            if (const auto* refuse = std::get_if<Refuse>(&effect))
                refusals.push_back(*refuse);
            if (const auto* probe = std::get_if<SendProbe>(&effect))
                probes.push_back(*probe);
            if (const auto* report = std::get_if<ReportDecision>(&effect))
                reports.push_back(report->decision);
        }
    }

    void advance(Duration time)
    {
        for (Duration done {}; done < time; done += 10ms) {
            m_now += 10ms;
            apply(Tick {});
        }
    }

    void request()
    {
        const RequestId id { ++m_lastRequest };
        apply(HeadReceived { id, "GET", "/x", {}, {}, false });
        apply(BodyReceived { id, Fingerprint { id.value() } });
    }

    /// Sends as many requests at once as the servers have slots, ends those of the speaker with the notice and all others well.
    void speak(const ServerNotice& notice, std::uint16_t status = 200)
    {
        for (std::size_t i = 0; i < SLOTS * m_servers; ++i)
            request();
        advance(20ms);
        REQUIRE(hasSpeaker());
        for (const SendTry& send : std::exchange(sends, {})) {
            const bool speaks = send.name == SPEAKER;
            const TryResult result = speaks && status == 503 ? TryResult::Shed : TryResult::Answered;
            apply(TryFinished { send.id, result, response(speaks ? status : 200), speaks ? notice : ServerNotice {} });
        }
        finishAll();
    }

    void finishAll()
    {
        while (!sends.empty()) {
            for (const SendTry& send : std::exchange(sends, {}))
                apply(TryFinished { send.id, TryResult::Answered, response(200), send.name == SPEAKER ? standing : ServerNotice {} });
        }
    }

    /// Sends as many requests at once as the servers have slots, ends each well, and counts those that reached the speaker.
    int countAtSpeaker()
    {
        for (std::size_t i = 0; i < SLOTS * m_servers; ++i)
            request();
        advance(20ms);
        const auto reached = std::count_if(sends.begin(), sends.end(), [](const SendTry& send) { return send.name == SPEAKER; });
        finishAll();
        return static_cast<int>(reached);
    }

    bool hasSpeaker() const
    {
        return std::any_of(sends.begin(), sends.end(), [](const SendTry& send) { return send.name == SPEAKER; });
    }

    bool reported(DecisionKind kind) const
    {
        return std::any_of(reports.begin(), reports.end(), [kind](const Decision& report) { return report.kind == kind && report.subject == SPEAKER.value(); });
    }

    const ServerStatus statusOfSpeaker() const
    {
        for (const ServerStatus& server : m_reducer->status(m_now).servers) {
            if (server.name == SPEAKER)
                return server;
        }
        return {};
    }

    /// What the speaker says in each further response.
    ServerNotice standing;
    std::vector<SendTry> sends;
    std::vector<Refuse> refusals;
    std::vector<SendProbe> probes;
    std::vector<Decision> reports;

private:
    static Sheet makeSheet(Placement placement)
    {
        Sheet sheet;
        sheet.version = SheetVersion { 1 };
        SheetService service;
        service.name = ServiceName { "service" };
        service.placement = placement;
        service.healthPath = "/health";
        service.coldStart = Millis { 0 };
        sheet.services.push_back(service);
        SheetRule rule;
        rule.name = "rule";
        rule.path = "/";
        rule.kind = RequestKind::Idempotent;
        rule.key = KeyMode::None;
        rule.tries = 2;
        rule.timeLimit = 2s;
        sheet.rules.push_back(rule);
        return sheet;
    }

    static ResponsePtr response(std::uint16_t status) { return std::make_shared<Response>(Response { status, {}, "x" }); }

    std::size_t m_servers;
    Time m_now { 100s };
    std::optional<Reducer> m_reducer;
    std::uint64_t m_random = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_revision = 0;
};

ServerNotice leaving()
{
    return { true };
}

ServerNotice backoff(Duration time)
{
    ServerNotice notice;
    notice.backoff = time;
    return notice;
}

ServerNotice limit(double perSecond)
{
    ServerNotice notice;
    notice.limit = { StatedLimit::Kind::PerSecond, perSecond };
    return notice;
}

} // namespace

TEST_CASE("A server that asks for a time without requests gets none for so long, by any placement")
{
    struct Row {
        const char* name;
        Duration asked;
        Duration kept;
    };
    for (const Placement placement : { Placement::ExpectedCost, Placement::Slots }) {
        for (const Row& row : { Row { "three seconds", 3s, 3s }, Row { "a fraction", 250ms, 250ms }, Row { "a day is bounded", 24h, 60s } }) {
            CAPTURE(row.name, placement);
            Driver driver(placement);
            driver.speak(backoff(row.asked), 503);
            CHECK(driver.reported(DecisionKind::ServerBackoff));
            CHECK(driver.statusOfSpeaker().backoff > Duration {});
            driver.probes.clear();
            for (Duration passed {}; passed + 200ms < row.kept; passed += 200ms) {
                CHECK(driver.countAtSpeaker() == 0);
                driver.advance(180ms);
            }
            CHECK(std::none_of(driver.probes.begin(), driver.probes.end(), [](const SendProbe& probe) { return probe.server == serverIdOf(SPEAKER); }));
            driver.advance(400ms);
            CHECK(driver.countAtSpeaker() > 0);
        }
    }
}

TEST_CASE("If all servers ask for a time without requests, callers are refused at once and told when to try again")
{
    Driver driver(Placement::ExpectedCost, 1);
    driver.speak(backoff(5s), 503);
    driver.refusals.clear();
    driver.request();
    REQUIRE(driver.refusals.size() == 1);
    CHECK(driver.refusals.front().outcome == Outcome::NotRun);
    REQUIRE(driver.refusals.front().retryAfter);
    CHECK(*driver.refusals.front().retryAfter >= 4900ms);
    CHECK(*driver.refusals.front().retryAfter <= 7500ms);
    driver.advance(5100ms);
    CHECK(driver.countAtSpeaker() == SLOTS);
}

TEST_CASE("What a server said before does not hold for its next start under the same name")
{
    struct Row {
        const char* name;
        ServerNotice notice;
        std::uint16_t status;
    };
    for (const Row& row : { Row { "leaving", leaving(), 200 }, Row { "backoff", backoff(50s), 503 }, Row { "limit", limit(0), 200 } }) {
        CAPTURE(row.name);
        Driver driver;
        driver.standing.limit = row.notice.limit;
        driver.speak(row.notice, row.status);
        CHECK(driver.countAtSpeaker() <= 1);
        driver.publish("s0", 1);
        CHECK(driver.countAtSpeaker() <= 1);
        driver.standing = {};
        driver.publish("s0", 2);
        CHECK(driver.countAtSpeaker() > 1);
    }
}

TEST_CASE("A late response of an earlier start of a server says nothing of the present one")
{
    Driver driver;
    for (std::uint32_t i = 0; i < 3 * SLOTS; ++i)
        driver.request();
    REQUIRE(driver.hasSpeaker());
    driver.publish("s0", 2);
    for (const SendTry& send : std::exchange(driver.sends, {}))
        driver.apply(TryFinished { send.id, TryResult::Answered, std::make_shared<Response>(Response { 200, {}, "x" }), send.name == SPEAKER ? leaving() : ServerNotice {} });
    driver.finishAll();
    CHECK(driver.countAtSpeaker() > 1);
}

TEST_CASE("The response of another server at the same address says nothing of this one")
{
    Driver driver;
    for (std::uint32_t i = 0; i < 3 * SLOTS; ++i)
        driver.request();
    REQUIRE(driver.hasSpeaker());
    for (const SendTry& send : std::exchange(driver.sends, {})) {
        const bool speaks = send.name == SPEAKER;
        driver.apply(TryFinished { send.id, speaks ? TryResult::Shed : TryResult::Answered, std::make_shared<Response>(Response { std::uint16_t(speaks ? 421 : 200), {}, "x" }), speaks ? leaving() : ServerNotice {}, speaks });
    }
    driver.finishAll();
    driver.advance(3s);
    CHECK(driver.countAtSpeaker() > 1);
}

TEST_CASE("A limited server is neither probed nor shown as free, and status names the limit")
{
    Driver driver(Placement::Slots);
    driver.speak(limit(2.5));
    CHECK(driver.reported(DecisionKind::ServerLimited));
    CHECK(driver.statusOfSpeaker().limit == 2.5);
    CHECK_FALSE(driver.statusOfSpeaker().limitSource.empty());
    driver.probes.clear();
    driver.advance(10s);
    CHECK(std::none_of(driver.probes.begin(), driver.probes.end(), [](const SendProbe& probe) { return probe.server == serverIdOf(SPEAKER); }));
    CHECK(driver.statusOfSpeaker().limitAge >= 10s);
}

TEST_CASE("A limit that cannot be read leaves the limit named before in place, and is reported once")
{
    Driver driver;
    driver.standing = limit(2);
    driver.speak(limit(2));
    ServerNotice notice;
    notice.limit.kind = StatedLimit::Kind::Unreadable;
    notice.unreadable = "Server-Limit: soon";
    driver.standing = notice;
    driver.advance(2s);
    driver.speak(notice);
    CHECK(driver.statusOfSpeaker().limit == 2);
    driver.advance(2s);
    driver.speak(notice);
    CHECK(std::count_if(driver.reports.begin(), driver.reports.end(), [](const Decision& report) { return report.kind == DecisionKind::NoticeInvalid; }) == 1);
}
