#pragma once

#include "cornelwind/belief.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <string>

namespace cornelwind {

/// What the end of a try shows about the health of the backend server.
enum class SendEvidence : std::uint8_t {
    /// The server responded in time.
    Success,
    /// The server returned an error, no connection could be made, the connection was lost, or the response was
    /// incomplete.
    Failure,
    /// Nothing, for example because the request was shed, cancelled or timed out.
    None,
};

class Context;

/// Receives the start and the end of each try at a backend server, and returns the usual response time.
class SendObserver {
public:
    virtual ~SendObserver() = default;
    /// Records that a request was sent to a server as this try.
    virtual void trySent(TryId id, ServerId server, Time now) = 0;
    /// @param service index into the services of the sheet in force
    /// @return median response time, or zero while it is not known
    virtual Duration medianTime(std::uint32_t service) const = 0;
    /// Records the end of a try.
    virtual void tryEnded(TryId id, SendEvidence evidence, Time now) = 0;
    /// Records an observation of a server whose service places requests by expected cost.
    ///
    /// @param sentAt when the request was sent
    /// @param request name of the request in the log
    virtual void observed(ServerId server, Observation observation, Time sentAt, const std::string& request, Context& context) = 0;
};

} // namespace cornelwind
