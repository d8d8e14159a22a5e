#include "policies.h"

#include "context.h"
#include "cornelwind/detector.h"
#include "cornelwind/server_pool.h"
#include "ejector.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace cornelwind::benchmark {
namespace {

    constexpr Duration EJECTION_TIME = std::chrono::seconds(5);

    /// The detector and ejector of cornelwind on each entry instance. Digests between instances arrive one tick later.
    class SequentialPolicy final : public Policy {
    public:
        explicit SequentialPolicy(const PolicySetup& setup)
            : m_sheet(setup.sheet)
        {
            for (std::size_t i = 0; i < setup.instances; ++i)
                m_instances.push_back(std::make_unique<Instance>(*setup.sheet));
        }

        void onTrySent(std::size_t instance, TryId id, ServerId server, Time now) override { m_instances[instance]->detector.trySent(id, server, now); }

        void onTryEnded(std::size_t instance, TryId id, ServerId, std::optional<bool> failed, Time now) override
        {
            m_instances[instance]->detector.tryEnded(id, failed, now);
        }

        void tick(Time now) override
        {
            deliver(now);
            // The instances evaluate in different ticks of a round, because real instances are not synchronized.
            const auto tickInRound = (now.time_since_epoch() / std::chrono::milliseconds(10)) % EVALUATION_TICKS;
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (static_cast<std::size_t>(tickInRound) == i * EVALUATION_TICKS / m_instances.size())
                    evaluate(i, now);
            }
        }

        bool isEligible(std::size_t instance, ServerId id) const override
        {
            const Server* server = m_instances[instance]->pool.find(id);
            return server->state == ServerState::Serving && !server->avoided;
        }

        void onServerJoined(ServerId server, Time now) override
        {
            for (auto& instance : m_instances)
                instance->detector.ignoreSlownessUntil(server, now + m_sheet->services[0].coldStart);
        }

    private:
        /// Ticks between two evaluations of an instance.
        static constexpr std::size_t EVALUATION_TICKS = 25;

        struct Instance {
            explicit Instance(const Sheet& sheet)
                : pool(makeSlotShareSelector())
                , ejector(pool, detector)
            {
                pool.applySheet(sheet, Time {});
                detector.adopt(sheet);
            }

            ServerPool pool;
            Detector detector;
            Ejector ejector;
        };

        struct Message {
            std::size_t from;
            Digest digest;
            std::vector<PeerEjection> ejections;
        };

        void evaluate(std::size_t index, Time now)
        {
            Instance& instance = *m_instances[index];
            Message message { index, instance.detector.evaluate(now), {} };
            const auto count = static_cast<std::uint32_t>(m_instances.size());
            EffectList effects;
            Context context(now, 0, effects);
            instance.ejector.evaluate(*m_sheet, { static_cast<std::uint32_t>(index), count, count, count }, context);
            message.ejections = instance.ejector.ejections(*m_sheet, now);
            m_messages.push_back(std::move(message));
        }

        void deliver(Time now)
        {
            for (const Message& message : m_messages) {
                for (std::size_t i = 0; i < m_instances.size(); ++i) {
                    if (i == message.from)
                        continue;
                    m_instances[i]->detector.merge(message.from + 1, 1, message.digest, now);
                    m_instances[i]->ejector.onPeerEjections(message.from + 1, message.ejections, now);
                }
            }
            m_messages.clear();
        }

