#include "cornelwind/admission.h"

#include <algorithm>

namespace cornelwind {

AdmissionQueue::Admission AdmissionQueue::enter(const Entry& entry, std::uint32_t priority, std::size_t limit)
{
    Admission admission;
    if (m_size >= limit) {
        std::uint32_t lowest = PRIORITIES - 1;
        while (lowest > priority && m_waiting[lowest].empty())
            --lowest;
        if (lowest <= priority || !limit)
            return admission;
        admission.displaced = m_waiting[lowest].back().request;
        m_waiting[lowest].pop_back();
        --m_size;
    }
    m_waiting[std::min(priority, PRIORITIES - 1)].push_back(entry);
    ++m_size;
    admission.admitted = true;
    return admission;
}

std::optional<RequestId> AdmissionQueue::front() const
{
    for (const auto& waiting : m_waiting) {
        if (!waiting.empty())
            return waiting.front().request;
    }
    return std::nullopt;
}

void AdmissionQueue::popFront()
{
    for (auto& waiting : m_waiting) {
        if (waiting.empty())
            continue;
        waiting.pop_front();
        --m_size;
        return;
    }
}

void AdmissionQueue::remove(RequestId request)
{
    for (auto& waiting : m_waiting)
        m_size -= std::erase_if(waiting, [request](const Entry& entry) { return entry.request == request; });
}

std::vector<RequestId> AdmissionQueue::expire(Time now)
{
    std::vector<RequestId> expired;
    for (auto& waiting : m_waiting) {
        const auto isOver = [&](const Entry& entry) {
            if (entry.expires > now)
                return false;
            expired.push_back(entry.request);
            return true;
        };
        m_size -= std::erase_if(waiting, isOver);
    }
    return expired;
}

} // namespace cornelwind
