#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Replaces the listed address of one other entry instance.
struct PeerRoute {
    InstanceName instance;
    /// Address to which messages for `instance` are sent.
    Endpoint via;
};

/// Form in which the platform publishes the sheet and the backend servers.
enum class PlatformForm : std::uint8_t {
    /// Publishes a sheet that contains the backend servers, and a list of the entry instances.
    Sheet,
    /// Is a key-value store with a revision history, in which backend servers register themselves.
    Store,
};

/// Settings of one entry instance.
struct Settings {
    static constexpr Millis DEFAULT_CHANGE_DEADLINE { 2000 };

    InstanceName name;
    ZoneName zone;
    /// Listen address for callers.
    Endpoint callers;
    /// Listen address for other entry instances.
    Endpoint peers;
    /// Listen address of the admin interface.
    Endpoint admin { "127.0.0.1", 0 };
    /// Address that other entry instances use to reach this one; defaults to `peers`.
    std::optional<Endpoint> advertised;
    /// Address of the platform; empty if there is none.
    std::optional<Endpoint> platform;
    PlatformForm platformForm = PlatformForm::Sheet;
    /// Limits set by the platform, in its own syntax. The platform adapter parses them.
    std::vector<std::string> platformLimits;
    /// Time within which every entry instance that reaches the platform has to follow a change there; `DEFAULT_CHANGE_DEADLINE` if
    /// the platform sets none.
    std::optional<Millis> changeDeadline;
    /// Time after which no entry instance may accept an API key that the sheet no longer lists, also one that reaches neither the
    /// platform nor other instances. Empty if such an instance may go on with the sheet that it knows.
    std::optional<Millis> keyRevocationDeadline;
    /// Window in which the requests of a workspace are counted for its quota.
    Millis quotaWindow { 5000 };
    /// Part of a quota by which all entry instances together may exceed it while they do not agree on who grants it.
    double quotaOver = 0.25;
    /// Requests by which they may exceed it beyond that.
    double quotaSlack = 20;
    /// Listen address for the readiness checks of the balancer; empty if it sends them to the callers' listener.
    std::optional<Endpoint> readiness;
    /// Address of the trace collector; empty if no traces are exported.
    std::optional<Endpoint> traceCollector;
    /// Addresses that replace those listed for other entry instances.
    std::vector<PeerRoute> peerRoutes;
    /// Addresses of other entry instances to contact while this one knows no other or has no sheet, for
    /// example because the platform is unreachable.
    std::vector<Endpoint> seeds;
    /// Maximum number of connections from callers. While twice as many requests are in progress, requests
    /// forwarded by other entry instances are dropped.
    std::uint32_t maxConnections = 1000;
    /// Maximum size of the request line and the headers together.
    ByteCount maxHead { 16 * 1024 };
    /// Memory that the process may use.
    ByteCount memory { 512ULL * 1024 * 1024 };
    /// Maximum number of bytes of request bodies that this entry instance has in flight at one backend server. A request beyond it
    /// waits or goes to another server; a larger one is sent only while no other body is in flight there.
    ByteCount serverBodyBytes { 8 * 1024 * 1024 };
    /// Maximum time to receive the head of a request, and again to receive its whole body. Each of the two timers is
    /// started once; arriving bytes do not restart it. The limits in a sheet can replace the first.
    Millis receiveTimeout { 5000 };
    /// Maximum duration of a graceful shutdown.
    Millis shutdownTimeout { 30000 };
    /// Time that the balancer needs to notice that this entry instance is no longer ready.
    Millis stopNotice { 500 };
    /// Number of retries that all entry instances together may make for each service in a burst, beyond the
    /// share of its requests. 0 means the default burst of each entry instance.
    std::uint32_t fleetRetryAllowance = 0;
    /// Maximum number of retries of a service, in percent of its requests, where the format of the sheet
    /// sets none itself.
    std::uint32_t retryPercent = 10;
    /// Time for which an idempotency key is valid.
    Millis keyLifetime { 900000 };
    /// Maximum number of used idempotency keys remembered.
    std::uint32_t maxKeys = 20000;
    /// Maximum total size of the responses stored for requests that repeat a key.
    ByteCount maxStoredResponses { 16 * 1024 * 1024 };
    /// `debug`, `info`, `warn` or `error`.
    std::string logLevel = "info";
};

/// Parses and validates settings.
///
/// @param text TOML text as docs/OPERATIONS.md describes it
/// @param reasons receives every error found, with its line
/// @return the settings, or nothing if there is at least one error
std::optional<Settings> readSettings(std::string_view text, Reasons& reasons);

} // namespace cornelwind
