// Measures detection time and false ejections of the cornelwind policy and of two well-known ejection policies. Simulates
// services in virtual time with seeded random numbers.
#include "policies.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind;
using namespace cornelwind::benchmark;

namespace {

constexpr Duration TICK = std::chrono::milliseconds(10);
constexpr Duration WARM_UP = std::chrono::seconds(20);
constexpr Duration ONSET_WINDOW = std::chrono::seconds(30);
constexpr Duration TIME_LIMIT = std::chrono::seconds(2);
constexpr std::size_t INSTANCES = 15;
constexpr double SECONDS_PER_DAY = 86400;

struct Service {
    const char* name;
    std::size_t servers;
};

struct Deployment {
    const char* name;
    std::vector<Service> services;
    std::uint32_t slots;
    Weighting weighting;
    /// Median service time in milliseconds.
    double medianMs;
};

/// A load and a fault that begins at the onset time. Without further flags the fault affects only the first server.
struct Scenario {
    const char* name;
    /// Offered load as a fraction of all slots.
    double load;
    /// Fraction of the requests to a faulty server that get no response.
    double stall = 0;
    /// Fraction of the requests to a faulty server that fail.
    double fail = 0;
    /// Factor on the service time of a faulty server.
    double slow = 1;
    /// The fault is present for 3 s in every 6 s.
    bool flapping = false;
    /// Only the first entry instance sees the fault.
    bool oneInstanceOnly = false;
    bool allServers = false;
    /// The first server starts with cold caches at the onset.
    bool coldStart = false;
    /// The first server should be ejected. The time from the onset until then is the detection time.
    bool faulty = false;
};

struct Result {
    std::vector<double> detectionSeconds;
    std::uint64_t falseEjections = 0;
    /// Ticks in which fewer slots than the floor were eligible.
    std::uint64_t floorViolations = 0;
    /// Simulated time.
    double seconds = 0;
    /// Ejected slots, summed over the simulated seconds.
    double ejectedSlotSeconds = 0;

    void add(const Result& other)
    {
        detectionSeconds.insert(detectionSeconds.end(), other.detectionSeconds.begin(), other.detectionSeconds.end());
        falseEjections += other.falseEjections;
        floorViolations += other.floorViolations;
        seconds += other.seconds;
        ejectedSlotSeconds += other.ejectedSlotSeconds;
    }
};

SheetPtr makeSheet(const Deployment& deployment, const Service& service)
{
    auto sheet = std::make_shared<Sheet>();
    sheet->version = SheetVersion { 1 };
    SheetService& config = sheet->services.emplace_back();
    config.name = ServiceName { service.name };
    config.weighting = deployment.weighting;
    for (std::size_t i = 0; i < service.servers; ++i)
        config.servers.push_back({ ServerName { service.name + std::to_string(i) }, {}, {}, Slots { deployment.slots } });
    // At least half of the slots must stay eligible.
    config.floorSlots = Slots { static_cast<std::uint32_t>(service.servers * deployment.slots / 2) };
    return sheet;
}

/// Simulates one service under load in virtual time.
class Simulation {
public:
    Simulation(const Deployment& deployment, const Service& service, const Scenario& scenario, PolicyFactory make, std::uint64_t seed)
        : m_deployment(deployment)
        , m_scenario(scenario)
        , m_sheet(makeSheet(deployment, service))
        , m_policy(make({ m_sheet, INSTANCES }))
        , m_random(seed)
    {
        for (const SheetServer& server : m_sheet->services[0].servers)
            m_servers.push_back({ serverIdOf(server.name) });
        const double meanSeconds = deployment.medianMs / 1000 * std::exp(SIGMA * SIGMA / 2) * (1 + TAIL_SHARE * (TAIL_FACTOR - 1));
        m_arrivalsPerSecond = scenario.load * static_cast<double>(service.servers * deployment.slots) / meanSeconds;
    }

