#include "support/simulated_store_fleet.h"

#include "cornelwind/reducer.h"
#include "metadata_store_watcher.h"
#include "peer.pb.h"
#include "support/schedule.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace cornelwind::test {
namespace {

    constexpr Duration TICK = std::chrono::milliseconds(10);
    // One way, within an availability zone and between two.
    constexpr Duration ZONE_DELAY = std::chrono::microseconds(200);
    constexpr Duration REMOTE_DELAY = std::chrono::microseconds(1400);
    // To the store with a new connection, and back with the time that the store takes.
    constexpr Duration CALL_DELAY = std::chrono::milliseconds(5);
    constexpr Duration ANSWER_DELAY = std::chrono::milliseconds(7);
    constexpr Duration CALL_TIMEOUT = std::chrono::milliseconds(1500);
    constexpr std::size_t SEEDS = 3;

    /// Runs an action of an instance, as soon as the instance runs.
    using Runner = std::function<void(std::function<void()>)>;

    /// A timer in the simulated time of one instance.
    class SimulatedTimer final : public OneShotTimer {
    public:
        SimulatedTimer(Schedule& schedule, Runner runner, std::function<Time()> clock)
            : m_schedule(schedule)
            , m_runner(std::move(runner))
            , m_clock(std::move(clock))
        {
        }

        ~SimulatedTimer() override { ++*m_started; }

        void start(Duration delay, std::function<void()> action) override
        {
            m_schedule.add(delay, [started = *m_started + 1, current = m_started, action = std::move(action), runner = m_runner] {
                runner([=] {
                    if (*current == started)
                        action();
                });
            });
            ++*m_started;
        }

        void cancel() override { ++*m_started; }
        Time now() const override { return m_clock(); }

    private:
        Schedule& m_schedule;
        Runner m_runner;
        std::function<Time()> m_clock;
        /// Number of starts and cancellations; actions of earlier ones are dropped.
        std::shared_ptr<std::uint64_t> m_started = std::make_shared<std::uint64_t>(0);
    };

    /// The data of the store and the calls that wait for changes.
    class Store {
    public:
        using Handler = MetadataStore::Handler;

        explicit Store(Schedule& schedule)
            : m_schedule(schedule)
        {
        }

        void write(StoreChange change)
        {
            change.revision = StoreRevision { ++m_data.revision };
            if (change.sheet)
                m_data.sheet = *change.sheet;
            if (change.server) {
                change.server->position = { {}, change.revision };
                if (change.server->server)
                    m_data.servers[change.server->name] = *change.server;
                else
                    m_data.servers.erase(change.server->name);
            }
            m_data.history.push_back(std::move(change));
            for (Waiting& waiting : std::exchange(m_waiting, {}))
                answer(waiting.handler, changesAfter(waiting.after));
        }

        void readSheet(const Handler& handler)
        {
            StoreReply reply = makeReply();
            reply.changes.push_back({ reply.revision, m_data.sheet, {} });
            answer(handler, std::move(reply));
        }

        void readServers(const Handler& handler)
        {
            StoreReply reply = makeReply();
            for (const auto& [name, change] : m_data.servers)
                reply.changes.push_back({ change.position.revision, {}, change });
            answer(handler, std::move(reply));
        }

