#include "support/crash_fleet.h"

#include "cornelwind/reducer.h"
#include "peer.pb.h"
#include "support/schedule.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace cornelwind::test {
namespace {

    constexpr Duration TICK = std::chrono::milliseconds(10);
    constexpr Duration ZONE_DELAY = std::chrono::microseconds(200);
    constexpr Duration REMOTE_DELAY = std::chrono::microseconds(900);
    // Time until all instances know of a new start of a server.
    constexpr Duration PUBLICATION_DELAY = std::chrono::milliseconds(20);
    // An instance counts as in touch with the others again this time after a cut.
    constexpr Duration STABLE_WINDOW = std::chrono::seconds(3);
    constexpr Millis CALLER_DEADLINE { 4000 };
    constexpr Millis TIME_LIMIT { 2500 };

    using TargetKey = std::pair<std::string, std::string>;

    struct RunningTry {
        std::size_t instance;
        TryId id;
        TargetKey target;
    };

    struct SimulatedServer {
        std::size_t zone = 0;
        std::uint64_t incarnation = 1;
        bool isUp = true;
        double resets = 0;
        std::vector<RunningTry> running;
    };

    struct Instance {
        std::unique_ptr<Reducer> reducer;
        /// Number of the start; effects of an earlier start are dropped.
        std::uint64_t start = 0;
        bool isUp = false;
        bool isFrozen = false;
        bool isIsolated = false;
        /// When the latest cut ended.
        Time healedAt;
        bool isEarlier = false;
        Duration messageDelay {};
        std::vector<EventBody> waiting;
        std::set<std::uint64_t> tries;
    };

    ServerName serverName(std::size_t index) { return ServerName { "s" + std::to_string(index) }; }
    Endpoint instanceAddress(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

} // namespace

class CrashFleet::Play {
public:
    explicit Play(CrashFleetOptions options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_servers.resize(options.servers);
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            m_servers[i].zone = i % options.zones;
            m_indexOf[serverIdOf(serverName(i))] = i;
        }
        m_instances.resize(options.instances);
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            m_list.instances.push_back({ InstanceName { "i" + std::to_string(i) }, ZoneName { "z" + std::to_string(i % options.zones) }, instanceAddress(i), false });
            m_instanceAt[instanceAddress(i).host] = i;
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            start(i);
            schedule(Duration { static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(TICK.count())) }, [this, i] { tick(i); });
        }
    }

    void run(Duration time) { m_schedule.runUntil(now() + time); }
    Time now() const { return m_schedule.now(); }
    std::size_t size() const { return m_instances.size(); }
    Instance& instance(std::size_t index) { return m_instances[index]; }
    SimulatedServer& server(std::size_t index) { return m_servers[index]; }
    TargetRecord& record(const TargetKey& target) { return m_records[target]; }
    void setMessageLoss(double share) { m_messageLoss = share; }
    std::size_t quarantineMessages() const { return m_quarantineMessages; }

    void setCrashes(const TargetKey& target, bool crashes)
    {
        if (crashes)
            m_crashing.insert(target);
        else
            m_crashing.erase(target);
    }

    void start(std::size_t index)
    {
        Settings settings;
        settings.name = m_list.instances[index].name;
        settings.zone = m_list.instances[index].zone;
        settings.peers = m_list.instances[index].address;
        settings.fleetRetryAllowance = 200;
        Instance& instance = m_instances[index];
        instance.isUp = true;
        instance.isFrozen = false;
        instance.waiting.clear();
        instance.tries.clear();
        ++instance.start;
        instance.reducer = std::make_unique<Reducer>(Reducer::Builder()
                                                         .settings(settings)
                                                         .incarnation(Incarnation { ++m_lastIncarnation })
                                                         .start(now())
                                                         .sheetReader([this](std::string_view text, Reasons&) { return makeSheet(text); })
                                                         .build());
        apply(index, m_list);
        apply(index, SheetFetched { std::to_string(m_sheetVersion) });
    }

    void kill(std::size_t index)
    {
        Instance& instance = m_instances[index];
        instance.isUp = false;
        instance.waiting.clear();
        instance.tries.clear();
        for (SimulatedServer& server : m_servers)
            std::erase_if(server.running, [index](const RunningTry& running) { return running.instance == index; });
    }

    void resume(std::size_t index)
    {
        Instance& instance = m_instances[index];
        instance.isFrozen = false;
        for (EventBody& event : std::exchange(instance.waiting, {}))
            receive(index, instance.start, std::move(event));
    }

    void setIsolated(std::size_t index, bool isolated)
    {
        m_instances[index].isIsolated = isolated;
        if (!isolated)
            m_instances[index].healedAt = now();
    }

    void send(std::size_t index, const TargetKey& target)
    {
        TargetRecord& record = m_records[target];
        ++record.sent;
        Instance& instance = m_instances[index];
        if (!instance.isUp || instance.isFrozen) {
            ++record.failed;
            return;
        }
        const RequestId id { ++m_lastRequest };
        m_requests[id.value()] = target;
        apply(index, HeadReceived { id, "GET", target.second, {}, CALLER_DEADLINE, false, target.first });
        apply(index, BodyReceived { id, Fingerprint { std::hash<std::string> {}(target.second) } });
    }

    void crashServer(std::size_t index)
    {
        SimulatedServer& server = m_servers[index];
        if (!server.isUp)
            return;
        server.isUp = false;
        for (const RunningTry& running : std::exchange(server.running, {}))
            finish(running.instance, index, running.id, lostResult(), {});
        schedule(m_options.downTime, [this, index] { startServer(index); });
    }