        SheetPtr m_sheet;
        std::vector<std::unique_ptr<Instance>> m_instances;
        std::vector<Message> m_messages;
    };

    /// Common part of the baselines. They see the results of all instances at once and have the same floor and ejection time.
    class BaselinePolicy : public Policy {
    public:
        explicit BaselinePolicy(const PolicySetup& setup)
        {
            for (const SheetServer& server : setup.sheet->services[0].servers)
                m_servers[serverIdOf(server.name)].slots = server.slots.value();
            m_ejectableSlots = -static_cast<std::int64_t>(setup.sheet->services[0].floorSlots.value());
            for (const auto& [id, state] : m_servers)
                m_ejectableSlots += state.slots;
        }

        void onTrySent(std::size_t, TryId, ServerId, Time) override { }

        void tick(Time now) override
        {
            for (auto& [id, state] : m_servers) {
                if (state.ejected && state.ejectedUntil <= now) {
                    state.ejected = false;
                    m_ejectableSlots += state.slots;
                }
            }
            decide(now);
        }

        bool isEligible(std::size_t, ServerId server) const override { return !m_servers.at(server).ejected; }

    protected:
        struct ServerRecord {
            std::uint32_t slots = 0;
            bool ejected = false;
            Time ejectedUntil;
            std::uint32_t consecutiveFailures = 0;
            std::uint32_t successes = 0;
            std::uint32_t failures = 0;
        };

        virtual void decide(Time now) = 0;

        /// Ejects a server unless the remaining slots would fall below the floor.
        void eject(ServerRecord& state, Time now)
        {
            if (state.ejected || m_ejectableSlots < state.slots)
                return;
            m_ejectableSlots -= state.slots;
            state.ejected = true;
            state.ejectedUntil = now + EJECTION_TIME;
        }

        std::unordered_map<ServerId, ServerRecord> m_servers;
        /// Slots that can still be ejected without falling below the floor.
        std::int64_t m_ejectableSlots = 0;
    };

    /// Ejects servers after five consecutive failures.
    class ConsecutiveFailuresPolicy final : public BaselinePolicy {
    public:
        using BaselinePolicy::BaselinePolicy;

        void onTryEnded(std::size_t, TryId, ServerId server, std::optional<bool> failed, Time now) override
        {
            if (!failed)
                return;
            ServerRecord& state = m_servers.at(server);
            state.consecutiveFailures = *failed ? state.consecutiveFailures + 1 : 0;
            if (state.consecutiveFailures < FAILURE_THRESHOLD)
                return;
            state.consecutiveFailures = 0;
            eject(state, now);
        }

    private:
        static constexpr std::uint32_t FAILURE_THRESHOLD = 5;

        void decide(Time) override { }
    };

    /// Ejects servers whose success rate is more than 1.9 standard deviations below the mean of the service.
    class SuccessRatePolicy : public BaselinePolicy {
    public:
        SuccessRatePolicy(const PolicySetup& setup, Duration interval, std::uint32_t minRequests)
            : BaselinePolicy(setup)
            , m_interval(interval)
            , m_minRequests(minRequests)
        {
        }

        void onTryEnded(std::size_t, TryId, ServerId server, std::optional<bool> failed, Time) override
        {
            if (!failed)
                return;
            ServerRecord& state = m_servers.at(server);
            ++(*failed ? state.failures : state.successes);
        }

    private:
        static constexpr double DEVIATION_FACTOR = 1.9;
        static constexpr std::size_t MIN_SERVERS = 5;

        static double rate(const ServerRecord& state) { return static_cast<double>(state.successes) / (state.successes + state.failures); }

        void decide(Time now) override
        {
            if (now < m_next)
                return;
            m_next = now + m_interval;
            std::vector<ServerRecord*> candidates;
            for (auto& [id, state] : m_servers) {
                if (state.successes + state.failures >= m_minRequests)
                    candidates.push_back(&state);
            }
            if (candidates.size() >= MIN_SERVERS)
                ejectOutliers(candidates, now);
            for (auto& [id, state] : m_servers)
                state.successes = state.failures = 0;
        }

        void ejectOutliers(const std::vector<ServerRecord*>& candidates, Time now)
        {
            double mean = 0;
            for (const ServerRecord* state : candidates)
                mean += rate(*state) / static_cast<double>(candidates.size());
            double variance = 0;
            for (const ServerRecord* state : candidates)
                variance += (rate(*state) - mean) * (rate(*state) - mean) / static_cast<double>(candidates.size());
            const double limit = mean - DEVIATION_FACTOR * std::sqrt(variance);
            for (ServerRecord* state : candidates) {
                if (rate(*state) < limit)
                    eject(*state, now);
            }
        }

        Duration m_interval;
        std::uint32_t m_minRequests;
        Time m_next;
    };

    template <typename PolicyType>
    std::unique_ptr<Policy> makePolicy(const PolicySetup& setup)
    {
        return std::make_unique<PolicyType>(setup);
    }

    template <int seconds, std::uint32_t minRequests>
    std::unique_ptr<Policy> makeSuccessRate(const PolicySetup& setup)
    {
        return std::make_unique<SuccessRatePolicy>(setup, std::chrono::seconds(seconds), minRequests);
    }

} // namespace

const std::vector<NamedPolicy>& policies()
{
    static const std::vector<NamedPolicy> table {
        { "sequential", &makePolicy<SequentialPolicy> },
        { "five-in-a-row", &makePolicy<ConsecutiveFailuresPolicy> },
        { "1.9-dev-10s", &makeSuccessRate<10, 100> },
        { "1.9-dev-1s", &makeSuccessRate<1, 20> },
    };
    return table;
}

} // namespace cornelwind::benchmark
