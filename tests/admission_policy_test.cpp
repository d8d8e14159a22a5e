// Tests of the order of a service's queue: loads are played against servers with slots, without a network.
#include "admission/competition.h"
#include "admission/request_queue.h"
#include "admission/workspace_turns.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr Duration WARM_UP = std::chrono::seconds(5);
constexpr Duration OVERLOAD = std::chrono::seconds(20);
constexpr Duration LENGTH = std::chrono::seconds(40);
constexpr std::size_t LIMIT = 64;
// A response after the target latency is worth this part to its caller.
constexpr double LATE_VALUE = 0.5;
// More than the ratio of the works (900 / 94), because operators mean by priority that no number of less urgent requests makes
// up for an urgent one in the same time.
constexpr double VALUE_PER_PRIORITY = 10;

struct Rule {
    std::uint32_t priority;
    Millis work;
    Millis target;
    Millis deadline;
    /// Requests per second.
    double rate;
    /// Factor of the rate during the overload.
    double burst = 1;
};

struct Load {
    const char* name;
    std::vector<Rule> rules;
    /// Slots that are slow by a factor of 4, or gone, during the overload.
    std::uint32_t slowSlots = 0;
    std::uint32_t goneSlots = 0;
    /// Usual shares of the load of the workspaces, which are also their quotas; empty without workspaces.
    std::vector<double> workspaces;
    /// Factor of the load of the first workspace during the overload.
    double crowd = 6;
};

constexpr std::uint32_t SLOTS = 9;

// Works of a look-up and of a report, as seen in use.
constexpr Millis LOOKUP { 94 };
constexpr Millis REPORT { 900 };

const std::vector<Load> LOADS {
    { "burst of the less urgent rule",
        { { 0, LOOKUP, Millis { 500 }, Millis { 5000 }, 20 },
            { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 50, 2.5 },
            { 2, LOOKUP, Millis { 1000 }, Millis { 5000 }, 10 } } },
    { "burst of the urgent rule",
        { { 0, LOOKUP, Millis { 500 }, Millis { 2000 }, 50, 2.5 },
            { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 20 },
            { 2, LOOKUP, Millis { 1000 }, Millis { 5000 }, 10 } } },
    { "slow servers",
        { { 0, LOOKUP, Millis { 500 }, Millis { 5000 }, 25 },
            { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 40 },
            { 2, LOOKUP, Millis { 1000 }, Millis { 5000 }, 15 } },
        5 },
    { "a third of the servers gone",
        { { 0, LOOKUP, Millis { 500 }, Millis { 5000 }, 25 },
            { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 40 },
            { 2, LOOKUP, Millis { 1000 }, Millis { 5000 }, 20 } },
        0, 3 },
    { "short work more urgent",
        { { 0, LOOKUP, Millis { 300 }, Millis { 2000 }, 30, 2.5 },
            { 1, REPORT, Millis { 2000 }, Millis { 5000 }, 5 } } },
    { "long work more urgent",
        { { 0, REPORT, Millis { 2000 }, Millis { 5000 }, 5, 1.6 },
            { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 30, 2.5 } } },
    { "works of one priority",
        { { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 30, 2.5 },
            { 1, REPORT, Millis { 2000 }, Millis { 5000 }, 5 } } },
    { "one rule at 2.5 times",
        { { 1, LOOKUP, Millis { 300 }, Millis { 2000 }, 70, 2.5 } } },
    { "a workspace at six times",
        { { 1, LOOKUP, Millis { 500 }, Millis { 2000 }, 110 } }, 0, 0, std::vector<double>(20, 1) },
};

/// Queue in the order of a key. A full queue displaces the last in order.
class KeyQueue : public RequestQueue {
public:
    using Key = std::function<std::int64_t(const QueuedRequest&)>;

    explicit KeyQueue(Key key)
        : m_key(std::move(key))
    {
    }