        void watch(std::size_t instance, StoreRevision after, Duration wait, const Handler& handler)
        {
            if (after.value() != m_data.revision || wait <= Duration {})
                return answer(handler, changesAfter(after));
            const std::uint64_t number = ++m_lastWaiting;
            m_waiting.push_back({ instance, number, after, handler });
            m_schedule.add(wait, [this, number] {
                const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& waiting) { return waiting.number == number; });
                if (found == m_waiting.end())
                    return;
                answer(found->handler, changesAfter(found->after));
                m_waiting.erase(found);
            });
        }

        /// Drops the waiting calls of an instance.
        ///
        /// @param cut whether the instance notices
        void drop(std::size_t instance, bool cut)
        {
            std::erase_if(m_waiting, [&](const Waiting& waiting) {
                if (waiting.instance == instance && cut)
                    answer(waiting.handler, {});
                return waiting.instance == instance;
            });
        }

        void answer(const Handler& handler, StoreReply reply)
        {
            m_schedule.add(ANSWER_DELAY, [handler, reply = std::move(reply)] { handler(reply); });
        }

        void setEraHeader(EraHeader header) { m_header = header; }
        void copy() { m_copy = m_data; }

        void restore()
        {
            m_data = m_copy;
            ++m_era;
            for (const Waiting& waiting : std::exchange(m_waiting, {}))
                answer(waiting.handler, {});
        }

        /// Takes a revision for a value that the fleet does not read.
        void writeOther() { ++m_data.revision; }

        const std::string& sheet() const { return m_data.sheet; }
        const std::map<ServerName, ServerChange>& servers() const { return m_data.servers; }

    private:
        struct Data {
            std::uint64_t revision = 0;
            std::string sheet;
            std::map<ServerName, ServerChange> servers;
            std::vector<StoreChange> history;
        };

        struct Waiting {
            std::size_t instance;
            std::uint64_t number;
            StoreRevision after;
            Handler handler;
        };

        StoreReply makeReply()
        {
            StoreReply reply;
            reply.status = StoreStatus::Ok;
            reply.revision = StoreRevision { m_data.revision };
            stateEra(reply);
            return reply;
        }

        void stateEra(StoreReply& reply)
        {
            const bool isOdd = ++m_replies % 2;
            if (m_header == EraHeader::Correct || (m_header > EraHeader::Correct && m_header != EraHeader::Smaller && isOdd))
                reply.era = StoreEra { m_era };
            else if (m_header == EraHeader::OftenUnreadable)
                reply.unreadableEra = "seven";
            else if (m_header == EraHeader::OftenSmaller || m_header == EraHeader::Smaller)
                reply.era = StoreEra { m_era - 1 };
        }

        StoreReply changesAfter(StoreRevision after)
        {
            StoreReply reply = makeReply();
            if (after > reply.revision) {
                reply.status = StoreStatus::HistoryGone;
                return reply;
            }
            std::copy_if(m_data.history.begin(), m_data.history.end(), std::back_inserter(reply.changes), [&](const StoreChange& change) { return change.revision > after; });
            return reply;
        }

        Schedule& m_schedule;
        Data m_data;
        Data m_copy;
        std::uint64_t m_era = 1;
        EraHeader m_header = EraHeader::None;
        std::uint64_t m_replies = 0;
        std::vector<Waiting> m_waiting;
        std::uint64_t m_lastWaiting = 0;
    };

    /// @return the text of a sheet: its version, then for each workspace a line with its name and keys
    std::string makeText(std::uint64_t version, const Workspaces& workspaces)
    {
        std::string text = std::to_string(version);
        for (const auto& [name, keys] : workspaces) {
            text += "\n" + name;
            for (const std::string& key : keys)
                text += " " + key;
        }
        return text;
    }

    Sheet makeSheet(const std::string& text)
    {
        std::istringstream lines(text);
        std::string line;
        std::getline(lines, line);
        Sheet sheet;
        sheet.version = SheetVersion { std::stoull(line) };
        WorkspaceDirectory::Builder workspaces;
        while (std::getline(lines, line)) {
            std::istringstream words(line);
            std::string word;
            words >> word;
            workspaces.addWorkspace({ WorkspaceName { word }, {}, {} });
            while (words >> word)
                workspaces.addKey(word);
        }
        if (auto directory = workspaces.build(); !directory.all().empty())
            sheet.workspaces = std::make_shared<const WorkspaceDirectory>(std::move(directory));
        SheetService service;
        service.name = ServiceName { "orders" };
        service.placement = Placement::ExpectedCost;
        sheet.services.push_back(service);
        SheetRule rule;
        rule.name = "order";
        rule.path = "/";
        rule.key = KeyMode::None;
        sheet.rules.push_back(rule);
        rule.name = "public";
        rule.path = "/public";
        rule.isPublic = true;
        sheet.rules.push_back(rule);
        return sheet;
    }

} // namespace

