// A request from a caller through entry instances to a backend server and back, as processes.
#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace cornelwind::test;

namespace {

void startThree(Fleet& fleet)
{
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.addServer({ "ord-1", "orders" });
    fleet.publishSheet(fleet.sheet(1));
    for (const char* name : { "a", "b", "c" })
        fleet.addInstance(name);
    fleet.startAll();
}

} // namespace

TEST_CASE("A look-up and an order are served, and an order sent again elsewhere runs once")
{
    Fleet fleet;
    startThree(fleet);

    const auto lookup = call(fleet.callers("a"), "GET", "/catalogue/doily?size=3");
    REQUIRE(lookup);
    CHECK(lookup->status() == 200);
    CHECK(lookup->body == "cat-1 ran GET /catalogue/doily?size=3 \n");

    const auto without = call(fleet.callers("a"), "POST", "/orders", {}, "order-1");
    REQUIRE(without);
    CHECK(without->status() == 428);
    CHECK(without->header("cornelwind-outcome") == "not-run");
    const std::string key = without->header("cornelwind-next-key");
    REQUIRE(!key.empty());

    const auto first = call(fleet.callers("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "order-1");
    REQUIRE(first);
    CHECK(first->status() == 200);
    CHECK(first->header("cornelwind-outcome") == "ran");
    for (const char* other : { "a", "b", "c" }) {
        const auto again = call(fleet.callers(other), "POST", "/orders", { { "Idempotency-Key", key } }, "order-1");
        REQUIRE(again);
        CHECK(again->status() == 200);
        CHECK(again->body == first->body);
    }
    CHECK(fleet.runs("order-1") == 1);
}