    void countArrival(std::uint32_t) override { }
    void countStart(std::uint32_t) override { }
    QueueAdmission enter(const QueuedRequest& request, const QueueLoad& load) override
    {
        QueueAdmission admission { QueueVerdict::Waits, {}, {} };
        const auto added = m_rows.emplace(m_key(request), request);
        if (m_rows.size() <= load.limit)
            return admission;
        const auto last = std::prev(m_rows.end());
        if (last == added)
            admission.verdict = QueueVerdict::Full;
        else
            admission.displaced = last->second.request;
        m_rows.erase(last);
        return admission;
    }
    std::optional<RequestId> next(Time) const override
    {
        return m_rows.empty() ? std::nullopt : std::optional(m_rows.begin()->second.request);
    }
    bool start(Time) override
    {
        m_rows.erase(m_rows.begin());
        return false;
    }
    bool outranks(const QueuedRequest&, Time) const override { return false; }
    void remove(RequestId request) override
    {
        std::erase_if(m_rows, [&](const auto& row) { return row.second.request == request; });
    }
    std::vector<RequestId> expire(Time now) override
    {
        std::erase_if(m_rows, [&](const auto& row) { return row.second.expires <= now; });
        return {};
    }
    std::size_t size() const override { return m_rows.size(); }
    bool ordersByValue() const override { return false; }

private:
    Key m_key;
    std::multimap<std::int64_t, QueuedRequest> m_rows;
};

struct Policy {
    const char* name;
    std::function<std::unique_ptr<RequestQueue>()> make;
    /// Whether requests wait only until their target latency, as at services without competition.
    bool untilTarget = false;
};

std::int64_t deadlineOf(const QueuedRequest& request) { return request.deadline.time_since_epoch().count(); }
std::int64_t workOf(const QueuedRequest& request) { return request.work.mean.count(); }

const std::vector<Policy> POLICIES {
    { "first come first served", [] { return std::make_unique<KeyQueue>([](const QueuedRequest&) { return 0; }); } },
    { "priority only", makeArrivalQueue },
    { "priority, until the target", makeArrivalQueue, true },
    { "earliest deadline first", [] { return std::make_unique<KeyQueue>(&deadlineOf); } },
    { "shortest work first", [] { return std::make_unique<KeyQueue>(&workOf); } },
    { "chosen", makeValueQueue },
};

struct Share {
    double arrived = 0;
    double served = 0;
    double value() const { return arrived > 0 ? served / arrived : 1; }
};

struct Result {
    double value = 0;
    double possible = 0;
    /// Shares of the requests that arrived during the overload and were served within their deadline.
    std::map<std::uint32_t, Share> priorities;
    std::map<std::uint32_t, Share> workspaces;
};

/// Plays one load against one queue.
class Player {
public:
    Player(const Load& load, RequestQueue& queue, bool untilTarget, std::uint64_t seed)
        : m_load(load)
        , m_queue(queue)
        , m_untilTarget(untilTarget)
        , m_estimates(load.rules.size())
        , m_busy(SLOTS)
        , m_random(seed)
    {
    }

    /// @param result receives what callers get, in addition to what it holds
    void play(Result& result)
    {
        m_result = result;
        for (std::size_t rule = 0; rule < m_load.rules.size(); ++rule)
            m_arrivals.push({ nextArrival(rule, m_start), rule });
        while (!m_arrivals.empty() || !m_ends.empty()) {
            if (m_ends.empty() || (!m_arrivals.empty() && m_arrivals.top().first < m_ends.top().first))
                arrive();
            else
                finish();
            m_queue.expire(m_now);
            startWaiting();
        }
        result = m_result;
    }

private:
    struct Request {
        std::size_t rule;
        std::uint32_t workspace;
        Time arrived;
    };

    bool overloaded(Time time) const { return time - m_start >= WARM_UP && time - m_start < WARM_UP + OVERLOAD; }

    /// @return factor of the whole load by that of the first workspace
    double crowdFactor() const
    {
        const double usual = std::accumulate(m_load.workspaces.begin(), m_load.workspaces.end(), 0.0);
        return usual > 0 ? 1 + (m_load.crowd - 1) * m_load.workspaces.front() / usual : 1;
    }

    Time nextArrival(std::size_t rule, Time from)
    {
        const double rate = m_load.rules[rule].rate * (overloaded(from) ? m_load.rules[rule].burst * crowdFactor() : 1);
        return from + Duration { static_cast<std::int64_t>(1e6 * std::exponential_distribution<>(rate)(m_random)) };
    }