private:
    void schedule(Duration after, std::function<void()> action) { m_schedule.add(after, std::move(action)); }
    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    // A lost connection was new or reused.
    TryResult lostResult() { return m_random() % 2 ? TryResult::Crashed : TryResult::StaleConnection; }

    std::optional<Sheet> makeSheet(std::string_view version) const
    {
        Sheet sheet;
        sheet.version = SheetVersion { std::stoull(std::string(version)) };
        SheetService service;
        service.name = ServiceName { "pages" };
        service.placement = Placement::ExpectedCost;
        service.retryPercent = 50;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            SheetServer server;
            server.name = serverName(i);
            server.address = { "10.2.0.1", 80 };
            server.zone = ZoneName { "z" + std::to_string(m_servers[i].zone) };
            server.slots = Slots { m_options.slots };
            server.connections = 1000;
            server.incarnation = m_options.hasIncarnations ? m_servers[i].incarnation : 0;
            service.servers.push_back(std::move(server));
        }
        sheet.services.push_back(std::move(service));
        SheetRule rule;
        rule.key = KeyMode::None;
        rule.timeLimit = TIME_LIMIT;
        rule.tries = 2;
        for (const char* host : { "h", "other" }) {
            rule.host = host;
            rule.name = std::string("pages of ") + host;
            rule.path = "/";
            rule.kind = RequestKind::Idempotent;
            sheet.rules.push_back(rule);
            rule.name = std::string("orders of ") + host;
            rule.path = "/order";
            rule.kind = RequestKind::AtMostOnce;
            sheet.rules.push_back(rule);
        }
        return sheet;
    }

    void startServer(std::size_t index)
    {
        m_servers[index].isUp = true;
        ++m_servers[index].incarnation;
        ++m_sheetVersion;
        schedule(PUBLICATION_DELAY, [this] {
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                receive(i, m_instances[i].start, SheetFetched { std::to_string(m_sheetVersion) });
        });
    }

    void tick(std::size_t index)
    {
        if (m_instances[index].isUp && !m_instances[index].isFrozen)
            apply(index, Tick {});
        schedule(TICK, [this, index] { tick(index); });
    }

    void apply(std::size_t index, EventBody body)
    {
        EffectList effects;
        m_instances[index].reducer->apply({ now(), m_random(), std::move(body) }, effects);
        for (const Effect& effect : effects)
            std::visit([&](const auto& what) { handle(index, what); }, effect);
    }

    // What reaches an instance waits while it is frozen, and is lost if it has been killed since.
    void receive(std::size_t index, std::uint64_t start, EventBody event)
    {
        Instance& instance = m_instances[index];
        if (!instance.isUp || instance.start != start)
            return;
        if (instance.isFrozen)
            instance.waiting.push_back(std::move(event));
        else
            apply(index, std::move(event));
    }

    template <typename Ignored>
    void handle(std::size_t, const Ignored&)
    {
    }

    void handle(std::size_t, const RelayResponse& effect)
    {
        if (TargetRecord* record = endRequest(effect.request))
            ++record->served;
    }

    void handle(std::size_t, const Refuse& effect)
    {
        TargetRecord* record = endRequest(effect.request);
        if (!record)
            return;
        const bool isQuarantined = effect.error == ErrorKind::RequestQuarantined && effect.outcome == Outcome::NotRun;
        ++(isQuarantined ? record->quarantined : record->failed);
    }

    TargetRecord* endRequest(RequestId id)
    {
        const auto found = m_requests.find(id.value());
        if (found == m_requests.end())
            return nullptr;
        TargetRecord& record = m_records[found->second];
        m_requests.erase(found);
        return &record;
    }

    void handle(std::size_t from, const SendPeerMessage& effect)
    {
        const auto found = m_instanceAt.find(effect.address.host);
        if (found == m_instanceAt.end())
            return;
        const std::size_t to = found->second;
        m_quarantineMessages += effect.message->has_quarantine_news();
        if (m_instances[from].isIsolated || m_instances[to].isIsolated || chance(m_messageLoss))
            return;
        auto message = std::make_shared<peer::Envelope>(*effect.message);
        if (m_instances[from].isEarlier || m_instances[to].isEarlier) {
            if (message->has_quarantine_news())
                return;
            if (m_instances[from].isEarlier && message->has_evidence()) {
                for (peer::CrashRow& row : *message->mutable_evidence()->mutable_crashes())
                    row.clear_in_news();
            }
        }
        const Duration delay = (from % m_options.zones == to % m_options.zones ? ZONE_DELAY : REMOTE_DELAY) + m_instances[from].messageDelay;
        schedule(delay, [this, to, start = m_instances[to].start, message = std::shared_ptr<const peer::Envelope>(std::move(message))] {
            receive(to, start, PeerMessageReceived { message });
        });
    }

    void handle(std::size_t index, const SendTry& effect)
    {
        const std::size_t server = m_indexOf.at(effect.server);
        m_instances[index].tries.insert(effect.id.value());
        const TargetKey target = m_requests.at(effect.request.value());
        schedule(effect.deadline - now(), [this, index, start = m_instances[index].start, id = effect.id] { end(index, start, { id, TryResult::TimedOut, nullptr }); });
        schedule(delayTo(index, server), [this, index, server, target, id = effect.id, start = m_instances[index].start] {
            if (m_instances[index].start == start)
                reachServer(index, server, { index, id, target });
        });
    }

    void handle(std::size_t index, const CancelTry& effect)
    {
        schedule(Duration {}, [this, index, start = m_instances[index].start, id = effect.id] { end(index, start, { id, TryResult::Cancelled, nullptr }); });
    }

    Duration delayTo(std::size_t index, std::size_t server) const
    {
        return index % m_options.zones == m_servers[server].zone ? ZONE_DELAY : REMOTE_DELAY;
    }

    void reachServer(std::size_t index, std::size_t serverIndex, const RunningTry& running)
    {
        SimulatedServer& server = m_servers[serverIndex];
        if (!server.isUp)
            return finish(index, serverIndex, running.id, TryResult::NotSent, {});
        if (chance(server.resets))
            return finish(index, serverIndex, running.id, lostResult(), {});
        if (server.running.size() >= m_options.slots)
            return finish(index, serverIndex, running.id, TryResult::Shed, m_shed);
        server.running.push_back(running);
        if (m_crashing.contains(running.target)) {
            m_records[running.target].crashes.push_back({ now(), m_instances[index].isIsolated || now() < m_instances[index].healedAt + STABLE_WINDOW });
            return crashServer(serverIndex);
        }
        schedule(m_options.workTime, [this, index, serverIndex, incarnation = server.incarnation, id = running.id] {
            SimulatedServer& worked = m_servers[serverIndex];
            if (!worked.isUp || worked.incarnation != incarnation)
                return;
            if (std::erase_if(worked.running, [&](const RunningTry& other) { return other.instance == index && other.id == id; }))
                finish(index, serverIndex, id, TryResult::Answered, m_success);
        });
    }

    void finish(std::size_t index, std::size_t server, TryId id, TryResult result, const ResponsePtr& response)
    {
        schedule(delayTo(index, server), [this, index, start = m_instances[index].start, id, result, response] { end(index, start, { id, result, response }); });
    }

    void end(std::size_t index, std::uint64_t start, TryFinished event)
    {
        if (m_instances[index].start == start && m_instances[index].tries.erase(event.id.value()))
            receive(index, start, std::move(event));
    }

    CrashFleetOptions m_options;
    std::mt19937_64 m_random;
    Schedule m_schedule { Time { std::chrono::hours(1) } };
    std::vector<SimulatedServer> m_servers;
    std::unordered_map<ServerId, std::size_t> m_indexOf;
    std::vector<Instance> m_instances;
    std::unordered_map<std::string, std::size_t> m_instanceAt;
    InstancesListed m_list;
    std::set<TargetKey> m_crashing;
    std::map<TargetKey, TargetRecord> m_records;
    std::unordered_map<std::uint64_t, TargetKey> m_requests;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_sheetVersion = 1;
    double m_messageLoss = 0;
    std::size_t m_quarantineMessages = 0;
    const ResponsePtr m_success = std::make_shared<const Response>(Response { 200, {}, {} });
    const ResponsePtr m_shed = std::make_shared<const Response>(Response { 503, {}, {} });
};

