#pragma once

#include "cornelwind/admission.h"
#include "cornelwind/types.h"

#include <array>
#include <cstdint>

namespace cornelwind {

/// Shares of the requests of each priority that were started, and the part of the work that less urgent ones are due.
///
/// Counts decay with the number of arrivals, so that no clock is needed.
class PriorityShares {
public:
    static constexpr std::uint32_t PRIORITIES = AdmissionQueue::PRIORITIES;

    void countArrival(std::uint32_t priority);
    void countStart(std::uint32_t priority);

    /// @return whether requests of a priority other than this one arrived recently
    bool othersArrive(std::uint32_t priority) const;
    /// @return whether a smaller share of the requests of the priority was started than of each more urgent one
    bool isBehind(std::uint32_t priority) const;

    /// Adds the part of the work of a started request that less urgent requests are due, because they wait.
    void deposit(Duration work);
    /// @return whether less urgent requests are due this work
    bool affords(Duration work) const { return m_credit >= work; }
    /// Takes the work of a less urgent request that was started before a more urgent one.
    void withdraw(Duration work) { m_credit -= work; }

private:
    /// @return share of the requests of the priority that were started, or 1 if none arrived
    double share(std::uint32_t priority) const;

    struct Count {
        double arrived = 0;
        double started = 0;
    };
    std::array<Count, PRIORITIES> m_counts;
    /// Arrivals since the counts were halved.
    std::uint32_t m_arrivals = 0;
    Duration m_credit {};
};

} // namespace cornelwind
