// Simulates callers, entry instances and backend servers and checks on every send that the try gets no more time than its
// caller has left, and that nothing is sent for a caller that has gone or has its response. The exception are the requests of a
// rule with `RunLimit::TimeLimit`, which get no more than the time limit of the rule.
//
// The same seed always gives the same run. CORNELWIND_SEED=N replays the run with seed N. CORNELWIND_RUNS=N sets the number of
// runs, whose seeds are 1 to N.
#include "cornelwind/reducer.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr std::size_t INSTANCES = 3;
constexpr int STEPS = 1200;
constexpr Duration TICK = std::chrono::milliseconds(10);
constexpr Millis TIME_LIMIT { 1000 };

/// How requests of one path are handled, by each of the two placements.
struct Route {
    const char* path;
    RequestKind kind;
    KeyMode key;
    std::uint32_t tries;
    std::optional<Millis> hedgeAfter;
    RunLimit runLimit = RunLimit::CallerDeadline;
};

const Route ROUTES[] = {
    { "/look", RequestKind::Idempotent, KeyMode::None, 3, Millis { 60 } },
    { "/order", RequestKind::AtMostOnce, KeyMode::None, 2, {} },
    { "/keyed", RequestKind::AtMostOnce, KeyMode::Owner, 1, {} },
    { "/kept", RequestKind::AtMostOnce, KeyMode::Owner, 1, {}, RunLimit::TimeLimit },
};

Sheet makeSheet(std::uint64_t version)
{
    Sheet sheet;
    sheet.version = SheetVersion { version };
    for (const Placement placement : { Placement::Slots, Placement::ExpectedCost }) {
        const std::string suffix = placement == Placement::Slots ? "-slots" : "-cost";
        SheetService service;
        service.name = ServiceName { "service" + suffix };
        service.placement = placement;
        service.retryPercent = 50;
        service.maxQueueTime = Millis { 300 };
        for (int i = 0; i < 3; ++i) {
            SheetServer server;
            server.name = ServerName { "s" + std::to_string(i) + suffix };
            server.address = { "10.0.0." + std::to_string(i + 1), 80 };
            server.zone = ZoneName { "z" };
            server.slots = Slots { 2 };
            service.servers.push_back(std::move(server));
        }
        for (const Route& route : ROUTES) {
            SheetRule rule;
            rule.name = route.path + suffix;
            rule.path = route.path + suffix;
            rule.service = static_cast<std::uint32_t>(sheet.services.size());
            rule.kind = route.kind;
            rule.key = route.key;
            rule.tries = route.tries;
            rule.hedgeAfter = route.hedgeAfter;
            rule.timeLimit = TIME_LIMIT;
            rule.runLimit = route.runLimit;
            // With every second sheet, requests compete, so that queues order them by value.
            rule.priority = version % 2 ? 1 : route.tries;
            sheet.rules.push_back(std::move(rule));
        }
        sheet.services.push_back(std::move(service));
    }
    return sheet;
}

/// Three entry instances with simulated callers, backend servers, messages and time.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < INSTANCES; ++i)
            start(i);
    }

    void run()
    {
        for (int step = 0; step < STEPS; ++step) {
            advanceTime();
            performRandomAction();
            deliver();
            for (std::size_t i = 0; i < INSTANCES; ++i)
                apply(i, Tick {});
        }
        CHECK(m_sends > 0);
        CHECK(m_resends > 0);
    }