    Result run(Duration length)
    {
        const Time start { std::chrono::seconds(1) };
        m_onset = start + WARM_UP;
        m_now = start;
        Time nextArrival = start;
        Time nextTick = start;
        while (m_now < start + length) {
            const Time end = m_running.empty() ? Time::max() : m_running.top().endsAt;
            m_now = std::min({ nextArrival, nextTick, end });
            if (m_now == end)
                finishTry();
            else if (m_now == nextTick) {
                tick();
                nextTick += TICK;
            } else {
                handleArrival();
                nextArrival += seconds(std::exponential_distribution<>(m_arrivalsPerSecond)(m_random));
            }
        }
        m_result.seconds = std::chrono::duration<double>(length).count();
        if (m_scenario.faulty)
            m_result.detectionSeconds.push_back(std::chrono::duration<double>((m_detected ? m_detectedAt : start + length) - m_onset).count());
        return m_result;
    }

private:
    /// Service times have a log-normal distribution with this sigma. A share of them is multiplied by the tail factor.
    static constexpr double SIGMA = 0.6;
    static constexpr double TAIL_SHARE = 0.01;
    static constexpr double TAIL_FACTOR = 10;
    static constexpr double COLD_START_FACTOR = 5;

    struct Server {
        ServerId id;
        std::uint32_t busy = 0;
        bool ejected = false;
    };

    struct RunningTry {
        Time endsAt;
        TryId id;
        std::size_t server;
        std::size_t instance;
        std::optional<bool> failed;

        friend bool operator>(const RunningTry& a, const RunningTry& b) { return a.endsAt > b.endsAt; }
    };

    static Duration seconds(double value) { return Duration { static_cast<std::int64_t>(value * 1e6) }; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    bool isFaulty(std::size_t server, std::size_t instance) const
    {
        if (m_now < m_onset || (server != 0 && !m_scenario.allServers))
            return false;
        if (m_scenario.oneInstanceOnly && instance != 0)
            return false;
        if (!m_scenario.flapping)
            return true;
        constexpr Duration period = std::chrono::seconds(6);
        return (m_now - m_onset) % period < period / 2;
    }

    void handleArrival()
    {
        const std::size_t instance = m_random() % INSTANCES;
        const std::size_t first = m_random() % m_servers.size();
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const std::size_t server = (first + i) % m_servers.size();
            if (m_servers[server].busy < m_deployment.slots && m_policy->isEligible(instance, m_servers[server].id))
                return send(server, instance);
        }
    }

    void send(std::size_t server, std::size_t instance)
    {
        const bool faulty = isFaulty(server, instance);
        double ms = m_deployment.medianMs * std::exp(SIGMA * std::normal_distribution<>()(m_random));
        if (uniform() < TAIL_SHARE)
            ms *= TAIL_FACTOR;
        if (faulty)
            ms *= m_scenario.slow;
        if (m_scenario.coldStart && server == 0 && m_now >= m_onset && m_now < m_onset + m_sheet->services[0].coldStart)
            ms *= COLD_START_FACTOR;
        std::optional<bool> failed = faulty && uniform() < m_scenario.fail;
        Duration length = seconds(ms / 1000);
        if ((faulty && uniform() < m_scenario.stall) || length > TIME_LIMIT) {
            length = TIME_LIMIT;
            failed = true;
        }
        const TryId id { ++m_lastTry };
        ++m_servers[server].busy;
        m_policy->onTrySent(instance, id, m_servers[server].id, m_now);
        m_running.push({ m_now + length, id, server, instance, failed });
    }

    void finishTry()
    {
        const RunningTry ended = m_running.top();
        m_running.pop();
        --m_servers[ended.server].busy;
        m_policy->onTryEnded(ended.instance, ended.id, m_servers[ended.server].id, ended.failed, m_now);
    }

    void tick()
    {
        if (m_scenario.coldStart && m_now >= m_onset && !m_joined) {
            m_joined = true;
            m_policy->onServerJoined(m_servers[0].id, m_now);
        }
        m_policy->tick(m_now);
        std::uint32_t ejectedSlots = 0;
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            ejectedSlots += updateEjection(i) ? m_deployment.slots : 0;
        const std::uint32_t all = static_cast<std::uint32_t>(m_servers.size()) * m_deployment.slots;
        m_result.floorViolations += all - ejectedSlots < m_sheet->services[0].floorSlots.value();
        m_result.ejectedSlotSeconds += ejectedSlots * std::chrono::duration<double>(TICK).count();
    }