    std::uint32_t chooseWorkspace()
    {
        if (m_load.workspaces.empty())
            return 0;
        std::vector<double> shares = m_load.workspaces;
        shares.front() *= overloaded(m_now) ? m_load.crowd : 1;
        return 1 + std::discrete_distribution<std::uint32_t>(shares.begin(), shares.end())(m_random);
    }

    void arrive()
    {
        const auto [at, index] = m_arrivals.top();
        m_arrivals.pop();
        m_now = at;
        if (at - m_start > LENGTH)
            return;
        m_arrivals.push({ nextArrival(index, at), index });
        const Rule& rule = m_load.rules[index];
        const RequestId id { ++m_lastId };
        m_requests[id] = { index, chooseWorkspace(), at };
        m_result.possible += valueOf(rule);
        if (overloaded(at)) {
            ++m_result.priorities[rule.priority].arrived;
            ++m_result.workspaces[m_requests[id].workspace].arrived;
        }
        m_queue.countArrival(rule.priority);
        if (!m_queue.size() && startNow(id))
            return m_queue.countStart(rule.priority);
        const ExpectedWork work = m_estimates[index].expected();
        while (!m_starts.empty() && m_starts.front() < at - std::chrono::seconds(1))
            m_starts.pop_front();
        const Duration interval = m_starts.size() < 2 ? Duration {} : Duration { 1'000'000 / static_cast<std::int64_t>(m_starts.size()) };
        const double weight = m_load.workspaces.empty() ? 1 : m_load.workspaces[m_requests[id].workspace - 1];
        const WorkspaceId workspace { m_requests[id].workspace };
        const Time deadline = at + rule.deadline;
        const Time expires = std::min(deadline - work.mean, m_untilTarget ? at + rule.target : deadline);
        if (m_untilTarget && at + interval * static_cast<std::int64_t>(m_queue.size()) > expires)
            return;
        m_queue.enter({ id, rule.priority, at + rule.target, deadline, expires, workspace, weight, work }, { at, LIMIT, interval });
    }

    static double valueOf(const Rule& rule) { return std::pow(VALUE_PER_PRIORITY, -static_cast<double>(rule.priority)); }

    void startWaiting()
    {
        while (const auto next = m_queue.next(m_now)) {
            if (!startNow(*next))
                return;
            m_queue.start(m_now);
        }
    }

    bool startNow(RequestId id)
    {
        const std::uint32_t available = SLOTS - (overloaded(m_now) ? m_load.goneSlots : 0);
        const auto free = std::find(m_busy.begin(), m_busy.begin() + available, false);
        if (free == m_busy.begin() + available)
            return false;
        *free = true;
        const auto slot = static_cast<std::uint32_t>(free - m_busy.begin());
        const double factor = overloaded(m_now) && slot < m_load.slowSlots ? 4 : 1;
        const Duration usual = m_load.rules[m_requests[id].rule].work;
        const Duration work { std::llround(factor * std::lognormal_distribution<>(0, 0.2)(m_random) * static_cast<double>(usual.count())) };
        m_ends.push({ m_now + work, { id, slot, work } });
        m_starts.push_back(m_now);
        return true;
    }

    void finish()
    {
        const auto [at, end] = m_ends.top();
        m_ends.pop();
        m_now = at;
        m_busy[end.slot] = false;
        const Request& request = m_requests[end.id];
        const Rule& rule = m_load.rules[request.rule];
        m_estimates[request.rule].add(end.work);
        if (at > request.arrived + rule.deadline)
            return;
        m_result.value += valueOf(rule) * (at <= request.arrived + rule.target ? 1 : LATE_VALUE);
        if (overloaded(request.arrived)) {
            ++m_result.priorities[rule.priority].served;
            ++m_result.workspaces[request.workspace].served;
        }
    }

    struct End {
        RequestId id;
        std::uint32_t slot;
        Duration work;
        friend auto operator<=>(const End&, const End&) = default;
    };
    template <typename Row>
    using Earliest = std::priority_queue<std::pair<Time, Row>, std::vector<std::pair<Time, Row>>, std::greater<>>;

