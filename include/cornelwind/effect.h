#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/caller_limits.h"
#include "cornelwind/decision.h"
#include "cornelwind/error.h"
#include "cornelwind/request_record.h"
#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
}

/// Read the body of a request, then report BodyReceived.
struct ReadBody {
    RequestId request;
    ByteCount limit;
};

/// Send a request to a backend server, then report TryFinished.
struct SendTry {
    RequestId request;
    TryId id;
    ServerId server;
    ServerName name;
    Endpoint address;
    /// Nothing is written after this time.
    Time deadline;
    ConnectionUse connection;
    ByteCount maxAnswer;
    /// How the service marks answers.
    std::uint16_t shedStatus;
    std::string shedHeader;
    std::string drainHeader;
    /// Start of the server process where it is published.
    std::uint64_t incarnation = 0;
};

/// Abandon a send and close its connection, then report TryFinished.
struct CancelTry {
    TryId id;
};

/// Pass a request to the owner of its key, then report OwnerReplied if it replies.
struct ForwardToOwner {
    RequestId request;
    InstanceName owner;
    Endpoint address;
    Millis remaining;
};

/// Answer a request with an answer of a backend server.
struct RelayAnswer {
    RequestId request;
    AnswerPtr answer;
    std::string nextKey;
};

/// Answer a request with an answer that the fleet makes.
struct Refuse {
    RequestId request;
    ErrorKind error;
    Outcome outcome;
    std::optional<Millis> retryAfter;
    std::string nextKey;
};

/// The content of a request is not needed any more.
struct ReleaseRequest {
    RequestId request;
};

/// Answer a request for keys.
struct GiveKeys {
    RequestId request;
    std::vector<std::string> keys;
};

/// Send a message to another entry instance.
struct SendPeer {
    InstanceName to;
    Endpoint address;
    std::shared_ptr<peer::Envelope> message;
};

/// Read the health endpoint of a backend server, then report ProbeFinished.
struct SendProbe {
    ServerId server;
    Endpoint address;
    std::string path;
    std::string drainHeader;
    Millis timeLimit;
};

/// Wait at the platform for a newer sheet and instance list, or read just the list now and then.
struct WatchPlatform {
    bool enabled;
    /// Time between two reads of the list where `enabled` is false.
    Millis listRefresh;
};

/// Peers know later published values: ask the platform at once, whatever call is waiting.
struct RefreshPublished {
};

/// A decision was made; log and count it.
struct Report {
    Decision decision;
};

/// Something was decided about a request; log and count it.
struct RecordRequest {
    RequestRecord record;
};

/// Limits of callers that hold from now on, also for open connections.
struct SetCallerLimits {
    CallerLimits limits;
};

/// The instance starts or ceases to be ready for callers.
struct SetReady {
    bool ready;
};

/// Nothing is left to do: the process may exit.
struct Stopped {
};

using Effect = std::variant<ReadBody, SendTry, CancelTry, ForwardToOwner, RelayAnswer, Refuse, ReleaseRequest, GiveKeys, SendPeer, SendProbe,
    WatchPlatform, RefreshPublished, Report, RecordRequest, SetCallerLimits, SetReady, Stopped>;
using EffectList = std::vector<Effect>;

} // namespace cornelwind
