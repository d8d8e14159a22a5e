// Stateful fuzz tests of the retry budget, admission, slot shares, ejection, detection and quarantine. They check invariants,
// and compare admission and quarantine with simple models.
#include "admission/request_queue.h"
#include "context.h"
#include "cornelwind/admission.h"
#include "cornelwind/detector.h"
#include "cornelwind/quarantine.h"
#include "cornelwind/retry_budget.h"
#include "cornelwind/selector.h"
#include "cornelwind/server_pool.h"
#include "ejector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <vector>

using namespace cornelwind;

namespace {

constexpr std::uint32_t SERVERS = 6;
constexpr std::uint32_t SLOTS = 2;
constexpr std::uint32_t FLOOR = 7;

// Makes runs reproducible. RC_PARAMS in the environment takes precedence.
const int fixedSeed = setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);

SheetPtr makeSheet(std::uint32_t floor)
{
    auto sheet = std::make_shared<Sheet>();
    SheetService& service = sheet->services.emplace_back();
    service.name = ServiceName { "orders" };
    service.floorSlots = Slots { floor };
    service.weighting = Weighting::DetectionTime;
    service.coldStart = Millis { 500 };
    for (std::uint32_t i = 0; i < SERVERS; ++i)
        service.servers.push_back({ ServerName { "s" + std::to_string(i) }, {}, {}, Slots { SLOTS } });
    return sheet;
}

/// Runs a RapidCheck property and fails the test case if it is falsified.
template <typename Check>
void checkProperty(const char* description, const Check& check)
{
    const bool holds = rc::check(description, check);
    CHECK(holds);
}

} // namespace

TEST_CASE("Retries stay within their share of requests")
{
    checkProperty("withdrawals <= burst + share of deposits", [](const std::vector<bool>& steps) {
        const std::uint32_t percent = *rc::gen::inRange<std::uint32_t>(0, 101);
        RetryBudget budget(percent);
        std::uint64_t deposits = 0;
        std::uint64_t retries = 0;
        for (const bool isRetry : steps) {
            if (isRetry)
                retries += budget.withdraw();
            else {
                budget.deposit();
                ++deposits;
            }
            RC_ASSERT(retries * 100 <= deposits * percent + (percent ? 500 : 0));
        }
    });
}

TEST_CASE("The admission queue keeps its limit and its order and loses no request")
{
    checkProperty("queue", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        const std::size_t limit = *rc::gen::inRange<std::size_t>(0, 8);
        AdmissionQueue queue;
        std::vector<std::pair<std::uint32_t, RequestId>> model;
        std::uint64_t next = 0;
        for (const auto& [action, value] : steps) {
            if (action % 3) {
                const std::uint32_t priority = value % AdmissionQueue::PRIORITIES;
                const RequestId id { ++next };
                const auto admission = queue.enter({ id, Time {} }, priority, limit);
                if (admission.displaced) {
                    const auto displaced = std::find_if(model.begin(), model.end(), [&](const auto& row) { return row.second == *admission.displaced; });
                    RC_ASSERT(displaced != model.end());
                    RC_ASSERT(displaced->first > priority);
                    model.erase(displaced);
                }
                if (admission.admitted)
                    model.insert(std::upper_bound(model.begin(), model.end(), std::pair { priority, id }), { priority, id });
            } else if (!model.empty()) {
                RC_ASSERT(queue.front() == model.front().second);
                queue.popFront();
                model.erase(model.begin());
            }
            RC_ASSERT(queue.size() == model.size());
            RC_ASSERT(queue.size() <= limit);
        }
    });
}

