// Simulates a fleet of reducers and checks it against a simple oracle. The simulated network drops, delays, duplicates and
// reorders messages. Instances freeze, stop and restart.
//
// The same seed always gives the same run. CORNELWIND_SEED=N replays the run with seed N and prints its trace.
// CORNELWIND_RUNS=N sets the number of runs, whose seeds are 1 to N.
#include "cornelwind/reducer.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr std::size_t INSTANCES = 4;
constexpr Duration STEP = std::chrono::milliseconds(10);
constexpr int STEPS = 1500;

std::string makeSheet(std::uint64_t version, bool withSecondServer)
{
    std::string text = "version = " + std::to_string(version) + "\n[[service]]\nname = \"orders\"\nqueue_ms = 200\n";
    for (int i = 0; i < (withSecondServer ? 3 : 2); ++i) {
        text += "[[service.server]]\nname = \"s" + std::to_string(i) + "\"\naddress = \"10.0.0." + std::to_string(i + 1)
            + ":80\"\nzone = \"z\"\nslots = 2\n";
    }
    return text + "[[rule]]\nmethod = \"POST\"\npath = \"/orders\"\nservice = \"orders\"\nkind = \"at-most-once\"\ntime_limit_ms = 1000\n"
                  "[[rule]]\nmethod = \"GET\"\npath = \"/orders\"\nservice = \"orders\"\nkind = \"idempotent\"\ntime_limit_ms = 1000\n";
}

/// Records which orders ran on backend servers and which outcomes callers received.
class Oracle {
public:
    void recordRun(const std::string& key) { ++m_runs[key]; }
    void recordOutcome(const std::string& key, Outcome outcome) { m_outcomes[key].insert(outcome); }

    /// Checks that no order ran twice and that every reported outcome is true.
    void check() const
    {
        for (const auto& [key, runs] : m_runs) {
            INFO("key " << key);
            CHECK(runs <= 1);
        }
        for (const auto& [key, outcomes] : m_outcomes) {
            INFO("key " << key);
            const int runs = m_runs.contains(key) ? m_runs.at(key) : 0;
            if (outcomes.contains(Outcome::NotRun))
                CHECK(runs == 0);
            if (outcomes.contains(Outcome::Ran))
                CHECK(runs == 1);
        }
    }

private:
    std::map<std::string, int> m_runs;
    std::map<std::string, std::set<Outcome>> m_outcomes;
};

/// A fleet of reducers with a simulated clock, network, platform and backend servers.
class Simulation {
public:
    /// @param trace whether to print each event to standard output
    explicit Simulation(std::uint64_t seed, bool trace)
        : m_random(seed)
        , m_trace(trace)
    {
        for (std::size_t i = 0; i < INSTANCES; ++i)
            start(i);
        m_platformSheet = makeSheet(1, false);
    }

    /// Runs all steps. Checks the sheet versions after each step and the orders after the last.
    void run()
    {
        for (int step = 0; step < STEPS; ++step) {
            m_now += STEP;
            performRandomAction(step);
            deliverDueMessages();
            finishTries();
            for (std::size_t i = 0; i < INSTANCES; ++i) {
                if (!m_instances[i].frozen)
                    apply(i, Tick {});
            }
            checkSheets();
        }
        m_oracle.check();
        CHECK(m_ranCount > 0);
    }

private:
    /// One entry instance.
    struct Instance {
        std::unique_ptr<Reducer> reducer;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        bool stopped = false;
        std::uint64_t sheet = 0;
    };

    /// A request that an instance handles. If another instance forwarded it, the origin fields say where the reply goes.
    struct Request {
        std::size_t instance = 0;
        std::uint64_t incarnation = 0;
        std::string key;
        bool keyed = false;
        std::optional<std::size_t> origin;
        RequestId originId;
        std::uint64_t originIncarnation = 0;
    };

    /// One try at a backend server, with the result that it will have.
    struct Try {
        std::size_t instance;
        std::uint64_t incarnation;
        TryId id;
        Time endsAt;
        TryResult result;
    };

    /// A message between instances that is due for delivery at `at`.
    struct Message {
        std::size_t from;
        std::size_t to;
        Time at;
        std::shared_ptr<const peer::Envelope> envelope;
    };

