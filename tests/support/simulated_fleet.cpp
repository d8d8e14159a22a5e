#include "support/simulated_fleet.h"

#include "peer.pb.h"
#include "support/limit_record.h"
#include "support/schedule.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace cornelwind::test {
namespace {

    constexpr Duration TICK = std::chrono::milliseconds(10);
    constexpr Duration WARMUP = std::chrono::seconds(2);
    // One way, within an availability zone and between two.
    constexpr Duration ZONE_DELAY = std::chrono::microseconds(200);
    constexpr Duration REMOTE_DELAY = std::chrono::microseconds(900);
    // Time after which a server that fails by itself returns an error.
    constexpr Duration ERROR_TIME = std::chrono::milliseconds(3);
    // Share of its requests that a server fails while it is unhealthy by itself, and while it is healthy.
    constexpr double UNHEALTHY_ERRORS = 0.85;
    constexpr double HEALTHY_ERRORS = 0.012;
    // Share of the entry instances whose link to an affected server loses requests.
    constexpr double HARMED_INSTANCES = 0.3;
    constexpr double WORK_SPREAD = 0.8;
    constexpr double MAX_WORK_SECONDS = 1.2;
    constexpr std::size_t SERVER_QUEUE = 8;
    constexpr Millis CALLER_DEADLINE { 2500 };
    constexpr Millis TIME_LIMIT { 1200 };
    constexpr Millis TARGET_LATENCY { 600 };

    constexpr double WINDOW_SECONDS = 2;
    constexpr double WINDOW_STEP_SECONDS = 0.1;
    constexpr double SOUND_AFTER_OWN_FAILURE_SECONDS = 2;
    constexpr double SOUND_AFTER_TROUBLE_SECONDS = 6;

    constexpr double EXCUSED_SECONDS = 3;

    Duration durationOf(double seconds) { return Duration { static_cast<Duration::rep>(seconds * 1e6) }; }

    struct ServerTrouble {
        Trouble trouble;
        /// Entry instances whose link is affected; empty for trouble of the server itself.
        std::vector<bool> instances;
    };

    struct SimulatedServer {
        std::size_t zone = 0;
        std::vector<Span> ownFailures;
        std::vector<ServerTrouble> troubles;
        LimitRecord record;
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };

    bool overlaps(const Span& a, const Span& b) { return a.from < b.to && b.from < a.to; }

} // namespace

class SimulatedFleet::Play {
public:
    Play(SimulatedDay day, std::uint64_t seed)
        : m_day(std::move(day))
        , m_random(seed)
    {
        drawServers();
        startInstances();
    }

    void run()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            schedule(durationOf(0.01 * uniform()), [this, i] { tick(i); });
            for (const Trouble& trouble : m_instances[i].troubles) {
                if (trouble.kind == TroubleKind::InstancesRestarted)
                    schedule(WARMUP + durationOf(trouble.to), [this, i] { restart(i); });
            }
        }
        schedule(WARMUP, [this] { arrive(); });
        const Time end = m_start + durationOf(m_day.lengthSeconds) + CALLER_DEADLINE;
        m_schedule.runUntil(end);
    }

    std::vector<WindowReport> windows() const
    {
        std::vector<WindowReport> reports;
        for (double from = 0; from + WINDOW_SECONDS <= m_day.lengthSeconds; from += WINDOW_STEP_SECONDS)
            reports.push_back(window({ from, from + WINDOW_SECONDS }));
        return reports;
    }

    std::string idleReports(double from, double seconds) const
    {
        std::string text;
        for (const Decision& decision : m_idleReports) {
            const double at = std::chrono::duration<double>(decision.at - m_start).count();
            if (within({ from, from + seconds }, at))
                text += std::to_string(at) + " " + decision.evidence + "\n";
        }
        return text;
    }

    std::vector<LimitReport> worstLimitWindows() const
    {
        std::vector<LimitReport> reports;
        const auto isExcusedAt = [this](std::size_t instance, double at) { return isExcused(instance, at); };
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            for (LimitReport& report : m_servers[i].record.worstWindows(isExcusedAt)) {
                report.server = i;
                reports.push_back(report);
            }
        }
        return reports;
    }

    std::pair<double, double> limitedUse() const
    {
        double used = 0;
        double allowed = 0;
        for (const SimulatedServer& server : m_servers) {
            const auto [serverUsed, serverAllowed] = server.record.use(m_day.lengthSeconds);
            used += serverUsed;
            allowed += serverAllowed;
        }
        return { used, allowed };
    }

    double slowestRefusal() const { return m_slowestRefusal; }
    std::size_t refusalsWithoutTime() const { return m_refusalsWithoutTime; }

    std::size_t requests() const { return m_requests.size(); }
    std::size_t served() const
    {
        return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const CallerRequest& request) { return request.served; }));
    }

