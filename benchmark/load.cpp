// Compares the server selection strategies slot shares, random and round robin by refused requests, shed tries and latency.
#include "cornelwind/admission.h"
#include "cornelwind/server_pool.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

using namespace cornelwind;

namespace {

constexpr std::size_t INSTANCES = 15;
constexpr Duration RUN_TIME = std::chrono::seconds(120);
constexpr Duration SHED_BACKOFF = std::chrono::milliseconds(20);
constexpr Duration TICK = std::chrono::milliseconds(10);
constexpr std::uint32_t MAX_TRIES = 3;
constexpr double MEAN_SERVICE_MS = 40;

struct Deployment {
    const char* name;
    std::uint32_t servers;
    std::uint32_t slots;
};

struct Strategy {
    const char* name;
    std::unique_ptr<Selector> (*make)();
    /// Time for which a request waits for a slot of its entry instance's own share before it may use any other slot.
    Duration borrowAfter {};
};

Sheet makeSheet(const Deployment& deployment)
{
    Sheet sheet;
    SheetService& service = sheet.services.emplace_back();
    service.name = ServiceName { deployment.name };
    for (std::uint32_t i = 0; i < deployment.servers; ++i)
        service.servers.push_back({ ServerName { deployment.name + std::to_string(i) }, {}, {}, Slots { deployment.slots } });
    return sheet;
}

struct LoadResult {
    std::uint64_t requests = 0;
    /// Requests that found the queue full, waited too long or used up their tries.
    std::uint64_t refused = 0;
    /// Tries that a server shed.
    std::uint64_t shedTries = 0;
    std::vector<double> latenciesMs;
};

/// Simulates 15 entry instances without shared state, and servers that shed requests when all their slots are in use.
class Simulation {
public:
    Simulation(const Deployment& deployment, const Strategy& strategy, double load, std::uint64_t seed)
        : m_deployment(deployment)
        , m_strategy(strategy)
        , m_sheet(makeSheet(deployment))
        , m_random(seed)
        , m_arrivalsPerMs(load * deployment.servers * deployment.slots / MEAN_SERVICE_MS)
    {
        for (std::uint32_t i = 0; i < INSTANCES; ++i) {
            Instance& instance = m_instances[i];
            instance.pool = std::make_unique<ServerPool>(strategy.make());
            instance.pool->applySheet(m_sheet, Time {});
            instance.pool->setPosition({ i, INSTANCES, 0, 1 });
        }
    }

    LoadResult run()
    {
        Time nextArrival { std::chrono::seconds(1) };
        Time nextTick = nextArrival;
        const Time end = nextArrival + RUN_TIME;
        while (m_now < end) {
            const Time nextEnd = m_running.empty() ? Time::max() : m_running.top().at;
            m_now = std::min({ nextArrival, nextEnd, nextTick });
            if (m_now == nextEnd)
                finishTry();
            else if (m_now == nextTick) {
                tick();
                nextTick += TICK;
            } else {
                handleArrival();
                nextArrival += micros(std::exponential_distribution<>(m_arrivalsPerMs)(m_random) * 1000);
            }
        }
        return std::move(m_result);
    }

private:
    struct Request {
        Time arrived;
        std::uint32_t tries = 0;
    };
    struct Instance {
        std::unique_ptr<ServerPool> pool;
        AdmissionQueue queue;
    };
    struct RunningTry {
        Time at;
        std::size_t instance;
        ServerId server;
        RequestId request;

        friend bool operator>(const RunningTry& a, const RunningTry& b) { return a.at > b.at; }
    };

    static Duration micros(double value) { return Duration { static_cast<std::int64_t>(value) + 1 }; }

    void handleArrival()
    {
        const std::size_t index = m_random() % INSTANCES;
        const RequestId id { ++m_lastRequest };
        m_requests[id] = { m_now };
        ++m_result.requests;
        if (!m_instances[index].queue.size() && trySend(index, id))
            return;
        const SheetService& service = m_sheet.services[0];
        if (!m_instances[index].queue.enter({ id, m_now + service.maxQueueTime }, 1, service.queueLimit).admitted)
            refuse(id);
    }