class SimulatedStoreFleet::Play {
public:
    Play(std::size_t instances, std::size_t zones, Millis changeDeadline, std::uint64_t seed, std::optional<Millis> keyRevocationDeadline)
        : m_random(seed)
        , m_store(m_schedule)
        , m_instances(instances)
        , m_zones(zones)
        , m_changeDeadline(changeDeadline)
        , m_keyRevocationDeadline(keyRevocationDeadline)
    {
        publishSheet({});
        for (int i = 0; i < 4; ++i)
            publishServer("s" + std::to_string(i), false);
        for (std::size_t i = 0; i < instances; ++i) {
            start(i);
            m_schedule.add(Duration { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(TICK.count())) }, [this, i] { tick(i); });
        }
    }

    void run(Duration time) { m_schedule.runUntil(m_schedule.now() + time); }
    std::size_t size() const { return m_instances.size(); }

    void setAccess(std::size_t instance, StoreAccess access)
    {
        m_instances[instance].access = access;
        if (access != StoreAccess::Served)
            m_store.drop(instance, access == StoreAccess::Refused);
    }

    void setIsolated(std::size_t instance, bool isolated) { m_instances[instance].isolated = isolated; }

    void start(std::size_t index)
    {
        Instance& instance = m_instances[index];
        m_store.drop(index, false);
        // Ping numbers start at the upper half.
        const std::uint64_t incarnation = ++m_lastIncarnation << 32;
        instance.pending.clear();
        instance.isPaused = false;
        Settings settings;
        settings.name = InstanceName { nameOf(index) };
        settings.zone = ZoneName { "z" + std::to_string(index % m_zones) };
        settings.peers = addressOf(index);
        settings.platformForm = PlatformForm::Store;
        settings.changeDeadline = m_changeDeadline;
        settings.keyRevocationDeadline = m_keyRevocationDeadline;
        for (std::size_t i = 0; i < std::min(SEEDS, m_instances.size()); ++i)
            settings.seeds.push_back(addressOf(i));
        instance.incarnation = incarnation;
        instance.reducer.emplace(Reducer::Builder()
                                     .settings(settings)
                                     .incarnation(Incarnation { incarnation })
                                     .start(clockOf(index))
                                     .sheetReader([](std::string_view text, Reasons&) { return makeSheet(std::string(text)); })
                                     .build());
        instance.watcher = std::make_unique<MetadataStoreWatcher>(
            std::make_unique<SimulatedTimer>(
                m_schedule, [this, index](std::function<void()> action) { runOrKeep(index, std::move(action)); }, [this, index] { return clockOf(index); }),
            std::make_unique<StoreOf>(*this, index),
            [this, index, incarnation](EventBody body) {
                if (m_instances[index].incarnation == incarnation)
                    apply(index, std::move(body));
            },
            [this] { return m_random(); });
        instance.watcher->start();
    }

    void pause(std::size_t index, Pause how)
    {
        m_instances[index].isPaused = true;
        m_instances[index].suspendedAt = how == Pause::Suspended ? std::optional(m_schedule.now()) : std::nullopt;
    }

    void resume(std::size_t index)
    {
        Instance& instance = m_instances[index];
        instance.isPaused = false;
        if (instance.suspendedAt) {
            const Duration time = m_schedule.now() - *instance.suspendedAt;
            instance.suspended += time;
            apply(index, SystemSuspended { time });
        }
        for (auto& action : std::exchange(instance.pending, {}))
            m_schedule.add({}, std::move(action));
    }

    void setMessageDelay(std::size_t instance, Duration delay) { m_instances[instance].messageDelay = delay; }

    Verdict send(std::size_t index, const std::string& apiKey, const std::string& path)
    {
        m_verdict = {};
        HeadReceived head { RequestId { ++m_lastRequest }, "POST", path, {}, {}, false };
        if (!apiKey.empty())
            head.apiKey = apiKey;
        apply(index, head);
        return m_verdict;
    }

    bool isReady(std::size_t index) const { return m_instances[index].reducer->status(clockOf(index)).ready; }

    void publishSheet(const Workspaces& workspaces)
    {
        m_sheet = makeText(++m_version, workspaces);
        m_store.write({ {}, m_sheet, {} });
    }

    Store& store() { return m_store; }

    void writeAgain()
    {
        if (m_store.sheet() != m_sheet)
            m_store.write({ {}, m_sheet, {} });
        for (const auto& [name, server] : m_stated) {
            const auto held = m_store.servers().find(name);
            if (held == m_store.servers().end() || held->second.server != server)
                m_store.write({ {}, {}, ServerChange { name, server, {} } });
        }
        const auto held = m_store.servers();
        for (const auto& [name, change] : held) {
            if (!m_stated.contains(name))
                m_store.write({ {}, {}, ServerChange { name, {}, {} } });
        }
    }

    void restartServer(const std::string& name)
    {
        --m_serverIncarnations.try_emplace(name, FIRST_SERVER_INCARNATION).first->second;
        publishServer(name, false);
    }

    void publishServer(const std::string& name, bool leaving)
    {
        PublishedServer server;
        server.name = ServerName { name };
        server.service = ServiceName { "orders" };
        server.address = { "10.2.0.1", 80 };
        server.zone = ZoneName { "z0" };
        server.leaving = leaving;
        server.incarnation = m_serverIncarnations.try_emplace(name, FIRST_SERVER_INCARNATION).first->second;
        m_stated[server.name] = server;
        m_store.write({ {}, {}, ServerChange { server.name, server, {} } });
    }

    void removeServer(const std::string& name)
    {
        m_stated.erase(ServerName { name });
        m_store.write({ {}, {}, ServerChange { ServerName { name }, {}, {} } });
    }

    bool isUpToDate(std::size_t index) const
    {
        Statements published;
        for (const auto& [name, change] : m_store.servers())
            published.emplace(name, *change.server);
        return uses(index, m_store.sheet(), published);
    }

    bool isTruthful(std::size_t index) const { return uses(index, m_sheet, m_stated); }

    std::size_t aliveMembers(std::size_t index) const
    {
        const Status status = m_instances[index].reducer->status(clockOf(index));
        return static_cast<std::size_t>(std::count_if(status.members.begin(), status.members.end(), [](const MemberStatus& member) { return member.state == "alive"; }));
    }

    std::size_t calls() const { return m_calls; }
    std::size_t bytesBetweenZones() const { return m_bytesBetweenZones; }