private:
    struct Instance {
        std::unique_ptr<Reducer> reducer;
        bool stopped = false;
        /// What happens to this instance alone at a later time: bodies, results of tries, messages of peers.
        std::multimap<Time, EventBody> due;
    };

    /// What the caller of a request, or the instance that forwarded it, knows.
    struct Request {
        /// The caller waits until then.
        Time callerEnd;
        /// Its tries may run on until then although the caller no longer waits.
        std::optional<Time> runsOnUntil;
        bool gone = false;
        bool answered = false;
        int sends = 0;
        /// The forwarding instance and its request.
        std::optional<std::pair<std::size_t, RequestId>> origin;
    };

    std::uint64_t random(std::uint64_t bound) { return m_random() % bound; }
    bool chance(std::uint64_t percent) { return random(100) < percent; }
    Millis randomMillis(std::uint64_t bound) { return Millis { random(bound) }; }
    static InstanceName nameOf(std::size_t index) { return InstanceName { "i" + std::to_string(index) }; }
    static Endpoint addressOf(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

    void start(std::size_t index)
    {
        Settings settings;
        settings.name = nameOf(index);
        settings.zone = ZoneName { "z" };
        settings.peers = addressOf(index);
        settings.shutdownTimeout = Millis { 2000 };
        KeySecret secret {};
        secret.fill(static_cast<std::uint8_t>(index + 1));
        Instance& instance = m_instances[index];
        instance = {};
        instance.reducer = std::make_unique<Reducer>(Reducer::Builder()
                                                         .settings(settings)
                                                         .incarnation(Incarnation { ++m_lastIncarnation })
                                                         .secret(secret)
                                                         .start(m_now)
                                                         .sheetReader([this](std::string_view, Reasons&) { return makeSheet(++m_version); })
                                                         .build());
        InstancesListed list;
        for (std::size_t i = 0; i < INSTANCES; ++i)
            list.instances.push_back({ nameOf(i), ZoneName { "z" }, addressOf(i), false });
        apply(index, std::move(list));
        apply(index, SheetFetched { "sheet" });
    }

    // Usually one tick. At times all processes stand still for longer.
    void advanceTime() { m_now += chance(2) ? Duration { randomMillis(1500) } : TICK; }

    void performRandomAction()
    {
        const std::size_t index = random(INSTANCES);
        switch (random(40)) {
        case 0:
            return chance(10) ? apply(index, StopRequested {}) : void();
        case 1:
            return m_instances[index].stopped ? start(index) : void();
        case 2:
            return chance(20) ? apply(index, SheetFetched { "sheet" }) : void();
        case 3:
        case 4:
        case 5:
            return disconnectRandomCaller();
        case 6:
            return apply(index, KeysRequested { RequestId { ++m_lastRequest }, 5 });
        default:
            for (std::uint64_t i = random(4); i > 0; --i)
                sendRequest(index);
        }
    }

    void sendRequest(std::size_t index)
    {
        const Route& route = ROUTES[random(std::size(ROUTES))];
        if (m_instances[index].stopped || (route.key == KeyMode::Owner && m_keys.empty()))
            return;
        const std::string path = route.path + std::string(chance(50) ? "-slots" : "-cost");
        const std::string key = route.key == KeyMode::Owner ? m_keys[random(m_keys.size())] : std::string();
        const RequestId id { ++m_lastRequest };
        std::optional<Millis> remaining;
        if (chance(80))
            remaining = randomMillis(chance(50) ? 150 : 1500);
        m_requests[{ index, id }] = { m_now + std::min(remaining.value_or(TIME_LIMIT), TIME_LIMIT), runsOnUntil(path) };
        HeadReceived head { id, "POST", path, {}, remaining, false };
        if (!key.empty())
            head.key = key;
        m_bodyDelay = randomMillis(chance(20) ? 100 : 1);
        m_fingerprint = Fingerprint { key.empty() ? random(1000) + 1 : std::hash<std::string> {}(key) };
        m_path[id] = { path, key };
        apply(index, head);
    }

    std::optional<Time> runsOnUntil(const std::string& path) const
    {
        return path.starts_with("/kept") ? std::optional(m_now + TIME_LIMIT) : std::nullopt;
    }

    void disconnectRandomCaller()
    {
        if (m_requests.empty())
            return;
        auto found = m_requests.begin();
        std::advance(found, static_cast<std::ptrdiff_t>(random(m_requests.size())));
        const auto [index, id] = found->first;
        if (found->second.origin || found->second.answered)
            return;
        found->second.gone = true;
        apply(index, CallerDisconnected { id });
    }

    void deliver()
    {
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            std::vector<EventBody> events;
            auto& due = m_instances[i].due;
            while (!due.empty() && due.begin()->first <= m_now) {
                events.push_back(std::move(due.begin()->second));
                due.erase(due.begin());
            }
            for (EventBody& event : events) {
                if (const auto* message = std::get_if<PeerMessageReceived>(&event))
                    receive(i, *message->message);
                apply(i, std::move(event));
            }
        }
    }

    void apply(std::size_t index, EventBody body)
    {
        Instance& instance = m_instances[index];
        if (instance.stopped)
            return;
        EffectList effects;
        instance.reducer->apply({ m_now, m_random(), std::move(body) }, effects);
        for (const Effect& effect : effects)
            std::visit([&](const auto& what) { handle(index, what); }, effect);
    }

    template <typename Ignored>
    void handle(std::size_t, const Ignored&)
    {
    }

    void handle(std::size_t index, const ReadBody& effect)
    {
        m_instances[index].due.emplace(m_now + m_bodyDelay, BodyReceived { effect.request, m_fingerprint });
    }

    void handle(std::size_t index, const SendTry& effect)
    {
        Request& request = m_requests.at({ index, effect.request });
        CAPTURE(m_path[effect.request].first, m_path[effect.request].second, request.sends, index);
        CHECK(effect.deadline <= request.runsOnUntil.value_or(request.callerEnd));
        CHECK(effect.deadline > m_now);
        CHECK_FALSE((request.gone && !request.runsOnUntil));
        CHECK_FALSE((request.answered && !request.runsOnUntil));
        ++m_sends;
        m_resends += request.sends++ > 0;
        static constexpr TryResult results[] = { TryResult::Answered, TryResult::Answered, TryResult::Answered, TryResult::Shed, TryResult::NotSent,
            TryResult::Crashed, TryResult::StaleConnection, TryResult::Broken, TryResult::TimedOut };
        const TryResult result = results[random(std::size(results))];
        const Time end = result == TryResult::TimedOut ? effect.deadline : std::min<Time>(m_now + randomMillis(400), effect.deadline);
        m_instances[index].due.emplace(end, finished(effect.id, result));
    }

    TryFinished finished(TryId id, TryResult result)
    {
        static constexpr std::uint16_t statuses[] = { 200, 200, 500, 503 };
        const bool hasResponse = result == TryResult::Answered || result == TryResult::Shed;
        const std::uint16_t status = result == TryResult::Shed ? 503 : statuses[random(std::size(statuses))];
        return { id, result, hasResponse ? std::make_shared<Response>(Response { status, {}, "x" }) : nullptr };
    }

    void handle(std::size_t index, const CancelTry& effect) { m_instances[index].due.emplace(m_now, TryFinished { effect.id, TryResult::Cancelled, nullptr }); }

    void handle(std::size_t index, const ForwardToOwner& effect)
    {
        const Request& request = m_requests.at({ index, effect.request });
        CHECK(m_now + effect.remaining <= request.callerEnd);
        auto message = std::make_shared<peer::Envelope>();
        message->mutable_forward_request()->set_correlation(effect.request.value());
        message->mutable_forward_request()->set_target(m_path[effect.request].first);
        message->mutable_forward_request()->set_method(m_path[effect.request].second);
        message->mutable_forward_request()->set_body(std::to_string(effect.remaining.count()));
        m_instances[index].reducer->setSender(*message);
        sendMessage(effect.address, std::move(message));
    }

    void handle(std::size_t, const SendPeerMessage& effect) { sendMessage(effect.address, effect.message); }
    void handle(std::size_t index, const RelayResponse& effect) { finish(index, effect.request, true); }
    void handle(std::size_t index, const Refuse& effect) { finish(index, effect.request, false); }
    void handle(std::size_t, const IssueKeys& effect) { m_keys.insert(m_keys.end(), effect.keys.begin(), effect.keys.end()); }
    void handle(std::size_t index, const Stopped&) { m_instances[index].stopped = true; }

    void finish(std::size_t index, RequestId id, bool ran)
    {
        Request& request = m_requests.at({ index, id });
        CHECK_FALSE(request.answered);
        request.answered = true;
        if (!request.origin)
            return;
        const Outcome outcome = ran ? Outcome::Ran : Outcome::Unknown;
        const ErrorKind error = ran ? ErrorKind::None : ErrorKind::ServerFailed;
        m_instances[request.origin->first].due.emplace(m_now + Millis { 1 }, OwnerReplied { request.origin->second, outcome, error, ran ? m_response : nullptr });
    }

    void sendMessage(const Endpoint& address, std::shared_ptr<const peer::Envelope> message)
    {
        for (std::size_t to = 0; to < INSTANCES; ++to) {
            if (addressOf(to) == address && !chance(2))
                m_instances[to].due.emplace(m_now + randomMillis(5), PeerMessageReceived { message });
        }
    }

    // A forwarded request has the time that its message states from its arrival on.
    void receive(std::size_t index, const peer::Envelope& message)
    {
        if (!message.has_forward_request() || m_instances[index].stopped)
            return;
        const peer::ForwardRequest& forward = message.forward_request();
        const RequestId id { ++m_lastRequest };
        const Millis remaining { std::stol(forward.body()) };
        const std::string from = message.from().name();
        m_requests[{ index, id }] = { m_now + remaining, runsOnUntil(forward.target()), false, false, 0, std::pair { std::size_t(from.back() - '0'), RequestId { forward.correlation() } } };
        m_path[id] = { forward.target(), forward.method() };
        m_bodyDelay = Millis { 0 };
        m_fingerprint = Fingerprint { std::hash<std::string> {}(forward.method()) };
        apply(index, HeadReceived { id, "POST", forward.target(), forward.method(), remaining, true });
    }

    std::mt19937_64 m_random;
    Time m_now { std::chrono::seconds(100) };
    std::map<std::size_t, Instance> m_instances;
    std::map<std::pair<std::size_t, RequestId>, Request> m_requests;
    /// Path and key of each request.
    std::map<RequestId, std::pair<std::string, std::string>> m_path;
    std::vector<std::string> m_keys;
    /// Of the request whose head is being applied.
    Duration m_bodyDelay {};
    Fingerprint m_fingerprint;
    const ResponsePtr m_response = std::make_shared<Response>(Response { 200, {}, "x" });
    std::uint64_t m_version = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastRequest = 0;
    int m_sends = 0;
    int m_resends = 0;
};

std::uint64_t readEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST_CASE("No try gets more time than its caller has left")
{
    const std::uint64_t seed = readEnvironment("CORNELWIND_SEED", 0);
    const std::uint64_t first = seed ? seed : 1;
    const std::uint64_t last = seed ? seed : readEnvironment("CORNELWIND_RUNS", 60);
    for (std::uint64_t run = first; run <= last; ++run) {
        INFO("replay with CORNELWIND_SEED=" << run);
        Simulation(run).run();
    }
}