TEST_CASE("The queue that orders by value keeps its limit, loses no request and starts what it named")
{
    checkProperty("value queue", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        const std::size_t limit = *rc::gen::inRange<std::size_t>(0, 8);
        const auto queue = makeValueQueue();
        std::set<RequestId> waiting;
        Time now { std::chrono::seconds(1) };
        for (const auto& [action, value] : steps) {
            now += Millis { value % 50 };
            for (const RequestId expired : queue->expire(now))
                RC_ASSERT(waiting.erase(expired) == 1);
            if (action % 3) {
                const RequestId id { waiting.empty() ? 1 : waiting.rbegin()->value() + 1 };
                const Time deadline = now + Millis { 10 + value };
                const ExpectedWork work { Millis { value % 20 }, Millis { value % 5 } };
                queue->countArrival(value);
                const auto admission = queue->enter(
                    { id, value, now + Millis { value % 60 }, deadline, deadline - work.mean, WorkspaceId { value % 3U }, 1, work }, { now, limit, Millis { action % 9 } });
                RC_ASSERT(!admission.displaced || waiting.erase(*admission.displaced) == 1);
                if (admission.verdict == QueueVerdict::Waits)
                    waiting.insert(id);
            } else if (const auto next = queue->next(now)) {
                queue->start(now);
                RC_ASSERT(waiting.erase(*next) == 1);
            }
            RC_ASSERT(queue->size() == waiting.size());
            RC_ASSERT(queue->size() <= limit);
        }
    });
}

TEST_CASE("Slot shares cover every slot exactly once and differ by at most one")
{
    checkProperty("shares", [] {
        const auto instances = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto slots = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 9));
        std::vector<std::uint32_t> sums(slots.size());
        std::uint32_t smallest = UINT32_MAX;
        std::uint32_t largest = 0;
        for (std::uint32_t rank = 0; rank < instances; ++rank) {
            std::vector<Candidate> candidates;
            for (std::size_t i = 0; i < slots.size(); ++i)
                candidates.push_back({ ServerId { i * 77 }, 0, 0, slots[i] });
            shareSlots(candidates, rank, instances);
            std::uint32_t own = 0;
            for (std::size_t i = 0; i < slots.size(); ++i) {
                sums[i] += candidates[i].ownSlots;
                own += candidates[i].ownSlots;
            }
            smallest = std::min(smallest, own);
            largest = std::max(largest, own);
        }
        RC_ASSERT(sums == slots);
        RC_ASSERT(largest - smallest <= 1);
    });
}