private:
    using Statements = std::map<ServerName, PublishedServer>;

    // Later starts have lower incarnations, since nothing promises that they are higher.
    static constexpr std::uint64_t FIRST_SERVER_INCARNATION = 1000;

    /// @return whether the instance has this sheet, and uses those servers that are not leaving
    bool uses(std::size_t index, const std::string& sheet, const Statements& servers) const
    {
        const Status status = m_instances[index].reducer->status(clockOf(index));
        std::set<ServerName> used;
        for (const ServerStatus& server : status.servers) {
            if (server.state == "serving")
                used.insert(server.name);
        }
        std::set<ServerName> expected;
        for (const auto& [name, server] : servers) {
            if (!server.leaving)
                expected.insert(name);
        }
        return status.sheet == makeSheet(sheet).version && used == expected;
    }

    struct Instance {
        StoreAccess access = StoreAccess::Served;
        bool isolated = false;
        bool isPaused = false;
        /// When the system was suspended; empty if the process is frozen.
        std::optional<Time> suspendedAt;
        /// Time that its clock has not counted.
        Duration suspended {};
        Duration messageDelay {};
        /// What happens once it runs again.
        std::vector<std::function<void()>> pending;
        std::uint64_t incarnation = 0;
        std::optional<Reducer> reducer;
        std::unique_ptr<MetadataStoreWatcher> watcher;
    };

    /// The store as one entry instance reaches it.
    class StoreOf final : public MetadataStore {
    public:
        StoreOf(Play& play, std::size_t instance)
            : m_play(play)
            , m_instance(instance)
        {
        }

        CallId readSheet(Handler handler) override
        {
            return m_play.call(m_instance, {}, std::move(handler), [](Store& store, const Handler& once) { store.readSheet(once); });
        }

        CallId readServers(const std::string&, Handler handler) override
        {
            return m_play.call(m_instance, {}, std::move(handler), [](Store& store, const Handler& once) { store.readServers(once); });
        }

        CallId watch(StoreRevision after, Millis wait, Handler handler) override
        {
            return m_play.call(m_instance, wait, std::move(handler), [=, instance = m_instance](Store& store, const Handler& once) { store.watch(instance, after, wait, once); });
        }

        // The watcher ignores replies to cancelled calls.
        void cancel(CallId) override { }

    private:
        Play& m_play;
        std::size_t m_instance;
    };

    CallId call(std::size_t instance, Duration wait, MetadataStore::Handler handler, std::function<void(Store&, const MetadataStore::Handler&)> serve)
    {
        ++m_calls;
        const auto done = std::make_shared<bool>(false);
        const MetadataStore::Handler once = [done, handler = std::move(handler), this, instance, incarnation = m_instances[instance].incarnation](StoreReply reply) {
            if (std::exchange(*done, true))
                return;
            runOrKeep(instance, [=, this, reply = std::move(reply)] {
                if (m_instances[instance].incarnation == incarnation)
                    handler(reply);
            });
        };
        m_schedule.add(wait + CALL_TIMEOUT, [once] { once({}); });
        m_schedule.add(CALL_DELAY, [this, instance, once, serve = std::move(serve)] {
            const StoreAccess access = m_instances[instance].access;
            if (access == StoreAccess::Served)
                return serve(m_store, once);
            StoreReply refused;
            refused.status = StoreStatus::Refused;
            if (access == StoreAccess::Refused)
                m_store.answer(once, refused);
        });
        return ++m_lastCall;
    }

    std::string nameOf(std::size_t index) const
    {
        char name[16];
        std::snprintf(name, sizeof name, "i%03zu", index);
        return name;
    }

    static Endpoint addressOf(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

    Time clockOf(std::size_t index) const { return m_schedule.now() - m_instances[index].suspended; }

    void runOrKeep(std::size_t index, std::function<void()> action)
    {
        if (m_instances[index].isPaused)
            m_instances[index].pending.push_back(std::move(action));
        else
            action();
    }

    void tick(std::size_t index)
    {
        if (!m_instances[index].isPaused)
            apply(index, Tick {});
        m_schedule.add(TICK, [this, index] { tick(index); });
    }

    void apply(std::size_t index, EventBody body)
    {
        EffectList effects;
        m_instances[index].reducer->apply({ clockOf(index), m_random(), std::move(body) }, effects);
        for (const Effect& effect : effects)
            std::visit([&](const auto& what) { handle(index, what); }, effect);
    }

    template <typename Ignored>
    void handle(std::size_t, const Ignored&)
    {
    }

    void handle(std::size_t index, const WatchPlatform& effect) { m_instances[index].watcher->watch(effect); }
    void handle(std::size_t, const Refuse& effect) { m_verdict.error = effect.error; }
    void handle(std::size_t index, const ReadBody& effect) { apply(index, BodyReceived { effect.request, {} }); }

    void handle(std::size_t index, const SendTry& effect)
    {
        m_verdict.workspace = effect.workspace.name.value();
        apply(index, TryFinished { effect.id, TryResult::Answered, std::make_shared<const Response>(Response { 200, {}, {} }) });
    }

    void handle(std::size_t index, const RefreshPublished&) { m_instances[index].watcher->refresh(); }

    void handle(std::size_t from, const SendPeerMessage& effect)
    {
        const std::size_t to = std::stoul(effect.address.host.substr(std::string("10.1.0.").size())) - 1;
        if (m_instances[from].isolated || m_instances[to].isolated)
            return;
        const bool sameZone = from % m_zones == to % m_zones;
        if (!sameZone)
            m_bytesBetweenZones += effect.message->ByteSizeLong();
        m_schedule.add(m_instances[from].messageDelay + (sameZone ? ZONE_DELAY : REMOTE_DELAY),
            [this, to, message = std::shared_ptr<const peer::Envelope>(effect.message)] { runOrKeep(to, [=, this] { apply(to, PeerMessageReceived { message }); }); });
    }

    std::mt19937_64 m_random;
    Schedule m_schedule { Time { std::chrono::seconds(100) } };
    Store m_store;
    std::vector<Instance> m_instances;
    std::size_t m_zones;
    Millis m_changeDeadline;
    std::optional<Millis> m_keyRevocationDeadline;
    Verdict m_verdict;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_version = 0;
    /// The sheet that the operator published last.
    std::string m_sheet;
    /// What each server stated last.
    Statements m_stated;
    std::map<std::string, std::uint64_t> m_serverIncarnations;
    std::uint64_t m_lastIncarnation = 0;
    CallId m_lastCall = 0;
    std::size_t m_calls = 0;
    std::size_t m_bytesBetweenZones = 0;
};

