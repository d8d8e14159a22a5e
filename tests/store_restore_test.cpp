// Tests of entry instances whose platform store is restored from an older copy, in simulated time.
#include "support/simulated_store_fleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

constexpr std::size_t INSTANCES = 13;
constexpr std::size_t ZONES = 4;
constexpr Millis CHANGE_DEADLINE { 2000 };
constexpr Millis START_TIME { 4000 };
// Deadline of a change, and time in which members that hear each other agree after it (docs/design/published-servers.md).
constexpr Millis FOLLOW_TIME { 3200 };
// An entry that is not written again may be out of use after about two seconds; the writers need less.
constexpr Millis WRITE_DELAY { 1000 };
constexpr Millis STEP { 50 };

/// What is written after the copy of the store is made, so that the restored store does not hold it.
struct Loss {
    const char* name;
    void (*write)(SimulatedStoreFleet& fleet);
};

const Loss LOSSES[] = {
    { "nothing", [](SimulatedStoreFleet&) {} },
    { "other values", [](SimulatedStoreFleet& fleet) { for (int i = 0; i < 30; ++i) fleet.writeOther(); } },
    { "a server leaves", [](SimulatedStoreFleet& fleet) { fleet.publishServer("s1", true); } },
    { "a server leaves and is gone", [](SimulatedStoreFleet& fleet) { fleet.publishServer("s1", true); fleet.run(Millis { 800 }); fleet.removeServer("s1"); } },
    { "a server crashes", [](SimulatedStoreFleet& fleet) { fleet.removeServer("s1"); } },
    { "a server is added", [](SimulatedStoreFleet& fleet) { fleet.publishServer("new", false); } },
    { "a server starts anew", [](SimulatedStoreFleet& fleet) { fleet.publishServer("s1", true); fleet.run(Millis { 500 }); fleet.restartServer("s1"); } },
    { "a sheet", [](SimulatedStoreFleet& fleet) { fleet.publishSheet(); } },
    { "all of it", [](SimulatedStoreFleet& fleet) {
         fleet.publishSheet();
         fleet.publishServer("s1", true);
         fleet.removeServer("s0");
         fleet.restartServer("s2");
         fleet.publishServer("new", false);
         fleet.publishSheet();
     } },
};

/// A fleet whose store states eras, with some instances that are not checked until the end.
class RestoreFixture {
public:
    explicit RestoreFixture(std::uint64_t seed = 7, EraHeader header = EraHeader::Correct)
        : fleet(INSTANCES, ZONES, CHANGE_DEADLINE, seed)
    {
        fleet.setEraHeader(header);
        fleet.run(START_TIME);
        checkTruthful();
    }

    /// Writes what the copy does not hold, lets all instances learn it, and restores the store.
    void loseAndRestore(const Loss& loss)
    {
        fleet.copyStore();
        loss.write(fleet);
        fleet.run(FOLLOW_TIME);
        checkTruthful();
        fleet.restoreStore();
    }

    void checkTruthful() const
    {
        std::vector<std::size_t> wrong;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (!isExcepted(i) && !fleet.isTruthful(i))
                wrong.push_back(i);
        }
        CAPTURE(wrong);
        CHECK(wrong.empty());
    }

    /// Checks the instances in each step of a time in which none of them may go back.
    void runTruthful(Millis time)
    {
        for (Millis done {}; done < time; done += STEP) {
            fleet.run(STEP);
            CAPTURE(done.count());
            checkTruthful();
        }
    }

    /// Restores and writes again, then changes everything once more.
    void writeAgainAndFollow()
    {
        runTruthful(WRITE_DELAY);
        fleet.writeOther();
        fleet.writeAgain();
        runTruthful(FOLLOW_TIME);
        change();
    }

    /// Publishes changes that all have to follow.
    void change()
    {
        const std::string number = std::to_string(++m_changes);
        fleet.publishServer("later" + number, false);
        if (m_changes % 2)
            fleet.publishServer("s3", true);
        else
            fleet.restartServer("s3");
        fleet.publishSheet();
        fleet.run(FOLLOW_TIME);
        checkTruthful();
    }

    bool isExcepted(std::size_t instance) const { return instance % exceptedOf == exceptedAt; }

    SimulatedStoreFleet fleet;
    /// Instance `i` is excepted from checks if `i % exceptedOf == exceptedAt`; by default none is.
    std::size_t exceptedOf = INSTANCES;
    std::size_t exceptedAt = INSTANCES;

private:
    int m_changes = 0;
};

template <typename Check>
void forEachLoss(const Check& check)
{
    for (const Loss& loss : LOSSES) {
        CAPTURE(loss.name);
        RestoreFixture fixture;
        check(fixture, loss);
    }
}

} // namespace

// Guards against revisions of the restored store that count as old, so that its changes are ignored.
TEST_CASE("After a restore nothing in force reverts, and each change is followed")
{
    forEachLoss([](RestoreFixture& fixture, const Loss& loss) {
        fixture.loseAndRestore(loss);
        fixture.writeAgainAndFollow();
    });
}

TEST_CASE("Two restores in a row are followed")
{
    for (const Millis between : { Millis { 0 }, Millis { 100 }, Millis { 900 }, Millis { 1800 } }) {
        CAPTURE(between.count());
        forEachLoss([&](RestoreFixture& fixture, const Loss& loss) {
            fixture.loseAndRestore(loss);
            fixture.runTruthful(between);
            fixture.fleet.writeAgain();
            fixture.runTruthful(Millis { 200 });
            fixture.fleet.restoreStore();
            fixture.writeAgainAndFollow();
        });
    }
}

