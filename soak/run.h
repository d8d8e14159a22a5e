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

/// Value of the setting `limits.stop_ms` of the entry instances.
constexpr int STOP_MS = 2000;
/// Time limit for the exit of a stopped process. Exceeds `STOP_MS` to tolerate a busy machine.
constexpr int STOP_LIMIT_MS = STOP_MS + 3000;
/// Time limit of calls to stand-ins and entry instances. Calls need one because these processes may be suspended.
constexpr int CONTROL_LIMIT_MS = 500;
/// Interval between two polls of the fleet, and between two signals of one fault.
constexpr Millis POLL_INTERVAL { 50 };

/// Parameters of one run.
struct Options {
    std::uint64_t seed = 1;
    /// Time span in which faults are injected. The recoveries and the checks after it take additional time.
    Millis duration { 15000 };
    std::size_t instances = 4;
    /// Backend servers of each of the two services.
    std::size_t servers = 3;
    /// Number of concurrent callers.
    std::size_t callers = 8;
    /// Prints each fault when it is injected.
    bool verbose = false;
};

/// Result of one run.
struct RunResult {
    Violations violations;
    /// One line with the counts of requests and process starts.
    std::string summary;
};

/// One run of the soak test: a fleet, its callers, and the faults of one plan.
class SoakRun {
public:
    /// Starts the fleet.
    explicit SoakRun(const Options& options);

    /// Injects the planned faults, recovers from all of them, and checks the guarantees of the fleet. May be called once.
    ///
    /// @return the violated guarantees and a summary
    RunResult execute();

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
        /// Intervals in which the instance was down after a kill or suspended. Requests in these may get no response.
        std::vector<Interval> unresponsiveIntervals;
        /// Exit times of the processes of this instance. The exit of a process closes its connections.
        std::vector<Clock::time_point> exits;
        /// Newest sheet version reported by the current process; 0 before the first report.
        std::uint64_t sheet = 0;
    };
    struct Server {
        std::string name;
        State state = State::Up;
        /// Address of the relay that entry instances use instead of the server.
        std::string relayAddress;
        std::string relayControl;
        /// Key of the fault that is set in the stand-in, or empty.
        std::string activeFault;
    };
    /// @return true if the fault was injected, false if it does not apply in the current state of its target
    using InjectFunction = bool (SoakRun::*)(const Fault&);
    using RecoverFunction = void (SoakRun::*)(const Fault&);
    struct FaultType {
        const char* name;
        InjectFunction inject;
        RecoverFunction recover;
    };
    static const std::array<FaultType, FAULT_KINDS> faultTypes;

    Instance& instanceOf(const Fault& fault) { return m_instances.at(fault.target % m_instances.size()); }
    Server& serverOf(const Fault& fault) { return m_servers.at(fault.target % m_servers.size()); }
    test::Process& processOf(const Instance& instance) { return m_fleet.instance(instance.name); }

    void killProcess(Instance& instance);
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
    void restoreServer(const Fault& fault);
    bool markServerLeaving(const Fault& fault);
    void clearServerLeaving(const Fault& fault);
    bool disturbServerLink(const Fault& fault);
    void restoreServerLink(const Fault& fault);
    bool disturbPeerLink(const Fault& fault);
    void restorePeerLink(const Fault& fault);

    bool stopPlatform(const Fault& fault);
    bool freezePlatform(const Fault& fault);
    void resumePlatform(const Fault& fault);
    bool publishSheet(const Fault& fault);
    bool publishOlderSheet(const Fault& fault);
    /// Does nothing. Recovery function of the faults that need no recovery.
    void recoverNothing(const Fault& fault);

    /// @return the sheet in which each backend server has the address of its relay
    std::string makeSheet(std::uint64_t version) const;
    void publishNewestSheet();
    /// Injects each fault at its planned time and recovers from it after its duration.
    void injectFaults();
    /// Records the exit of each stopping instance whose process has ended.
    void pollStops();
    /// Records the end of a stop. A late exit or a wrong exit code is a violation.
    ///
    /// @param code exit code, or `std::nullopt` if the process did not exit in time
    void recordExit(Instance& instance, std::optional<int> code);
    /// Checks that no process reverts to an older sheet. Skips instances that do not answer.
    void pollSheetVersions();
    /// @return the sheet version in `/status`, or 0 if there is no response
    std::uint64_t sheetVersionOf(const Instance& instance) const;
    /// Checks that all instances adopt a new sheet within the propagation limit.
    void checkNewestSheet();
    /// Checks that look-ups through every instance succeed again within the recovery limit.
    void checkRecovery();
    /// Checks that a leaving backend server gets no more requests after the propagation limit.
    void checkLeavingServer();
    /// Checks that all instances exit in time and with code 0 after SIGTERM.
    void checkStops();
    /// Checks that a fault or an exit explains each unanswered request.
    void checkUnansweredRequests();
    /// @return true if a kill, a suspension or the exit of the process explains the missing response
    bool isLossExpected(const UnansweredRequest& unanswered) const;
    /// @return true if a look-up through the instance succeeds
    bool canServe(const Instance& instance) const;
    /// @return number of executions by tag, from the log of a backend server
    std::map<std::string, int> readExecutions(const std::string& server) const;
    void recordViolation(const std::string& text);

    const Options m_options;
    test::Fleet m_fleet;
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    /// Control addresses of the relays between entry instances.
    std::vector<std::string> m_peerLinks;
    Observations m_observations;
    std::unique_ptr<Callers> m_callers;
    /// Newest published version.
    std::uint64_t m_sheetVersion = 1;
    /// Number of started entry instance processes.
    std::size_t m_processStarts = 0;
    bool m_platformUp = true;
    Clock::time_point m_startedAt;
};

} // namespace cornelwind::soak