    using RequestKey = std::tuple<std::size_t, std::uint64_t, RequestId>;

    std::uint64_t random(std::uint64_t bound) { return m_random() % bound; }
    // Returns true with a probability of `percent`.
    bool chance(std::uint64_t percent) { return random(100) < percent; }
    static std::string nameOf(std::size_t index) { return "i" + std::to_string(index); }
    static Endpoint addressOf(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

    void logTrace(const std::string& line) const
    {
        if (m_trace)
            std::printf("%8lld %s\n", static_cast<long long>(m_now.time_since_epoch().count() / 1000), line.c_str());
    }

    void start(std::size_t index)
    {
        Instance& instance = m_instances[index];
        instance = {};
        instance.incarnation = ++m_lastIncarnation;
        Settings settings;
        settings.name = InstanceName { nameOf(index) };
        settings.zone = ZoneName { "z" };
        settings.peers = addressOf(index);
        settings.shutdownTimeout = Millis { 4000 };
        settings.keyLifetime = Millis { 8000 };
        KeySecret secret {};
        secret.fill(static_cast<std::uint8_t>(instance.incarnation));
        instance.reducer = std::make_unique<Reducer>(
            Reducer::Builder().settings(settings).incarnation(Incarnation { instance.incarnation }).secret(secret).start(m_now).build());
        logTrace(nameOf(index) + " starts with incarnation " + std::to_string(instance.incarnation));
        InstancesListed list;
        for (std::size_t i = 0; i < INSTANCES; ++i)
            list.instances.push_back({ InstanceName { nameOf(i) }, ZoneName { "z" }, addressOf(i), false });
        apply(index, std::move(list));
    }

    // Performs one random action. A change of the number or order of the draws changes the run of every seed.
    void performRandomAction(int step)
    {
        const std::size_t index = random(INSTANCES);
        Instance& instance = m_instances[index];
        switch (random(24)) {
        case 0:
            instance.frozen = !instance.frozen && chance(30);
            return;
        case 1:
            return chance(4) ? start(index) : void();
        case 2:
            return chance(5) && !instance.stopped ? apply(index, StopRequested {}) : void();
        case 3:
            return changeCutLinks(index);
        case 4:
            if (chance(5))
                m_platformSheet = makeSheet(1 + random(static_cast<std::uint64_t>(step) / 100 + 2), chance(50));
            return;
        case 5:
        case 6:
            return m_platformDown ? void() : apply(index, SheetFetched { m_platformSheet });
        case 7:
            m_platformDown = chance(30);
            return;
        case 8:
            return requestKeys(index);
        default:
            return sendOrder(index);
        }
    }

    // Cuts one direction of a link, or restores all links.
    void changeCutLinks(std::size_t from)
    {
        if (chance(20))
            m_cutLinks.insert({ from, random(INSTANCES) });
        else
            m_cutLinks.clear();
    }

    void requestKeys(std::size_t index)
    {
        if (!isAvailable(index))
            return;
        apply(index, KeysRequested { RequestId { ++m_lastRequest }, 3 });
    }

    bool isAvailable(std::size_t index) const { return !m_instances.at(index).frozen && !m_instances.at(index).stopped; }

    // Sends an order with one of the issued keys, whether or not the key has been used before.
    void sendOrder(std::size_t index)
    {
        if (!isAvailable(index) || m_keys.empty())
            return;
        const std::string key = m_keys[random(m_keys.size())];
        const RequestId id { ++m_lastRequest };
        m_requests[{ index, m_instances[index].incarnation, id }] = { index, m_instances[index].incarnation, key, true, {}, {}, 0 };
        logTrace("order " + key.substr(0, 40) + " at " + nameOf(index));
        HeadReceived head { id, "POST", "/orders", key, {}, false };
        if (chance(20))
            head.remaining = Millis { random(300) };
        apply(index, head);
    }

    void apply(std::size_t index, EventBody body)
    {
        Instance& instance = m_instances[index];
        if (instance.stopped)
            return;
        EffectList effects;
        instance.reducer->apply({ m_now, m_random(), std::move(body) }, effects);
        for (const Effect& effect : effects)
            std::visit([&](const auto& what) { handleEffect(index, what); }, effect);
    }

    Request* find(std::size_t index, RequestId id)
    {
        const auto found = m_requests.find({ index, m_instances[index].incarnation, id });
        return found == m_requests.end() ? nullptr : &found->second;
    }

    void handleEffect(std::size_t index, const ReadBody& effect)
    {
        const Request* request = find(index, effect.request);
        if (request)
            apply(index, BodyReceived { effect.request, Fingerprint { std::hash<std::string> {}(request->key) } });
    }

    void handleEffect(std::size_t index, const SendTry& effect)
    {
        const Request* request = find(index, effect.request);
        const std::uint64_t kind = random(10);
        TryResult result = TryResult::Answered;
        if (kind == 0)
            result = TryResult::NotSent;
        else if (kind == 1)
            result = TryResult::Shed;
        else if (kind == 2)
            result = TryResult::Crashed;
        else if (kind == 3)
            result = TryResult::TimedOut;
        if (result != TryResult::NotSent && result != TryResult::Shed && request && request->keyed) {
            m_oracle.recordRun(request->key);
            logTrace(nameOf(index) + " runs " + request->key.substr(0, 40));
        }
        CHECK(effect.deadline > m_now);
        const Time end = result == TryResult::TimedOut ? effect.deadline : m_now + Millis { random(80) };
        m_tries.push_back({ index, m_instances[index].incarnation, effect.id, end, result });
    }

    void handleEffect(std::size_t, const CancelTry&) { }
    void handleEffect(std::size_t, const RefreshPublished&) { }
    void handleEffect(std::size_t, const RecordRequest&) { }

    void handleEffect(std::size_t index, const ForwardToOwner& effect)
    {
        auto envelope = std::make_shared<peer::Envelope>();
        envelope->mutable_forward_request()->set_correlation(effect.request.value());
        const Request* request = find(index, effect.request);
        envelope->mutable_forward_request()->set_target(request ? request->key : "");
        m_instances[index].reducer->setSender(*envelope);
        sendMessage(index, effect.address, std::move(envelope));
    }

    void handleEffect(std::size_t index, const RelayResponse& effect) { finishRequest(index, effect.request, Outcome::Ran, ErrorKind::None, effect.response); }
    void handleEffect(std::size_t index, const Refuse& effect) { finishRequest(index, effect.request, effect.outcome, effect.error, nullptr); }

    void finishRequest(std::size_t index, RequestId id, Outcome outcome, ErrorKind error, const ResponsePtr& response)
    {
        const Request* request = find(index, id);
        if (!request || !request->keyed)
            return;
        logTrace(nameOf(index) + " reports " + toString(outcome) + " (" + describe(error).name + ") for " + request->key.substr(0, 40));
        if (!request->origin) {
            m_ranCount += outcome == Outcome::Ran;
            // An instance without a sheet refuses before it looks up the key. Its outcome says nothing about the order.
            if (error != ErrorKind::NoSheet)
                m_oracle.recordOutcome(request->key, outcome);
            return;
        }
        auto envelope = std::make_shared<peer::Envelope>();
        peer::ForwardReply& reply = *envelope->mutable_forward_reply();
        reply.set_correlation(request->originId.value());
        reply.set_outcome(static_cast<std::uint32_t>(outcome));
        reply.set_error(response ? "" : describe(error).name);
        m_instances[index].reducer->setSender(*envelope);
        sendMessage(index, addressOf(*request->origin), std::move(envelope));
    }

    void handleEffect(std::size_t index, const ReleaseRequest& effect) { m_requests.erase({ index, m_instances[index].incarnation, effect.request }); }
    void handleEffect(std::size_t, const IssueKeys& effect) { m_keys.insert(m_keys.end(), effect.keys.begin(), effect.keys.end()); }
    void handleEffect(std::size_t index, const SendPeerMessage& effect) { sendMessage(index, effect.address, effect.message); }
    void handleEffect(std::size_t, const SendProbe&) { }
    void handleEffect(std::size_t, const WatchPlatform&) { }
    void handleEffect(std::size_t, const ReportDecision&) { }
    void handleEffect(std::size_t, const SetCallerLimits&) { }
    void handleEffect(std::size_t, const SetReady&) { }
    void handleEffect(std::size_t index, const Stopped&)
    {
        logTrace(nameOf(index) + " stopped");
        m_instances[index].stopped = true;
    }

    // Queues a message for delivery. The message may be lost, duplicated or delayed.
    void sendMessage(std::size_t from, const Endpoint& address, std::shared_ptr<const peer::Envelope> envelope)
    {
        for (std::size_t to = 0; to < INSTANCES; ++to) {
            if (!(addressOf(to) == address))
                continue;
            if (m_cutLinks.contains({ from, to }) || chance(2))
                return;
            const int copies = chance(3) ? 2 : 1;
            for (int i = 0; i < copies; ++i)
                m_messages.push_back({ from, to, m_now + Millis { chance(5) ? random(3000) : random(5) }, envelope });
        }
    }

    void deliverDueMessages()
    {
        std::deque<Message> due;
        for (std::size_t i = 0; i < m_messages.size();) {
            if (m_messages[i].at > m_now || m_instances[m_messages[i].to].frozen) {
                ++i;
                continue;
            }
            due.push_back(m_messages[i]);
            m_messages[i] = m_messages.back();
            m_messages.pop_back();
        }
        for (const Message& message : due)
            receive(message);
    }

    void receive(const Message& message)
    {
        apply(message.to, PeerMessageReceived { message.envelope });
        if (message.envelope->has_forward_request()) {
            const peer::ForwardRequest& forward = message.envelope->forward_request();
            const RequestId id { ++m_lastRequest };
            const std::string key = forward.target();
            m_requests[{ message.to, m_instances[message.to].incarnation, id }] = { message.to, m_instances[message.to].incarnation, key, true, message.from,
                RequestId { forward.correlation() }, 0 };
            apply(message.to, HeadReceived { id, "POST", "/orders", key, {}, true });
        }
        if (message.envelope->has_forward_reply()) {
            const peer::ForwardReply& reply = message.envelope->forward_reply();
            OwnerReplied event { RequestId { reply.correlation() }, static_cast<Outcome>(reply.outcome()), ErrorKind::None, nullptr };
            if (reply.error().empty())
                event.response = m_response;
            else {
                for (const ErrorInfo& info : allErrors()) {
                    if (reply.error() == info.name)
                        event.error = info.kind;
                }
            }
            apply(message.to, event);
        }
    }

    // Reports the results of the tries that have ended. Results for an earlier incarnation of an instance are lost.
    void finishTries()
    {
        for (std::size_t i = 0; i < m_tries.size();) {
            const Try ended = m_tries[i];
            const Instance& instance = m_instances[ended.instance];
            if (instance.incarnation == ended.incarnation && (ended.endsAt > m_now || instance.frozen)) {
                ++i;
                continue;
            }
            m_tries[i] = m_tries.back();
            m_tries.pop_back();
            if (instance.incarnation == ended.incarnation)
                apply(ended.instance, TryFinished { ended.id, ended.result, ended.result == TryResult::Answered ? m_response : nullptr, false });
        }
    }

    // Checks that no instance returns to an older sheet. A restarted instance starts without a sheet.
    void checkSheets()
    {
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            const std::uint64_t version = m_instances[i].reducer->status(m_now).sheet.value();
            CHECK(version >= m_instances[i].sheet);
            m_instances[i].sheet = version;
        }
    }

    std::mt19937_64 m_random;
    bool m_trace;
    Time m_now { std::chrono::seconds(100) };
    std::map<std::size_t, Instance> m_instances;
    std::map<RequestKey, Request> m_requests;
    std::vector<Try> m_tries;
    std::vector<Message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::vector<std::string> m_keys;
    std::string m_platformSheet;
    ResponsePtr m_response = std::make_shared<Response>(Response { 200, {}, "done" });
    Oracle m_oracle;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_ranCount = 0;
    bool m_platformDown = false;
};

std::uint64_t readEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST_CASE("Despite network and instance faults no order runs twice, no reported outcome is false and no instance returns to an older sheet")
{
    if (const std::uint64_t seed = readEnvironment("CORNELWIND_SEED", 0)) {
        Simulation(seed, true).run();
        return;
    }
    const std::uint64_t runs = readEnvironment("CORNELWIND_RUNS", 150);
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        INFO("replay with CORNELWIND_SEED=" << seed);
        Simulation(seed, false).run();
    }
}