CrashFleet::CrashFleet(CrashFleetOptions options)
    : m_play(std::make_unique<Play>(options))
{
}

CrashFleet::CrashFleet(CrashFleet&&) noexcept = default;
CrashFleet::~CrashFleet() = default;

void CrashFleet::run(Duration time) { m_play->run(time); }
Time CrashFleet::now() const { return m_play->now(); }
std::size_t CrashFleet::size() const { return m_play->size(); }
void CrashFleet::setCrashes(const std::string& host, const std::string& target, bool crashes) { m_play->setCrashes({ host, target }, crashes); }
void CrashFleet::send(std::size_t instance, const std::string& target, const std::string& host) { m_play->send(instance, { host, target }); }
const TargetRecord& CrashFleet::record(const std::string& target, const std::string& host) const { return m_play->record({ host, target }); }
void CrashFleet::crashServer(std::size_t server) { m_play->crashServer(server); }
void CrashFleet::setResets(std::size_t server, double share) { m_play->server(server).resets = share; }
void CrashFleet::kill(std::size_t instance) { m_play->kill(instance); }
void CrashFleet::start(std::size_t instance) { m_play->start(instance); }
void CrashFleet::freeze(std::size_t instance) { m_play->instance(instance).isFrozen = true; }
void CrashFleet::resume(std::size_t instance) { m_play->resume(instance); }
void CrashFleet::setIsolated(std::size_t instance, bool isolated) { m_play->setIsolated(instance, isolated); }
void CrashFleet::setMessageDelay(std::size_t instance, Duration delay) { m_play->instance(instance).messageDelay = delay; }
void CrashFleet::setMessageLoss(double share) { m_play->setMessageLoss(share); }
void CrashFleet::setEarlierVersion(std::size_t instance, bool earlier) { m_play->instance(instance).isEarlier = earlier; }
std::size_t CrashFleet::quarantineMessages() const { return m_play->quarantineMessages(); }

std::size_t CrashFleet::runsOf(std::size_t server, const std::string& target) const
{
    const auto& running = m_play->server(server).running;
    return static_cast<std::size_t>(std::count_if(running.begin(), running.end(), [&](const RunningTry& candidate) { return candidate.target.second == target; }));
}

} // namespace cornelwind::test
