#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Usual time that a backend server needs for a request, as learned from earlier ones.
struct ExpectedWork {
    /// Zero while unknown.
    Duration mean {};
    /// Mean absolute deviation from `mean`; zero while unknown.
    Duration spread {};

    /// @return time that a request is assumed to need at least; never less than half the mean
    Duration least() const { return mean - spread < mean / 2 ? mean / 2 : mean - spread; }
    /// @return a time within which most requests are done
    Duration most() const { return mean + spread; }
};

/// Learns the work of the requests of one rule from their outcomes.
class WorkEstimate {
public:
    /// Adds the time that a backend server took for a response.
    void add(Duration elapsed);
    /// @return the expected work, unknown before `MIN_SAMPLES` responses
    ExpectedWork expected() const;

private:
    /// Fewer samples say little about the spread.
    static constexpr std::uint32_t MIN_SAMPLES = 10;
    /// Least weight of a sample: the estimate covers about the last fifty responses.
    static constexpr double MIN_WEIGHT = 0.02;

    double m_mean = 0;
    double m_deviation = 0;
    std::uint32_t m_samples = 0;
};

} // namespace cornelwind