TEST_CASE("Ejection keeps the floor, a leaving server gets no requests and a shed request is not a failure")
{
    checkProperty("ejection", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        const SheetPtr sheet = makeSheet(FLOOR);
        ServerPool pool(makeSlotShareSelector());
        Detector detector;
        Ejector ejector(pool, detector);
        pool.applySheet(*sheet, Time {});
        detector.adopt(*sheet);
        Time now { std::chrono::seconds(100) };
        std::uint64_t lastTry = 0;
        std::uint64_t sequence = 1;
        std::uint64_t newest = 0;
        std::uint32_t listed = 3;
        std::uint32_t heard = 3;
        EffectList effects;
        for (const auto& [action, value] : steps) {
            const ServerId server = serverIdOf(sheet->services[0].servers[value % SERVERS].name);
            Context context(now, value, effects);
            const int repeats = 20;
            switch (action % 8) {
            case 0:
            case 1:
            case 2: // Failures at one server.
                for (int i = 0; i < repeats; ++i) {
                    detector.trySent(TryId { ++lastTry }, server, now);
                    detector.tryEnded(TryId { lastTry }, true, now);
                }
                break;
            case 3: // Successes at all servers.
                for (const SheetServer& other : sheet->services[0].servers) {
                    detector.trySent(TryId { ++lastTry }, serverIdOf(other.name), now);
                    detector.tryEnded(TryId { lastTry }, false, now + Millis { 5 });
                }
                break;
            case 4: { // The server sheds requests, which must not change its score.
                const double before = detector.assess(server).score;
                for (int i = 0; i < repeats; ++i) {
                    detector.trySent(TryId { ++lastTry }, server, now);
                    detector.tryEnded(TryId { lastTry }, std::nullopt, now);
                }
                RC_ASSERT(detector.assess(server).score == before);
                break;
            }
            case 5: // The server reports that it is leaving.
                ejector.onLeaving(server, true, context);
                break;
            case 6: { // A peer sends a digest, which may be old or repeated, and its ejections.
                Digest digest;
                digest.sequence = value % 2 ? ++sequence : *rc::gen::inRange<std::uint64_t>(1, sequence + 1);
                digest.rows.push_back({ server, { 10, 10, 0, 0 } });
                const bool isNew = digest.sequence > newest;
                newest = std::max(newest, digest.sequence);
                RC_ASSERT(detector.merge(1, 1, digest, now) == isNew);
                ejector.onPeerEjections(1, { { server, Millis { 1000 }, 1 } }, now);
                break;
            }
            case 7: // The number of instances that this one hears from changes.
                heard = 1 + value % listed;
                break;
            }
            now += EVIDENCE_INTERVAL;
            detector.evaluate(now);
            Context laterContext(now, value, effects);
            ejector.evaluate(*sheet, { 0, heard, listed, heard }, laterContext);

            std::uint32_t usable = 0;
            std::uint32_t present = 0;
            std::uint32_t excluded = 0;
            for (const Server* each : pool.servers(0)) {
                const bool leaving = each->state == ServerState::Leaving;
                present += leaving ? 0 : SLOTS;
                usable += each->state == ServerState::Serving && !each->avoided ? SLOTS : 0;
                excluded += each->state == ServerState::Ejected || each->state == ServerState::Trial || (each->avoided && !leaving) ? SLOTS : 0;
            }
            RC_ASSERT(usable >= std::min(present, FLOOR));
            RC_ASSERT(excluded <= Ejector::budget(present, Slots { FLOOR }, { 0, heard, listed, heard }));
            for (std::uint64_t pick = 0; pick < 8; ++pick) {
                const Server* chosen = pool.pick(0, { now, pick * 0x9e3779b97f4a7c15, {}, true });
                // Not inside RC_ASSERT, which evaluates both operands of || and would dereference a null pointer.
                const bool mayReceiveRequests = !chosen || chosen->state == ServerState::Serving || chosen->state == ServerState::Trial;
                RC_ASSERT(mayReceiveRequests);
            }
        }
    });
}

TEST_CASE("The parts of a partitioned fleet together keep the floor")
{
    checkProperty("budget of parts", [] {
        const auto listed = *rc::gen::inRange<std::uint32_t>(1, 40);
        const auto slots = *rc::gen::inRange<std::uint32_t>(0, 500);
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 500);
        std::uint32_t remaining = listed;
        std::uint64_t sum = 0;
        while (remaining) {
            const auto part = *rc::gen::inRange<std::uint32_t>(1, remaining + 1);
            remaining -= part;
            sum += Ejector::budget(slots, Slots { floor }, { 0, part, listed, part });
        }
        RC_ASSERT(sum + std::min(slots, floor) <= slots);
    });
}

TEST_CASE("Reports of crashes have the same result in any order and any number of times")
{
    checkProperty("merged quarantine", [](const std::vector<std::uint8_t>& starts) {
        const Time now { std::chrono::seconds(100) };
        const Fingerprint fingerprint { 1 };
        Quarantine inOrder;
        Quarantine reversed;
        std::set<std::uint64_t> distinct;
        for (const std::uint8_t start : starts) {
            const std::uint64_t number = start % Quarantine::MAX_CRASHES;
            distinct.insert(number);
            inOrder.merge({ fingerprint, { { ServerId { number / 2 }, 1 + number % 2, now } } }, now);
        }
        for (auto start = starts.rbegin(); start != starts.rend(); ++start) {
            const std::uint64_t number = *start % Quarantine::MAX_CRASHES;
            // A late report.
            reversed.merge({ fingerprint, { { ServerId { number / 2 }, 1 + number % 2, now + std::chrono::milliseconds(*start) } } }, now);
            reversed.merge({ fingerprint, { { ServerId { number / 2 }, 1 + number % 2, now } } }, now);
        }
        for (const Quarantine* quarantine : { &inOrder, &reversed }) {
            const QuarantineRecord* record = quarantine->find(fingerprint, now);
            RC_ASSERT((record ? record->crashes.size() : 0) == distinct.size());
            RC_ASSERT((quarantine->state(fingerprint, now) != QuarantineState::Free) == (distinct.size() >= Quarantine::CRASH_LIMIT));
        }
    });
}

