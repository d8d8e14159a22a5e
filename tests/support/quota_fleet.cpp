#include "support/quota_fleet.h"

#include "peer.pb.h"
#include "support/schedule.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace cornelwind::test {
namespace {

    constexpr Duration TICK = std::chrono::milliseconds(10);
    constexpr Duration WARMUP = std::chrono::seconds(5);
    constexpr Duration ZONE_DELAY = std::chrono::microseconds(200);
    constexpr Duration REMOTE_DELAY = std::chrono::microseconds(900);
    constexpr Duration LAG = std::chrono::milliseconds(300);
    constexpr Duration WORK = std::chrono::milliseconds(5);
    constexpr double WINDOW = 5;
    constexpr double OVER = 0.25;
    constexpr double SLACK = 20;
    constexpr std::size_t ZONES = 3;
    constexpr const char* WORKSPACE = "w";

    Duration durationOf(double seconds) { return Duration { static_cast<Duration::rep>(seconds * 1e6) }; }

    class Play {
    public:
        Play(const QuotaDay& day, std::uint64_t seed)
            : m_day(day)
            , m_random(seed)
        {
            findCoordinator();
            for (std::size_t i = 0; i < day.instances; ++i)
                m_list.instances.push_back({ nameOf(i), ZoneName { "z" + std::to_string(i % ZONES) }, addressOf(i), false });
            m_reducers.resize(day.instances);
            m_ready.resize(day.instances);
            for (std::size_t i = 0; i < day.instances; ++i) {
                if (!has(QuotaTrouble::Kind::Absent, i))
                    start(i);
            }
        }

        QuotaReport run()
        {
            for (std::size_t i = 0; i < m_day.instances; ++i)
                m_schedule.add(durationOf(0.01 * uniform()), [this, i] { tick(i); });
            for (const QuotaTrouble& trouble : m_day.troubles)
                scheduleTrouble(trouble);
            if (m_day.changeAt)
                m_schedule.add(WARMUP + durationOf(*m_day.changeAt), [this] { publish(2); });
            m_schedule.add(WARMUP, [this] { arrive(); });
            m_schedule.runUntil(m_start + durationOf(m_day.seconds + 3));
            return report();
        }

    private:
        using Kind = QuotaTrouble::Kind;

        struct CallerRequest {
            double at = 0;
            std::optional<double> sentAt;
            bool ended = false;
        };

        double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        Time now() const { return m_schedule.now(); }
        double secondsNow() const { return std::chrono::duration<double>(now() - m_start).count(); }
        static InstanceName nameOf(std::size_t index) { return InstanceName { "i" + std::to_string(index) }; }
        static Endpoint addressOf(std::size_t index) { return { "10.1.0." + std::to_string(index + 1), 9000 }; }

        static std::uint64_t hashOf(std::size_t index)
        {
            std::uint64_t bits = workspaceIdOf(WorkspaceName { WORKSPACE }).value() ^ serverIdOf(ServerName { nameOf(index).value() }).value();
            bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
            bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
            return bits ^ (bits >> 31);
        }

        void findCoordinator()
        {
            for (std::size_t i = 1; i < m_day.instances; ++i)
                m_coordinator = hashOf(i) > hashOf(m_coordinator) ? i : m_coordinator;
        }

        bool concerns(const QuotaTrouble& trouble, std::size_t instance) const
        {
            if (trouble.first < 0)
                return instance == m_coordinator;
            const auto first = static_cast<std::size_t>(trouble.first);
            return instance >= first && instance < first + trouble.count;
        }

        const QuotaTrouble* has(Kind kind, std::size_t instance) const
        {
            const auto found = std::find_if(m_day.troubles.begin(), m_day.troubles.end(), [&](const QuotaTrouble& trouble) { return trouble.kind == kind && concerns(trouble, instance); });
            return found == m_day.troubles.end() ? nullptr : &*found;
        }

        const QuotaTrouble* current(Kind kind, std::size_t instance) const
        {
            const QuotaTrouble* trouble = has(kind, instance);
            return trouble && trouble->from <= secondsNow() && secondsNow() < trouble->to ? trouble : nullptr;
        }

        bool takesRequests(std::size_t instance) const
        {
            return m_reducers[instance] && m_ready[instance] && !current(Kind::Frozen, instance) && !current(Kind::Stopped, instance);
        }

        bool reach(std::size_t a, std::size_t b) const
        {
            const QuotaTrouble* cutA = current(Kind::CutOff, a);
            const QuotaTrouble* cutB = current(Kind::CutOff, b);
            return cutA == cutB && !(cutA && cutA->alone);
        }

        void scheduleTrouble(const QuotaTrouble& trouble)
        {
            for (std::size_t i = 0; i < m_day.instances; ++i) {
                if (!concerns(trouble, i))
                    continue;
                if (trouble.kind == Kind::Killed)
                    m_schedule.add(WARMUP + durationOf(trouble.from), [this, i] { m_reducers[i].reset(); });
                if (trouble.kind == Kind::Killed || trouble.kind == Kind::Absent)
                    m_schedule.add(WARMUP + durationOf(trouble.to), [this, i] { start(i); });
                if (trouble.kind == Kind::Stopped)
                    m_schedule.add(WARMUP + durationOf(trouble.from), [this, i] { apply(i, StopRequested {}); });
            }
        }