    /// Records the detection or a false ejection of a server.
    ///
    /// @return whether the server counts as ejected, which it does if it is not eligible on more than half of the instances
    bool updateEjection(std::size_t index)
    {
        Server& server = m_servers[index];
        std::size_t ineligibleCount = 0;
        for (std::size_t i = 0; i < INSTANCES; ++i)
            ineligibleCount += !m_policy->isEligible(i, server.id);
        const bool ejected = ineligibleCount * 2 > INSTANCES;
        const bool faultyServer = index == 0 && m_scenario.faulty && m_now >= m_onset;
        if (m_scenario.oneInstanceOnly) {
            if (faultyServer && !m_policy->isEligible(0, server.id))
                recordDetection();
            m_result.falseEjections += ejected && !server.ejected;
        } else if (faultyServer && ineligibleCount == INSTANCES)
            recordDetection();
        else if (!faultyServer)
            m_result.falseEjections += ejected && !server.ejected;
        server.ejected = ejected;
        return ejected;
    }

    void recordDetection()
    {
        if (m_detected)
            return;
        m_detected = true;
        m_detectedAt = m_now;
    }

    const Deployment& m_deployment;
    const Scenario& m_scenario;
    SheetPtr m_sheet;
    std::unique_ptr<Policy> m_policy;
    std::mt19937_64 m_random;
    std::vector<Server> m_servers;
    std::priority_queue<RunningTry, std::vector<RunningTry>, std::greater<>> m_running;
    double m_arrivalsPerSecond = 0;
    Time m_now;
    Time m_onset;
    Time m_detectedAt;
    std::uint64_t m_lastTry = 0;
    bool m_detected = false;
    bool m_joined = false;
    Result m_result;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/// Indexes of deployment, scenario and policy.
using ResultKey = std::tuple<std::size_t, std::size_t, std::size_t>;

/// Runs simulations on all processor cores and sums their results by key.
class Runner {
public:
    void add(const ResultKey& key, std::function<Result()> job)
    {
        m_jobs.push_back({ key, std::move(job) });
    }

