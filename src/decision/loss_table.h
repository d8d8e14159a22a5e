#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Number of requests of one service that were served and that were lost or refused.
struct ResultCount {
    ServiceId service;
    std::uint32_t served = 0;
    std::uint32_t lost = 0;
};

/// Share of the recent requests of each service that callers lost, over the entry instances of one availability zone.
///
/// Trial requests do not count, so that a decision to send more of them does not confirm itself. Each entry
/// instance sends its counts to the members of its zone.
///
/// Memory: one entry for each service.
class LossTable {
public:
    /// Counts a request of this entry instance.
    void recordOwn(ServiceId service, bool served, Time now);
    /// Adds the counts that another entry instance sent.
    void recordPeer(const ResultCount& count, Time now);

    /// @return the own counts since the previous call
    std::vector<ResultCount> takeUnsent();

    /// @return whether so many of the requests of the last second or two were lost that idle servers matter more than
    ///     the requests that trials may lose
    bool isHigh(ServiceId service, Time now) const;

private:
    struct Window {
        Time start;
        std::uint32_t requests = 0;
        std::uint32_t lost = 0;
    };

    /// The current and the previous window.
    struct Windows {
        Window current;
        Window previous;
    };

    void add(const ResultCount& count, Time now);

    std::unordered_map<ServiceId, Windows> m_windows;
    std::unordered_map<ServiceId, ResultCount> m_unsent;
};

} // namespace cornelwind