TEST_CASE("A request is quarantined after its second crash of a server, and the quarantine is bounded")
{
    checkProperty("quarantine", [](const std::vector<std::uint16_t>& steps) {
        struct Model {
            std::size_t crashes = 0;
            Time lastCrash;
        };
        Quarantine quarantine;
        std::map<std::uint64_t, Model> models;
        Time now { std::chrono::hours(1) };
        std::uint64_t incarnation = 0;
        for (const std::uint16_t step : steps) {
            now += std::chrono::milliseconds(1 + step % 9000);
            const Fingerprint fingerprint { std::uint64_t { step } % 5 };
            Model& model = models[fingerprint.value()];
            const ServerCrash crash { ServerId { step }, ++incarnation, now };
            const bool wasBlocked = quarantine.state(fingerprint, now) != QuarantineState::Free;
            RC_ASSERT(wasBlocked == (model.crashes >= 2));
            RC_ASSERT(quarantine.recordCrash(fingerprint, crash, now));
            // Another request that the same crash ended.
            RC_ASSERT(!quarantine.recordCrash(fingerprint, crash, now));
            model = { model.crashes + 1, now };
            const bool quarantined = !wasBlocked && quarantine.state(fingerprint, now) != QuarantineState::Free;
            RC_ASSERT(quarantined == (model.crashes == 2));
            for (const auto& [number, other] : models) {
                const bool isHeld = now < other.lastCrash + Quarantine::HOLD_TIMES[0];
                const QuarantineState state = other.crashes < 2 ? QuarantineState::Free : isHeld ? QuarantineState::Blocked
                                                                                                 : QuarantineState::TrialDue;
                RC_ASSERT(quarantine.state(Fingerprint { number }, now) == state);
            }
            RC_ASSERT(!quarantine.beginTrial(fingerprint, now));
            RC_ASSERT(quarantine.state(fingerprint, now + Quarantine::LIFETIME) == QuarantineState::Free);
            // An answer ends the block. Crashes soon after it do not count.
            if (step % 7 == 0) {
                RC_ASSERT(quarantine.recordAnswer(fingerprint, now));
                quarantine.recordCrash(fingerprint, { ServerId { step }, ++incarnation, now + Quarantine::ANSWER_PERIOD }, now);
                RC_ASSERT(quarantine.state(fingerprint, now) == QuarantineState::Free);
                RC_ASSERT(!quarantine.isSuspect(fingerprint, now));
                now += Quarantine::ANSWER_PERIOD;
                model = {};
            }
        }
    });
    Quarantine quarantine;
    for (std::uint64_t i = 0; i < 5000; ++i)
        quarantine.recordCrash(Fingerprint { i }, { ServerId { i }, i, Time { Duration { static_cast<std::int64_t>(i) } } }, Time { Duration { static_cast<std::int64_t>(i) } });
    CHECK(quarantine.size() <= Quarantine::MAX_ENTRIES);
    // Servers that live on clear their crashes, also those of records that others have replaced.
    const Time later { std::chrono::milliseconds(60) };
    for (std::uint64_t i = 0; i < 5000; ++i)
        quarantine.recordReached(ServerId { i }, i, later);
    for (const QuarantineRecord& record : quarantine.takeReached(Time { Quarantine::REFUTATION_PERIOD } + std::chrono::milliseconds(5)))
        quarantine.merge(record, later);
    CHECK(quarantine.size() <= Quarantine::MAX_ENTRIES);
}
