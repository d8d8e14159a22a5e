// Process test of requests from a caller through entry instances to backend servers and back.
#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace cornelwind::test;

namespace {

void startThreeInstances(Fleet& fleet)
{
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.addServer({ "ord-1", "orders" });
    fleet.publishSheet(fleet.sheet(1));
    for (const char* name : { "a", "b", "c" })
        fleet.addInstance(name);
    fleet.startAll();
}

} // namespace

TEST_CASE("Requests are served, and an at-most-once request retried at other instances runs once")
{
    Fleet fleet;
    startThreeInstances(fleet);

    const auto lookup = call(fleet.callerAddress("a"), "GET", "/catalogue/doily?size=3");
    REQUIRE(lookup);
    CHECK(lookup->status() == 200);
    CHECK(lookup->body == "cat-1 ran GET /catalogue/doily?size=3 \n");

    const auto rejected = call(fleet.callerAddress("a"), "POST", "/orders", {}, "order-1");
    REQUIRE(rejected);
    CHECK(rejected->status() == 428);
    CHECK(rejected->header("cornelwind-outcome") == "not-run");
    const std::string key = rejected->header("cornelwind-next-key");
    REQUIRE(!key.empty());

    const auto first = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "order-1");
    REQUIRE(first);
    CHECK(first->status() == 200);
    CHECK(first->header("cornelwind-outcome") == "ran");
    for (const char* other : { "a", "b", "c" }) {
        const auto again = call(fleet.callerAddress(other), "POST", "/orders", { { "Idempotency-Key", key } }, "order-1");
        REQUIRE(again);
        CHECK(again->status() == 200);
        CHECK(again->body == first->body);
    }
    CHECK(fleet.countRuns("order-1") == 1);
}
