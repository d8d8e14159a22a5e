#include "admission/priority_shares.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // Number of arrivals after which counts are halved: at the usual 10 to 100 requests a second of one instance, a burst of
    // some seconds is not forgotten before it ends.
    constexpr std::uint32_t HALVING_ARRIVALS = 500;
    // Counts below this are nearly forgotten.
    constexpr double MIN_COUNT = 0.5;
    // A share has to be smaller by this factor, so that chance does not reverse the order.
    constexpr double SHARE_MARGIN = 0.8;
    // Work that waiting requests are due while more urgent ones take everything else: 1 part in 20.
    constexpr int DUE_WORK_DIVISOR = 20;
    // Two long requests of 1 s; with more, less urgent requests would hold up the start of a burst of urgent ones.
    constexpr Duration MAX_CREDIT = std::chrono::seconds(2);

} // namespace

void PriorityShares::countArrival(std::uint32_t priority)
{
    m_counts[std::min(priority, PRIORITIES - 1)].arrived += 1;
    if (++m_arrivals < HALVING_ARRIVALS)
        return;
    m_arrivals = 0;
    for (Count& count : m_counts) {
        count.arrived /= 2;
        count.started /= 2;
    }
}

void PriorityShares::countStart(std::uint32_t priority)
{
    m_counts[std::min(priority, PRIORITIES - 1)].started += 1;
}

bool PriorityShares::othersArrive(std::uint32_t priority) const
{
    for (std::uint32_t other = 0; other < PRIORITIES; ++other) {
        if (other != priority && m_counts[other].arrived >= MIN_COUNT)
            return true;
    }
    return false;
}

bool PriorityShares::isBehind(std::uint32_t priority) const
{
    double leastUrgentShare = 1;
    for (std::uint32_t other = 0; other < priority; ++other)
        leastUrgentShare = std::min(leastUrgentShare, share(other));
    return share(priority) < SHARE_MARGIN * leastUrgentShare;
}

void PriorityShares::deposit(Duration work)
{
    m_credit = std::min(m_credit + work / DUE_WORK_DIVISOR, MAX_CREDIT);
}

double PriorityShares::share(std::uint32_t priority) const
{
    const Count& count = m_counts[priority];
    return count.arrived < MIN_COUNT ? 1 : std::min(count.started / count.arrived, 1.0);
}

} // namespace cornelwind
