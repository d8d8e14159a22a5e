// An at-most-once request while its owner is killed, frozen, restarted or cut off.
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

using Answer = std::optional<Message>;

/// Instances a and b before two backend servers; a owns the key, b takes the resend.
struct Scene {
    static constexpr std::array servers { "ord-1", "ord-2" };
    Fleet fleet;
    std::string key;
    std::string toOwner;
    std::string fromOwner;

    explicit Scene(int serviceMs = 300, bool reuse = false)
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
        toOwner = fleet.relayPeers("b", "a");
        fromOwner = fleet.relayPeers("a", "b");
        fleet.startAll();
        key = fleet.fetchKey("a");
    }

    Answer send(const std::string& instance, const std::string& order = "order-1") const
    {
        return call(fleet.callers(instance), "POST", "/orders", { { "Idempotency-Key", key } }, order, 4000);
    }

    std::future<Answer> sendLater(const std::string& instance) const
    {
        return std::async(std::launch::async, [this, instance] { return send(instance); });
    }

    void control(const std::string& pairs)
    {
        for (const char* server : servers)
            fleet.controlServer(server, pairs);
    }

    bool running() const
    {
        return waitFor([this] { return fleet.runs("order-1") == 1; });
    }
};

std::string outcomeOf(const Answer& answer)
{
    return answer ? answer->header("cornelwind-outcome") : "none";
}

bool logHas(const Scene& scene, const std::string& instance, const std::string& part)
{
    std::ifstream log(scene.fleet.logFile(instance));
    const std::string text { std::istreambuf_iterator<char>(log), {} };
    return text.find(part) != std::string::npos;
}

/// At most one run, and every "not-run" true.
void checkRuns(const Scene& scene, const std::vector<Answer>& answers)
{
    const int runs = scene.fleet.runs("order-1");
    CHECK(runs <= 1);
    for (const Answer& answer : answers) {
        if (outcomeOf(answer) == "not-run")
            CHECK(runs == 0);
        if (outcomeOf(answer) == "ran")
            CHECK(runs == 1);
    }
}

/// What happens to the owner, before or while the order runs.
struct Fault {
    const char* name;
    void (*strike)(Scene&);
    void (*heal)(Scene&);
};

void killOwner(Scene& scene) { scene.fleet.instance("a").kill(); }
void restartOwner(Scene& scene)
{
    scene.fleet.start("a");
    scene.fleet.waitReady("a");
}
void freezeOwner(Scene& scene) { scene.fleet.instance("a").signal(SIGSTOP); }
void wakeOwner(Scene& scene) { scene.fleet.instance("a").signal(SIGCONT); }
void cutToOwner(Scene& scene) { Fleet::controlRelay(scene.toOwner, "forward=cut"); }
void joinToOwner(Scene& scene) { Fleet::controlRelay(scene.toOwner, "forward=pass"); }
void cutFromOwner(Scene& scene) { Fleet::controlRelay(scene.fromOwner, "forward=cut"); }
void joinFromOwner(Scene& scene) { Fleet::controlRelay(scene.fromOwner, "forward=pass"); }
void killAndRestart(Scene& scene)
{
    killOwner(scene);
    restartOwner(scene);
}
void nothing(Scene&) { }

const std::vector<Fault> faults {
    { "killed", killOwner, restartOwner },
    { "frozen", freezeOwner, wakeOwner },
    { "restarted at the same address", killAndRestart, nothing },
    { "cut off, requests lost", cutToOwner, joinToOwner },
    { "cut off, replies lost", cutFromOwner, joinFromOwner },
};

} // namespace

TEST_CASE("The owner fails before the order arrives")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        Scene scene(5);
        fault.strike(scene);
        std::vector<Answer> answers { scene.send("b") };
        fault.heal(scene);
        answers.push_back(scene.send("b"));
        answers.push_back(scene.send("a"));
        checkRuns(scene, answers);
        REQUIRE(answers[2]);
    }
}

TEST_CASE("The owner fails while the order runs")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        Scene scene;
        auto first = scene.sendLater("a");
        REQUIRE(scene.running());
        fault.strike(scene);
        std::vector<Answer> answers { scene.send("b") };
        fault.heal(scene);
        answers.push_back(scene.send("b"));
        answers.push_back(scene.send("a"));
        answers.push_back(first.get());
        checkRuns(scene, answers);
        CHECK(scene.fleet.runs("order-1") == 1);
    }
}

TEST_CASE("The owner fails after the order has run")
{
    for (const Fault& fault : faults) {
        INFO(fault.name);
        Scene scene(5);
        std::vector<Answer> answers { scene.send("a") };
        CHECK(outcomeOf(answers[0]) == "ran");
        fault.strike(scene);
        answers.push_back(scene.send("b"));
        CHECK(outcomeOf(answers[1]) != "not-run");
        fault.heal(scene);
        answers.push_back(scene.send("a"));
        checkRuns(scene, answers);
        CHECK(scene.fleet.runs("order-1") == 1);
    }
}

TEST_CASE("The backend server fails an order in every way, and it runs at most once")
{
    struct Row {
        const char* fault;
        const char* outcome;
    };
    for (const bool reuse : { false, true }) {
        Scene scene(5, reuse);
        for (const Row& row : { Row { "shed_percent", "not-run" }, Row { "truncate_percent", "unknown" }, Row { "mismatch_percent", "unknown" },
                 Row { "close_before_answer_percent", "unknown" }, Row { "stall_percent", "unknown" }, Row { "fail_percent", "ran" } }) {
            INFO(row.fault << (reuse ? " on a reused connection" : ""));
            const std::string order = std::string("order-") + row.fault;
            scene.key = scene.fleet.fetchKey("a");
            scene.control(std::string(row.fault) + "=100");
            const Answer first = scene.send("a", order);
            scene.control(std::string(row.fault) + "=0");
            CHECK(outcomeOf(first) == row.outcome);
            const int runs = scene.fleet.runs(order);
            CHECK(runs == (std::string(row.outcome) == "not-run" ? 0 : 1));
            // The result is final, whichever instance is asked.
            for (const char* instance : { "a", "b" })
                CHECK(outcomeOf(scene.send(instance, order)) == row.outcome);
            CHECK(scene.fleet.runs(order) == runs);
        }
    }
}

TEST_CASE("Sends of one key at the same time join the running one")
{
    Scene scene;
    std::vector<std::future<Answer>> sends;
    sends.reserve(6);
    for (int i = 0; i < 6; ++i)
        sends.push_back(scene.sendLater(i % 2 ? "a" : "b"));
    for (auto& send : sends) {
        const Answer answer = send.get();
        REQUIRE(answer);
        CHECK(answer->status() == 200);
    }
    CHECK(scene.fleet.runs("order-1") == 1);
}

TEST_CASE("A process that wakes late sends nothing whose time is over")
{
    Scene scene(5);
    // The order waits in the socket of the frozen owner.
    freezeOwner(scene);
    const Answer cut = call(scene.fleet.callers("a"), "POST", "/orders",
        { { "Idempotency-Key", scene.key }, { "Cornelwind-Deadline-Ms", "0" } }, "order-1", 500);
    CHECK_FALSE(cut);
    wakeOwner(scene);
    // A new send that is read before the one that waited is a first send, and may run.
    REQUIRE(waitFor([&scene] { return logHas(scene, "a", "error=deadline-passed outcome=not-run"); }));
    CHECK(scene.fleet.runs("order-1") == 0);
    const Answer late = scene.send("a");
    CHECK(outcomeOf(late) == "not-run");
    CHECK(scene.fleet.runs("order-1") == 0);
}
