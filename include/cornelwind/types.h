#pragma once

#include "cornelwind/strong.h"

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

using InstanceName = Strong<struct InstanceNameTag, std::string>;
using ZoneName = Strong<struct ZoneNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using ServerName = Strong<struct ServerNameTag, std::string>;

/// Random id of one process start of an entry instance.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Hash of the name of a backend server, equal on all entry instances.
using ServerId = Strong<struct ServerIdTag, std::uint64_t>;
/// Handle of a request, valid within one entry instance only.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// Handle of one attempt: a request sent once to one backend server.
using TryId = Strong<struct TryIdTag, std::uint64_t>;
/// Hash of method, target and body of a request.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;

/// Position in the platform's history of published values.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;
/// Version number written in a sheet; a newer sheet has a higher one.
using SheetVersion = Strong<struct SheetVersionTag, std::uint64_t>;
/// Hash of the content of a sheet.
using SheetHash = Strong<struct SheetHashTag, std::uint64_t>;
/// Number of requests that a backend server runs concurrently.
using Slots = Strong<struct SlotsTag, std::uint32_t>;
using ByteCount = Strong<struct ByteCountTag, std::uint64_t>;

/// A numeric address and TCP port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// What a response that the fleet generated tells the caller about its request.
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