// Guards against old entries with high revisions that an instance brings back when its cut ends.
TEST_CASE("An instance that is cut off during a restore reverts nothing when it returns")
{
    constexpr std::size_t CUT = 4;
    for (const Millis cutBefore : { Millis { 0 }, Millis { 5000 } }) {
        CAPTURE(cutBefore.count());
        forEachLoss([&](RestoreFixture& fixture, const Loss& loss) {
            fixture.exceptedAt = CUT;
            fixture.fleet.setIsolated(CUT, true);
            fixture.fleet.setAccess(CUT, StoreAccess::Silent);
            fixture.fleet.run(cutBefore);
            fixture.loseAndRestore(loss);
            fixture.writeAgainAndFollow();
            fixture.fleet.setIsolated(CUT, false);
            fixture.runTruthful(FOLLOW_TIME);
            fixture.exceptedAt = INSTANCES;
            fixture.checkTruthful();
            fixture.fleet.setAccess(CUT, StoreAccess::Served);
            fixture.change();
        });
    }
}

TEST_CASE("While the store answers only half of the instances after a restore, the others follow through them")
{
    for (const StoreAccess access : { StoreAccess::Refused, StoreAccess::Silent }) {
        CAPTURE(access == StoreAccess::Silent);
        forEachLoss([&](RestoreFixture& fixture, const Loss& loss) {
            fixture.loseAndRestore(loss);
            for (std::size_t i = 0; i < fixture.fleet.size(); i += 2)
                fixture.fleet.setAccess(i, access);
            fixture.writeAgainAndFollow();
            fixture.fleet.setAccessOfAll(StoreAccess::Served);
            fixture.change();
        });
    }
}

// Guards against halves that each hold their own history: the earlier era has the higher revisions.
TEST_CASE("Halves of the instances that were cut from each other over a restore agree afterwards")
{
    forEachLoss([&](RestoreFixture& fixture, const Loss& loss) {
        fixture.fleet.copyStore();
        loss.write(fixture.fleet);
        for (int i = 0; i < 100; ++i)
            fixture.fleet.writeOther();
        fixture.fleet.run(FOLLOW_TIME);
        fixture.exceptedOf = 2;
        fixture.exceptedAt = 1;
        for (std::size_t i = 1; i < fixture.fleet.size(); i += 2) {
            fixture.fleet.setIsolated(i, true);
            fixture.fleet.setAccess(i, StoreAccess::Silent);
        }
        fixture.fleet.restoreStore();
        fixture.writeAgainAndFollow();
        fixture.change();
        for (std::size_t i = 1; i < fixture.fleet.size(); i += 2)
            fixture.fleet.setIsolated(i, false);
        fixture.runTruthful(FOLLOW_TIME);
        fixture.exceptedOf = fixture.exceptedAt = INSTANCES;
        fixture.checkTruthful();
        fixture.fleet.setAccessOfAll(StoreAccess::Served);
        fixture.change();
    });
}

TEST_CASE("A server that does not write again is out of use some seconds after the restore")
{
    RestoreFixture fixture;
    fixture.loseAndRestore(LOSSES[5]);
    fixture.runTruthful(Millis { 2000 });
    fixture.fleet.run(FOLLOW_TIME);
    for (std::size_t i = 0; i < fixture.fleet.size(); ++i)
        CHECK(fixture.fleet.isUpToDate(i));
}

TEST_CASE("An instance that starts after a restore agrees with the others")
{
    forEachLoss([](RestoreFixture& fixture, const Loss& loss) {
        fixture.loseAndRestore(loss);
        fixture.exceptedAt = 5;
        fixture.fleet.restart(5);
        fixture.runTruthful(WRITE_DELAY);
        fixture.fleet.writeAgain();
        fixture.runTruthful(FOLLOW_TIME);
        fixture.exceptedAt = INSTANCES;
        fixture.change();
    });
}

TEST_CASE("A header of the era that is missing, not a number or smaller stops neither changes nor a restore")
{
    for (const EraHeader header : { EraHeader::OftenMissing, EraHeader::OftenUnreadable, EraHeader::OftenSmaller, EraHeader::Smaller }) {
        for (const bool fromStart : { false, true }) {
            CAPTURE(static_cast<int>(header), fromStart);
            RestoreFixture fixture(9, fromStart ? header : EraHeader::Correct);
            fixture.fleet.setEraHeader(header);
            for (int i = 0; i < 3; ++i)
                fixture.change();
            fixture.fleet.setEraHeader(EraHeader::Correct);
            fixture.change();
            fixture.loseAndRestore(LOSSES[8]);
            fixture.fleet.setEraHeader(header == EraHeader::Smaller ? EraHeader::Correct : header);
            fixture.writeAgainAndFollow();
            fixture.change();
        }
    }
}

TEST_CASE("A store that states no era is followed as before")
{
    RestoreFixture fixture(7, EraHeader::None);
    for (int i = 0; i < 3; ++i)
        fixture.change();
    fixture.fleet.setEraHeader(EraHeader::Correct);
    fixture.runTruthful(FOLLOW_TIME);
    fixture.loseAndRestore(LOSSES[8]);
    fixture.writeAgainAndFollow();
}
