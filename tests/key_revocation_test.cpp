// Tests that a removed API key is refused in time by every entry instance, whatever cuts it off, in simulated time.
#include "support/simulated_store_fleet.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

constexpr Millis CHANGE_DEADLINE { 2500 };
constexpr Millis REVOCATION_DEADLINE { 5000 };
constexpr Millis START_TIME { 4000 };
// Time between two requests of a test to the same instance.
constexpr Millis STEP { 50 };
// Instance that the disturbances concern.
constexpr std::size_t VICTIM = 7;

const std::string KEPT = "kept-key";
const std::string REMOVED = "removed-key";
const Workspaces BOTH { { "alder", { KEPT, REMOVED } }, { "birch", { "other-key" } } };
const Workspaces REDUCED { { "alder", { KEPT } }, { "birch", { "other-key" } } };

/// A fleet of 13 instances whose sheet lists `BOTH`.
SimulatedStoreFleet makeFleet(std::uint64_t seed)
{
    SimulatedStoreFleet fleet(13, 3, CHANGE_DEADLINE, seed, REVOCATION_DEADLINE);
    fleet.publishSheet(BOTH);
    fleet.run(START_TIME);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        REQUIRE(fleet.send(i, REMOVED).error == ErrorKind::None);
        REQUIRE(fleet.isReady(i));
    }
    return fleet;
}

/// Lets time pass, and sends requests with the removed key to all instances meanwhile.
///
/// @param since time since the key was removed; increased by `time`
/// @param changeDeadline time since the removal after which an instance may not accept the key
/// @return requests with the removed key that an instance accepted too late
int countLate(SimulatedStoreFleet& fleet, Duration time, Duration& since, const std::function<Duration(std::size_t)>& deadlineOf)
{
    int late = 0;
    for (const Duration end = since + time; since < end; since += STEP) {
        fleet.run(STEP);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            late += since + STEP > deadlineOf(i) && fleet.send(i, REMOVED).error == ErrorKind::None;
    }
    return late;
}

Duration changeDeadline(std::size_t) { return CHANGE_DEADLINE; }
Duration revocationDeadlineOfVictim(std::size_t i) { return i == VICTIM ? REVOCATION_DEADLINE : CHANGE_DEADLINE; }

/// What cuts an instance, or all of them, off from changes.
struct Disturbance {
    const char* name;
    std::function<void(SimulatedStoreFleet&)> begin;
    std::function<void(SimulatedStoreFleet&)> end;
    std::function<Duration(std::size_t)> deadlineOf;
};

void cut(SimulatedStoreFleet& fleet, std::size_t instance, StoreAccess access, bool isolated)
{
    fleet.setAccess(instance, access);
    fleet.setIsolated(instance, isolated);
}

const Disturbance DISTURBANCES[] = {
    { "none", [](auto&) {}, [](auto&) {}, &changeDeadline },
    { "instance cut off from all others and the store", [](auto& fleet) { cut(fleet, VICTIM, StoreAccess::Silent, true); }, [](auto& fleet) { cut(fleet, VICTIM, StoreAccess::Served, false); }, &revocationDeadlineOfVictim },
    { "instance cut off from all others", [](auto& fleet) { fleet.setIsolated(VICTIM, true); }, [](auto& fleet) { fleet.setIsolated(VICTIM, false); }, &changeDeadline },
    { "watcher of a zone cut off", [](auto& fleet) { cut(fleet, 0, StoreAccess::Silent, true); }, [](auto& fleet) { cut(fleet, 0, StoreAccess::Served, false); },
        [](std::size_t) { return Duration { REVOCATION_DEADLINE }; } },
    { "restart", [](auto& fleet) { fleet.restart(VICTIM); }, [](auto&) {}, &changeDeadline },
    { "restart of an instance cut off from the store", [](auto& fleet) { fleet.setAccess(VICTIM, StoreAccess::Silent); fleet.restart(VICTIM); }, [](auto& fleet) { fleet.setAccess(VICTIM, StoreAccess::Served); }, &changeDeadline },
    { "outage for all but one instance",
        [](auto& fleet) { fleet.setAccessOfAll(StoreAccess::Refused); fleet.setAccess(VICTIM, StoreAccess::Served); },
        [](auto& fleet) { fleet.setAccessOfAll(StoreAccess::Served); },
        [](std::size_t i) { return i == VICTIM ? Duration { CHANGE_DEADLINE } : Duration { REVOCATION_DEADLINE }; } },
    { "outage for one zone",
        [](auto& fleet) { for (std::size_t i = 1; i < fleet.size(); i += 3) fleet.setAccess(i, StoreAccess::Silent); },
        [](auto& fleet) { fleet.setAccessOfAll(StoreAccess::Served); }, &changeDeadline },
    { "late messages of a watcher", [](auto& fleet) { fleet.setMessageDelay(0, std::chrono::seconds(3)); }, [](auto& fleet) { fleet.setMessageDelay(0, {}); }, &changeDeadline },
};

} // namespace

