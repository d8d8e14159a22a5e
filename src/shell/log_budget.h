#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Bounds the lines written about requests; failures before successes.
///
/// A token bucket of `LINES_PER_SECOND`. Lines about successes may use it down
/// to half, so that a burst of them leaves room for failures.
class LogBudget {
public:
    static constexpr std::uint32_t LINES_PER_SECOND = 200;

    /// @param failure whether the line tells of a failure
    /// @return whether the line may be written
    bool allow(bool failure, Time now);

    /// @return lines left out since the last call
    std::uint64_t takeSuppressed();

private:
    double m_tokens = LINES_PER_SECOND;
    Time m_at;
    std::uint64_t m_suppressed = 0;
};

} // namespace cornelwind