private:
    struct Instance {
        std::size_t zone = 0;
        /// What has been done to it.
        std::vector<Trouble> troubles;
        /// Relative number of callers, which a balancer assigns by hash.
        double weight = 1;
        std::unique_ptr<Reducer> reducer;
        /// Tries in progress, with the deadline of each.
        std::unordered_set<std::uint64_t> tries;
    };

    struct CallerRequest {
        double at = 0;
        bool served = false;
        std::size_t instance = 0;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool chance(double probability) { return uniform() < probability; }
    double secondsNow() const { return std::chrono::duration<double>(now() - m_start).count(); }
    static std::string zoneName(std::size_t zone) { return "z" + std::to_string(zone); }
    static Endpoint instanceAddress(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

    void schedule(Duration after, std::function<void()> action) { m_schedule.add(after, std::move(action)); }
    Time now() const { return m_schedule.now(); }

    void drawServers()
    {
        m_servers.resize(m_day.servers);
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            m_servers[i].zone = i % m_day.zones;
            drawOwnFailures(m_servers[i]);
            m_indexOf[serverIdOf(serverName(i))] = i;
        }
        for (const Trouble& trouble : m_day.troubles) {
            for (SimulatedServer& server : m_servers) {
                if (concernsServers(trouble.kind) && chance(trouble.share))
                    addTrouble(server, trouble);
            }
        }
    }

    static bool concernsServers(TroubleKind kind) { return kind < TroubleKind::ZoneStopped || kind == TroubleKind::ServersLimited; }

    void drawOwnFailures(SimulatedServer& server)
    {
        // With exponential lengths, several cycles before the start bring the servers into the steady state.
        const double cycles = m_day.exponential ? 4 : 1;
        double at = -cycles * (m_day.healthySeconds + m_day.unhealthySeconds) * uniform();
        while (at < m_day.lengthSeconds) {
            const double from = at + drawLength(m_day.healthySeconds);
            at = from + drawLength(m_day.unhealthySeconds);
            server.ownFailures.push_back({ from, at });
        }
    }

    double drawLength(double mean)
    {
        return m_day.exponential ? std::exponential_distribution<double>(1 / mean)(m_random) : mean * (0.5 + uniform());
    }

    void addTrouble(SimulatedServer& server, const Trouble& trouble)
    {
        if (trouble.kind == TroubleKind::ServersLimited)
            return server.record.addLimit({ { trouble.from, trouble.to }, trouble.strength * (0.5 + uniform()) });
        ServerTrouble added { trouble, {} };
        if (trouble.kind == TroubleKind::LinksLossy) {
            for (std::size_t i = 0; i < m_day.instances; ++i)
                added.instances.push_back(chance(HARMED_INSTANCES));
        }
        server.troubles.push_back(std::move(added));
    }

    static ServerName serverName(std::size_t index) { return ServerName { "s" + std::to_string(index) }; }

    Sheet makeSheet() const
    {
        Sheet sheet;
        sheet.version = SheetVersion { 1 };
        SheetService service;
        service.name = ServiceName { "orders" };
        service.placement = Placement::ExpectedCost;
        service.retryPercent = 14;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            SheetServer server;
            server.name = serverName(i);
            server.address = { "10.2.0.1", 80 };
            server.zone = ZoneName { zoneName(m_servers[i].zone) };
            server.slots = Slots { m_day.slots };
            server.connections = 1740;
            service.servers.push_back(std::move(server));
        }
        sheet.services.push_back(std::move(service));
        SheetRule rule;
        rule.name = "order";
        rule.path = "/";
        rule.key = KeyMode::None;
        rule.timeLimit = TIME_LIMIT;
        rule.targetLatency = TARGET_LATENCY;
        rule.tries = 2;
        sheet.rules.push_back(rule);
        return sheet;
    }

    void startInstances()
    {
        for (std::size_t i = 0; i < m_day.instances; ++i)
            m_list.instances.push_back({ InstanceName { "i" + std::to_string(i) }, ZoneName { zoneName(i % m_day.zones) }, instanceAddress(i), false });
        m_instances.resize(m_day.instances);
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            m_instances[i].zone = i % m_day.zones;
            m_instanceAt[instanceAddress(i).host] = i;
            m_instances[i].weight = 0.5 + uniform();
        }
        for (const Trouble& trouble : m_day.troubles) {
            for (Instance& instance : m_instances) {
                if (trouble.kind > TroubleKind::ServersLimited && chance(trouble.share))
                    instance.troubles.push_back(trouble);
            }
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            createReducer(i);
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            introduce(i);
    }

    void createReducer(std::size_t index)
    {
        Settings settings;
        settings.name = m_list.instances[index].name;
        settings.zone = m_list.instances[index].zone;
        settings.peers = m_list.instances[index].address;
        settings.fleetRetryAllowance = 214;
        m_instances[index].tries.clear();
        m_instances[index].reducer = std::make_unique<Reducer>(Reducer::Builder()
                                                                   .settings(settings)
                                                                   .incarnation(Incarnation { ++m_lastIncarnation })
                                                                   .start(now())
                                                                   .sheetReader([this](std::string_view, Reasons&) { return makeSheet(); })
                                                                   .build());
    }

    void introduce(std::size_t index)
    {
        apply(index, m_list);
        apply(index, SheetFetched { "1" });
    }

    void restart(std::size_t index)
    {
        createReducer(index);
        introduce(index);
    }

    /// @return the trouble of this kind that the entry instance has now, or null
    const Trouble* current(std::size_t instance, TroubleKind kind) const
    {
        for (const Trouble& trouble : m_instances[instance].troubles) {
            if (trouble.kind == kind && within({ trouble.from, trouble.to }, secondsNow()))
                return &trouble;
        }
        return nullptr;
    }

    bool isKilled(std::size_t instance) const { return current(instance, TroubleKind::InstancesRestarted); }
    bool isFrozen(std::size_t instance) const { return current(instance, TroubleKind::InstancesFrozen); }
    bool areApart(std::size_t a, std::size_t b) const
    {
        return static_cast<bool>(current(a, TroubleKind::InstancesApart)) != static_cast<bool>(current(b, TroubleKind::InstancesApart));
    }

    bool isStopped(std::size_t instance) const
    {
        if (isKilled(instance))
            return true;
        const double at = secondsNow();
        return std::any_of(m_day.troubles.begin(), m_day.troubles.end(), [&](const Trouble& trouble) {
            return trouble.kind == TroubleKind::ZoneStopped && m_instances[instance].zone == 0 && trouble.from <= at && at < trouble.to;
        });
    }

    void tick(std::size_t instance)
    {
        if (!isStopped(instance) && !isFrozen(instance))
            apply(instance, Tick {});
        schedule(TICK, [this, instance] { tick(instance); });
    }

    void arrive()
    {
        if (secondsNow() >= m_day.lengthSeconds)
            return;
        schedule(durationOf(std::exponential_distribution<double>(m_day.requestsPerSecond)(m_random)), [this] { arrive(); });
        std::vector<double> weights;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            weights.push_back(isStopped(i) || isFrozen(i) ? 0 : m_instances[i].weight);
        const std::size_t instance = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
        const RequestId id { m_requests.size() };
        m_requests.push_back({ secondsNow(), false, instance });
        apply(instance, HeadReceived { id, "POST", "/order", {}, CALLER_DEADLINE });
        apply(instance, BodyReceived { id, Fingerprint { id.value() + 1 } });
    }

    void apply(std::size_t instance, EventBody body)
    {
        EffectList effects;
        m_instances[instance].reducer->apply({ now(), m_random(), std::move(body) }, effects);
        for (const Effect& effect : effects)
            std::visit([&](const auto& what) { handle(instance, what); }, effect);
    }

    template <typename Ignored>
    void handle(std::size_t, const Ignored&)
    {
    }

    void handle(std::size_t, const ReportDecision& effect)
    {
        if (effect.decision.kind == DecisionKind::ServersIdle)
            m_idleReports.push_back(effect.decision);
    }

    void handle(std::size_t, const RelayResponse& effect) { m_requests[effect.request.value()].served = effect.response->status == m_success->status; }

    void handle(std::size_t, const Refuse& effect)
    {
        if (effect.outcome != Outcome::NotRun)
            return;
        m_slowestRefusal = std::max(m_slowestRefusal, secondsNow() - m_requests[effect.request.value()].at);
        m_refusalsWithoutTime += !effect.retryAfter;
    }

    void handle(std::size_t from, const SendPeerMessage& effect)
    {
        const auto found = m_instanceAt.find(effect.address.host);
        if (found == m_instanceAt.end())
            return;
        const std::size_t to = found->second;
        if (areApart(from, to))
            return;
        const Trouble* lag = current(from, TroubleKind::InstancesLag);
        const Duration delay = (m_instances[from].zone == m_instances[to].zone ? ZONE_DELAY : REMOTE_DELAY) + (lag ? durationOf(lag->strength) : Duration {});
        schedule(delay, [this, to, message = std::shared_ptr<const peer::Envelope>(effect.message)] { receive(to, PeerMessageReceived { message }); });
    }

    // A frozen instance handles what arrives when it goes on. A killed one loses it.
    void receive(std::size_t instance, EventBody event)
    {
        if (const Trouble* freeze = current(instance, TroubleKind::InstancesFrozen)) {
            schedule(durationOf(freeze->to - secondsNow()) + TICK, [this, instance, event = std::move(event)] { receive(instance, event); });
            return;
        }
        if (!isStopped(instance))
            apply(instance, std::move(event));
    }

    void handle(std::size_t instance, const SendTry& effect)
    {
        const std::size_t index = m_indexOf.at(effect.server);
        const Duration delay = m_instances[instance].zone == m_servers[index].zone ? ZONE_DELAY : REMOTE_DELAY;
        m_instances[instance].tries.insert(effect.id.value());
        schedule(effect.deadline - now(), [this, instance, id = effect.id] { finish(instance, id, TryResult::TimedOut, nullptr, {}); });
        if (linkLoses(instance, index))
            return;
        schedule(delay, [this, instance, index, delay, id = effect.id] { reachServer(instance, index, delay, id); });
    }

    void handle(std::size_t instance, const CancelTry& effect)
    {
        schedule(Duration {}, [this, instance, id = effect.id] { finish(instance, id, TryResult::Cancelled, nullptr, {}); });
    }

    bool linkLoses(std::size_t instance, std::size_t server)
    {
        for (const ServerTrouble& trouble : m_servers[server].troubles) {
            const bool active = within({ trouble.trouble.from, trouble.trouble.to }, secondsNow());
            if (active && trouble.trouble.kind == TroubleKind::LinksLossy && trouble.instances[instance] && chance(trouble.trouble.strength))
                return true;
        }
        return false;
    }

    double activeStrength(const SimulatedServer& server, TroubleKind kind) const
    {
        double strength = 0;
        for (const ServerTrouble& trouble : server.troubles) {
            if (trouble.trouble.kind == kind && within({ trouble.trouble.from, trouble.trouble.to }, secondsNow()))
                strength = std::max(strength, trouble.trouble.strength);
        }
        return strength;
    }

    void reachServer(std::size_t instance, std::size_t index, Duration delay, TryId id)
    {
        SimulatedServer& server = m_servers[index];
        server.record.addArrival({ secondsNow(), instance });
        const bool failsByItself = std::any_of(server.ownFailures.begin(), server.ownFailures.end(), [this](const Span& span) { return within(span, secondsNow()); });
        if (chance(failsByItself ? UNHEALTHY_ERRORS : activeStrength(server, TroubleKind::ServersFail)))
            return schedule(ERROR_TIME, [=, this] { respond(instance, index, delay, id, TryResult::Answered, m_failure); });
        if (server.running + server.queue.size() >= m_day.slots + SERVER_QUEUE)
            return respond(instance, index, delay, id, TryResult::Shed, m_shed);
        server.queue.emplace_back([this, instance, index, delay, id] { work(instance, index, delay, id); });
        startQueued(server);
    }

    void startQueued(SimulatedServer& server)
    {
        while (server.running < m_day.slots && !server.queue.empty()) {
            ++server.running;
            const auto start = std::move(server.queue.front());
            server.queue.pop_front();
            start();
        }
    }

    void work(std::size_t instance, std::size_t index, Duration delay, TryId id)
    {
        std::lognormal_distribution<double> length(std::log(m_day.workSeconds) - WORK_SPREAD * WORK_SPREAD / 2, WORK_SPREAD);
        const double seconds = std::min(length(m_random), MAX_WORK_SECONDS);
        const bool fails = chance(HEALTHY_ERRORS);
        const bool isLost = chance(activeStrength(m_servers[index], TroubleKind::ResponsesLost));
        schedule(durationOf(seconds), [=, this] {
            --m_servers[index].running;
            startQueued(m_servers[index]);
            if (isLost)
                return schedule(delay, [=, this] { finish(instance, id, TryResult::Broken, nullptr, {}); });
            respond(instance, index, delay, id, TryResult::Answered, fails ? m_failure : m_success);
        });
    }

    // Sends a response, which names the limit that the server has now.
    void respond(std::size_t instance, std::size_t index, Duration delay, TryId id, TryResult result, const ResponsePtr& response)
    {
        ServerNotice notice;
        const NamedLimit* limit = m_servers[index].record.current(secondsNow());
        if (limit)
            notice.limit = { StatedLimit::Kind::PerSecond, limit->perSecond };
        schedule(delay, [=, this, since = limit ? limit->span.from : 0.0] {
            if (notice.limit.kind == StatedLimit::Kind::PerSecond)
                m_servers[index].record.addTold(since, instance, secondsNow());
            finish(instance, id, result, response, notice);
        });
    }

    void finish(std::size_t instance, TryId id, TryResult result, const ResponsePtr& response, const ServerNotice& notice)
    {
        if (m_instances[instance].tries.erase(id.value()))
            receive(instance, TryFinished { id, result, response, notice });
    }

    bool isExcused(std::size_t instance, double at) const
    {
        return std::any_of(m_instances[instance].troubles.begin(), m_instances[instance].troubles.end(), [at](const Trouble& trouble) {
            const bool excuses = trouble.kind == TroubleKind::InstancesFrozen || trouble.kind == TroubleKind::InstancesRestarted;
            return excuses && within({ trouble.from, trouble.to + EXCUSED_SECONDS }, at);
        });
    }

    bool isSound(const SimulatedServer& server, const Span& window) const
    {
        for (const Span& failure : server.ownFailures) {
            if (overlaps({ failure.from, failure.to + SOUND_AFTER_OWN_FAILURE_SECONDS }, window))
                return false;
        }
        return std::none_of(server.troubles.begin(), server.troubles.end(), [&](const ServerTrouble& trouble) {
            return overlaps({ trouble.trouble.from, trouble.trouble.to + SOUND_AFTER_TROUBLE_SECONDS }, window);
        });
    }

    WindowReport window(const Span& span) const
    {
        WindowReport report;
        report.from = span.from;
        for (const SimulatedServer& server : m_servers) {
            if (!isSound(server, span))
                continue;
            ++report.sound;
            report.idle += !server.record.countArrivals(span);
        }
        for (const CallerRequest& request : m_requests) {
            if (!within(span, request.at))
                continue;
            ++report.requests;
            report.unserved += !request.served;
        }
        return report;
    }

    SimulatedDay m_day;
    std::mt19937_64 m_random;
    Schedule m_schedule { Time { std::chrono::seconds(100) } };
    Time m_start = now() + WARMUP;
    std::vector<SimulatedServer> m_servers;
    std::unordered_map<ServerId, std::size_t> m_indexOf;
    std::vector<Instance> m_instances;
    std::unordered_map<std::string, std::size_t> m_instanceAt;
    std::vector<CallerRequest> m_requests;
    std::vector<Decision> m_idleReports;
    InstancesListed m_list;
    std::uint64_t m_lastIncarnation = 0;
    double m_slowestRefusal = 0;
    std::size_t m_refusalsWithoutTime = 0;
    const ResponsePtr m_success = std::make_shared<const Response>(Response { 200, {}, {} });
    const ResponsePtr m_failure = std::make_shared<const Response>(Response { 500, {}, {} });
    const ResponsePtr m_shed = std::make_shared<const Response>(Response { 503, {}, {} });
};

SimulatedFleet::SimulatedFleet(SimulatedDay day, std::uint64_t seed)
    : m_play(std::make_unique<Play>(std::move(day), seed))
{
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::run()
{
    m_play->run();
}

std::vector<WindowReport> SimulatedFleet::windows() const
{
    return m_play->windows();
}

std::string SimulatedFleet::idleReports(double from, double seconds) const
{
    return m_play->idleReports(from, seconds);
}

std::vector<LimitReport> SimulatedFleet::worstLimitWindows() const
{
    return m_play->worstLimitWindows();
}

std::pair<double, double> SimulatedFleet::limitedUse() const
{
    return m_play->limitedUse();
}

double SimulatedFleet::slowestRefusal() const
{
    return m_play->slowestRefusal();
}

std::size_t SimulatedFleet::refusalsWithoutTime() const
{
    return m_play->refusalsWithoutTime();
}

std::size_t SimulatedFleet::requests() const
{
    return m_play->requests();
}

std::size_t SimulatedFleet::served() const
{
    return m_play->served();
}

} // namespace cornelwind::test
