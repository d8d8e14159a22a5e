// What each fault does, and how it is healed.
#include "run.h"

#include <algorithm>
#include <csignal>

namespace cornelwind::soak {
namespace {

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

bool Run::killInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    endProcess(instance);
    return true;
}

void Run::endProcess(Instance& instance)
{
    instance.disturbances.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).kill();
    instance.exits.push_back(Clock::now());
    instance.state = State::Down;
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
    endProcess(instance);
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

} // namespace cornelwind::soak
