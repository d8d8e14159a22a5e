#pragma once

#include <cstdint>
#include <string>

namespace cornelwind {

/// How callers and backend servers word what HTTP leaves open.
struct Dialect {
    /// Remaining time in milliseconds, from callers and towards backend servers.
    std::string deadlineHeader = "Cornelwind-Deadline-Ms";
    /// Name that the caller gives the request and that backend servers repeat; empty where the fleet numbers its sends instead.
    std::string requestHeader;
    /// Names the backend server that a request is meant for; empty where no server checks it.
    std::string serverHeader;
    /// Answer of a server that the request was not meant for; 0 where there is none.
    std::uint16_t misdirectedStatus = 0;
    /// A success without this header is not a whole answer; empty where any is.
    std::string proofHeader;
    /// An answer may end with its connection instead of stating its length.
    bool unsizedAnswers = false;
    /// The status of a refusal alone tells whether the request may have run.
    bool statusTellsOutcome = false;
    /// Callers read fractions of a second in `Retry-After`.
    bool fractionalRetryAfter = false;
    /// Answers and sends carry the headers of the fleet: outcome, next key, trace.
    bool fleetHeaders = true;
};

} // namespace cornelwind
