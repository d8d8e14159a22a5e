#pragma once

#include "callers.h"
#include "observations.h"
#include "plan.h"
#include "support/fleet.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelwind::soak {

/// `limits.stop_ms` of the instances.
constexpr int STOP_MS = 2000;
/// The time of a stop, and room for a busy machine on top.
constexpr int STOP_LIMIT_MS = STOP_MS + 3000;
/// Time limit of calls to stand-ins and admin listeners, which may be paused.
constexpr int CONTROL_LIMIT_MS = 500;
/// Pause between two looks at the fleet, and between two signals of one fault.
constexpr Millis POLL { 50 };

struct Options {
    std::uint64_t seed = 1;
    /// Time in which faults strike; recovery comes on top.
    Millis length { 15000 };
    std::size_t instances = 4;
    /// Backend servers of each of the two services.
    std::size_t servers = 3;
    std::size_t callers = 8;
    /// Prints each fault as it strikes.
    bool verbose = false;
};

struct Verdict {
    Violations violations;
    /// One line of counts.
    std::string summary;
};

/// One run of the soak: a fleet, its callers, and the faults of one plan.
class Run {
public:
    explicit Run(const Options& options);
    /// Plays the plan, heals everything, and checks the promises.
    Verdict play();

private:
    enum class State : std::uint8_t { Up,
        Paused,
        Stopping,
        Down };
    struct Interval {
        Clock::time_point from;
        Clock::time_point to;
    };
    struct Instance {
        std::string name;
        State state = State::Up;
        /// Times in which it may leave requests without an answer: killed or paused.
        std::vector<Interval> disturbances;
        /// End of each of its processes, with which the connections to it ended.
        std::vector<Clock::time_point> exits;
        /// Newest sheet that this process has shown.
        std::uint64_t sheet = 0;
    };
    struct Server {
        std::string name;
        State state = State::Up;
        std::string relayAddress;
        std::string relayControl;
        std::string disturbance;
    };
    /// @return whether the fault fits the state of its target
    using Strike = bool (Run::*)(const Fault&);
    using Heal = void (Run::*)(const Fault&);
    struct FaultType {
        const char* name;
        Strike strike;
        Heal heal;
    };
    static const std::array<FaultType, FAULT_KINDS> faultTypes;

    Instance& instanceOf(const Fault& fault) { return m_instances.at(fault.target % m_instances.size()); }
    Server& serverOf(const Fault& fault) { return m_servers.at(fault.target % m_servers.size()); }
    test::Process& processOf(const Instance& instance) { return m_fleet.instance(instance.name); }

    void endProcess(Instance& instance);
    bool killInstance(const Fault& fault);
    bool stopInstance(const Fault& fault);
    bool stopInstanceTwice(const Fault& fault);
    bool stopThenKillInstance(const Fault& fault);
    bool pauseInstance(const Fault& fault);
    bool stopWhilePaused(const Fault& fault);
    bool reloadInstance(const Fault& fault);
    void startInstance(const Fault& fault);
    void finishStop(const Fault& fault);
    void resumeInstance(const Fault& fault);
    void resumeAndFinishStop(const Fault& fault);

    bool pauseServer(const Fault& fault);
    void resumeServer(const Fault& fault);
    bool killServer(const Fault& fault);
    void startServer(const Fault& fault);
    bool disturbServer(const Fault& fault);
    void calmServer(const Fault& fault);
    bool leaveServer(const Fault& fault);
    void returnServer(const Fault& fault);
    bool disturbServerLink(const Fault& fault);
    void calmServerLink(const Fault& fault);
    bool disturbPeerLink(const Fault& fault);
    void calmPeerLink(const Fault& fault);

    bool stopPlatform(const Fault& fault);
    bool freezePlatform(const Fault& fault);
    void resumePlatform(const Fault& fault);
    bool publishSheet(const Fault& fault);
    bool publishOlderSheet(const Fault& fault);
    void nothing(const Fault& fault);

    std::string makeSheet(std::uint64_t version) const;
    void publishNewestSheet();
    void strikeAll();
    void watchStops();
    void noteExit(Instance& instance, std::optional<int> code);
    void watchSheets();
    std::uint64_t sheetOf(const Instance& instance) const;
    void checkNewestSheet();
    void checkRecovery();
    void checkLeaving();
    void checkStops();
    void checkCuts();
    bool excused(const Cut& cut) const;
    bool serves(const Instance& instance) const;
    std::map<std::string, int> readRuns(const std::string& server) const;
    void violated(const std::string& text);

    const Options m_options;
    test::Fleet m_fleet;
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    std::vector<std::string> m_peerLinks;
    Observations m_observations;
    std::unique_ptr<Callers> m_callers;
    std::uint64_t m_sheet = 1;
    std::size_t m_starts = 0;
    bool m_platformUp = true;
    Clock::time_point m_begun;
};

} // namespace cornelwind::soak
