// Injection of each kind of fault, and recovery from it.
#include "run.h"

#include <algorithm>
#include <csignal>

namespace cornelwind::soak {
namespace {

    constexpr std::array serverFaults { "fail_percent", "shed_percent", "truncate_percent", "mismatch_percent", "close_before_answer_percent", "stall_percent" };
    // Share of the requests that a disturbed server mishandles.
    constexpr int FAULT_PERCENT = 40;
    constexpr std::array linkFaults { "forward=cut", "backward=cut", "forward=cut\nbackward=cut", "forward=80\nbackward=80", "forward=reset" };
    constexpr const char* LINK_PASSES = "forward=pass\nbackward=pass";

    std::string replaceAll(std::string text, const std::string& from, const std::string& to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
            text.replace(at, from.size(), to);
        return text;
    }

} // namespace

bool SoakRun::killInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    killProcess(instance);
    return true;
}

void SoakRun::killProcess(Instance& instance)
{
    instance.unresponsiveIntervals.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).kill();
    instance.exits.push_back(Clock::now());
    instance.state = State::Down;
}

void SoakRun::startInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    m_fleet.start(instance.name);
    ++m_processStarts;
    instance.sheet = 0;
    instance.state = State::Up;
    // After a kill the last interval is still open. After a stop it has already ended and stays as it is.
    if (!instance.unresponsiveIntervals.empty())
        instance.unresponsiveIntervals.back().to = std::min(instance.unresponsiveIntervals.back().to, Clock::now());
}

bool SoakRun::stopInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    processOf(instance).signal(SIGTERM);
    instance.state = State::Stopping;
    return true;
}

bool SoakRun::stopInstanceTwice(const Fault& fault)
{
    if (!stopInstance(fault))
        return false;
    std::this_thread::sleep_for(POLL_INTERVAL);
    processOf(instanceOf(fault)).signal(SIGTERM);
    return true;
}

bool SoakRun::stopThenKillInstance(const Fault& fault)
{
    if (!stopInstance(fault))
        return false;
    Instance& instance = instanceOf(fault);
    std::this_thread::sleep_for(POLL_INTERVAL);
    killProcess(instance);
    return true;
}

void SoakRun::finishStop(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    // Also records the exits of other instances during the wait, so that their exit times are accurate.
    const auto isDown = [this, &instance] {
        pollStops();
        return instance.state == State::Down;
    };
    if (!test::waitFor(isDown, STOP_LIMIT_MS))
        recordExit(instance, std::nullopt);
    startInstance(fault);
}

bool SoakRun::pauseInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    if (instance.state != State::Up)
        return false;
    instance.unresponsiveIntervals.push_back({ Clock::now(), Clock::time_point::max() });
    processOf(instance).signal(SIGSTOP);
    instance.state = State::Paused;
    return true;
}

void SoakRun::resumeInstance(const Fault& fault)
{
    Instance& instance = instanceOf(fault);
    processOf(instance).signal(SIGCONT);
    instance.unresponsiveIntervals.back().to = Clock::now();
    instance.state = State::Up;
}

bool SoakRun::stopWhilePaused(const Fault& fault)
{
    if (!pauseInstance(fault))
        return false;
    processOf(instanceOf(fault)).signal(SIGTERM);
    return true;
}

void SoakRun::resumeAndFinishStop(const Fault& fault)
{
    resumeInstance(fault);
    instanceOf(fault).state = State::Stopping;
    finishStop(fault);
}

bool SoakRun::reloadInstance(const Fault& fault)
{
    const Instance& instance = instanceOf(fault);
    // A process that has not yet reported a sheet may not have installed its signal handler. SIGHUP would then kill it.
    if (instance.state == State::Down || instance.sheet == 0)
        return false;
    processOf(instance).signal(SIGHUP);
    return true;
}

bool SoakRun::pauseServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up)
        return false;
    m_fleet.server(server.name).signal(SIGSTOP);
    server.state = State::Paused;
    return true;
}

void SoakRun::resumeServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    m_fleet.server(server.name).signal(SIGCONT);
    server.state = State::Up;
}

bool SoakRun::killServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up)
        return false;
    m_fleet.server(server.name).kill();
    server.state = State::Down;
    return true;
}

void SoakRun::startServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    m_fleet.restartServer(server.name);
    server.state = State::Up;
}

bool SoakRun::disturbServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    if (server.state != State::Up || !server.activeFault.empty())
        return false;
    server.activeFault = serverFaults.at(fault.variant % serverFaults.size());
    test::call(m_fleet.serverAddress(server.name), "PUT", "/standin/control", {}, server.activeFault + "=" + std::to_string(FAULT_PERCENT), CONTROL_LIMIT_MS);
    return true;
}

void SoakRun::restoreServer(const Fault& fault)
{
    Server& server = serverOf(fault);
    // A suspended server reads this request when it resumes. In a restarted server no fault is set.
    test::call(m_fleet.serverAddress(server.name), "PUT", "/standin/control", {}, server.activeFault + "=0", CONTROL_LIMIT_MS);
    server.activeFault.clear();
}

bool SoakRun::markServerLeaving(const Fault& fault)
{
    m_fleet.publishServerAsLeaving(serverOf(fault).name);
    return true;
}

void SoakRun::clearServerLeaving(const Fault&)
{
    m_fleet.publishInstances();
}

bool SoakRun::disturbServerLink(const Fault& fault)
{
    test::Fleet::controlRelay(serverOf(fault).relayControl, linkFaults.at(fault.variant % linkFaults.size()));
    return true;
}

void SoakRun::restoreServerLink(const Fault& fault)
{
    test::Fleet::controlRelay(serverOf(fault).relayControl, LINK_PASSES);
}

bool SoakRun::disturbPeerLink(const Fault& fault)
{
    test::Fleet::controlRelay(m_peerLinks.at(fault.target % m_peerLinks.size()), linkFaults.at(fault.variant % linkFaults.size()));
    return true;
}

void SoakRun::restorePeerLink(const Fault& fault)
{
    test::Fleet::controlRelay(m_peerLinks.at(fault.target % m_peerLinks.size()), LINK_PASSES);
}

bool SoakRun::stopPlatform(const Fault&)
{
    if (!m_platformUp)
        return false;
    m_fleet.controlPlatform("down");
    m_platformUp = false;
    return true;
}

bool SoakRun::freezePlatform(const Fault&)
{
    if (!m_platformUp)
        return false;
    m_fleet.controlPlatform("stale");
    m_platformUp = false;
    return true;
}

void SoakRun::resumePlatform(const Fault&)
{
    m_fleet.controlPlatform("ok");
    m_platformUp = true;
}

bool SoakRun::publishSheet(const Fault&)
{
    publishNewestSheet();
    return true;
}

bool SoakRun::publishOlderSheet(const Fault&)
{
    if (m_sheetVersion > 1)
        m_fleet.publishSheet(makeSheet(m_sheetVersion - 1));
    return m_sheetVersion > 1;
}

void SoakRun::recoverNothing(const Fault&) { }

std::string SoakRun::makeSheet(std::uint64_t version) const
{
    std::string text = m_fleet.sheet(static_cast<int>(version));
    for (const Server& server : m_servers)
        text = replaceAll(std::move(text), "\"" + m_fleet.serverAddress(server.name) + "\"", "\"" + server.relayAddress + "\"");
    return text;
}

void SoakRun::publishNewestSheet()
{
    m_fleet.publishSheet(makeSheet(++m_sheetVersion));
}

} // namespace cornelwind::soak
