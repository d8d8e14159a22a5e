// Fuzz test of what the platform's store sends. Its code is compiled with the address and undefined-behaviour sanitizers, which end
// the process at the first finding, among them conversions of numbers out of range.
#include "mutator.h"
#include "platform/fields.h"
#include "platform/store_body.h"
#include "platform/values.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cornelwind;
using namespace cornelwind::platform;

namespace {

constexpr int ITERATIONS = 20000;

// The value of the entry is {"service":"s","address":"10.0.0.1:80","zone":"z","slots":1e400,"state":"ready","born":-1}.
const std::string ITEM = R"({"key":"servers/a","value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwic2xvdHMiOjFlNDAwLCJzdGF0ZSI6InJlYWR5IiwiYm9ybiI6LTF9","rev":7,"lease":0})";
const std::string RANGE = R"({"items":[)" + ITEM + R"(,{"key":"servers/b","rev":1e400},[[[[7]]]],{"key":"op/config","value":"e30=","rev":8}],"hasMore":true,"asOf":9})";
const std::string WATCH = R"({"events":[{"key":"servers/a","rev":18446744073709551615,"deleted":true},)" + ITEM + R"(],"asOf":12})";
const std::string ENTRY = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","warmupLeftS":1e300,"born":1790000000000})";
const std::string CONFIGURATION = R"({"version":"0000000c","services":{"s":{"maxConnections":1e10}},"limits":{"maxBodyBytes":-1,"idleTimeoutS":1e300},)"
                                  R"("routes":{"r":{"host":"h","prefix":"/p/","kind":"safe","timeoutS":2,"attempts":2,"priority":1e400,"trafficSplit":[{"service":"s","weight":90}]}}})";
const std::string WORKSPACES = R"({"version":"0000000c","services":{"s":{}},"routes":{"r":{"host":"h","prefix":"/p/","kind":"safe","public":true,"service":"s"}},)"
                               R"("tenants":{"a":{"apiKeys":["key-1","key-2"],"priority":2,"ratePerS":2.5,"burst":10},"b":{"apiKeys":["\u006bey-3"]},"c":{"ratePerS":1e9}}})";

} // namespace

TEST_CASE("Responses of the store are decoded or refused, and each change has a server, a reason or a removal")
{
    Mutator bodies({ RANGE, WATCH, ITEM, std::string(5000, '['), R"({"items":)" + std::string(5000, '[') });
    int decoded = 0;
    for (int i = 0; i < ITERATIONS; ++i) {
        const std::string body = bodies.next();
        for (const StoreBody kind : { StoreBody::Key, StoreBody::Range, StoreBody::Watch }) {
            StoreReply reply;
            decoded += decodeStoreBody(body, kind, {}, reply);
            for (const StoreChange& change : reply.changes)
                REQUIRE((!change.server || !change.server->server || change.server->problem.empty()));
        }
    }
    CHECK(decoded > 0);
}

TEST_CASE("Entries are within their bounds or refused with a reason")
{
    Mutator entries({ ENTRY });
    int accepted = 0;
    for (int i = 0; i < ITERATIONS; ++i) {
        std::string problem;
        const auto server = readServer(ServerName { "a" }, entries.next(), problem);
        REQUIRE(server.has_value() == problem.empty());
        if (server)
            REQUIRE(findProblem(*server).empty());
        accepted += server.has_value();
    }
    CHECK(accepted > 0);
}

TEST_CASE("Configurations are read or refused with a reason")
{
    Mutator configurations({ CONFIGURATION, WORKSPACES });
    int rewritten = 0;
    for (int i = 0; i < ITERATIONS; ++i) {
        Reasons reasons;
        const auto sheet = readConfiguration(configurations.next(), 20, reasons);
        REQUIRE(sheet.has_value() == reasons.empty());
        if (!sheet || sheet->text.empty())
            continue;
        // The text for members gives the same workspaces, and is final.
        const auto copy = readConfiguration(sheet->text, 20, reasons);
        REQUIRE(copy);
        REQUIRE(copy->text.empty());
        REQUIRE(copy->workspaces->all() == sheet->workspaces->all());
        REQUIRE(copy->workspaces->keyCount() == sheet->workspaces->keyCount());
        ++rewritten;
    }
    CHECK(rewritten > 0);
}