// Guards against an instance that takes what it knows for current while it is cut off.
TEST_CASE("A removed key is refused by every instance in time, and a valid one is not refused where the store is reached")
{
    for (const Disturbance& disturbance : DISTURBANCES) {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            for (const Millis before : { Millis { 0 }, Millis { 700 }, Millis { 4000 } }) {
                CAPTURE(disturbance.name, seed, before.count());
                SimulatedStoreFleet fleet = makeFleet(seed);
                disturbance.begin(fleet);
                fleet.run(before);
                fleet.publishSheet(REDUCED);
                Duration since {};
                CHECK(countLate(fleet, std::chrono::seconds(8), since, disturbance.deadlineOf) == 0);
                for (std::size_t i = 0; i < fleet.size(); ++i) {
                    if (disturbance.deadlineOf(i) == Duration { CHANGE_DEADLINE })
                        CHECK(fleet.send(i, KEPT).error == ErrorKind::None);
                }
                disturbance.end(fleet);
                CHECK(countLate(fleet, std::chrono::seconds(4), since, disturbance.deadlineOf) == 0);
                for (std::size_t i = 0; i < fleet.size(); ++i) {
                    CHECK(fleet.send(i, KEPT).error == ErrorKind::None);
                    CHECK(fleet.send(i, REMOVED).error == ErrorKind::ApiKeyRejected);
                    CHECK(fleet.isReady(i));
                }
            }
        }
    }
}

// Guards against responses and acknowledgements that wait while the instance does not run, and against a clock that does not count
// the time of a suspension.
TEST_CASE("An instance that was frozen or suspended does not accept a key that was removed meanwhile")
{
    for (const Pause how : { Pause::Frozen, Pause::Suspended }) {
        for (const std::size_t instance : { std::size_t { 0 }, VICTIM }) {
            for (const bool cutOff : { false, true }) {
                for (int offset = 0; offset < 3000; offset += 90) {
                    CAPTURE(how == Pause::Frozen, instance, cutOff, offset);
                    SimulatedStoreFleet fleet = makeFleet(5);
                    fleet.run(Millis { offset });
                    fleet.pause(instance, how);
                    fleet.run(Millis { 100 });
                    if (cutOff)
                        cut(fleet, instance, StoreAccess::Silent, true);
                    fleet.run(Millis { 2000 });
                    fleet.publishSheet(REDUCED);
                    fleet.run(Millis { 5500 });
                    fleet.resume(instance);
                    int late = fleet.send(instance, REMOVED).error == ErrorKind::None;
                    for (int i = 0; i < 600; ++i) {
                        fleet.run(Millis { 5 });
                        late += fleet.send(instance, REMOVED).error == ErrorKind::None;
                    }
                    CHECK(late == 0);
                    CHECK((fleet.send(instance, KEPT).error == ErrorKind::None) == !cutOff);
                }
            }
        }
    }
}

// Guards against an instance that cannot tell an outage of the store from its own isolation, and goes on.
TEST_CASE("During an outage of the whole store every instance stops accepting keys, still serves public rules, and recovers")
{
    for (const StoreAccess outage : { StoreAccess::Refused, StoreAccess::Silent }) {
        SimulatedStoreFleet fleet = makeFleet(6);
        fleet.setAccessOfAll(outage);
        fleet.run(Millis { 2000 });
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CHECK(fleet.send(i, KEPT).error == ErrorKind::None);
        fleet.run(Millis { 3000 });
        // It gets the sheet from other members.
        fleet.restart(VICTIM);
        fleet.run(Millis { 4000 });
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            CAPTURE(i);
            CHECK(fleet.send(i, KEPT).error == ErrorKind::ApiKeysUnconfirmed);
            CHECK_FALSE(fleet.isReady(i));
            const Verdict served = fleet.send(i, KEPT, "/public");
            CHECK(served.error == ErrorKind::None);
            CHECK(served.workspace.empty());
        }
        fleet.setAccessOfAll(StoreAccess::Served);
        fleet.run(Millis { 4000 });
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            CHECK(fleet.send(i, KEPT).error == ErrorKind::None);
            CHECK(fleet.isReady(i));
        }
    }
}

// Guards against a directory that keeps rows of an earlier sheet.
TEST_CASE("A key that is removed and restored, or moved to another workspace, belongs to what the latest sheet says")
{
    SimulatedStoreFleet fleet = makeFleet(7);
    const auto checkAll = [&](const std::string& key, ErrorKind error, const std::string& workspace) {
        fleet.run(CHANGE_DEADLINE);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const Verdict verdict = fleet.send(i, key);
            CHECK(verdict.error == error);
            CHECK(verdict.workspace == workspace);
        }
    };
    checkAll(REMOVED, ErrorKind::None, "alder");
    fleet.publishSheet(REDUCED);
    checkAll(REMOVED, ErrorKind::ApiKeyRejected, "");
    fleet.publishSheet(BOTH);
    checkAll(REMOVED, ErrorKind::None, "alder");
    fleet.publishSheet({ { "alder", { KEPT } }, { "birch", { "other-key", REMOVED } } });
    checkAll(REMOVED, ErrorKind::None, "birch");
    fleet.publishSheet({ { "alder", { KEPT } }, { "birch", {} } });
    checkAll(REMOVED, ErrorKind::ApiKeyRejected, "");
    checkAll("other-key", ErrorKind::ApiKeyRejected, "");
    checkAll(KEPT, ErrorKind::None, "alder");
    checkAll("", ErrorKind::ApiKeyRejected, "");
}

// Guards against a deadline that applies although the operator does not ask for it.
TEST_CASE("Without a revocation deadline an instance that is cut off goes on with the keys that it knows")
{
    SimulatedStoreFleet fleet(13, 3, CHANGE_DEADLINE, 8);
    fleet.publishSheet(BOTH);
    fleet.run(START_TIME);
    cut(fleet, VICTIM, StoreAccess::Silent, true);
    fleet.run(Millis { 20000 });
    CHECK(fleet.send(VICTIM, KEPT).error == ErrorKind::None);
    CHECK(fleet.isReady(VICTIM));
}
