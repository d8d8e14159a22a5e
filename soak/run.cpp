#include "run.h"

#include <cstdio>
#include <queue>

namespace cornelwind::soak {

const std::array<Run::FaultType, FAULT_KINDS> Run::faultTypes { {
    { "kill-instance", &Run::killInstance, &Run::startInstance },
    { "stop-instance", &Run::stopInstance, &Run::finishStop },
    { "stop-instance-twice", &Run::stopInstanceTwice, &Run::finishStop },
    { "stop-then-kill-instance", &Run::stopThenKillInstance, &Run::startInstance },
    { "pause-instance", &Run::pauseInstance, &Run::resumeInstance },
    { "stop-while-paused", &Run::stopWhilePaused, &Run::resumeAndFinishStop },
    { "reload-instance", &Run::reloadInstance, &Run::nothing },
    { "pause-server", &Run::pauseServer, &Run::resumeServer },
    { "kill-server", &Run::killServer, &Run::startServer },
    { "disturb-server", &Run::disturbServer, &Run::calmServer },
    { "leave-server", &Run::leaveServer, &Run::returnServer },
    { "disturb-server-link", &Run::disturbServerLink, &Run::calmServerLink },
    { "disturb-peer-link", &Run::disturbPeerLink, &Run::calmPeerLink },
    { "stop-platform", &Run::stopPlatform, &Run::resumePlatform },
    { "freeze-platform", &Run::freezePlatform, &Run::resumePlatform },
    { "publish-sheet", &Run::publishSheet, &Run::nothing },
    { "publish-older-sheet", &Run::publishOlderSheet, &Run::nothing },
} };

Run::Run(const Options& options)
    : m_options(options)
    , m_begun(Clock::now())
{
    for (std::size_t i = 0; i < 2 * options.servers; ++i) {
        const bool orders = i % 2 == 0;
        Server& server = m_servers.emplace_back();
        server.name = (orders ? "ord-" : "cat-") + std::to_string(i);
        m_fleet.addServer({ server.name, orders ? "orders" : "catalogue", 8, 5 });
        server.relayControl = m_fleet.relayServer(server.name, server.relayAddress);
    }
    for (std::size_t i = 0; i < options.instances; ++i) {
        m_instances.push_back({ "i" + std::to_string(i), State::Up, {}, {}, 0 });
        m_fleet.addInstance(m_instances.back().name, "leon", "[limits]\nstop_ms = " + std::to_string(STOP_MS) + "\n");
    }
    for (const Instance& from : m_instances) {
        for (const Instance& to : m_instances) {
            if (from.name != to.name)
                m_peerLinks.push_back(m_fleet.relayPeers(from.name, to.name));
        }
    }
    m_fleet.publishSheet(makeSheet(m_sheet));
    m_fleet.startAll();
    m_starts = m_instances.size();
}

Verdict Run::play()
{
    std::vector<std::string> names;
    for (const Instance& instance : m_instances)
        names.push_back(instance.name);
    m_callers = std::make_unique<Callers>(m_fleet, names, m_options.callers, m_options.seed, m_observations);
    strikeAll();
    checkNewestSheet();
    checkRecovery();
    checkLeaving();
    checkStops();
    m_callers->stop();
    checkCuts();
    std::map<std::string, int> runs;
    for (const Server& server : m_servers) {
        for (const auto& [mark, count] : readRuns(server.name))
            runs[mark] += count;
    }
    return { m_observations.check(runs, m_starts), m_observations.summary() + " starts=" + std::to_string(m_starts) };
}

// Strikes each fault at its time, and heals it after its length.
void Run::strikeAll()
{
    struct Healing {
        Millis at;
        Fault fault;
        bool operator>(const Healing& other) const { return at > other.at; }
    };
    std::priority_queue<Healing, std::vector<Healing>, std::greater<>> healings;
    const std::vector<Fault> plan = makePlan(m_options.seed, m_options.length);
    const Clock::time_point start = Clock::now();
    for (std::size_t next = 0; next < plan.size() || !healings.empty();) {
        const auto now = std::chrono::duration_cast<Millis>(Clock::now() - start);
        while (!healings.empty() && healings.top().at <= now) {
            const Fault fault = healings.top().fault;
            healings.pop();
            (this->*faultTypes.at(static_cast<std::size_t>(fault.kind)).heal)(fault);
        }
        if (next < plan.size() && plan[next].at <= now) {
            const Fault& fault = plan[next++];
            const FaultType& type = faultTypes.at(static_cast<std::size_t>(fault.kind));
            const bool struck = (this->*type.strike)(fault);
            if (m_options.verbose)
                std::printf("%6lld ms  %s %zu form %zu for %lld ms%s\n", static_cast<long long>(now.count()), type.name, fault.target, fault.form, static_cast<long long>(fault.length.count()), struck ? "" : " (does not fit)");
            if (struck)
                healings.push({ fault.at + fault.length, fault });
            continue;
        }
        watchStops();
        watchSheets();
        std::this_thread::sleep_for(POLL);
    }
}

} // namespace cornelwind::soak
