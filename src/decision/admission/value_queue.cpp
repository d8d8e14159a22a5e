#include "admission/value_queue.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace cornelwind {
namespace {

    // Part of the places that less urgent requests keep: as large as the part of the work that they are due.
    constexpr std::size_t RESERVED_DIVISOR = 20;
    // Work of a request whose rule is not known yet, for the part that less urgent requests are due.
    constexpr Duration UNKNOWN_WORK = std::chrono::milliseconds(100);

    std::uint32_t limited(std::uint32_t priority)
    {
        return std::min(priority, PriorityShares::PRIORITIES - 1);
    }

    Duration workOf(const QueuedRequest& request)
    {
        return request.work.mean > Duration {} ? request.work.mean : UNKNOWN_WORK;
    }

} // namespace

ValueQueue::Rank ValueQueue::rankOf(const QueuedRequest& request, std::uint64_t arrival, Time now) const
{
    return { request.priority, isLate(request, now), m_turns[request.priority].turnOf(request.workspace), request.deadline, arrival };
}

template <typename Predicate>
ValueQueue::Entries::const_iterator ValueQueue::first(Time now, Predicate accepts) const
{
    auto best = m_entries.end();
    Rank bestRank;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (!accepts(*entry))
            continue;
        const Rank rank = rankOf(entry->queued, entry->arrival, now);
        if (best != m_entries.end() && bestRank <= rank)
            continue;
        best = entry;
        bestRank = rank;
    }
    return best;
}

ValueQueue::Entries::const_iterator ValueQueue::nextEntry(Time now) const
{
    const auto best = first(now, [](const Entry&) { return true; });
    if (best == m_entries.end())
        return best;
    const auto due = dueEntry(best->queued.priority, now);
    return due == m_entries.end() ? best : due;
}

// Only a priority that is behind all more urgent ones is due a start, so that none overtakes a more urgent one.
ValueQueue::Entries::const_iterator ValueQueue::dueEntry(std::uint32_t mostUrgent, Time now) const
{
    for (std::uint32_t priority = mostUrgent + 1; priority < PRIORITIES; ++priority) {
        if (!m_waiting[priority] || !m_shares.isBehind(priority))
            continue;
        const auto entry = first(now, [priority](const Entry& other) { return other.queued.priority == priority; });
        if (m_shares.affords(workOf(entry->queued)))
            return entry;
    }
    return m_entries.end();
}

std::optional<RequestId> ValueQueue::next(Time now) const
{
    const auto entry = nextEntry(now);
    return entry == m_entries.end() ? std::nullopt : std::optional(entry->queued.request);
}

bool ValueQueue::start(Time now)
{
    const auto entry = nextEntry(now);
    if (entry == m_entries.end())
        return false;
    const QueuedRequest started = entry->queued;
    erase(entry);
    const auto isWaiting = [](std::uint32_t count) { return count > 0; };
    if (std::any_of(m_waiting.begin(), m_waiting.begin() + started.priority, isWaiting))
        m_shares.withdraw(workOf(started));
    else if (std::any_of(m_waiting.begin() + started.priority + 1, m_waiting.end(), isWaiting))
        m_shares.deposit(workOf(started));
    m_shares.countStart(started.priority);
    m_turns[started.priority].start(started.workspace, started.workspaceWeight, m_entries.size());
    return isLate(started, now);
}

bool ValueQueue::outranks(const QueuedRequest& request, Time now) const
{
    const auto entry = nextEntry(now);
    if (entry == m_entries.end())
        return false;
    QueuedRequest sent = request;
    sent.priority = limited(request.priority);
    Rank rank = rankOf(sent, 0, now);
    // A request that does not wait had the turn of its workspace when it was first sent.
    rank.turn = std::numeric_limits<double>::lowest();
    return rankOf(entry->queued, entry->arrival, now) < rank;
}

QueueAdmission ValueQueue::enter(const QueuedRequest& arriving, const QueueLoad& load)
{
    QueuedRequest request = arriving;
    request.priority = limited(request.priority);
    const Duration wait = load.startInterval * static_cast<std::int64_t>(countAhead(request, load.now));
    const Time earliestEnd = load.now + wait + request.work.least();
    if (earliestEnd > request.deadline)
        return { QueueVerdict::TooLate, {}, earliestEnd - request.deadline };
    QueueAdmission admission { QueueVerdict::Waits, {}, {} };
    const std::size_t others = m_entries.size() - m_waiting[request.priority];
    const std::size_t reserved = m_shares.othersArrive(request.priority) && others < reservedPlaces(load.limit)
        ? reservedPlaces(load.limit) - others
        : 0;
    if (m_entries.size() + reserved >= load.limit) {
        const auto displaced = chooseDisplaced(request, load);
        if (displaced == m_entries.end())
            return { QueueVerdict::Full, {}, {} };
        admission.displaced = displaced->queued.request;
        erase(displaced);
    }
    m_entries.push_back({ request, ++m_lastArrival });
    ++m_waiting[request.priority];
    return admission;
}