    bool trySend(std::size_t index, RequestId id)
    {
        Request& request = m_requests.at(id);
        while (request.tries < MAX_TRIES) {
            Server* server = m_instances[index].pool->pick(0, { m_now, m_random(), {}, true, m_now - request.arrived >= m_strategy.borrowAfter });
            if (!server)
                return false;
            ++request.tries;
            if (m_busy[server->id] < m_deployment.slots) {
                ++m_busy[server->id];
                m_instances[index].pool->begin(*server);
                m_running.push({ m_now + micros(std::exponential_distribution<>(1 / MEAN_SERVICE_MS)(m_random) * 1000), index, server->id, id });
                return true;
            }
            // The server has no free slot and sheds the request.
            ++m_result.shedTries;
            server->busyUntil = m_now + SHED_BACKOFF;
        }
        refuse(id);
        return true;
    }

    void finishTry()
    {
        const RunningTry ended = m_running.top();
        m_running.pop();
        --m_busy[ended.server];
        m_instances[ended.instance].pool->end(ended.server);
        const Request& request = m_requests.at(ended.request);
        m_result.latenciesMs.push_back(std::chrono::duration<double, std::milli>(m_now - request.arrived).count());
        m_requests.erase(ended.request);
        sendQueued(ended.instance);
    }

    void tick()
    {
        for (std::size_t i = 0; i < INSTANCES; ++i) {
            for (const RequestId expired : m_instances[i].queue.expire(m_now))
                refuse(expired);
            sendQueued(i);
        }
    }

    void sendQueued(std::size_t index)
    {
        AdmissionQueue& queue = m_instances[index].queue;
        while (const auto next = queue.front()) {
            if (!trySend(index, *next))
                return;
            queue.popFront();
        }
    }

    void refuse(RequestId id)
    {
        ++m_result.refused;
        m_requests.erase(id);
    }

    const Deployment& m_deployment;
    const Strategy& m_strategy;
    Sheet m_sheet;
    std::mt19937_64 m_random;
    double m_arrivalsPerMs;
    std::array<Instance, INSTANCES> m_instances;
    std::unordered_map<ServerId, std::uint32_t> m_busy;
    std::unordered_map<RequestId, Request> m_requests;
    std::priority_queue<RunningTry, std::vector<RunningTry>, std::greater<>> m_running;
    Time m_now;
    std::uint64_t m_lastRequest = 0;
    LoadResult m_result;
};

double quantile(std::vector<double>& values, double share)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace

int main()
{
    const std::vector<Deployment> deployments { { "bajio-orders", 15, 4 }, { "alps-issues", 8, 2 } };
    const std::vector<Strategy> strategies { { "own-40ms", &makeSlotShareSelector, Millis { 40 } }, { "own-100ms", &makeSlotShareSelector, Millis { 100 } }, { "own-first", &makeSlotShareSelector }, { "random", &makeRandomSelector }, { "round-robin", &makeRoundRobinSelector } };
    std::printf("%-14s %6s %-12s %10s %12s %8s %8s\n", "service", "load", "strategy", "refused %", "collisions %", "p50 ms", "p99 ms");
    for (const Deployment& deployment : deployments) {
        for (const double load : { 0.5, 0.8, 1.1 }) {
            for (const Strategy& strategy : strategies) {
                LoadResult result = Simulation(deployment, strategy, load, 1).run();
                const auto requests = static_cast<double>(result.requests);
                std::printf("%-14s %5.0f%% %-12s %10.2f %12.2f %8.1f %8.1f\n", deployment.name, load * 100, strategy.name,
                    100 * static_cast<double>(result.refused) / requests, 100 * static_cast<double>(result.shedTries) / requests,
                    quantile(result.latenciesMs, 0.5), quantile(result.latenciesMs, 0.99));
            }
        }
    }
    return 0;
}
