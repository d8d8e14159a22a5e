#pragma once

#include "cornelwind/types.h"

namespace cornelwind {

/// What a caller may send before the body, and how long it may take or stay idle.
struct CallerLimits {
    /// Largest request line and headers together.
    ByteCount head { 16 * 1024 };
    /// Longest time from the first byte of a request to the end of its headers.
    Millis headTime { 5000 };
    /// Longest time that a connection may carry no request.
    Millis idleTime { 60000 };

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

} // namespace cornelwind
