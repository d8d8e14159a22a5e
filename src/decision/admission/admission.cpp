#include "cornelwind/admission.h"

#include <algorithm>

namespace cornelwind {

AdmissionQueue::Admission AdmissionQueue::enter(const Entry& entry, std::uint32_t priority, std::size_t limit)
{
    Admission admission;
    if (m_size >= limit) {
        std::uint32_t lowestOccupied = PRIORITIES - 1;
        while (lowestOccupied > priority && m_queues[lowestOccupied].empty())
            --lowestOccupied;
        if (lowestOccupied <= priority || !limit)
            return admission;
        admission.displaced = m_queues[lowestOccupied].back().request;
        m_queues[lowestOccupied].pop_back();
        --m_size;
    }
    m_queues[std::min(priority, PRIORITIES - 1)].push_back(entry);
    ++m_size;
    admission.admitted = true;
    return admission;
}

std::optional<RequestId> AdmissionQueue::front() const
{
    for (const auto& queue : m_queues) {
        if (!queue.empty())
            return queue.front().request;
    }
    return std::nullopt;
}

void AdmissionQueue::popFront()
{
    for (auto& queue : m_queues) {
        if (queue.empty())
            continue;
        queue.pop_front();
        --m_size;
        return;
    }
}

void AdmissionQueue::remove(RequestId request)
{
    for (auto& queue : m_queues)
        m_size -= std::erase_if(queue, [request](const Entry& entry) { return entry.request == request; });
}

std::vector<RequestId> AdmissionQueue::expire(Time now)
{
    std::vector<RequestId> expired;
    for (auto& queue : m_queues) {
        const auto hasExpired = [&](const Entry& entry) {
            if (entry.expires > now)
                return false;
            expired.push_back(entry.request);
            return true;
        };
        m_size -= std::erase_if(queue, hasExpired);
    }
    return expired;
}

} // namespace cornelwind