        Sheet makeSheet(std::string_view text) const
        {
            Sheet sheet;
            sheet.version = SheetVersion { text == "2" ? 2U : 1U };
            sheet.text = std::string(text);
            SheetService service;
            service.name = ServiceName { "orders" };
            service.placement = Placement::ExpectedCost;
            for (std::size_t i = 0; i < ZONES; ++i)
                service.servers.push_back({ ServerName { "s" + std::to_string(i) }, { "10.2.0.1", 80 }, ZoneName { "z" + std::to_string(i) }, Slots { 5000 }, 100000, 0, {} });
            sheet.services.push_back(std::move(service));
            SheetRule rule;
            rule.name = "order";
            rule.path = "/";
            rule.key = KeyMode::None;
            sheet.rules.push_back(rule);
            WorkspaceDirectory::Builder builder;
            builder.addWorkspace({ WorkspaceName { WORKSPACE }, {}, text == "2" ? m_day.changed : m_day.quota });
            builder.addKey("key");
            sheet.workspaces = std::make_shared<const WorkspaceDirectory>(builder.build());
            return sheet;
        }

        void start(std::size_t index)
        {
            Settings settings;
            settings.name = nameOf(index);
            settings.zone = m_list.instances[index].zone;
            settings.peers = addressOf(index);
            m_ready[index] = false;
            m_reducers[index] = std::make_unique<Reducer>(Reducer::Builder()
                                                              .settings(settings)
                                                              .incarnation(Incarnation { m_random() | 1 })
                                                              .start(now())
                                                              .sheetReader([this](std::string_view text, Reasons&) { return makeSheet(text); })
                                                              .build());
            apply(index, m_list);
            apply(index, SheetFetched { m_day.changeAt && secondsNow() >= *m_day.changeAt ? "2" : "1" });
        }

        void publish(int version)
        {
            for (std::size_t i = 0; i < m_reducers.size(); ++i)
                m_schedule.add(durationOf(0.3 * uniform()), [this, i, version] { receive(i, SheetFetched { std::to_string(version) }); });
        }

        void tick(std::size_t instance)
        {
            m_schedule.add(TICK, [this, instance] { tick(instance); });
            if (!current(Kind::Frozen, instance))
                apply(instance, Tick {});
        }

        std::size_t chooseInstance()
        {
            if (m_day.spread != QuotaSpread::Even) {
                const auto index = m_day.spread == QuotaSpread::One ? 0 : static_cast<std::size_t>(secondsNow()) * 5 % m_day.instances;
                if (takesRequests(index))
                    return index;
            }
            for (;;) {
                const auto index = static_cast<std::size_t>(uniform() * static_cast<double>(m_day.instances));
                if (takesRequests(index))
                    return index;
            }
        }

        void arrive()
        {
            if (secondsNow() >= m_day.seconds)
                return;
            m_schedule.add(durationOf(std::exponential_distribution<double>(m_day.load * m_day.quota.perSecond)(m_random)), [this] { arrive(); });
            const std::size_t instance = chooseInstance();
            m_requests.push_back({ secondsNow(), {}, false });
            const RequestId id { m_requests.size() };
            apply(instance, HeadReceived { id, "POST", "/order", {}, Millis { 2500 }, false, {}, {}, "key" });
            apply(instance, BodyReceived { id, Fingerprint { id.value() } });
        }

        void apply(std::size_t instance, EventBody body)
        {
            if (!m_reducers[instance])
                return;
            EffectList effects;
            m_reducers[instance]->apply({ now(), m_random(), std::move(body) }, effects);
            for (const Effect& effect : effects)
                std::visit([&](const auto& what) { handle(instance, what); }, effect);
        }

        void receive(std::size_t instance, EventBody event)
        {
            if (const QuotaTrouble* freeze = current(Kind::Frozen, instance))
                m_schedule.add(durationOf(freeze->to - secondsNow()) + Duration { 1 }, [this, instance, event = std::move(event)] { receive(instance, event); });
            else
                apply(instance, std::move(event));
        }

        template <typename Ignored>
        void handle(std::size_t, const Ignored&)
        {
        }

        void handle(std::size_t instance, const SetReady& effect) { m_ready[instance] = effect.ready; }

        void handle(std::size_t, const ReportDecision& effect)
        {
            const DecisionKind kind = effect.decision.kind;
            m_report.takeovers += kind == DecisionKind::QuotaTakenOver;
            m_report.logLines += kind == DecisionKind::QuotaTakenOver || kind == DecisionKind::QuotaUsedUp || kind == DecisionKind::QuotaAvailable;
        }

