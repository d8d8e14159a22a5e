#include "run.h"

#include <cstdio>
#include <queue>

namespace cornelwind::soak {

const std::array<SoakRun::FaultType, FAULT_KINDS> SoakRun::faultTypes { {
    { "kill-instance", &SoakRun::killInstance, &SoakRun::startInstance },
    { "stop-instance", &SoakRun::stopInstance, &SoakRun::finishStop },
    { "stop-instance-twice", &SoakRun::stopInstanceTwice, &SoakRun::finishStop },
    { "stop-then-kill-instance", &SoakRun::stopThenKillInstance, &SoakRun::startInstance },
    { "pause-instance", &SoakRun::pauseInstance, &SoakRun::resumeInstance },
    { "stop-while-paused", &SoakRun::stopWhilePaused, &SoakRun::resumeAndFinishStop },
    { "reload-instance", &SoakRun::reloadInstance, &SoakRun::recoverNothing },
    { "pause-server", &SoakRun::pauseServer, &SoakRun::resumeServer },
    { "kill-server", &SoakRun::killServer, &SoakRun::startServer },
    { "disturb-server", &SoakRun::disturbServer, &SoakRun::restoreServer },
    { "leave-server", &SoakRun::markServerLeaving, &SoakRun::clearServerLeaving },
    { "disturb-server-link", &SoakRun::disturbServerLink, &SoakRun::restoreServerLink },
    { "disturb-peer-link", &SoakRun::disturbPeerLink, &SoakRun::restorePeerLink },
    { "stop-platform", &SoakRun::stopPlatform, &SoakRun::resumePlatform },
    { "freeze-platform", &SoakRun::freezePlatform, &SoakRun::resumePlatform },
    { "publish-sheet", &SoakRun::publishSheet, &SoakRun::recoverNothing },
    { "publish-older-sheet", &SoakRun::publishOlderSheet, &SoakRun::recoverNothing },
} };

SoakRun::SoakRun(const Options& options)
    : m_options(options)
    , m_startedAt(Clock::now())
{
    for (std::size_t i = 0; i < 2 * options.servers; ++i) {
        const bool orders = i % 2 == 0;
        Server& server = m_servers.emplace_back();
        server.name = (orders ? "ord-" : "cat-") + std::to_string(i);
        m_fleet.addServer({ server.name, orders ? "orders" : "catalogue", 8, 5 });
        server.relayControl = m_fleet.addServerRelay(server.name, server.relayAddress);
    }
    for (std::size_t i = 0; i < options.instances; ++i) {
        m_instances.push_back({ "i" + std::to_string(i), State::Up, {}, {}, 0 });
        m_fleet.addInstance(m_instances.back().name, "leon", "[limits]\nstop_ms = " + std::to_string(STOP_MS) + "\n");
    }
    for (const Instance& from : m_instances) {
        for (const Instance& to : m_instances) {
            if (from.name != to.name)
                m_peerLinks.push_back(m_fleet.addPeerRelay(from.name, to.name));
        }
    }
    m_fleet.publishSheet(makeSheet(m_sheetVersion));
    m_fleet.startAll();
    m_processStarts = m_instances.size();
}

RunResult SoakRun::execute()
{
    std::vector<std::string> names;
    for (const Instance& instance : m_instances)
        names.push_back(instance.name);
    m_callers = std::make_unique<Callers>(m_fleet, names, m_options.callers, m_options.seed, m_observations);
    injectFaults();
    checkNewestSheet();
    checkRecovery();
    checkLeavingServer();
    checkStops();
    m_callers->stop();
    checkUnansweredRequests();
    std::map<std::string, int> executions;
    for (const Server& server : m_servers) {
        for (const auto& [tag, count] : readExecutions(server.name))
            executions[tag] += count;
    }
    return { m_observations.check(executions, m_processStarts), m_observations.summary() + " starts=" + std::to_string(m_processStarts) };
}

void SoakRun::injectFaults()
{
    struct PendingRecovery {
        Millis at;
        Fault fault;
        bool operator>(const PendingRecovery& other) const { return at > other.at; }
    };
    std::priority_queue<PendingRecovery, std::vector<PendingRecovery>, std::greater<>> pendingRecoveries;
    const std::vector<Fault> plan = makePlan(m_options.seed, m_options.duration);
    const Clock::time_point start = Clock::now();
    for (std::size_t next = 0; next < plan.size() || !pendingRecoveries.empty();) {
        const auto now = std::chrono::duration_cast<Millis>(Clock::now() - start);
        while (!pendingRecoveries.empty() && pendingRecoveries.top().at <= now) {
            const Fault fault = pendingRecoveries.top().fault;
            pendingRecoveries.pop();
            (this->*faultTypes.at(static_cast<std::size_t>(fault.kind)).recover)(fault);
        }
        if (next < plan.size() && plan[next].at <= now) {
            const Fault& fault = plan[next++];
            const FaultType& type = faultTypes.at(static_cast<std::size_t>(fault.kind));
            const bool injected = (this->*type.inject)(fault);
            if (m_options.verbose)
                std::printf("%6lld ms  %s %zu form %zu for %lld ms%s\n", static_cast<long long>(now.count()), type.name, fault.target, fault.variant, static_cast<long long>(fault.duration.count()), injected ? "" : " (not applicable)");
            if (injected)
                pendingRecoveries.push({ fault.at + fault.duration, fault });
            continue;
        }
        pollStops();
        pollSheetVersions();
        std::this_thread::sleep_for(POLL_INTERVAL);
    }
}

} // namespace cornelwind::soak
