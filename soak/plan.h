#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelwind::soak {

using Millis = std::chrono::milliseconds;

/// Kinds of faults that the soak injects into the processes and links of a fleet.
enum class FaultKind : std::uint8_t {
    /// Kills an entry instance with SIGKILL.
    KillInstance,
    /// Sends SIGTERM to an entry instance.
    StopInstance,
    /// Sends SIGTERM to an entry instance twice.
    StopInstanceTwice,
    /// Sends SIGTERM to an entry instance and kills it before it has stopped.
    StopThenKillInstance,
    /// Suspends an entry instance with SIGSTOP.
    PauseInstance,
    /// Sends SIGTERM to a suspended entry instance.
    StopWhilePaused,
    /// Sends SIGHUP to an entry instance.
    ReloadInstance,
    /// Suspends a backend server with SIGSTOP.
    PauseServer,
    /// Kills a backend server with SIGKILL.
    KillServer,
    /// Makes a backend server handle a share of its requests wrongly: it fails, sheds or stalls them, truncates the
    /// response, returns a wrong try id or closes the connection instead of responding.
    DisturbServer,
    /// Makes the platform list a backend server as leaving.
    MarkServerLeaving,
    /// Cuts, delays or resets the link to a backend server.
    DisturbServerLink,
    /// Cuts, delays or resets the link from one entry instance to another.
    DisturbPeerLink,
    /// Makes the platform close connections instead of responding.
    StopPlatform,
    /// Makes the platform serve its present data even after later changes.
    FreezePlatform,
    /// Publishes a new version of the sheet.
    PublishSheet,
    /// Publishes the previous version of the sheet.
    PublishOlderSheet,
};
constexpr std::size_t FAULT_KINDS = static_cast<std::size_t>(FaultKind::PublishOlderSheet) + 1;

/// A planned fault.
struct Fault {
    FaultKind kind;
    /// Selects the instance, server or link: its index is this value modulo their number.
    std::size_t target;
    /// Selects a variant of the fault: its index is this value modulo the number of variants.
    std::size_t variant;
    /// Time of injection since the start of the run.
    Millis at;
    /// Time from injection to recovery.
    Millis duration;
};

/// Generates the fault plan of one run.
///
/// Faults come in bursts. The gaps inside a burst are short, so that faults overlap. The gaps between bursts are longer.
///
/// @param seed the same seed and duration give the same faults on every machine
/// @param duration time span in which faults are injected
/// @return faults ordered by time of injection
std::vector<Fault> makePlan(std::uint64_t seed, Millis duration);

} // namespace cornelwind::soak
