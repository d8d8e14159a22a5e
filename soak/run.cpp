#include "run.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <queue>

namespace cornelwind::soak {
namespace {

    using std::chrono::duration_cast;

    // `limits.stop_ms` of the instances, and room for a busy machine on top.
    constexpr int STOP_MS = 2000;
    constexpr int STOP_LIMIT_MS = STOP_MS + 3000;
    // A change of the sheet or of the server list is in force everywhere within this time.
    constexpr int IN_FORCE_MS = 8000;
    // After the last fault all is served again within this time.
    constexpr int RECOVERY_MS = 15000;
    constexpr int CONTROL_LIMIT_MS = 500;
    constexpr Millis POLL { 50 };
    // Between a signal and its effect on a busy machine.
    constexpr Millis SIGNAL_SLACK { 200 };
    constexpr int STATUS_OK = 200;
    // As shells do.
    constexpr int SIGNAL_EXIT_BASE = 128;

    constexpr std::array serverDisturbances { "fail_percent", "shed_percent", "truncate_percent", "mismatch_percent", "close_before_answer_percent", "stall_percent" };
    constexpr int DISTURBED_PERCENT = 40;
    constexpr std::array linkDisturbances { "forward=cut", "backward=cut", "forward=cut\nbackward=cut", "forward=80\nbackward=80", "forward=reset" };
    constexpr const char* CALM_LINK = "forward=pass\nbackward=pass";

    std::string replaceAll(std::string text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
        return text;
    }

} // namespace

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
        const auto now = duration_cast<Millis>(Clock::now() - start);
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

bool Run::killInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    instance.disturbances.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).kill();
    instance.exits.push_back(Clock::now());
    instance.state = State::Down;
    return true;
}

void Run::startInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    m_fleet.start(instance.name);
    ++m_starts;
    instance.sheet = 0;
    instance.state = State::Up;
    if (!instance.disturbances.empty())
        instance.disturbances.back().to = std::min(instance.disturbances.back().to, Clock::now());
}

bool Run::stopInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    processOf(instance).signal(SIGTERM);
    instance.state = State::Stopping;
    return true;
}

bool Run::stopInstanceTwice(const Fault& fault)
{
    if (!stopInstance(fault))
        return false;
    std::this_thread::sleep_for(POLL);
    processOf(instanceOf(fault)).signal(SIGTERM);
    return true;
}

bool Run::stopThenKillInstance(const Fault& fault)
{
    if (!stopInstance(fault))
        return false;
    Instance& instance = instanceOf(fault);
    std::this_thread::sleep_for(POLL);
    instance.disturbances.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).kill();
    instance.exits.push_back(Clock::now());
    instance.state = State::Down;
    return true;
}

void Run::finishStop(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    // Others that end meanwhile are noted when they do.
    const auto isDown = [this, &instance] {
        watchStops();
        return instance.state == State::Down;
    };
    if (!test::waitFor(isDown, STOP_LIMIT_MS))
        noteExit(instance, std::nullopt);
    startInstance(fault);
}

void Run::watchStops()
{
    for (Instance& instance : m_instances) {
        if (instance.state != State::Stopping)
            continue;
        if (const auto code = processOf(instance).wait(0))
            noteExit(instance, code);
    }
}

void Run::noteExit(Instance& instance, std::optional<int> code)
{
    instance.state = State::Down;
    instance.exits.push_back(Clock::now());
    // Before its first sheet a process may not yet catch the signal.
    const bool mayDie = instance.sheet == 0 && code == SIGNAL_EXIT_BASE + SIGTERM;
    if (!code)
        violated("instance " + instance.name + " did not end within its time for a stop");
    else if (*code != 0 && !mayDie)
        violated("instance " + instance.name + " ended a stop with exit code " + std::to_string(*code));
}

bool Run::pauseInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    instance.disturbances.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).signal(SIGSTOP);
    instance.state = State::Paused;
    return true;
}

void Run::resumeInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    processOf(instance).signal(SIGCONT);
    instance.disturbances.back().to = Clock::now();
    instance.state = State::Up;
}

bool Run::stopWhilePaused(const Fault& fault)
{
    if (!pauseInstance(fault))
        return false;
    processOf(instanceOf(fault)).signal(SIGTERM);
    return true;
}

void Run::resumeAndFinishStop(const Fault& fault)
{
    resumeInstance(fault);
    instanceOf(fault).state = State::Stopping;
    finishStop(fault);
}

