// Checks of the fleet while faults are injected and after the last fault.
#include "run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace cornelwind::soak {
namespace {

    using std::chrono::duration_cast;

    // Time within which every instance must apply a change of the sheet or of the server list.
    constexpr int PROPAGATION_LIMIT_MS = 8000;
    // Time after the last fault within which every instance must serve look-ups again.
    constexpr int RECOVERY_LIMIT_MS = 15000;
    // Upper bound of the delay between a signal and its effect on a busy machine.
    constexpr Millis SIGNAL_SLACK { 200 };
    constexpr int STATUS_OK = 200;
    // As in a shell, a process that signal N ended has exit code 128 + N.
    constexpr int SIGNAL_EXIT_BASE = 128;

} // namespace

void SoakRun::pollStops()
{
    for (Instance& instance : m_instances) {
        if (instance.state != State::Stopping)
            continue;
        if (const auto code = processOf(instance).wait(0))
            recordExit(instance, code);
    }
}

void SoakRun::recordExit(Instance& instance, std::optional<int> code)
{
    instance.state = State::Down;
    instance.exits.push_back(Clock::now());
    // A process that has not yet reported a sheet may not have installed its signal handler. SIGTERM then kills it.
    const bool signalMayKill = instance.sheet == 0 && code == SIGNAL_EXIT_BASE + SIGTERM;
    if (!code)
        recordViolation("instance " + instance.name + " did not exit within its stop time limit");
    else if (*code != 0 && !signalMayKill)
        recordViolation("instance " + instance.name + " stopped with exit code " + std::to_string(*code));
}

std::uint64_t SoakRun::sheetVersionOf(const Instance& instance) const
{
    const auto response = test::call(m_fleet.adminAddress(instance.name), "GET", "/status", {}, {}, CONTROL_LIMIT_MS);
    constexpr std::string_view field = "\"sheet_version\":";
    const std::size_t at = response ? response->body.find(field) : std::string::npos;
    return at == std::string::npos ? 0 : std::strtoull(response->body.c_str() + at + field.size(), nullptr, 10);
}

void SoakRun::pollSheetVersions()
{
    for (Instance& instance : m_instances) {
        const std::uint64_t sheet = instance.state == State::Up ? sheetVersionOf(instance) : 0;
        if (!sheet)
            continue;
        if (sheet < instance.sheet)
            recordViolation("instance " + instance.name + " reverted from sheet " + std::to_string(instance.sheet) + " to " + std::to_string(sheet));
        instance.sheet = std::max(instance.sheet, sheet);
    }
}

void SoakRun::checkNewestSheet()
{
    publishNewestSheet();
    const bool adopted = test::waitFor([this] { return std::all_of(m_instances.begin(), m_instances.end(), [this](const Instance& instance) { return sheetVersionOf(instance) == m_sheetVersion; }); }, PROPAGATION_LIMIT_MS);
    if (!adopted)
        recordViolation("sheet " + std::to_string(m_sheetVersion) + " was not adopted by all instances after " + std::to_string(PROPAGATION_LIMIT_MS) + " ms");
}

bool SoakRun::canServe(const Instance& instance) const
{
    const auto response = test::call(m_fleet.callerAddress(instance.name), "GET", "/catalogue", {}, {}, CONTROL_LIMIT_MS);
    return response && response->status() == STATUS_OK;
}

void SoakRun::checkRecovery()
{
    constexpr int CONSECUTIVE_LOOKUPS = 20;
    const auto allCanServe = [this] {
        for (int i = 0; i < CONSECUTIVE_LOOKUPS; ++i) {
            if (!std::all_of(m_instances.begin(), m_instances.end(), [this](const Instance& instance) { return canServe(instance); }))
                return false;
        }
        return true;
    };
    if (!test::waitFor(allCanServe, RECOVERY_LIMIT_MS))
        recordViolation("look-ups still fail " + std::to_string(RECOVERY_LIMIT_MS) + " ms after the last fault");
}

void SoakRun::checkLeavingServer()
{
    const std::string& leaving = m_servers.front().name;
    m_fleet.publishServerAsLeaving(leaving);
    std::this_thread::sleep_for(Millis { PROPAGATION_LIMIT_MS });
    const std::size_t before = readExecutions(leaving).size();
    std::this_thread::sleep_for(Millis { CONTROL_LIMIT_MS });
    const std::size_t after = readExecutions(leaving).size();
    if (after > before)
        recordViolation("server " + leaving + " got " + std::to_string(after - before) + " requests after all instances should have applied its leaving state");
}

void SoakRun::checkStops()
{
    for (Instance& instance : m_instances) {
        processOf(instance).signal(SIGTERM);
        instance.state = State::Stopping;
    }
    const auto allDown = [this] {
        pollStops();
        return std::all_of(m_instances.begin(), m_instances.end(), [](const Instance& instance) { return instance.state == State::Down; });
    };
    if (test::waitFor(allDown, STOP_LIMIT_MS))
        return;
    for (Instance& instance : m_instances) {
        if (instance.state != State::Down)
            recordExit(instance, std::nullopt);
    }
}

bool SoakRun::isLossExpected(const UnansweredRequest& unanswered) const
{
    const auto& instance = *std::find_if(m_instances.begin(), m_instances.end(), [&unanswered](const Instance& each) { return each.name == unanswered.instance; });
    const bool unresponsive = std::any_of(instance.unresponsiveIntervals.begin(), instance.unresponsiveIntervals.end(), [&unanswered](const Interval& interval) {
        return unanswered.sentAt <= interval.to + SIGNAL_SLACK && unanswered.failedAt + SIGNAL_SLACK >= interval.from;
    });
    // A process does not read requests that arrive just before it exits. Its exit closes all its connections.
    const bool processExited = std::any_of(instance.exits.begin(), instance.exits.end(), [&unanswered](Clock::time_point exit) {
        return unanswered.openedAt <= exit + SIGNAL_SLACK && unanswered.sentAt + SIGNAL_SLACK >= exit;
    });
    return unresponsive || processExited;
}

void SoakRun::checkUnansweredRequests()
{
    for (const UnansweredRequest& unanswered : m_callers->unansweredRequests()) {
        if (!isLossExpected(unanswered))
            recordViolation("no response from instance " + unanswered.instance + " to " + unanswered.request + " sent at " + std::to_string(duration_cast<Millis>(unanswered.sentAt - m_startedAt).count()) + " ms, failed after "
                + std::to_string(duration_cast<Millis>(unanswered.failedAt - unanswered.sentAt).count()) + " ms");
    }
}

std::map<std::string, int> SoakRun::readExecutions(const std::string& server) const
{
    std::map<std::string, int> executions;
    std::ifstream log(m_fleet.logFile(server));
    for (std::string line; std::getline(log, line);) {
        // Line format: run METHOD TARGET BODY. A look-up has its tag in the target, an order in the body.
        if (!line.starts_with("run "))
            continue;
        const std::size_t inTarget = line.find("?of=");
        const std::size_t from = inTarget == std::string::npos ? line.rfind(' ') + 1 : inTarget + 4;
        const std::string tag = line.substr(from, line.find(' ', from) - from);
        if (!tag.empty())
            ++executions[tag];
    }
    return executions;
}

void SoakRun::recordViolation(const std::string& text)
{
    m_observations.recordViolation(text);
}

} // namespace cornelwind::soak
