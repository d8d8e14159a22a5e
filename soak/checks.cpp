// What is watched while faults strike, and what must hold after the last one.
#include "run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>

namespace cornelwind::soak {
namespace {

    using std::chrono::duration_cast;

    // A change of the sheet or of the server list is in force everywhere within this time.
    constexpr int IN_FORCE_MS = 8000;
    // After the last fault all is served again within this time.
    constexpr int RECOVERY_MS = 15000;
    // Between a signal and its effect on a busy machine.
    constexpr Millis SIGNAL_SLACK { 200 };
    constexpr int STATUS_OK = 200;
    // As shells do.
    constexpr int SIGNAL_EXIT_BASE = 128;

} // namespace

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