bool Run::reloadInstance(const Fault& fault)
{
    const Instance& instance = instanceOf(fault);
    // Before its first sheet a process may not yet catch the signal.
    if (instance.state == State::Down || instance.sheet == 0)
        return false;
    processOf(instance).signal(SIGHUP);
    return true;
}

bool Run::pauseServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up)
        return false;
    m_fleet.server(server.name).signal(SIGSTOP);
    server.state = State::Paused;
    return true;
}

void Run::resumeServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    m_fleet.server(server.name).signal(SIGCONT);
    server.state = State::Up;
}

bool Run::killServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up)
        return false;
    m_fleet.server(server.name).kill();
    server.state = State::Down;
    return true;
}

void Run::startServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    m_fleet.restartServer(server.name);
    server.state = State::Up;
}

bool Run::disturbServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up || !server.disturbance.empty())
        return false;
    server.disturbance = serverDisturbances.at(fault.form % serverDisturbances.size());
    test::call(m_fleet.serverAddress(server.name), "PUT", "/standin/control", {}, server.disturbance + "=" + std::to_string(DISTURBED_PERCENT), CONTROL_LIMIT_MS);
    return true;
}

void Run::calmServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    // A paused server reads this when it wakes; a new process is calm anyway.
    test::call(m_fleet.serverAddress(server.name), "PUT", "/standin/control", {}, server.disturbance + "=0", CONTROL_LIMIT_MS);
    server.disturbance.clear();
}

bool Run::leaveServer(const Fault& fault)
{
    m_fleet.publishLeavingServer(serverOf(fault).name);
    return true;
}

void Run::returnServer(const Fault&)
{
    m_fleet.publishInstances();
}

bool Run::disturbServerLink(const Fault& fault)
{
    test::Fleet::controlRelay(serverOf(fault).relayControl, linkDisturbances.at(fault.form % linkDisturbances.size()));
    return true;
}

void Run::calmServerLink(const Fault& fault)
{
    test::Fleet::controlRelay(serverOf(fault).relayControl, CALM_LINK);
}

bool Run::disturbPeerLink(const Fault& fault)
{
    test::Fleet::controlRelay(m_peerLinks.at(fault.target % m_peerLinks.size()), linkDisturbances.at(fault.form % linkDisturbances.size()));
    return true;
}

void Run::calmPeerLink(const Fault& fault)
{
    test::Fleet::controlRelay(m_peerLinks.at(fault.target % m_peerLinks.size()), CALM_LINK);
}

bool Run::stopPlatform(const Fault&)
{
    if (!m_platformUp)
        return false;
    m_fleet.controlPlatform("down");
    m_platformUp = false;
    return true;
}

bool Run::freezePlatform(const Fault&)
{
    if (!m_platformUp)
        return false;
    m_fleet.controlPlatform("stale");
    m_platformUp = false;
    return true;
}

void Run::resumePlatform(const Fault&)
{
    m_fleet.controlPlatform("ok");
    m_platformUp = true;
}

bool Run::publishSheet(const Fault&)
{
    publishNewestSheet();
    return true;
}

bool Run::publishOlderSheet(const Fault&)
{
    if (m_sheet > 1)
        m_fleet.publishSheet(makeSheet(m_sheet - 1));
    return m_sheet > 1;
}

void Run::nothing(const Fault&) { }

std::string Run::makeSheet(std::uint64_t version) const
{
    std::string text = m_fleet.sheet(static_cast<int>(version));
    for (const Server& server : m_servers)
        text = replaceAll(std::move(text), "\"" + m_fleet.serverAddress(server.name) + "\"", "\"" + server.relayAddress + "\"");
    return text;
}

void Run::publishNewestSheet()
{
    m_fleet.publishSheet(makeSheet(++m_sheet));
}

std::uint64_t Run::sheetOf(const Instance& instance) const
{
    const auto answer = test::call(m_fleet.admin(instance.name), "GET", "/status", {}, {}, CONTROL_LIMIT_MS);
    constexpr std::string_view field = "\"sheet_version\":";
    const std::size_t at = answer ? answer->body.find(field) : std::string::npos;
    return at == std::string::npos ? 0 : std::strtoull(answer->body.c_str() + at + field.size(), nullptr, 10);
}

// A process never goes back to an older sheet. No answer says nothing.
void Run::watchSheets()
{
    for (Instance& instance : m_instances) {
        const std::uint64_t sheet = instance.state == State::Up ? sheetOf(instance) : 0;
        if (!sheet)
            continue;
        if (sheet < instance.sheet)
            violated("instance " + instance.name + " went back from sheet " + std::to_string(instance.sheet) + " to " + std::to_string(sheet));
        instance.sheet = std::max(instance.sheet, sheet);
    }
}

