#pragma once

#include "cornelwind/caller_limits.h"
#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Whether a request may be sent more than once.
enum class RequestKind : std::uint8_t {
    Idempotent,
    AtMostOnce,
};

/// Where the key of an at-most-once request comes from.
enum class KeyMode : std::uint8_t {
    /// Minted by the entry instance that will own the request.
    Owner,
    /// None: callers never resend, and the receiving entry instance runs the request.
    None,
};

/// Which connections carry a request to a backend server.
enum class ConnectionUse : std::uint8_t {
    Reuse,
    Fresh,
};

/// How a backend server is chosen for a request.
enum class Placement : std::uint8_t {
    /// Reserved slots first; sick servers are ejected by the whole fleet.
    Slots,
    /// Least expected cost by the belief that a server is sick, its load and its zone.
    ExpectedCost,
};

/// What a service weighs more when its backend servers are judged.
enum class Weighting : std::uint8_t {
    DetectionTime,
    Balanced,
    FalseEjections,
};

/// A backend server as the sheet lists it.
struct SheetServer {
    ServerName name;
    Endpoint address;
    ZoneName zone;
    Slots slots { 1 };
    /// Connections that the whole fleet may hold to it.
    std::uint32_t connections = 330;
    /// Start of the server process, where it is published; another value means that it started anew.
    std::uint64_t incarnation = 0;
    /// Time that a server that just joined stays slow; nothing where the service's cold start applies.
    std::optional<Millis> warmup;
};

/// A service as the sheet lists it.
struct SheetService {
    ServiceName name;
    std::vector<SheetServer> servers;
    /// Connections that the whole fleet may hold to each server that is published apart from the sheet.
    std::uint32_t connections = 330;
    /// Slots that ejection must leave in use.
    Slots floor { 0 };
    Weighting weighting = Weighting::Balanced;
    Placement placement = Placement::Slots;
    /// Status and header that mark an answer as shed, hence not run. Status 0 stands for any.
    std::uint16_t shedStatus = 503;
    std::string shedHeader = "X-Shed";
    /// Header by which a backend server says that it is leaving.
    std::string drainHeader = "X-Draining";
    std::string healthPath;
    /// Retries allowed, in percent of requests.
    std::uint32_t retryPercent = 10;
    /// Requests that may wait for a slot at one entry instance.
    std::uint32_t queueLimit = 64;
    Millis queueTime { 500 };
    /// Time after a start during which slowness is not evidence.
    Millis coldStart { 5000 };
};

/// Part of the requests of a rule that goes to one service.
struct TrafficShare {
    std::uint32_t service = 0;
    std::uint32_t weight = 0;
};

/// How requests of one host, method and path prefix are handled.
struct SheetRule {
    std::string name;
    /// Empty for any host; else in lower case and without a port.
    std::string host;
    /// Empty for any method.
    std::string method;
    /// Matches whole path segments; the longest matching prefix wins.
    std::string path;
    std::uint32_t service = 0;
    /// Services that share the requests by weight; empty where `service` takes all.
    std::vector<TrafficShare> split;
    RequestKind kind = RequestKind::AtMostOnce;
    KeyMode key = KeyMode::Owner;
    ConnectionUse connection = ConnectionUse::Fresh;
    /// 0 is served first.
    std::uint32_t priority = 1;
    Millis timeLimit { 5000 };
    /// Time within which an answer is worth most; nothing where the sheet does not say.
    std::optional<Millis> objective;
    /// Backend servers that may run the request; at most once where it is not idempotent.
    std::uint32_t tries = 1;
    ByteCount maxBody { 64 * 1024 };
    ByteCount maxAnswer { 1024 * 1024 };
    /// An idempotent request is sent to a second backend server after this time.
    std::optional<Millis> hedgeAfter;
};

/// The configuration that planners export, checked and immutable.
struct Sheet {
    SheetVersion version;
    SheetHash hash;
    std::vector<SheetService> services;
    std::vector<SheetRule> rules;
    /// Nothing where the settings of the instance hold.
    std::optional<CallerLimits> callers;
    /// The text it was read from, as relayed between entry instances.
    std::string text;
};

using SheetPtr = std::shared_ptr<const Sheet>;

/// Largest text of a sheet, in bytes.
inline constexpr std::size_t MAX_SHEET_BYTES = 1024 * 1024;

/// Checks a sheet and reads it.
///
/// @param text TOML text as docs/OPERATIONS.md describes it
/// @param reasons receives every fault found
/// @return the sheet, or nothing if there is at least one fault
std::optional<Sheet> readSheet(std::string_view text, Reasons& reasons);

/// Reads a sheet in one of the forms it is published in; see `readSheet`.
using SheetReader = std::function<std::optional<Sheet>(std::string_view text, Reasons& reasons)>;

} // namespace cornelwind