        void handle(std::size_t from, const SendPeerMessage& effect)
        {
            const auto body = effect.message->body_case();
            m_messages += body == peer::Envelope::kQuotaRequest || body == peer::Envelope::kQuotaReply || body == peer::Envelope::kQuotaReturn;
            const auto to = static_cast<std::size_t>(std::stoul(effect.address.host.substr(7))) - 1;
            if (!reach(from, to))
                return;
            const Duration delay = (from % ZONES == to % ZONES ? ZONE_DELAY : REMOTE_DELAY) + (current(Kind::Lagging, from) ? LAG : Duration {});
            m_schedule.add(delay, [this, to, message = std::shared_ptr<const peer::Envelope>(effect.message)] { receive(to, PeerMessageReceived { message }); });
        }

        void handle(std::size_t instance, const SendTry& effect)
        {
            CallerRequest& request = m_requests.at(effect.request.value() - 1);
            if (!request.sentAt)
                request.sentAt = secondsNow();
            m_schedule.add(WORK, [this, instance, id = effect.id] { receive(instance, TryFinished { id, TryResult::Answered, m_success, {} }); });
        }

        void handle(std::size_t, const RelayResponse& effect)
        {
            m_requests.at(effect.request.value() - 1).ended = true;
            ++m_report.served;
        }

        void handle(std::size_t, const Refuse& effect)
        {
            m_requests.at(effect.request.value() - 1).ended = true;
            if (effect.error != ErrorKind::QuotaExceeded || effect.outcome != Outcome::NotRun || !effect.retryAfter) {
                ++m_report.others;
                return;
            }
            ++m_report.refused;
            m_refusedAt.push_back(secondsNow());
        }

        const WorkspaceQuota* quotaAt(double at) const
        {
            if (!m_day.changeAt || at < *m_day.changeAt)
                return &m_day.quota;
            return m_day.changed ? &*m_day.changed : nullptr;
        }

        QuotaReport report()
        {
            std::vector<double> sends;
            std::vector<double> delays;
            for (const CallerRequest& request : m_requests) {
                if (!request.sentAt)
                    continue;
                sends.push_back(*request.sentAt);
                delays.push_back(1000 * (*request.sentAt - request.at));
            }
            std::sort(sends.begin(), sends.end());
            std::sort(delays.begin(), delays.end());
            m_report.requests = m_requests.size();
            m_report.delay99 = delays.empty() ? 0 : delays[delays.size() * 99 / 100];
            m_report.messages = static_cast<double>(m_messages) / static_cast<double>(std::max<std::size_t>(m_requests.size(), 1));
            checkWindows(sends);
            countWrongRefusals();
            return m_report;
        }

        // A lowered limit applies one window after all instances know it.
        void checkWindows(const std::vector<double>& sends)
        {
            m_report.overBound = -1e9;
            for (auto first = sends.begin(); first != sends.end(); ++first) {
                const WorkspaceQuota* quota = quotaAt(*first - WINDOW - 0.3);
                const WorkspaceQuota* last = quotaAt(*first + WINDOW);
                if (!quota || !last)
                    continue;
                const auto count = static_cast<double>(std::lower_bound(first, sends.end(), *first + WINDOW) - first);
                const double allowed = std::max(quota->perSecond, last->perSecond) * WINDOW + std::max(quota->burst, last->burst);
                m_report.highestUse = std::max(m_report.highestUse, count / allowed);
                m_report.overBound = std::max(m_report.overBound, count - (allowed * (1 + OVER) + SLACK));
            }
        }

        // A refusal is wrong if a single bucket for the whole fleet, from which all requests that ran took a token when they came, had one left.
        void countWrongRefusals()
        {
            double level = m_day.quota.burst;
            double filledAt = 0;
            auto request = m_requests.begin();
            const auto refill = [&](double at) {
                if (const WorkspaceQuota* quota = quotaAt(at))
                    level = std::min(level + quota->perSecond * (at - filledAt), quota->burst);
                filledAt = at;
            };
            std::sort(m_refusedAt.begin(), m_refusedAt.end());
            for (const double at : m_refusedAt) {
                for (; request != m_requests.end() && request->at < at; ++request) {
                    if (!request->sentAt)
                        continue;
                    refill(request->at);
                    --level;
                }
                refill(at);
                if (level >= 1) {
                    ++m_report.wronglyRefused;
                    --level;
                }
            }
        }

        QuotaDay m_day;
        std::mt19937_64 m_random;
        Schedule m_schedule { Time { std::chrono::seconds(100) } };
        Time m_start = now() + WARMUP;
        InstancesListed m_list;
        std::vector<std::unique_ptr<Reducer>> m_reducers;
        std::vector<bool> m_ready;
        std::vector<CallerRequest> m_requests;
        std::vector<double> m_refusedAt;
        std::size_t m_coordinator = 0;
        std::size_t m_messages = 0;
        QuotaReport m_report;
        const ResponsePtr m_success = std::make_shared<const Response>(Response { 200, {}, {} });
    };

} // namespace

QuotaReport playQuotaDay(const QuotaDay& day, std::uint64_t seed)
{
    return Play(day, seed).run();
}

} // namespace cornelwind::test
