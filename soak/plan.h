#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelwind::soak {

using Millis = std::chrono::milliseconds;

/// What the soak does to the processes and links of a fleet.
enum class FaultKind : std::uint8_t {
    KillInstance,
    StopInstance,
    StopInstanceTwice,
    StopThenKillInstance,
    PauseInstance,
    StopWhilePaused,
    ReloadInstance,
    PauseServer,
    KillServer,
    DisturbServer,
    LeaveServer,
    DisturbServerLink,
    DisturbPeerLink,
    StopPlatform,
    FreezePlatform,
    PublishSheet,
    PublishOlderSheet,
};
constexpr std::size_t FAULT_KINDS = static_cast<std::size_t>(FaultKind::PublishOlderSheet) + 1;

/// One fault: when it strikes, whom, and for how long.
struct Fault {
    FaultKind kind;
    /// Index of the instance, server or link; taken modulo their number.
    std::size_t target;
    /// Chooses among the forms of a fault.
    std::size_t form;
    Millis at;
    Millis length;
};

/// Draws the faults of one run.
///
/// Faults come in series with short gaps between calm stretches, so that they overlap.
///
/// @param seed the same seed gives the same faults on every machine
/// @param length time in which faults strike
/// @return faults in order of their time
std::vector<Fault> makePlan(std::uint64_t seed, Millis length);

} // namespace cornelwind::soak
