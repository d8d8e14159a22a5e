// Tests of the limits that backend servers name, and of the coordinator that hands out their grants.
#include "cornelwind/server_limit_table.h"
#include "server_limits/grant_coordinator.h"

#include <catch2/catch.hpp>

#include <limits>
#include <map>

using namespace cornelwind;
using namespace std::chrono_literals;

namespace {

const ServerId SERVER { 7 };
const Time START { 100s };

} // namespace

TEST_CASE("The latest statement about a limit holds, within bounds")
{
    struct Statement {
        std::optional<double> perSecond;
        Duration at;
        LimitChange change;
        /// What is believed then; 0 without a limit.
        double believed;
    };
    struct Row {
        const char* name;
        std::vector<Statement> statements;
    };
    using enum LimitChange;
    const Row rows[] = {
        { "named, changed, ended", { { 2.5, 1s, Begun, 2.5 }, { 2.5, 2s, None, 2.5 }, { 4, 3s, Changed, 4 }, { {}, 4s, Ended, 0 } } },
        { "never named", { { {}, 1s, None, 0 } } },
        { "an older statement comes late", { { 2, 5s, Begun, 2 }, { 9, 4s, None, 2 }, { {}, 3s, None, 2 } } },
        { "an older statement comes after the end", { { 2, 1s, Begun, 2 }, { {}, 5s, Ended, 0 }, { 2, 4s, None, 0 }, { 3, 6s, Begun, 3 } } },
        { "zero", { { 0, 1s, Begun, Limit::MIN_PER_SECOND } } },
        { "less than the smallest", { { 1e-9, 1s, Begun, Limit::MIN_PER_SECOND } } },
        { "huge", { { 1e300, 1s, Begun, Limit::MAX_PER_SECOND } } },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        ServerLimitTable table;
        for (const Statement& statement : row.statements) {
            CHECK(table.state(SERVER, statement.perSecond, START + statement.at, "test", START + 10s) == statement.change);
            CHECK(table.isLimited(SERVER) == (statement.believed > 0));
            CHECK((table.find(SERVER) ? table.find(SERVER)->perSecond : 0) == statement.believed);
        }
    }
}

TEST_CASE("A limited server takes one request for each grant, and unused grants go back")
{
    ServerLimitTable table;
    CHECK(table.maySend(SERVER, START));
    table.state(SERVER, 2, START, "test", START);
    CHECK_FALSE(table.maySend(SERVER, START));
    table.addGrant(SERVER, InstanceName { "a" }, START);
    table.addGrant(SERVER, InstanceName { "b" }, START + 1ms);
    CHECK(table.maySend(SERVER, START));
    table.use(SERVER, START + 2ms);
    CHECK(table.maySend(SERVER, START + 2ms));
    CHECK(table.takeUnused(START + 2ms).empty());
    const Time later = START + 1ms + ServerLimitTable::GRANT_LIFETIME;
    CHECK_FALSE(table.maySend(SERVER, later));
    const auto unused = table.takeUnused(later);
    REQUIRE(unused.size() == 1);
    CHECK(unused.front().second == InstanceName { "b" });
    CHECK(table.takeUnused(later).empty());
    table.state(SERVER, std::nullopt, later, "test", later);
    CHECK(table.maySend(SERVER, later));
}

TEST_CASE("A coordinator hands out no more than the rate, to the instance that has waited longest")
{
    struct Row {
        double rate;
        std::size_t instances;
    };
    for (const Row& row : { Row { 0.5, 3 }, Row { 2, 13 }, Row { 2.5, 13 }, Row { 40, 13 }, Row { 300, 5 } }) {
        CAPTURE(row.rate, row.instances);
        GrantCoordinator coordinator;
        std::map<std::string, int> granted;
        int total = 0;
        constexpr auto length = 40s;
        std::size_t first = 0;
        for (Time now = START; now < START + length; now += 10ms) {
            // All ask in the same tick, another one first each time.
            ++first;
            for (std::size_t i = 0; i < row.instances; ++i)
                coordinator.ask(SERVER, InstanceName { "i" + std::to_string((first + i) % row.instances) }, 60s, row.rate, now);
            for (const auto& grant : coordinator.takeDue([&](ServerId) { return row.rate; }, now)) {
                ++granted[grant.instance.value()];
                ++total;
            }
        }
        const double due = row.rate * std::chrono::duration<double>(length).count();
        // The first grant is due at once. Each instance asks once a tick.
        const double most = std::min(due, static_cast<double>(row.instances) * 4000);
        CHECK(total <= most + 1);
        CHECK(total >= most - 1);
        int fewest = std::numeric_limits<int>::max();
        int mostOfOne = 0;
        for (const auto& [instance, count] : granted) {
            fewest = std::min(fewest, count);
            mostOfOne = std::max(mostOfOne, count);
        }
        CHECK(granted.size() == row.instances);
        CHECK(mostOfOne - fewest <= 1 + mostOfOne / 10);
    }
}

TEST_CASE("A coordinator saves up the grants of one second, and takes unused ones back")
{
    constexpr double rate = 4;
    const auto rateOf = [](ServerId) { return rate; };
    GrantCoordinator coordinator;
    const auto grantsAt = [&](Time now) {
        for (int i = 0; i < 20; ++i)
            coordinator.ask(SERVER, InstanceName { "i" + std::to_string(i) }, 10ms, rate, now);
        return static_cast<int>(coordinator.takeDue(rateOf, now).size());
    };
    CHECK(coordinator.ask(SERVER, InstanceName { "a" }, 0ms, rate, START) == Duration {});
    CHECK(coordinator.takeDue(rateOf, START).size() == 1);
    CHECK(coordinator.ask(SERVER, InstanceName { "a" }, 0ms, rate, START) == 250ms);
    CHECK(coordinator.takeDue(rateOf, START + 300ms).empty());
    coordinator.giveBack(SERVER, rate, START + 310ms);
    CHECK(grantsAt(START + 310ms) >= 1);
    coordinator.takeDue(rateOf, START + 2s);
    const int saved = grantsAt(START + 60s);
    CHECK(saved >= 1);
    CHECK(saved <= rate + 1);
}
