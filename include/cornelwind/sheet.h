#pragma once

#include "cornelwind/caller_limits.h"
#include "cornelwind/error.h"
#include "cornelwind/types.h"
#include "cornelwind/workspace.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Whether a request may be run by more than one backend server.
enum class RequestKind : std::uint8_t {
    /// May be retried and hedged.
    Idempotent,
    /// Sent again only if it is certain that no earlier try ran it.
    AtMostOnce,
};

/// Source of the idempotency key of an at-most-once request.
enum class KeyMode : std::uint8_t {
    /// Issued by an entry instance, which then owns all requests that carry the key.
    Owner,
    /// No key: callers never resend the request, and the entry instance that receives it runs it.
    None,
};

/// Connection on which a request is sent to a backend server.
enum class ConnectionUse : std::uint8_t {
    /// An idle keep-alive connection if there is one.
    Reuse,
    /// Always a new connection.
    Fresh,
};

/// When the tries of a request end.
enum class RunLimit : std::uint8_t {
    /// When the caller no longer waits: no try gets more time than its caller has left.
    CallerDeadline,
    /// At the time limit of the rule, even if the caller waits for less: a later request with the same key gets the result.
    TimeLimit,
};

/// Policy that chooses the backend server of a request.
enum class Placement : std::uint8_t {
    /// Prefers the slots reserved for this entry instance; the whole fleet ejects outliers.
    Slots,
    /// Chooses the lowest expected cost, computed from the unhealthy probability of a server, its load and its zone.
    ExpectedCost,
};

/// Trade-off between fast detection of unhealthy backend servers and false ejections.
enum class Weighting : std::uint8_t {
    /// Detects unhealthy servers fast, at the price of more false ejections.
    DetectionTime,
    Balanced,
    /// Avoids false ejections, at the price of slower detection.
    FalseEjections,
};

/// A backend server as the sheet lists it.
struct SheetServer {
    ServerName name;
    Endpoint address;
    ZoneName zone;
    /// Number of requests that it can run at the same time.
    Slots slots { 1 };
    /// Maximum number of connections that all entry instances together may hold to it.
    std::uint32_t connections = 330;
    /// Identifies one start of the server process; a new value means a restart. 0 where it is not published.
    std::uint64_t incarnation = 0;
    /// Warm-up time after it has started; empty means `SheetService::coldStart`.
    std::optional<Millis> warmup;
};

/// A service as the sheet lists it.
struct SheetService {
    ServiceName name;
    std::vector<SheetServer> servers;
    /// Maximum number of connections that all entry instances together may hold to each server that is
    /// published separately from the sheet.
    std::uint32_t connections = 330;
    /// Minimum number of slots that ejections must leave in use.
    Slots floorSlots { 0 };
    Weighting weighting = Weighting::Balanced;
    Placement placement = Placement::Slots;
    /// Status of a response by which a backend server rejects a request without running it (load shedding).
    /// 0 means any status; `shedHeader` must be present too.
    std::uint16_t shedStatus = 503;
    /// Header that marks a response as shed.
    std::string shedHeader = "X-Shed";
    /// Response header by which a backend server announces that it is shutting down.
    std::string drainHeader = "X-Draining";
    /// Path of the health check; empty if there is none.
    std::string healthPath;
    /// Maximum number of retries, in percent of requests.
    std::uint32_t retryPercent = 10;
    /// Maximum number of requests that wait for a slot at one entry instance.
    std::uint32_t queueLimit = 64;
    /// Maximum time that a request waits for a slot.
    Millis maxQueueTime { 500 };
    /// Warm-up time after a server has started or returned to service. Slow responses during it are no evidence
    /// against the server.
    Millis coldStart { 5000 };
};

/// Share of the requests of a rule that goes to one service.
struct TrafficShare {
    /// Index in `Sheet::services`.
    std::uint32_t service = 0;
    /// Weight relative to the other shares of the rule.
    std::uint32_t weight = 0;
};

/// How requests of one host, method and path prefix are handled.
struct SheetRule {
    std::string name;
    /// Host name in lower case without a port; empty for any host.
    std::string host;
    /// HTTP method; empty for any method.
    std::string method;
    /// Path prefix. It matches whole path segments, and the longest matching prefix wins.
    std::string path;
    /// Index in `Sheet::services`.
    std::uint32_t service = 0;
    /// Services among which the requests are split by weight; empty if all go to `service`.
    std::vector<TrafficShare> split;
    RequestKind kind = RequestKind::AtMostOnce;
    KeyMode key = KeyMode::Owner;
    ConnectionUse connection = ConnectionUse::Fresh;
    /// 0 is the highest priority.
    std::uint32_t priority = 1;
    /// Time from the arrival of the request to its deadline, unless its caller waits for less.
    Millis timeLimit { 5000 };
    /// Only an at-most-once request with a key may run on after its caller's deadline.
    RunLimit runLimit = RunLimit::CallerDeadline;
    /// Target latency: a response within this time is worth most to the caller. Empty if the sheet sets none.
    std::optional<Millis> targetLatency;
    /// Maximum number of backend servers that may run the request if it is idempotent. With
    /// `Placement::ExpectedCost` and a value above 1, an at-most-once request is sent again if it is certain
    /// that no earlier try ran it.
    std::uint32_t tries = 1;
    /// Maximum size of the request body.
    ByteCount maxBody { 64 * 1024 };
    /// Maximum size of the response.
    ByteCount maxResponse { 1024 * 1024 };
    /// Time after which an idempotent request is hedged, that is, sent to a second backend server as well.
    /// Empty if it is not hedged.
    std::optional<Millis> hedgeAfter;
    /// Whether requests need no API key although the sheet lists workspaces.
    bool isPublic = false;
};

/// The routing configuration of the fleet, which operators publish. Validated and immutable.
struct Sheet {
    SheetVersion version;
    SheetHash hash;
    std::vector<SheetService> services;
    std::vector<SheetRule> rules;
    /// Null if the sheet lists no workspaces; then requests need no API key.
    WorkspaceDirectoryPtr workspaces;
    /// Empty if the settings of the entry instance apply.
    std::optional<CallerLimits> callers;
    /// The text that entry instances send to each other: the text from which the sheet was parsed, with a digest in place of each API
    /// key. A reader may leave it empty if that text holds no API key.
    std::string text;
};

using SheetPtr = std::shared_ptr<const Sheet>;

/// Maximum size of the text of a sheet, in bytes.
inline constexpr std::size_t MAX_SHEET_BYTES = 1024 * 1024;

/// Parses and validates a sheet.
///
/// @param text TOML text as docs/OPERATIONS.md describes it, at most `MAX_SHEET_BYTES` long
/// @param reasons receives every error found, with its line
/// @return the sheet, or nothing if there is at least one error
std::optional<Sheet> readSheet(std::string_view text, Reasons& reasons);

/// Parses a sheet from one of the formats in which it is published; see `readSheet`.
using SheetReader = std::function<std::optional<Sheet>(std::string_view text, Reasons& reasons)>;

} // namespace cornelwind