    const Load& m_load;
    RequestQueue& m_queue;
    const bool m_untilTarget;
    std::vector<WorkEstimate> m_estimates;
    std::vector<bool> m_busy;
    std::mt19937_64 m_random;
    const Time m_start { std::chrono::seconds(100) };
    Time m_now = m_start;
    std::uint64_t m_lastId = 0;
    std::map<RequestId, Request> m_requests;
    std::deque<Time> m_starts;
    Earliest<std::size_t> m_arrivals;
    Earliest<End> m_ends;
    Result m_result;
};

/// Plays the load with several seeds and adds the results up.
Result play(const Load& load, const Policy& policy, std::uint64_t seeds = 5)
{
    Result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto queue = policy.make();
        Player(load, *queue, policy.untilTarget, seed).play(sum);
    }
    return sum;
}

} // namespace

// Guards against an order that serves callers less than a simpler one would.
TEST_CASE("The order by value gives callers at least as much as any simpler order")
{
    // Differences below this come from the arrivals of the few seeds.
    constexpr double tolerance = 0.02;
    // One caller in twenty gains or loses more than half of what a response is worth; less would not be worth an order of its own.
    constexpr double gain = 0.05;
    std::vector<double> totals(POLICIES.size());
    for (const Load& load : LOADS) {
        std::printf("| %s |", load.name);
        std::vector<double> values;
        for (const Policy& policy : POLICIES) {
            const Result result = play(load, policy);
            values.push_back(result.value / result.possible);
            std::printf(" %.3f |", values.back());
        }
        std::printf("\n");
        CAPTURE(load.name);
        CHECK(values.back() >= *std::ranges::max_element(values) - tolerance);
        std::transform(values.begin(), values.end(), totals.begin(), totals.begin(), std::plus<>());
    }
    for (const double total : totals)
        std::printf("| mean %.3f ", total / static_cast<double>(LOADS.size()));
    std::printf("|\n");
    CHECK(totals.back() >= *std::max_element(totals.begin(), totals.end() - 1) + gain * static_cast<double>(LOADS.size()));
}

// Guards against a less urgent rule that takes slots from a more urgent one, and against one that is never served.
TEST_CASE("A more urgent rule is served the larger share, and no rule is starved")
{
    // One retry in thirty succeeds, so that a caller that keeps retrying is served.
    constexpr double leastShare = 0.03;
    for (const Load& load : LOADS) {
        CAPTURE(load.name);
        double moreUrgent = 1;
        std::printf("| %s |", load.name);
        for (const auto& [priority, share] : play(load, POLICIES.back()).priorities) {
            CAPTURE(priority, share.value(), moreUrgent);
            CHECK(share.value() <= moreUrgent);
            CHECK(share.value() >= leastShare);
            moreUrgent = share.value();
            std::printf(" %.3f |", share.value());
        }
        std::printf("\n");
    }
}

// Guards against a workspace that takes capacity from others by sending more than usual.
TEST_CASE("A workspace at six times its usual load takes nothing from the others")
{
    constexpr double tolerance = 0.05;
    // With 25, a small workspace sends about 1,800 requests, and chance changes its share by 0.01 (one standard deviation).
    constexpr std::uint64_t seeds = 25;
    const auto [name, workspaces] = GENERATE(table<const char*, std::vector<double>>({
        { "equal workspaces", std::vector<double>(20, 1) },
        { "some large workspaces", { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 6, 6 } },
    }));
    CAPTURE(name);
    const Rule rule { 1, Millis { 94 }, Millis { 500 }, Millis { 2000 }, 110 };
    const auto sharesAt = [&, &workspaces = workspaces](double crowd) {
        std::vector<double> shares;
        for (const auto& [workspace, share] : play({ "", { rule }, 0, 0, workspaces, crowd }, POLICIES.back(), seeds).workspaces) {
            // What the first one sends beyond its usual load is beyond its quota.
            const double usual = workspace == 1 ? crowd : 1;
            shares.push_back(std::min(share.served / (share.arrived / usual), 1.0));
        }
        return shares;
    };
    const auto meanOf = [](auto begin, auto end) { return std::accumulate(begin, end, 0.0) / static_cast<double>(end - begin); };
    std::vector<double> crowded = sharesAt(6);
    const std::vector<double> usual = sharesAt(1);
    const double others = meanOf(crowded.begin() + 1, crowded.end());
    const double usualOthers = meanOf(usual.begin() + 1, usual.end());
    const double mean = meanOf(crowded.begin(), crowded.end());
    std::ranges::sort(crowded);
    const double worstTenth = meanOf(crowded.begin(), crowded.begin() + 2);
    std::printf("%s: mean %.3f, worst tenth %.3f, others %.3f, without the crowd %.3f\n", name, mean, worstTenth, others, usualOthers);
    CHECK(worstTenth >= mean - tolerance);
    CHECK(others >= usualOthers - tolerance);
}

