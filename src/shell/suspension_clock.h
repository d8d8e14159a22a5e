#pragma once

#include "cornelwind/types.h"

namespace cornelwind {

/// Measures the time for which the system was suspended, which the steady clock does not count.
class SuspensionClock {
public:
    /// @return time for which the system was suspended since the last call; zero for less than 10 ms
    Duration takeSuspended();

private:
    /// Boot time minus steady time when a suspension was last seen.
    Duration m_offset = readOffset();

    static Duration readOffset();
};

} // namespace cornelwind