// Of each other workspace, as many requests go first as of the same workspace, and one more.
std::size_t ValueQueue::countAhead(const QueuedRequest& request, Time now) const
{
    std::size_t ahead = 0;
    std::size_t own = 0;
    std::unordered_map<WorkspaceId, std::size_t> others;
    const bool late = isLate(request, now);
    for (const Entry& entry : m_entries) {
        const QueuedRequest& queued = entry.queued;
        if (queued.priority < request.priority)
            ++ahead;
        if (queued.priority != request.priority || std::pair(isLate(queued, now), queued.deadline) > std::pair(late, request.deadline))
            continue;
        if (queued.workspace == request.workspace)
            ++own;
        else
            ++others[queued.workspace];
    }
    for (const auto& [workspace, count] : others)
        ahead += std::min(count, own + 1);
    return ahead + own;
}

std::size_t ValueQueue::reservedPlaces(std::size_t limit)
{
    return limit < 2 ? 0 : std::max<std::size_t>(limit / RESERVED_DIVISOR, 1);
}

ValueQueue::Entries::const_iterator ValueQueue::chooseDisplaced(const QueuedRequest& request, const QueueLoad& load) const
{
    const auto lessUrgent = std::accumulate(m_waiting.begin() + request.priority + 1, m_waiting.end(), std::size_t { 0 });
    for (std::uint32_t priority = PRIORITIES - 1; priority > request.priority && lessUrgent > reservedPlaces(load.limit); --priority) {
        if (m_waiting[priority])
            return lastOfPriority(priority, load.now);
    }
    return lastOfPeers(request, load.now);
}

ValueQueue::Entries::const_iterator ValueQueue::lastOfPriority(std::uint32_t priority, Time now) const
{
    std::unordered_map<WorkspaceId, double> waiting;
    for (const Entry& entry : m_entries) {
        if (entry.queued.priority == priority)
            waiting[entry.queued.workspace] += 1 / entry.queued.workspaceWeight;
    }
    // In the order of arrival, so that the choice does not depend on the order of the hash table.
    double most = 0;
    WorkspaceId crowded;
    for (const Entry& entry : m_entries) {
        if (entry.queued.priority != priority || waiting[entry.queued.workspace] < most)
            continue;
        most = waiting[entry.queued.workspace];
        crowded = entry.queued.workspace;
    }
    return lastOfWorkspace(crowded, priority, now);
}

ValueQueue::Entries::const_iterator ValueQueue::lastOfPeers(const QueuedRequest& request, Time now) const
{
    if (!m_waiting[request.priority])
        return m_entries.end();
    const auto last = lastOfPriority(request.priority, now);
    const auto waitingOf = [&](WorkspaceId workspace) {
        return static_cast<double>(std::ranges::count_if(m_entries, [&](const Entry& entry) {
            return entry.queued.priority == request.priority && entry.queued.workspace == workspace;
        }));
    };
    const double own = (waitingOf(request.workspace) + 1) / request.workspaceWeight;
    if (last->queued.workspace != request.workspace && waitingOf(last->queued.workspace) / last->queued.workspaceWeight > own)
        return last;
    const auto ownLast = lastOfWorkspace(request.workspace, request.priority, now);
    const bool replaces = ownLast != m_entries.end() && isLate(ownLast->queued, now) && !isLate(request, now);
    return replaces ? ownLast : m_entries.end();
}

ValueQueue::Entries::const_iterator ValueQueue::lastOfWorkspace(WorkspaceId workspace, std::uint32_t priority, Time now) const
{
    auto last = m_entries.end();
    Rank lastRank;
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        if (entry->queued.priority != priority || entry->queued.workspace != workspace)
            continue;
        const Rank rank = rankOf(entry->queued, entry->arrival, now);
        if (last == m_entries.end() || lastRank < rank) {
            last = entry;
            lastRank = rank;
        }
    }
    return last;
}

void ValueQueue::erase(Entries::const_iterator entry)
{
    --m_waiting[entry->queued.priority];
    m_entries.erase(entry);
}

void ValueQueue::remove(RequestId request)
{
    const auto found = std::ranges::find_if(m_entries, [request](const Entry& entry) { return entry.queued.request == request; });
    if (found != m_entries.end())
        erase(found);
}

std::vector<RequestId> ValueQueue::expire(Time now)
{
    std::vector<RequestId> expired;
    for (const Entry& entry : m_entries) {
        if (entry.queued.expires <= now)
            expired.push_back(entry.queued.request);
    }
    for (const RequestId request : expired)
        remove(request);
    return expired;
}

std::unique_ptr<RequestQueue> makeValueQueue()
{
    return std::make_unique<ValueQueue>();
}

} // namespace cornelwind