    std::map<ResultKey, Result> runAll()
    {
        std::atomic<std::size_t> next = 0;
        std::vector<Result> results(m_jobs.size());
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
            threads.emplace_back([&] {
                for (std::size_t job = next++; job < m_jobs.size(); job = next++)
                    results[job] = m_jobs[job].run();
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        std::map<ResultKey, Result> sums;
        for (std::size_t i = 0; i < m_jobs.size(); ++i)
            sums[m_jobs[i].key].add(results[i]);
        return sums;
    }

private:
    struct Job {
        ResultKey key;
        std::function<Result()> run;
    };
    std::vector<Job> m_jobs;
};

const std::vector<Deployment> deployments {
    { "bajio", { { "catalogue", 8 }, { "orders", 15 }, { "dispatch", 6 } }, 4, Weighting::DetectionTime, 40 },
    { "alps", { { "lookups", 8 }, { "retirements", 14 }, { "issues", 8 } }, 2, Weighting::FalseEjections, 60 },
};

std::vector<Scenario> makeScenarios()
{
    std::vector<Scenario> rows {
        { .name = "healthy 50%", .load = 0.5 },
        { .name = "healthy 95%", .load = 0.95 },
        { .name = "cold start", .load = 0.6, .coldStart = true },
        { .name = "all 5x slower", .load = 0.6, .slow = 5, .allServers = true },
        { .name = "all fail 20%", .load = 0.6, .fail = 0.2, .allServers = true },
        { .name = "stall 10%", .load = 0.6, .stall = 0.1, .faulty = true },
        { .name = "stall 30%", .load = 0.6, .stall = 0.3, .faulty = true },
        { .name = "stall 60%", .load = 0.6, .stall = 0.6, .faulty = true },
        { .name = "fail 5%", .load = 0.6, .fail = 0.05, .faulty = true },
        { .name = "fail 20%", .load = 0.6, .fail = 0.2, .faulty = true },
        { .name = "fail 60%", .load = 0.6, .fail = 0.6, .faulty = true },
        { .name = "5x slower", .load = 0.6, .slow = 5, .faulty = true },
        { .name = "flapping", .load = 0.6, .fail = 0.6, .flapping = true, .faulty = true },
        { .name = "cut from one", .load = 0.6, .fail = 1, .oneInstanceOnly = true, .faulty = true },
    };
    return rows;
}

void printRow(const char* scenario, const char* policy, const Result& result)
{
    const double perDay = static_cast<double>(result.falseEjections) / result.seconds * SECONDS_PER_DAY;
    std::printf("  %-14s %-14s", scenario, policy);
    if (result.detectionSeconds.empty())
        std::printf(" %8s %8s", "-", "-");
    else
        std::printf(" %8.2f %8.2f", quantile(result.detectionSeconds, 0.5), quantile(result.detectionSeconds, 0.95));
    std::printf(" %10.2f %10.3f %6llu\n", perDay, result.ejectedSlotSeconds / result.seconds, static_cast<unsigned long long>(result.floorViolations));
}

} // namespace

int main(int argc, char** argv)
{
    double hours = 1;
    int seeds = 20;
    // Only scenarios whose names contain this text run.
    std::string only;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (!std::strcmp(argv[i], "--hours"))
            hours = std::atof(argv[i + 1]);
        if (!std::strcmp(argv[i], "--seeds"))
            seeds = std::atoi(argv[i + 1]);
        if (!std::strcmp(argv[i], "--only"))
            only = argv[i + 1];
    }
    auto scenarios = makeScenarios();
    std::erase_if(scenarios, [&](const Scenario& row) { return std::string(row.name).find(only) == std::string::npos; });
    const Duration healthyRunTime = std::chrono::minutes(15);
    Runner runner;
    for (std::size_t d = 0; d < deployments.size(); ++d) {
        for (std::size_t s = 0; s < scenarios.size(); ++s) {
            const bool healthy = scenarios[s].load == 0.5 || scenarios[s].load == 0.95;
            const int repeats = healthy ? std::max(1, static_cast<int>(hours * 4)) : seeds;
            const Duration length = healthy ? healthyRunTime : Duration { WARM_UP + ONSET_WINDOW };
            for (std::size_t p = 0; p < policies().size(); ++p) {
                for (const Service& service : deployments[d].services) {
                    for (int seed = 1; seed <= repeats; ++seed) {
                        runner.add({ d, s, p }, [&, d, s, p, seed, length] {
                            return Simulation(deployments[d], service, scenarios[s], policies()[p].make, static_cast<std::uint64_t>(seed)).run(length);
                        });
                    }
                }
            }
        }
    }
    auto results = runner.runAll();

    std::map<std::size_t, double> ratios;
    for (std::size_t d = 0; d < deployments.size(); ++d) {
        std::printf("%s: detection time p50 and p95 in s (%d s where not detected), false ejections a day per service, slots lost, ticks below the floor\n", deployments[d].name,
            static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(ONSET_WINDOW).count()));
        std::vector<double> meanSums(policies().size());
        for (std::size_t s = 0; s < scenarios.size(); ++s) {
            for (std::size_t p = 0; p < policies().size(); ++p) {
                const Result& result = results[{ d, s, p }];
                printRow(scenarios[s].name, policies()[p].name, result);
                double sum = 0;
                for (const double value : result.detectionSeconds)
                    sum += value;
                if (!result.detectionSeconds.empty())
                    meanSums[p] += sum / static_cast<double>(result.detectionSeconds.size());
            }
        }
        ratios[d] = meanSums[0] / *std::min_element(meanSums.begin() + 1, meanSums.end());
    }
    std::printf("detection: bajio_ratio=%.3f alps_ratio=%.3f\n", ratios[0], ratios[1]);
    return 0;
}
