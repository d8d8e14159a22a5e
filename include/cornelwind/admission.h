#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cornelwind {

/// Queue of the requests of one service that wait for a slot, ordered by priority and then by arrival.
///
/// Priority 0 is the highest. Memory: at most as many entries as the `limit` passed to `enter`.
class AdmissionQueue {
public:
    /// Number of priorities; a larger priority counts as the lowest one.
    static constexpr std::uint32_t PRIORITIES = 10;

    struct Entry {
        RequestId request;
        /// From this time on `expire` removes the request.
        Time expires;
    };

    /// Result of `enter`.
    struct Admission {
        bool admitted = false;
        /// Request of lower priority that was removed to make room.
        std::optional<RequestId> displaced;
    };

    /// Adds a request. If the queue is full, a request replaces the most recent one of the lowest
    /// priority in the queue, provided that its own priority is higher; otherwise it is not admitted.
    ///
    /// @param priority 0 is the highest
    /// @param limit maximum number of requests that may wait
    Admission enter(const Entry& entry, std::uint32_t priority, std::size_t limit);

    /// @return the request to serve next; it stays in the queue
    std::optional<RequestId> front() const;
    void popFront();

    /// Removes a request, if it is in the queue.
    void remove(RequestId request);

    /// Removes the expired requests.
    ///
    /// @return the removed requests
    std::vector<RequestId> expire(Time now);

    std::size_t size() const { return m_size; }

private:
    std::array<std::deque<Entry>, PRIORITIES> m_queues;
    std::size_t m_size = 0;
};

} // namespace cornelwind
