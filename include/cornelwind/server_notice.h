#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <string>

namespace cornelwind {

/// What a response says about the rate of requests that its backend server takes.
struct StatedLimit {
    enum class Kind : std::uint8_t {
        /// The server names no limit: a limit that it named before is over.
        None,
        /// The server names a limit that cannot be read: what it named before still holds.
        Unreadable,
        /// The server takes `perSecond` requests a second from all entry instances together.
        PerSecond,
    };

    Kind kind = Kind::None;
    double perSecond = 0;
};

/// What a backend server says of itself in a response, beside the response to the request.
struct ServerNotice {
    /// It is shutting down and takes no new requests.
    bool leaving = false;
    /// Time for which it wants no requests from this entry instance; zero if it does not ask for that.
    Duration backoff {};
    StatedLimit limit;
    /// The values that cannot be read, for the log; empty if there are none.
    std::string unreadable;
};

} // namespace cornelwind
