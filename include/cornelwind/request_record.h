#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelwind {

/// Step in the processing of a request.
enum class RequestStep : std::uint8_t {
    /// Sent to a backend server.
    Placed,
    /// Waits in the queue of its service.
    Waiting,
    /// A try failed.
    SendFailed,
    /// A try failed, and the request is not retried.
    NotSentAgain,
    /// The response of a backend server was passed on to the caller.
    Answered,
    /// The fleet responded with an error.
    Refused,
    /// The caller disconnected.
    Abandoned,
};

/// Number of values of `RequestStep`.
inline constexpr std::size_t REQUEST_STEPS = 7;

/// @return the name used in logs
const char* toString(RequestStep);

/// Log record of one step of a request, with the values that decided it.
///
/// A field whose comment begins with a step is set only for that step.
struct RequestRecord {
    RequestStep step = RequestStep::Placed;
    /// Request name, as the caller sent it; may be empty.
    std::string label;
    /// Service that the request is routed to; empty if it has no route.
    std::string service;
    /// Rule of the sheet that the request matches, and whether that rule declares it idempotent.
    std::string rule;
    bool idempotent = false;
    /// Workspace that the request belongs to; empty if there is none.
    std::string workspace;
    /// Backend server concerned; empty if there is none.
    std::string server;
    /// Version of the sheet that the request is routed by.
    SheetVersion sheet;
    /// Number of tries so far.
    std::uint32_t tries = 0;
    /// Time since the request was completely received.
    Duration age {};
    /// Placed: probability, from 0 to 1, that the server is unhealthy.
    double risk = 0;
    /// Placed: requests that this entry instance had in flight at the server before this one.
    std::uint32_t inFlight = 0;
    /// Placed: requests that the other entry instances of the availability zone have in flight at the server.
    std::uint32_t others = 0;
    /// Placed: number of requests that the server runs at the same time.
    std::uint32_t slots = 0;
    /// Placed: time that the try has, and time that the caller still waits; negative after its deadline.
    Duration tryTime {};
    Duration callerTime {};
    /// Waiting: length of the queue, this request included.
    std::uint32_t queued = 0;
    /// Waiting: expected time in the queue; zero if unknown.
    Duration expectedWait {};
    /// SendFailed: name of the `TryResult`.
    const char* result = "";
    /// SendFailed: duration of the try.
    Duration elapsed {};
    /// SendFailed and Answered: HTTP status of the backend server; 0 without a response.
    std::uint16_t status = 0;
    /// NotSentAgain: why the request is not retried. Refused: why the queue of the service refused it; empty if it did not.
    /// Placed: why it is sent late; empty if it is not.
    const char* reason = "";
    /// Refused: error, outcome and retry time sent to the caller.
    ErrorKind error = ErrorKind::None;
    Outcome outcome = Outcome::Ran;
    std::optional<Millis> retryAfter;
};

} // namespace cornelwind
