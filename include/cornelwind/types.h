#pragma once

#include "cornelwind/strong_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwind {

/// Monotonic time of one entry instance. Values from different instances are not comparable.
using Time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

using InstanceName = StrongType<struct InstanceNameTag, std::string>;
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using ServerName = StrongType<struct ServerNameTag, std::string>;
using WorkspaceName = StrongType<struct WorkspaceNameTag, std::string>;

/// Random id of one process start of an entry instance.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Hash of the name of a backend server, equal on all entry instances.
using ServerId = StrongType<struct ServerIdTag, std::uint64_t>;
/// Hash of the name of a service, equal on all entry instances.
using ServiceId = StrongType<struct ServiceIdTag, std::uint64_t>;
/// Hash of the name of a workspace, equal on all entry instances.
using WorkspaceId = StrongType<struct WorkspaceIdTag, std::uint64_t>;
/// Handle of a request, valid within one entry instance only.
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
/// Handle of one try: a request sent once to one backend server.
using TryId = StrongType<struct TryIdTag, std::uint64_t>;
/// Hash of method, target and body of a request.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

/// Position in one history of the platform's published values.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;
/// Number of the history, which rises when the platform's store is restored from an older copy and assigns revisions again. 0 if the
/// store has not stated one.
using StoreEra = StrongType<struct StoreEraTag, std::uint64_t>;
/// Position in all histories of the platform's published values. A later era comes after an earlier one, whatever the revisions.
struct StorePosition {
    StoreEra era;
    StoreRevision revision;

    friend constexpr auto operator<=>(const StorePosition&, const StorePosition&) = default;
    friend constexpr bool operator==(const StorePosition&, const StorePosition&) = default;
};

/// @return the text used in logs: "revision 7", or "revision 7 of era 2" if the store states eras
std::string toString(const StorePosition&);
/// Version number written in a sheet; a newer sheet has a higher one.
using SheetVersion = StrongType<struct SheetVersionTag, std::uint64_t>;
/// Hash of the content of a sheet.
using SheetHash = StrongType<struct SheetHashTag, std::uint64_t>;
/// Number of requests that a backend server runs concurrently.
using Slots = StrongType<struct SlotsTag, std::uint32_t>;
using ByteCount = StrongType<struct ByteCountTag, std::uint64_t>;

/// A numeric address and TCP port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Whether a request ran, as far as the fleet knows. Sent to callers in responses that the fleet generates.
enum class Outcome : std::uint8_t {
    /// The request ran.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
};

/// @return the id of the backend server with this name
ServerId serverIdOf(const ServerName&);

/// @return the id of the service with this name
ServiceId serviceIdOf(const ServiceName&);

/// @return the id of the workspace with this name
WorkspaceId workspaceIdOf(const WorkspaceName&);

/// @return the value of the `Cornelwind-Outcome` header
const char* toString(Outcome);

/// Parses `host:port`.
///
/// @param text a numeric IPv4 or IPv6 address, with or without brackets, and a port
/// @return the endpoint, or nothing if the address is not numeric or the port is out of range
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// @return `host:port`; an IPv6 address has no brackets
std::string toString(const Endpoint&);

} // namespace cornelwind
