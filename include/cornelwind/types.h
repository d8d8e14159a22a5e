#pragma once

#include "cornelwind/strong.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelwind {

/// Monotonic time of one entry instance. Values of two instances are not comparable.
using Time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;

using InstanceName = Strong<struct InstanceNameTag, std::string>;
using ZoneName = Strong<struct ZoneNameTag, std::string>;
using ServiceName = Strong<struct ServiceNameTag, std::string>;
using ServerName = Strong<struct ServerNameTag, std::string>;

/// Random id of one start of an entry instance.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Hash of the name of a backend server; the same on every entry instance.
using ServerId = Strong<struct ServerIdTag, std::uint64_t>;
/// Handle of a request, valid within one entry instance only.
using RequestId = Strong<struct RequestIdTag, std::uint64_t>;
/// Handle of one send of a request to a backend server.
using TryId = Strong<struct TryIdTag, std::uint64_t>;
/// Hash of method, target and body of a request.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;

/// Position in the platform's history of published values.
using StoreRevision = Strong<struct StoreRevisionTag, std::uint64_t>;
using SheetVersion = Strong<struct SheetVersionTag, std::uint64_t>;
using SheetHash = Strong<struct SheetHashTag, std::uint64_t>;
/// Concurrent requests that a backend server runs.
using Slots = Strong<struct SlotsTag, std::uint32_t>;
using ByteCount = Strong<struct ByteCountTag, std::uint64_t>;

/// A numeric address and TCP port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// What a caller may conclude about its request from an answer that the fleet made.
enum class Outcome : std::uint8_t {
    Ran,
    NotRun,
    Unknown,
};

/// @return the id of the backend server of that name
ServerId serverIdOf(const ServerName&);

/// @return the value of the `Cornelwind-Outcome` header
const char* toString(Outcome);

/// Parses `host:port`.
///
/// @param text a numeric IPv4 or IPv6 host and a port
/// @return the endpoint, or nothing if the host is not numeric or the port is out of range
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// @return `host:port`
std::string toString(const Endpoint&);

} // namespace cornelwind
