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

    constexpr Duration HOLD = std::chrono::seconds(5);

    /// The product's detector and ejector on each entry instance, joined by digests that arrive one tick later.
    class SequentialPolicy final : public Policy {
    public:
        explicit SequentialPolicy(const PolicySetup& setup)
            : m_sheet(setup.sheet)
        {
            for (std::size_t i = 0; i < setup.instances; ++i)
                m_members.push_back(std::make_unique<Member>(*setup.sheet));
        }

        void sent(std::size_t instance, TryId id, ServerId server, Time now) override { m_members[instance]->detector.trySent(id, server, now); }

        void ended(std::size_t instance, TryId id, ServerId, std::optional<bool> failed, Time now) override
        {
            m_members[instance]->detector.tryEnded(id, failed, now);
        }

        void tick(Time now) override
        {
            deliver(now);
            // Instances do not evaluate in step.
            const auto slot = (now.time_since_epoch() / std::chrono::milliseconds(10)) % ROUND;
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                if (static_cast<std::size_t>(slot) == i * ROUND / m_members.size())
                    evaluate(i, now);
            }
        }

        bool takesWork(std::size_t instance, ServerId id) const override
        {
            const Server* server = m_members[instance]->pool.find(id);
            return server->standing == Standing::Serving && !server->avoided;
        }

        void joined(ServerId server, Time now) override
        {
            for (auto& member : m_members)
                member->detector.ignoreSlownessUntil(server, now + m_sheet->services[0].coldStart);
        }

    private:
        static constexpr std::size_t ROUND = 25;

        struct Member {
            explicit Member(const Sheet& sheet)
                : pool(makeSlotShareSelector())
                , ejector(pool, detector)
            {
                pool.adopt(sheet, Time {});
                detector.adopt(sheet);
            }

            ServerPool pool;
            Detector detector;
            Ejector ejector;
        };

        struct Message {
            std::size_t from;
            Digest digest;
            std::vector<EjectionClaim> claims;
        };

        void evaluate(std::size_t index, Time now)
        {
            Member& member = *m_members[index];
            Message message { index, member.detector.evaluate(now), {} };
            const auto count = static_cast<std::uint32_t>(m_members.size());
            EffectList effects;
            Context context(now, 0, effects);
            member.ejector.evaluate(*m_sheet, { static_cast<std::uint32_t>(index), count, count, count }, context);
            message.claims = member.ejector.claims(*m_sheet, now);
            m_messages.push_back(std::move(message));
        }

        void deliver(Time now)
        {
            for (const Message& message : m_messages) {
                for (std::size_t i = 0; i < m_members.size(); ++i) {
                    if (i == message.from)
                        continue;
                    m_members[i]->detector.merge(message.from + 1, 1, message.digest, now);
                    m_members[i]->ejector.onClaims(message.from + 1, message.claims, now);
                }
            }
            m_messages.clear();
        }

        SheetPtr m_sheet;
        std::vector<std::unique_ptr<Member>> m_members;
        std::vector<Message> m_messages;
    };

    /// What the baselines share: evidence of the whole fleet at once, the same floor and the same hold.
    class Baseline : public Policy {
    public:
        explicit Baseline(const PolicySetup& setup)
        {
            for (const SheetServer& server : setup.sheet->services[0].servers)
                m_hosts[serverIdOf(server.name)].slots = server.slots.value();
            m_spare = -static_cast<std::int64_t>(setup.sheet->services[0].floor.value());
            for (const auto& [id, host] : m_hosts)
                m_spare += host.slots;
        }

        void sent(std::size_t, TryId, ServerId, Time) override { }

        void tick(Time now) override
        {
            for (auto& [id, host] : m_hosts) {
                if (host.ejected && host.until <= now) {
                    host.ejected = false;
                    m_spare += host.slots;
                }
            }
            decide(now);
        }

        bool takesWork(std::size_t, ServerId server) const override { return !m_hosts.at(server).ejected; }

    protected:
        struct Host {
            std::uint32_t slots = 0;
            bool ejected = false;
            Time until;
            std::uint32_t inARow = 0;
            std::uint32_t good = 0;
            std::uint32_t bad = 0;
        };

        virtual void decide(Time now) = 0;

        void eject(Host& host, Time now)
        {
            if (host.ejected || m_spare < host.slots)
                return;
            m_spare -= host.slots;
            host.ejected = true;
            host.until = now + HOLD;
        }

        std::unordered_map<ServerId, Host> m_hosts;
        std::int64_t m_spare = 0;
    };

    class FailuresInARow final : public Baseline {
    public:
        using Baseline::Baseline;

        void ended(std::size_t, TryId, ServerId server, std::optional<bool> failed, Time now) override
        {
            if (!failed)
                return;
            Host& host = m_hosts.at(server);
            host.inARow = *failed ? host.inARow + 1 : 0;
            if (host.inARow < LIMIT)
                return;
            host.inARow = 0;
            eject(host, now);
        }

    private:
        static constexpr std::uint32_t LIMIT = 5;

        void decide(Time) override { }
    };

    /// Ejects servers whose success rate lies below the mean of the service by 1.9 standard deviations.
    class SuccessRate : public Baseline {
    public:
        SuccessRate(const PolicySetup& setup, Duration interval, std::uint32_t volume)
            : Baseline(setup)
            , m_interval(interval)
            , m_volume(volume)
        {
        }

        void ended(std::size_t, TryId, ServerId server, std::optional<bool> failed, Time) override
        {
            if (!failed)
                return;
            Host& host = m_hosts.at(server);
            ++(*failed ? host.bad : host.good);
        }

    private:
        static constexpr double DEVIATIONS = 1.9;
        static constexpr std::size_t MIN_HOSTS = 5;

        static double rate(const Host& host) { return static_cast<double>(host.good) / (host.good + host.bad); }

        void decide(Time now) override
        {
            if (now < m_next)
                return;
            m_next = now + m_interval;
            std::vector<Host*> hosts;
            for (auto& [id, host] : m_hosts) {
                if (host.good + host.bad >= m_volume)
                    hosts.push_back(&host);
            }
            if (hosts.size() >= MIN_HOSTS)
                ejectOutliers(hosts, now);
            for (auto& [id, host] : m_hosts)
                host.good = host.bad = 0;
        }

        void ejectOutliers(const std::vector<Host*>& hosts, Time now)
        {
            double mean = 0;
            for (const Host* host : hosts)
                mean += rate(*host) / static_cast<double>(hosts.size());
            double variance = 0;
            for (const Host* host : hosts)
                variance += (rate(*host) - mean) * (rate(*host) - mean) / static_cast<double>(hosts.size());
            const double limit = mean - DEVIATIONS * std::sqrt(variance);
            for (Host* host : hosts) {
                if (rate(*host) < limit)
                    eject(*host, now);
            }
        }

        Duration m_interval;
        std::uint32_t m_volume;
        Time m_next;
    };

    template <typename Kind>
    std::unique_ptr<Policy> makePolicy(const PolicySetup& setup)
    {
        return std::make_unique<Kind>(setup);
    }

    template <int seconds, std::uint32_t volume>
    std::unique_ptr<Policy> makeSuccessRate(const PolicySetup& setup)
    {
        return std::make_unique<SuccessRate>(setup, std::chrono::seconds(seconds), volume);
    }

} // namespace

const std::vector<PolicyRow>& policies()
{
    static const std::vector<PolicyRow> rows {
        { "sequential", &makePolicy<SequentialPolicy> },
        { "five-in-a-row", &makePolicy<FailuresInARow> },
        { "1.9-dev-10s", &makeSuccessRate<10, 100> },
        { "1.9-dev-1s", &makeSuccessRate<1, 20> },
    };
    return rows;
}

} // namespace cornelwind::benchmark
