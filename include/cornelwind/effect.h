#pragma once

#include "cornelwind/caller_limits.h"
#include "cornelwind/decision.h"
#include "cornelwind/error.h"
#include "cornelwind/request_record.h"
#include "cornelwind/response.h"
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

/// Read the body of a request, then report BodyReceived or ReceiveFailed.
struct ReadBody {
    RequestId request;
    /// Largest body accepted, in bytes.
    ByteCount limit;
};

/// What the receiver of a request learns about its workspace.
struct WorkspaceLabel {
    /// Whether the sheet lists workspaces. Then the receiver gets neither the API key nor the workspace that the caller stated.
    bool isSet = false;
    /// Workspace of the request; empty if it belongs to none.
    WorkspaceName name;
};

/// Send a request to a backend server, then report TryFinished.
struct SendTry {
    RequestId request;
    TryId id;
    ServerId server;
    ServerName name;
    Endpoint address;
    /// The try ends at this time at the latest, and nothing is written after it.
    Time deadline;
    ConnectionUse connection;
    /// Largest response accepted, in bytes.
    ByteCount maxResponse;
    /// Status and header of a response by which the backend server sheds the request, that is, rejects it without
    /// running it. Status 0 stands for any.
    std::uint16_t shedStatus;
    std::string shedHeader;
    /// Header by which the backend server announces its shutdown.
    std::string drainHeader;
    WorkspaceLabel workspace {};
};

/// Abort a try and close its connection, then report TryFinished.
struct CancelTry {
    TryId id;
};

/// Forward a request to the owner of its key, then report OwnerReplied if the owner replies.
struct ForwardToOwner {
    RequestId request;
    InstanceName owner;
    Endpoint address;
    /// Time until the deadline of the request.
    Millis remaining;
    WorkspaceLabel workspace {};
};

/// Respond to a request with the response of a backend server.
struct RelayResponse {
    RequestId request;
    ResponsePtr response;
    /// Idempotency key for the caller's next request; empty if it needs none.
    std::string nextKey;
};

/// Respond to a request with an error of the fleet.
struct Refuse {
    RequestId request;
    ErrorKind error;
    /// Whether the request ran, as far as the fleet knows.
    Outcome outcome;
    /// When the caller should retry; nothing if no time is advised.
    std::optional<Millis> retryAfter;
    /// Idempotency key for the caller's next request; empty if it needs none.
    std::string nextKey;
};

/// Free the head and body of a request; no later effect refers to it.
struct ReleaseRequest {
    RequestId request;
};

/// Respond to a request for idempotency keys, see `KeysRequested`.
struct IssueKeys {
    RequestId request;
    std::vector<std::string> keys;
};

/// Send a message to another entry instance.
struct SendPeerMessage {
    InstanceName to;
    Endpoint address;
    std::shared_ptr<peer::Envelope> message;
};

/// Probe the health endpoint of a backend server, then report ProbeFinished.
struct SendProbe {
    ServerId server;
    Endpoint address;
    std::string path;
    /// Header by which the backend server announces its shutdown.
    std::string drainHeader;
    Millis timeLimit;
};

/// Watch the platform for a newer sheet and instance list, or stop watching and read only the instance list
/// periodically.
struct WatchPlatform {
    /// Whether to watch.
    bool enabled;
    /// Interval between two reads of the instance list while `enabled` is false, if the source reads one.
    Millis listRefresh;
    /// Longest time that a call waits for a change, if the source has a history of changes.
    Millis wait;
    /// Era of the store that this entry instance knows, from its own reads or from members.
    StoreEra era {};

    friend bool operator==(const WatchPlatform&, const WatchPlatform&) = default;
};

/// Read the sheet and the backend servers from the platform now, without waiting for a call in progress.
///
/// Emitted when peers know a newer revision than this entry instance.
struct RefreshPublished {
};

/// Log and count a decision.
struct ReportDecision {
    Decision decision;
};

/// Log and count a step in the processing of a request.
struct RecordRequest {
    RequestRecord record;
};

/// Apply new limits to callers, including those whose connections are already open.
struct SetCallerLimits {
    CallerLimits limits;
};

/// Set whether this entry instance reports itself ready for callers.
struct SetReady {
    bool ready;
};

/// The shutdown is complete: the process may exit.
struct Stopped {
};

/// An output of the reducer, to be carried out by the shell.
using Effect = std::variant<ReadBody, SendTry, CancelTry, ForwardToOwner, RelayResponse, Refuse, ReleaseRequest, IssueKeys, SendPeerMessage, SendProbe,
    WatchPlatform, RefreshPublished, ReportDecision, RecordRequest, SetCallerLimits, SetReady, Stopped>;
using EffectList = std::vector<Effect>;

} // namespace cornelwind
