#pragma once

#include "admission/expected_work.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cornelwind {

/// A request as the queue of its service sees it.
struct QueuedRequest {
    RequestId request;
    /// 0 is the highest.
    std::uint32_t priority = 0;
    /// A response by this time has its full value for the caller.
    Time target;
    /// A response after this time has no value.
    Time deadline;
    /// From this time on `expire` removes the request.
    Time expires;
    /// 0 if the request belongs to none.
    WorkspaceId workspace;
    /// Capacity that the workspace is due, relative to the others: its quota if it has one.
    double workspaceWeight = 1;
    ExpectedWork work;
};

/// What the queue of a service knows when a request arrives.
struct QueueLoad {
    Time now;
    /// Maximum number of requests that may wait.
    std::size_t limit = 0;
    /// Recent time from one start of a request to the next; zero while unknown.
    Duration startInterval {};
};

/// What happens to a request that arrives.
enum class QueueVerdict : std::uint8_t {
    Waits,
    /// The queue is full of requests that are worth as much or more.
    Full,
    /// It cannot be done before its deadline.
    TooLate,
};

/// Result of `RequestQueue::enter`.
struct QueueAdmission {
    QueueVerdict verdict = QueueVerdict::Full;
    /// Request that was removed to make room.
    std::optional<RequestId> displaced;
    /// TooLate: time after which a request like this one is expected to be done before its deadline.
    Duration possibleAfter {};
};

/// Order in which the waiting requests of one service get its slots.
///
/// Pure: the time comes with each call. Memory: at most `QueueLoad::limit` entries.
class RequestQueue {
public:
    virtual ~RequestQueue() = default;

    /// Counts a request that arrived, whether it is sent at once or enters the queue.
    virtual void countArrival(std::uint32_t priority) = 0;
    /// Counts a request that is sent at once, because none waits.
    virtual void countStart(std::uint32_t priority) = 0;
    /// Adds a request, or refuses it at once.
    virtual QueueAdmission enter(const QueuedRequest& request, const QueueLoad& load) = 0;
    /// @return the request to start next; it stays in the queue
    virtual std::optional<RequestId> next(Time now) const = 0;
    /// Removes the request that `next` returned at the same time, because it starts.
    ///
    /// @return whether it starts although it is expected to miss its target latency
    virtual bool start(Time now) = 0;
    /// @return whether a waiting request goes before this one, which does not wait
    virtual bool outranks(const QueuedRequest& request, Time now) const = 0;
    /// Removes a request without starting it, if it is in the queue.
    virtual void remove(RequestId request) = 0;
    /// Removes the expired requests.
    ///
    /// @return the removed requests
    virtual std::vector<RequestId> expire(Time now) = 0;
    virtual std::size_t size() const = 0;
    /// @return whether requests are ordered by what they are worth to their callers
    virtual bool ordersByValue() const = 0;
};

/// @return a queue ordered by priority and then by arrival, for a service whose requests do not compete
std::unique_ptr<RequestQueue> makeArrivalQueue();
/// @return a queue ordered by what requests are worth to their callers; see docs/design/queue-order.md
std::unique_ptr<RequestQueue> makeValueQueue();

} // namespace cornelwind
