#pragma once

#include "cornelwind/error.h"
#include "cornelwind/published_server.h"
#include "cornelwind/response.h"
#include "cornelwind/server_notice.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
}

/// The head of a request was received.
///
/// `Reducer::apply` does not keep the views; they may dangle after the call.
struct HeadReceived {
    RequestId request;
    std::string_view method;
    std::string_view target;
    /// Idempotency key; nothing if the request has none.
    std::optional<std::string_view> key;
    /// Time until the caller's deadline; nothing if the caller set none.
    std::optional<Millis> remaining;
    /// Whether another entry instance forwarded the request to this one.
    bool forwarded = false;
    /// Value of the Host header; empty if the request has none.
    std::string_view host = {};
    /// Request name shown in the logs, as the caller sent it; may be empty.
    std::string_view label = {};
    /// API key of the caller; nothing if the request has none, or more than one.
    std::optional<std::string_view> apiKey = {};
    /// Workspace that the entry instance found which forwarded the request; empty if there is none.
    std::string_view workspace = {};
};

/// The whole body of a request was received.
struct BodyReceived {
    RequestId request;
    /// Hash of method, target and body.
    Fingerprint fingerprint;
    /// Size of the body.
    ByteCount bodySize {};
};

/// The body of a request could not be read to its end. Follows the `HeadReceived` of the request.
struct ReceiveFailed {
    RequestId request;
    ErrorKind error;
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request;
};

/// A caller asks for new idempotency keys.
struct KeysRequested {
    RequestId request;
    /// Number of keys asked for; the reducer issues at most 100.
    std::uint32_t count;
};

/// How a try ended. A try is one send of a request to one backend server.
enum class TryResult : std::uint8_t {
    /// A complete response was received.
    Answered,
    /// A complete response was received that states that the request was not run.
    Shed,
    /// No byte of the request was written, for example because no connection could be made.
    NotSent,
    /// A new connection closed before any byte of the response.
    Crashed,
    /// A reused connection closed before any byte of the response.
    StaleConnection,
    /// The response is incomplete or malformed.
    Broken,
    /// The response exceeds the size limit of the rule.
    TooLarge,
    /// The deadline of the try passed after writing began and before the response was complete.
    TimedOut,
    /// A `CancelTry` ended the try after writing began, or the server did not read the request while memory was short.
    Cancelled,
};

/// @return the name used in logs and spans
const char* toString(TryResult);

/// A try ended.
struct TryFinished {
    TryId id;
    TryResult result;
    /// The response; set for Answered and Shed, else null.
    ResponsePtr response;
    /// What the response says of the backend server; empty without a response.
    ServerNotice notice {};
    /// Whether another backend server now listens at the address.
    bool misdirected = false;
};

/// The owner of a key replied to a forwarded request.
struct OwnerReplied {
    RequestId request;
    Outcome outcome;
    /// `ErrorKind::None` if `response` is the response of a backend server.
    ErrorKind error;
    /// The response of a backend server; null if the owner refused the request or no longer stores the response.
    ResponsePtr response;
};

/// A message from another entry instance was received.
struct PeerMessageReceived {
    std::shared_ptr<const peer::Envelope> message;
};

/// The platform returned a sheet, the routing configuration of the fleet.
struct SheetFetched {
    /// The sheet as published, not yet checked.
    std::string text;
};

/// One row of the platform's instance list.
struct ListedInstance {
    InstanceName name;
    ZoneName zone;
    Endpoint address;
    /// Whether it is shutting down.
    bool leaving = false;
};

/// The platform returned its list of entry instances.
struct InstancesListed {
    std::vector<ListedInstance> instances;
};

/// The platform returned the backend servers that its instance list marks as shutting down.
struct ServersListed {
    std::vector<ServerName> leaving;
};

/// The platform answered that nothing has changed.
struct PlatformReachable {
};

/// A call to the platform has ended. Every sheet that the platform acknowledged before it replied has been delivered, in events
/// before this one.
struct SheetConfirmed {
    /// When the call was made.
    Time calledAt;
    /// Time for which the platform held the reply back; zero if it may have replied at once.
    Duration held {};
};

/// The system was suspended. The clock of `Event::at` did not count that time.
struct SystemSuspended {
    Duration time {};
};

/// The calls of this entry instance to the platform fail.
struct PlatformUnreachable {
};

/// The platform published new, changed or removed backend servers.
struct ServersPublished {
    std::vector<ServerChange> changes;
    /// Every change of a server up to this position of the platform's store is contained, here or in events before.
    StorePosition position;
    /// Whether `changes` is the complete list, so that servers missing from it are removed.
    bool complete = false;
    /// The pages in which a complete list was read, in order. `position` is that of the first page; later pages may contain
    /// later changes. If empty, the list was read at once.
    std::vector<ListedPage> pages {};
    /// What is wrong with items of the platform that name no server, one text each.
    std::vector<std::string> unreadable {};
};

/// The settings file was reloaded.
struct SettingsChanged {
    /// See `Settings::seeds`.
    std::vector<Endpoint> seeds;
};

/// A health probe of a backend server ended.
struct ProbeFinished {
    ServerId server;
    /// Whether a complete response was received.
    bool answered = false;
    /// Whether the response has a status below 500.
    bool healthy = false;
    /// What the response says of the backend server; empty without a response.
    ServerNotice notice {};
    /// Time from the start of the probe to its end.
    Duration latency {};
};

/// The process was asked to shut down.
struct StopRequested {
};

/// Periodic event that drives time-outs and background work. The shell emits it about every 10 ms.
struct Tick {
};

using EventBody = std::variant<HeadReceived, BodyReceived, ReceiveFailed, CallerDisconnected, KeysRequested, TryFinished, OwnerReplied,
    PeerMessageReceived, SheetFetched, InstancesListed, ServersListed, ServersPublished, PlatformReachable, SheetConfirmed, SystemSuspended, PlatformUnreachable, SettingsChanged, ProbeFinished, StopRequested, Tick>;

/// An input of the reducer.
struct Event {
    /// Time at which the event is handled; never earlier than that of the previous event.
    Time at;
    /// Uniformly distributed bits. The reducer has no other source of randomness.
    std::uint64_t random = 0;
    EventBody body;
};

} // namespace cornelwind
