#pragma once

#include "cornelwind/reducer.h"
#include "cornelwind/workspace.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind::test {

/// What happens to some entry instances of a simulated day. Times are in seconds from the start of the load.
struct QuotaTrouble {
    enum class Kind : std::uint8_t {
        /// Stand still, and go on with what arrived meanwhile.
        Frozen,
        /// Are killed, and start again without state at the end.
        Killed,
        /// Start at the end for the first time.
        Absent,
        /// Exchange no messages with the others.
        CutOff,
        /// Are asked to stop.
        Stopped,
        /// Send messages late, by 0.3 s.
        Lagging,
    };
    Kind kind;
    double from;
    double to;
    /// The instances concerned: `count` from `first` on. A negative `first` stands for the coordinator of the workspace.
    int first = -1;
    std::size_t count = 1;
    /// Cut off from each other too.
    bool alone = false;
};

/// Which entry instance gets a request: all get the same number, the first gets all, or one that changes each second gets all.
enum class QuotaSpread : std::uint8_t {
    Even,
    One,
    Moving,
};

struct QuotaDay {
    const char* name;
    std::size_t instances = 13;
    WorkspaceQuota quota { 200, 100 };
    /// Requests a second, as a multiple of the rate of the first quota.
    double load = 0.6;
    QuotaSpread spread = QuotaSpread::Even;
    std::vector<QuotaTrouble> troubles {};
    /// Another quota from some time on; without a rate the workspace has none any more.
    std::optional<double> changeAt {};
    std::optional<WorkspaceQuota> changed {};
    double seconds = 16;
};

/// What became of the requests of a day.
struct QuotaReport {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    /// Requests refused while the fleet as a whole was below the quota.
    std::size_t wronglyRefused = 0;
    /// Requests that ended in another way.
    std::size_t others = 0;
    /// Most requests in any window, as a part of rate x window + burst, and beyond the bound (at most 0 if it holds).
    double highestUse = 0;
    double overBound = 0;
    /// Time in ms by which the quota delayed 99 of 100 requests that were served at most.
    double delay99 = 0;
    /// Messages of the quotas for each request.
    double messages = 0;
    std::size_t takeovers = 0;
    std::size_t logLines = 0;
};

/// Plays a day with reducers that exchange messages in simulated time, before servers that serve each request in 5 ms.
///
/// The same seed gives the same run.
QuotaReport playQuotaDay(const QuotaDay& day, std::uint64_t seed);

} // namespace cornelwind::test
