#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/error.h"
#include "cornelwind/published_server.h"
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

/// The head of a request has arrived. Views need to live only for the call.
struct HeadReceived {
    RequestId request;
    std::string_view method;
    std::string_view target;
    std::optional<std::string_view> key;
    /// Time that the caller allows.
    std::optional<Millis> remaining;
    /// Whether another entry instance passed it on.
    bool forwarded = false;
    /// Value of the Host header; empty if it has none.
    std::string_view host = {};
    /// Name under which the caller and the logs know the request; may be empty.
    std::string_view label = {};
};

/// The whole body of a request has arrived.
struct BodyReceived {
    RequestId request;
    Fingerprint fingerprint;
};

/// The request could not be read. Only for requests whose head was reported.
struct ReceiveFailed {
    RequestId request;
    ErrorKind error;
};

/// The caller closed its connection.
struct CallerGone {
    RequestId request;
};

/// A caller asks for keys to use later.
struct KeysWanted {
    RequestId request;
    std::uint32_t count;
};

/// How a send to a backend server ended.
enum class TryResult : std::uint8_t {
    /// A whole answer arrived.
    Answered,
    /// A whole answer arrived that says that the request was not run.
    Shed,
    /// No byte of the request was written.
    NotSent,
    /// The connection ended before any byte of an answer.
    Crashed,
    /// A reused connection ended before any byte of an answer.
    StaleConnection,
    /// The answer is incomplete or malformed.
    Broken,
    /// The answer exceeds the limit of the rule.
    TooLarge,
    TimedOut,
    Cancelled,
};

/// @return the name used in logs and spans
const char* toString(TryResult);

struct TryFinished {
    TryId id;
    TryResult result;
    /// Set for Answered and Shed.
    AnswerPtr answer;
    /// The backend server said that it is leaving.
    bool leaving = false;
    /// Another backend server answers at the address.
    bool misdirected = false;
};

/// The owner of a key replied to a forwarded request.
struct OwnerReplied {
    RequestId request;
    Outcome outcome;
    ErrorKind error;
    AnswerPtr answer;
};

/// A message of another entry instance.
struct PeerReceived {
    std::shared_ptr<const peer::Envelope> message;
};

/// The platform gave the text of a sheet.
struct SheetFetched {
    std::string text;
};

/// One row of the platform's instance list.
struct ListedInstance {
    InstanceName name;
    ZoneName zone;
    Endpoint address;
    bool leaving = false;
};

struct InstancesListed {
    std::vector<ListedInstance> instances;
};

/// Backend servers that the platform's instance list shows as leaving.
struct ServersListed {
    std::vector<ServerName> leaving;
};

/// The platform answered that nothing changed.
struct PlatformReached {
};

/// The platform does not answer this entry instance.
struct PlatformLost {
};

/// Backend servers whose published entries changed.
struct ServersPublished {
    std::vector<ServerChange> changes;
    StoreRevision revision;
    /// Whether `changes` is the whole list: servers that it does not name are gone.
    bool complete = false;
};

/// The settings were read again.
struct SettingsChanged {
    std::vector<Endpoint> seeds;
};

/// A health probe ended.
struct ProbeFinished {
    ServerId server;
    bool answered = false;
    bool healthy = false;
    bool leaving = false;
    Duration latency {};
};

struct StopRequested {
};

/// Time has passed.
struct Tick {
};

using EventBody = std::variant<HeadReceived, BodyReceived, ReceiveFailed, CallerGone, KeysWanted, TryFinished, OwnerReplied,
    PeerReceived, SheetFetched, InstancesListed, ServersListed, ServersPublished, PlatformReached, PlatformLost, SettingsChanged, ProbeFinished, StopRequested, Tick>;

/// Something that happened outside the reducer.
struct Event {
    /// When it is handled; never earlier than the previous event.
    Time at;
    /// Uniformly distributed bits.
    std::uint64_t random = 0;
    EventBody body;
};

} // namespace cornelwind
