#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Reaches one peer through another address than the one it is listed under.
struct PeerRoute {
    InstanceName instance;
    Endpoint via;
};

/// How the platform publishes the sheet and the backend servers.
enum class PlatformForm : std::uint8_t {
    /// One sheet that lists the backend servers, and a list of instances.
    Sheet,
    /// A store of keys with a history, where backend servers register themselves.
    Store,
};

/// Settings of one entry instance.
struct Settings {
    InstanceName name;
    ZoneName zone;
    Endpoint callers;
    Endpoint peers;
    Endpoint admin { "127.0.0.1", 0 };
    /// Address under which callers and peers are listed; defaults to `peers`.
    std::optional<Endpoint> advertised;
    std::optional<Endpoint> platform;
    PlatformForm platformForm = PlatformForm::Sheet;
    /// Limits of the platform as it words them; its adapter reads them.
    std::vector<std::string> platformLimits;
    /// Where the balancer asks whether this entry instance is ready; nothing where it asks the callers' listener.
    std::optional<Endpoint> readiness;
    std::optional<Endpoint> traceCollector;
    std::vector<PeerRoute> routes;
    /// Peer listeners to ask where the platform does not answer.
    std::vector<Endpoint> seeds;
    std::uint32_t maxConnections = 1000;
    ByteCount maxHead { 16 * 1024 };
    Millis receiveTime { 5000 };
    Millis stopTime { 30000 };
    /// Time in which the balancer notices that this entry instance is not ready.
    Millis stopNotice { 500 };
    /// Retries that the whole fleet may add to the share of each service, in a short time.
    std::uint32_t fleetRetryAllowance = 0;
    /// Retries of a service allowed where the sheet does not say, in percent of its requests.
    std::uint32_t retryPercent = 10;
    Millis keyLifetime { 900000 };
    std::uint32_t maxKeys = 20000;
    ByteCount maxStoredAnswers { 16 * 1024 * 1024 };
    std::string logLevel = "info";
};

/// Checks settings and reads them.
///
/// @param text TOML text as docs/OPERATIONS.md describes it
/// @param reasons receives every fault found
/// @return the settings, or nothing if there is at least one fault
std::optional<Settings> readSettings(std::string_view text, Reasons& reasons);

} // namespace cornelwind
