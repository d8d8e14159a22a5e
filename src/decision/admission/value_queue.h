#pragma once

#include "admission/priority_shares.h"
#include "admission/request_queue.h"
#include "admission/workspace_turns.h"

#include <array>
#include <compare>
#include <unordered_map>

namespace cornelwind {

/// Order by what requests are worth to their callers.
///
/// Requests start by priority; then those that are expected to meet their target latency; then by the turns of their
/// workspaces; then by deadline; then by arrival. Each operation takes one pass over the queue.
class ValueQueue : public RequestQueue {
public:
    void countArrival(std::uint32_t priority) override { m_shares.countArrival(priority); }
    void countStart(std::uint32_t priority) override { m_shares.countStart(priority); }
    QueueAdmission enter(const QueuedRequest& request, const QueueLoad& load) override;
    std::optional<RequestId> next(Time now) const override;
    bool start(Time now) override;
    bool outranks(const QueuedRequest& request, Time now) const override;
    void remove(RequestId request) override;
    std::vector<RequestId> expire(Time now) override;
    std::size_t size() const override { return m_entries.size(); }
    bool ordersByValue() const override { return true; }

private:
    static constexpr std::uint32_t PRIORITIES = PriorityShares::PRIORITIES;

    struct Entry {
        QueuedRequest queued;
        std::uint64_t arrival = 0;
    };
    using Entries = std::vector<Entry>;

    /// Position of a request among those that wait; the smallest starts first.
    struct Rank {
        std::uint32_t priority = 0;
        bool late = false;
        double turn = 0;
        Time deadline;
        std::uint64_t arrival = 0;

        friend auto operator<=>(const Rank&, const Rank&) = default;
    };

    /// @return whether a request that starts now is expected to miss its target latency
    static bool isLate(const QueuedRequest& request, Time now) { return now + request.work.most() > request.target; }
    Rank rankOf(const QueuedRequest& request, std::uint64_t arrival, Time now) const;
    /// @return the first entry in order, among those that `accepts` accepts
    template <typename Predicate>
    Entries::const_iterator first(Time now, Predicate accepts) const;
    /// @return the entry to start next
    Entries::const_iterator nextEntry(Time now) const;
    /// @return the entry of a less urgent priority that is due a start; the end if there is none
    Entries::const_iterator dueEntry(std::uint32_t mostUrgent, Time now) const;

    /// @return number of requests that start before this one if no other arrives
    std::size_t countAhead(const QueuedRequest& request, Time now) const;
    /// @return number of places that less urgent requests keep in a full queue
    static std::size_t reservedPlaces(std::size_t limit);
    /// @return the entry that gives its place to the request; the end if the request is worth less than all others
    Entries::const_iterator chooseDisplaced(const QueuedRequest& request, const QueueLoad& load) const;
    /// @return the entry that is displaced from its priority for a more urgent request
    Entries::const_iterator lastOfPriority(std::uint32_t priority, Time now) const;
    /// @return the entry that is displaced for a request of the same priority
    Entries::const_iterator lastOfPeers(const QueuedRequest& request, Time now) const;
    /// @return the last entry in order of a workspace within a priority
    Entries::const_iterator lastOfWorkspace(WorkspaceId workspace, std::uint32_t priority, Time now) const;
    void erase(Entries::const_iterator entry);

    /// In the order of arrival.
    Entries m_entries;
    std::uint64_t m_lastArrival = 0;
    std::array<std::uint32_t, PRIORITIES> m_waiting {};
    std::array<WorkspaceTurns, PRIORITIES> m_turns;
    PriorityShares m_shares;
};

} // namespace cornelwind