SimulatedStoreFleet::SimulatedStoreFleet(std::size_t instances, std::size_t zones, Millis changeDeadline, std::uint64_t seed, std::optional<Millis> keyRevocationDeadline)
    : m_play(std::make_unique<Play>(instances, zones, changeDeadline, seed, keyRevocationDeadline))
{
}

SimulatedStoreFleet::SimulatedStoreFleet(SimulatedStoreFleet&&) noexcept = default;
SimulatedStoreFleet::~SimulatedStoreFleet() = default;

void SimulatedStoreFleet::run(Duration time)
{
    m_play->run(time);
}

std::size_t SimulatedStoreFleet::size() const
{
    return m_play->size();
}

void SimulatedStoreFleet::setAccess(std::size_t instance, StoreAccess access)
{
    m_play->setAccess(instance, access);
}

void SimulatedStoreFleet::setAccessOfAll(StoreAccess access)
{
    for (std::size_t i = 0; i < size(); ++i)
        setAccess(i, access);
}

void SimulatedStoreFleet::setIsolated(std::size_t instance, bool isolated)
{
    m_play->setIsolated(instance, isolated);
}

void SimulatedStoreFleet::restart(std::size_t instance)
{
    m_play->start(instance);
}

void SimulatedStoreFleet::pause(std::size_t instance, Pause how)
{
    m_play->pause(instance, how);
}

