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

/// Requests of one service that wait for a slot, by priority and then by arrival.
///
/// Memory: at most `limit` entries.
class AdmissionQueue {
public:
    static constexpr std::uint32_t PRIORITIES = 10;

    struct Entry {
        RequestId request;
        Time expires;
    };

    /// What became of a request that asked to wait.
    struct Admission {
        bool admitted = false;
        /// A request of lower priority that lost its place.
        std::optional<RequestId> displaced;
    };

    /// @param limit most entries that may wait
    Admission enter(const Entry& entry, std::uint32_t priority, std::size_t limit);

    /// @return the request to serve next; it stays in the queue
    std::optional<RequestId> front() const;
    void popFront();

    /// Removes a request that no longer waits.
    void remove(RequestId request);

    /// Removes and returns the requests whose time is over.
    std::vector<RequestId> expire(Time now);

    std::size_t size() const { return m_size; }

private:
    std::array<std::deque<Entry>, PRIORITIES> m_waiting;
    std::size_t m_size = 0;
};

} // namespace cornelwind
