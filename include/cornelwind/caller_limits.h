#pragma once

#include "cornelwind/types.h"

namespace cornelwind {

/// Limits on request heads and on idle connections of callers.
struct CallerLimits {
    /// Maximum size of the request line and the headers together.
    ByteCount maxHeadBytes { 16 * 1024 };
    /// Maximum time from the first byte of a request to the end of its headers.
    Millis headTimeout { 5000 };
    /// Maximum time that a connection may stay open without a request.
    Millis idleTimeout { 60000 };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

} // namespace cornelwind