// Guards against requests that wait although they cannot be done in time, and against refusals of those that can.
TEST_CASE("A request is refused on arrival only if it cannot be done before its deadline")
{
    const auto [name, startInterval, work, late] = GENERATE(table<const char*, Millis, Millis, bool>({
        { "unknown wait and work", Millis { 0 }, Millis { 0 }, false },
        { "long work", Millis { 0 }, Millis { 1200 }, true },
        { "done after the target latency", Millis { 50 }, Millis { 100 }, false },
        { "long wait", Millis { 100 }, Millis { 100 }, true },
    }));
    CAPTURE(name);
    const Time now { std::chrono::seconds(10) };
    const auto queue = makeValueQueue();
    const QueuedRequest request { RequestId { 1 }, 1, now + Millis { 300 }, now + Millis { 1000 }, now + Millis { 1000 }, {}, 1, { work, Duration {} } };
    for (std::uint64_t i = 0; i < 10; ++i) {
        QueuedRequest earlier = request;
        earlier.request = RequestId { 100 + i };
        earlier.work = {};
        REQUIRE(queue->enter(earlier, { now, LIMIT, {} }).verdict == QueueVerdict::Waits);
    }
    const QueueAdmission admission = queue->enter(request, { now, LIMIT, startInterval });
    CHECK((admission.verdict == QueueVerdict::TooLate) == late);
    CHECK(queue->size() == (late ? 10 : 11));
    CHECK((admission.possibleAfter > Duration {}) == late);
}

// Guards against a table that grows with each workspace that ever waited.
TEST_CASE("Turns of workspaces are kept for a bounded number of workspaces")
{
    WorkspaceTurns turns;
    for (std::uint64_t workspace = 1; workspace <= 100'000; ++workspace) {
        turns.start(WorkspaceId { workspace }, 1, 10);
        REQUIRE(turns.size() <= 52);
    }
}

// Guards against a change of services whose requests are all alike, and against competition that is overlooked.
TEST_CASE("Requests compete where rules of a service differ or the sheet lists workspaces")
{
    const auto compete = [](const std::function<void(Sheet&)>& change) {
        Sheet sheet;
        sheet.services.resize(3);
        sheet.rules.resize(2);
        change(sheet);
        return competingServices(sheet);
    };
    const std::vector<bool> none { false, false, false };
    const std::vector<bool> first { true, false, false };
    CHECK(compete([](Sheet&) {}) == none);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1].timeLimit = Millis { 7 }; }) == none);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1].priority = 2; }) == first);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1].targetLatency = Millis { 7 }; }) == first);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1] = { .service = 1, .priority = 2 }; }) == none);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1] = { .service = 1, .split = { { 1, 9 }, { 0, 1 } }, .priority = 2 }; }) == first);
    CHECK(compete([](Sheet& sheet) { sheet.rules[1] = { .split = { { 1, 9 }, { 0, 0 } }, .priority = 2 }; }) == none);
    CHECK(compete([](Sheet& sheet) {
        WorkspaceDirectory::Builder builder;
        builder.addWorkspace({ WorkspaceName { "w" }, {}, {} });
        sheet.workspaces = std::make_shared<WorkspaceDirectory>(builder.build());
    }) == first);
}