void Run::checkNewestSheet()
{
    publishNewestSheet();
    const bool inForce = test::waitFor([this] { return std::all_of(m_instances.begin(), m_instances.end(), [this](const Instance& instance) { return sheetOf(instance) == m_sheet; }); }, IN_FORCE_MS);
    if (!inForce)
        violated("sheet " + std::to_string(m_sheet) + " was not in force everywhere after " + std::to_string(IN_FORCE_MS) + " ms");
}

bool Run::serves(const Instance& instance) const
{
    const auto answer = test::call(m_fleet.callers(instance.name), "GET", "/catalogue", {}, {}, CONTROL_LIMIT_MS);
    return answer && answer->status() == STATUS_OK;
}

void Run::checkRecovery()
{
    constexpr int IN_A_ROW = 20;
    const auto servesAll = [this] {
        for (int i = 0; i < IN_A_ROW; ++i) {
            if (!std::all_of(m_instances.begin(), m_instances.end(), [this](const Instance& instance) { return serves(instance); }))
                return false;
        }
        return true;
    };
    if (!test::waitFor(servesAll, RECOVERY_MS))
        violated("look-ups still fail " + std::to_string(RECOVERY_MS) + " ms after the last fault");
}

void Run::checkLeaving()
{
    const std::string& leaving = m_servers.front().name;
    m_fleet.publishLeavingServer(leaving);
    std::this_thread::sleep_for(Millis { IN_FORCE_MS });
    const std::size_t before = readRuns(leaving).size();
    std::this_thread::sleep_for(Millis { CONTROL_LIMIT_MS });
    const std::size_t after = readRuns(leaving).size();
    if (after > before)
        violated("server " + leaving + " got " + std::to_string(after - before) + " requests after its leaving was to be in force");
}

void Run::checkStops()
{
    for (Instance& instance : m_instances) {
        processOf(instance).signal(SIGTERM);
        instance.state = State::Stopping;
    }
    const auto allDown = [this] {
        watchStops();
        return std::all_of(m_instances.begin(), m_instances.end(), [](const Instance& instance) { return instance.state == State::Down; });
    };
    if (test::waitFor(allDown, STOP_LIMIT_MS))
        return;
    for (Instance& instance : m_instances) {
        if (instance.state != State::Down)
            noteExit(instance, std::nullopt);
    }
}

// Whether a kill, a pause or the exit of the process explains a request without an answer.
bool Run::excused(const Cut& cut) const
{
    const auto& instance = *std::find_if(m_instances.begin(), m_instances.end(), [&cut](const Instance& each) { return each.name == cut.instance; });
    const bool disturbed = std::any_of(instance.disturbances.begin(), instance.disturbances.end(), [&cut](const Interval& interval) {
        return cut.sentAt <= interval.to + SIGNAL_SLACK && cut.cutAt + SIGNAL_SLACK >= interval.from;
    });
    // What reaches a process in its last moments, it cannot read any more; later the connection is gone.
    const bool gone = std::any_of(instance.exits.begin(), instance.exits.end(), [&cut](Clock::time_point exit) {
        return cut.openedAt <= exit + SIGNAL_SLACK && cut.sentAt + SIGNAL_SLACK >= exit;
    });
    return disturbed || gone;
}

void Run::checkCuts()
{
    for (const Cut& cut : m_callers->cuts()) {
        if (!excused(cut))
            violated("no answer from instance " + cut.instance + " to " + cut.request + " sent at " + std::to_string(duration_cast<Millis>(cut.sentAt - m_begun).count()) + " ms, cut after "
                + std::to_string(duration_cast<Millis>(cut.cutAt - cut.sentAt).count()) + " ms");
    }
}

std::map<std::string, int> Run::readRuns(const std::string& server) const
{
    std::map<std::string, int> runs;
    std::ifstream log(m_fleet.logFile(server));
    for (std::string line; std::getline(log, line);) {
        // run METHOD TARGET BODY; a look-up has its mark in the target.
        if (!line.starts_with("run "))
            continue;
        const std::size_t inTarget = line.find("?of=");
        const std::size_t from = inTarget == std::string::npos ? line.rfind(' ') + 1 : inTarget + 4;
        const std::string mark = line.substr(from, line.find(' ', from) - from);
        if (!mark.empty())
            ++runs[mark];
    }
    return runs;
}

void Run::violated(const std::string& text)
{
    m_observations.noteViolation(text);
}

} // namespace cornelwind::soak
