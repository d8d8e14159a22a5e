#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cornelwind {

/// What was decided about a request, or happened to it.
enum class RequestStep : std::uint8_t {
    /// Sent to a backend server.
    Placed,
    /// Waits for a place.
    Waiting,
    /// A send ended without a success.
    SendFailed,
    /// Not sent again after a failure, with the reason.
    NotSentAgain,
    /// Answered with an answer of a backend server.
    Answered,
    /// Answered by the fleet.
    Refused,
    /// The caller went away.
    Abandoned,
};

inline constexpr std::size_t REQUEST_STEPS = 7;

/// @return the name used in logs
const char* toString(RequestStep);

/// One decision about a request with what decided it.
struct RequestRecord {
    RequestStep step = RequestStep::Placed;
    /// Name of the request, as the caller gave it.
    std::string label;
    std::string service;
    /// Rule of the sheet that it follows, and whether that allows it to run more than once.
    std::string rule;
    bool idempotent = false;
    /// Backend server concerned; empty where there is none.
    std::string server;
    /// Version of the sheet in force for the request.
    SheetVersion sheet;
    /// Number of sends so far.
    std::uint32_t sends = 0;
    /// Time since the request was whole.
    Duration age {};
    /// Placed: probability that the server is sick, and its load: own, others' and slots.
    double risk = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t others = 0;
    std::uint32_t slots = 0;
    /// Waiting: length of the queue and expected wait.
    std::uint32_t queued = 0;
    Duration expectedWait {};
    /// SendFailed: how it ended, and how long it took.
    const char* result = "";
    Duration elapsed {};
    /// SendFailed and Answered: status of the backend server, 0 without an answer.
    std::uint16_t status = 0;
    /// NotSentAgain: why.
    const char* reason = "";
    /// Refused.
    ErrorKind error = ErrorKind::None;
    Outcome outcome = Outcome::Ran;
    std::optional<Millis> retryAfter;
};

} // namespace cornelwind