void SimulatedStoreFleet::resume(std::size_t instance)
{
    m_play->resume(instance);
}

void SimulatedStoreFleet::setMessageDelay(std::size_t instance, Duration delay)
{
    m_play->setMessageDelay(instance, delay);
}

void SimulatedStoreFleet::publishSheet()
{
    m_play->publishSheet({});
}

void SimulatedStoreFleet::publishSheet(const Workspaces& workspaces)
{
    m_play->publishSheet(workspaces);
}

Verdict SimulatedStoreFleet::send(std::size_t instance, const std::string& apiKey, const std::string& path)
{
    return m_play->send(instance, apiKey, path);
}

bool SimulatedStoreFleet::isReady(std::size_t instance) const
{
    return m_play->isReady(instance);
}

void SimulatedStoreFleet::publishServer(const std::string& name, bool leaving)
{
    m_play->publishServer(name, leaving);
}

void SimulatedStoreFleet::removeServer(const std::string& name)
{
    m_play->removeServer(name);
}

void SimulatedStoreFleet::restartServer(const std::string& name)
{
    m_play->restartServer(name);
}

void SimulatedStoreFleet::setEraHeader(EraHeader header)
{
    m_play->store().setEraHeader(header);
}

void SimulatedStoreFleet::copyStore()
{
    m_play->store().copy();
}

void SimulatedStoreFleet::restoreStore()
{
    m_play->store().restore();
}

void SimulatedStoreFleet::writeOther()
{
    m_play->store().writeOther();
}

void SimulatedStoreFleet::writeAgain()
{
    m_play->writeAgain();
}

bool SimulatedStoreFleet::isTruthful(std::size_t instance) const
{
    return m_play->isTruthful(instance);
}

bool SimulatedStoreFleet::isUpToDate(std::size_t instance) const
{
    return m_play->isUpToDate(instance);
}

std::size_t SimulatedStoreFleet::aliveMembers(std::size_t instance) const
{
    return m_play->aliveMembers(instance);
}

std::size_t SimulatedStoreFleet::calls() const
{
    return m_play->calls();
}

std::size_t SimulatedStoreFleet::bytesBetweenZones() const
{
    return m_play->bytesBetweenZones();
}

} // namespace cornelwind::test
