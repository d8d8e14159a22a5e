// Process tests of the interface for callers: invalid requests are rejected, and only complete responses are relayed.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;

namespace {

const std::string LIMITS = "[limits]\nconnections = 20\nhead_bytes = 2048\nreceive_ms = 400\n";

const std::string RULES = R"([[rule]]
method = "GET"
path = "/catalogue"
service = "catalogue"
kind = "idempotent"
time_limit_ms = 800
tries = 1
[[rule]]
method = "POST"
path = "/catalogue"
service = "catalogue"
kind = "idempotent"
max_body_bytes = 100
time_limit_ms = 800
[[rule]]
method = "GET"
path = "/catalogue/small"
service = "catalogue"
kind = "idempotent"
max_answer_bytes = 5
tries = 1
[[rule]]
method = "POST"
path = "/orders"
service = "catalogue"
kind = "at-most-once"
max_body_bytes = 100
time_limit_ms = 800
)";

void startSingleInstance(Fleet& fleet)
{
    fleet.addServer({ "cat-1", "catalogue", 8, 1 });
    fleet.publishSheet(fleet.sheet(1, "", RULES));
    fleet.addInstance("a", "leon", LIMITS);
    fleet.startAll();
}

bool stillServes(const Fleet& fleet)
{
    const auto response = call(fleet.callerAddress("a"), "GET", "/catalogue/check");
    return response && response->status() == 200;
}

} // namespace

TEST_CASE("Malformed, oversized and slow requests are rejected as not run")
{
    Fleet fleet;
    startSingleInstance(fleet);
    struct Row {
        const char* name;
        std::string bytes;
        int status;
    };
    const std::string post = "POST /catalogue/x HTTP/1.1\r\nHost: t\r\n";
    const std::vector<Row> rows {
        { "Content-Length before chunked encoding", post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "chunked encoding before Content-Length", post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n", 400 },
        { "two different lengths", post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", 400 },
        { "two equal lengths", post + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd", 400 },
        { "list of lengths", post + "Content-Length: 4, 4\r\n\r\nabcd", 400 },
        { "negative length", post + "Content-Length: -4\r\n\r\nabcd", 400 },
        { "length with sign", post + "Content-Length: +4\r\n\r\nabcd", 400 },
        { "unknown encoding", post + "Transfer-Encoding: gzip\r\n\r\nabcd", 400 },
        { "list of encodings", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two encodings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "space before the colon", post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400 },
        { "bad chunk size", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400 },
        { "huge chunk size", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nab\r\n0\r\n\r\n", 400 },
        { "two Host headers", "GET /catalogue HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        { "no HTTP version", "GET /catalogue\r\n\r\n", 400 },
        { "not HTTP", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\r\n\r\n", 14), 400 },
        { "large head", "GET /catalogue HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", 431 },
        { "large body", post + "Content-Length: 101\r\n\r\n" + std::string(101, 'x'), 413 },
        { "large chunked body", post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n", 413 },
        { "chunk extension without end", post + "Transfer-Encoding: chunked\r\n\r\n4;" + std::string(4000000, 'x'), 431 },
        { "trailer line without end", post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(4000000, 'x'), 431 },
        { "slow head", "GET /catalogue HTTP/1.1\r\nHost: a\r\n", 408 },
        { "slow body", post + "Content-Length: 50\r\n\r\nabc", 408 },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        const std::string response = exchangeRaw(fleet.callerAddress("a"), row.bytes);
        CHECK(response.starts_with("HTTP/1.1 " + std::to_string(row.status) + " "));
        CHECK(response.find("Cornelwind-Outcome: not-run\r\n") != std::string::npos);
        CHECK(response.find("\"detail\":") != std::string::npos);
        // Bytes after the rejected request are not parsed as a second request.
        CHECK(response.find("HTTP/1.1 ", 1) == std::string::npos);
    }
    CHECK(fleet.countRuns("/catalogue/x") == 0);
    CHECK(stillServes(fleet));
}

TEST_CASE("Well-formed requests in every framing are served")
{
    Fleet fleet;
    startSingleInstance(fleet);
    const std::string close = "Host: t\r\nConnection: close\r\n";
    for (const std::string& bytes : {
             "POST /catalogue/y HTTP/1.1\r\n" + close + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
             "POST /catalogue/y HTTP/1.1\r\n" + close + "Content-Length: 5\r\n\r\nabcde",
             "POST /catalogue/y HTTP/1.1\r\n" + close + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nabcde" }) {
        const std::string response = exchangeRaw(fleet.callerAddress("a"), bytes);
        CHECK(response.find("HTTP/1.1 200 ") != std::string::npos);
        CHECK(response.find("cat-1 ran POST /catalogue/y abcde\n") != std::string::npos);
    }
    const std::string one = "GET /catalogue/p1 HTTP/1.1\r\nHost: t\r\n\r\n";
    const std::string two = "GET /catalogue/p2 HTTP/1.1\r\n" + close + "\r\n";
    const std::string responses = exchangeRaw(fleet.callerAddress("a"), one + two);
    CHECK(responses.find("/catalogue/p1") < responses.find("/catalogue/p2"));
    CHECK(responses.find("/catalogue/p2") != std::string::npos);
}

TEST_CASE("Requests that cannot be served are rejected with the right status and outcome")
{
    Fleet fleet;
    startSingleInstance(fleet);
    struct Row {
        const char* name;
        const char* method;
        const char* target;
        std::map<std::string, std::string> headers;
        std::string body;
        int status;
        const char* outcome;
    };
    const std::string key = fleet.fetchIdempotencyKey("a");
    const std::vector<Row> rows {
        { "no rule", "GET", "/nothing", {}, "", 404, "not-run" },
        { "no rule for the method", "DELETE", "/catalogue", {}, "", 404, "not-run" },
        { "prefix inside a segment", "GET", "/cataloguex", {}, "", 404, "not-run" },
        { "no key", "POST", "/orders", {}, "o", 428, "not-run" },
        { "key that no instance issued", "POST", "/orders", { { "Idempotency-Key", "8e03978e-40d5-43dd-bc93-6894a57f9324" } }, "o", 400, "not-run" },
        { "forged key", "POST", "/orders", { { "Idempotency-Key", key.substr(0, key.size() - 1) + (key.back() == '0' ? "1" : "0") } }, "o", 400, "not-run" },
        { "key of an unknown owner", "POST", "/orders", { { "Idempotency-Key", "cw1.z" + key.substr(key.find('.', 4)) } }, "o", 400, "not-run" },
        { "key of an earlier incarnation", "POST", "/orders", { { "Idempotency-Key", "cw1.a.0000000000000001.0000000000000001.00112233445566778899aabbccddeeff" } }, "o", 503, "unknown" },
        { "deadline passed", "GET", "/catalogue", { { "Cornelwind-Deadline-Ms", "0" } }, "", 504, "not-run" },
        { "body too large, with key", "POST", "/orders", { { "Idempotency-Key", key } }, std::string(101, 'x'), 413, "unknown" },
        { "response too large", "GET", "/catalogue/small", {}, "", 502, "ran" },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        const auto response = call(fleet.callerAddress("a"), row.method, row.target, row.headers, row.body);
        REQUIRE(response);
        CHECK(response->status() == row.status);
        CHECK(response->header("cornelwind-outcome") == row.outcome);
        CHECK(response->header("content-type") == "application/problem+json");
    }
    const auto first = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "first");
    REQUIRE(first);
    CHECK(first->status() == 200);
    const auto other = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "other");
    REQUIRE(other);
    CHECK(other->status() == 422);
    CHECK(other->header("cornelwind-outcome") == "not-run");
    CHECK(fleet.countRuns("other") == 0);
}

TEST_CASE("Truncated, mismatched or missing responses are never relayed as complete")
{
    Fleet fleet;
    startSingleInstance(fleet);
    struct Row {
        const char* name;
        const char* fault;
        int status;
    };
    for (const Row& row : { Row { "truncated", "truncate_percent", 502 }, Row { "mismatched", "mismatch_percent", 502 },
             Row { "missing", "close_before_answer_percent", 502 }, Row { "stalled", "stall_percent", 504 } }) {
        INFO(row.name);
        fleet.controlServer("cat-1", std::string(row.fault) + "=100");
        const auto response = call(fleet.callerAddress("a"), "GET", std::string("/catalogue/") + row.fault);
        fleet.controlServer("cat-1", std::string(row.fault) + "=0");
        REQUIRE(response);
        CHECK(response->status() == row.status);
        CHECK(response->header("cornelwind-outcome") == "unknown");
        CHECK(response->body.find("ran GET") == std::string::npos);
    }
    CHECK(stillServes(fleet));
}

TEST_CASE("The remaining time is sent to the backend server, which may reject the request")
{
    Fleet fleet;
    startSingleInstance(fleet);
    fleet.controlServer("cat-1", "service_ms=200");
    const auto rejected = call(fleet.callerAddress("a"), "GET", "/catalogue/short", { { "Cornelwind-Deadline-Ms", "100" } });
    REQUIRE(rejected);
    CHECK(rejected->status() == 503);
    CHECK(rejected->header("cornelwind-outcome") == "not-run");
    CHECK(fleet.countRuns("short") == 0);
    const auto served = call(fleet.callerAddress("a"), "GET", "/catalogue/long", { { "Cornelwind-Deadline-Ms", "600" } });
    REQUIRE(served);
    CHECK(served->status() == 200);
}

TEST_CASE("However a caller writes its deadline, the backend server gets no more time")
{
    constexpr int timeLimitMs = 800;
    Fleet fleet;
    startSingleInstance(fleet);
    struct Row {
        const char* name;
        std::string headers;
        /// Time that the caller allows; 0 if the request must be refused at once.
        int allowedMs;
    };
    const std::string header = "Cornelwind-Deadline-Ms: ";
    const std::vector<Row> rows {
        { "whole number", header + "300\r\n", 300 },
        { "fraction", header + "300.7\r\n", 300 },
        { "plus sign", header + "+300\r\n", 300 },
        { "exponent", header + "3e2\r\n", 300 },
        { "spaces around it", header + "  300  \r\n", 300 },
        { "twice, the smaller one first", header + "300\r\n" + header + "5000\r\n", 300 },
        { "twice, the smaller one last", header + "5000\r\n" + header + "300\r\n", 300 },
        { "list", header + "5000, 300\r\n", 300 },
        { "twice, once unreadable", header + "soon\r\n" + header + "300\r\n", 300 },
        { "huge", header + "99999999999999999999999\r\n", timeLimitMs },
        { "infinite", header + "inf\r\n", timeLimitMs },
        { "unreadable", header + "soon\r\n", timeLimitMs },
        { "empty", header + "\r\n", timeLimitMs },
        { "none", "", timeLimitMs },
        { "zero", header + "0\r\n", 0 },
        { "less than a millisecond", header + "0.4\r\n", 0 },
        { "negative", header + "-5\r\n", 0 },
    };
    int number = 0;
    for (const Row& row : rows) {
        INFO(row.name);
        const std::string target = "/catalogue/deadline-" + std::to_string(++number);
        const std::string response = exchangeRaw(fleet.callerAddress("a"), "GET " + target + " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n" + row.headers + "\r\n");
        const auto deadlines = call(fleet.serverAddress("cat-1"), "GET", "/standin/deadlines");
        REQUIRE(deadlines);
        const auto line = deadlines->body.find(target + " ");
        if (!row.allowedMs) {
            CHECK(response.find("Cornelwind-Outcome: not-run") != std::string::npos);
            CHECK(line == std::string::npos);
            continue;
        }
        REQUIRE(line != std::string::npos);
        const int receivedMs = std::atoi(deadlines->body.c_str() + line + target.size() + 1);
        CHECK(receivedMs <= row.allowedMs);
        CHECK(receivedMs > 0);
    }
}

TEST_CASE("A disconnect of the caller cancels an idempotent request but not an at-most-once request")
{
    Fleet fleet;
    startSingleInstance(fleet);
    fleet.controlServer("cat-1", "service_ms=300");
    const std::string key = fleet.fetchIdempotencyKey("a");
    CHECK_FALSE(call(fleet.callerAddress("a"), "GET", "/catalogue/left", {}, "", 100));
    CHECK_FALSE(call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "left-order", 100));
    const auto record = [&] { return call(fleet.serverAddress("cat-1"), "GET", "/standin/record")->body; };
    CHECK(waitFor([&] { return record().find("cancelled GET /catalogue/left") != std::string::npos; }));
    const auto again = call(fleet.callerAddress("a"), "POST", "/orders", { { "Idempotency-Key", key } }, "left-order");
    REQUIRE(again);
    CHECK(again->status() == 200);
    CHECK(fleet.countRuns("left-order") == 1);
    CHECK(record().find("cancelled POST") == std::string::npos);
}

TEST_CASE("Connections over the limit are rejected as not run")
{
    Fleet fleet;
    startSingleInstance(fleet);
    const auto [host, port] = splitAddress(fleet.callerAddress("a"));
    std::vector<Socket> openConnections;
    openConnections.reserve(20);
    for (int i = 0; i < 20; ++i)
        openConnections.push_back(connectTo(host, port));
    const auto refused = [&] {
        const std::string response = exchangeRaw(fleet.callerAddress("a"), "GET /catalogue HTTP/1.1\r\nHost: t\r\n\r\n");
        return response.starts_with("HTTP/1.1 503 ") && response.find("Cornelwind-Outcome: not-run") != std::string::npos;
    };
    CHECK(waitFor(refused));
    openConnections.clear();
    CHECK(waitFor([&] { return stillServes(fleet); }));
}

TEST_CASE("Caller limits of the sheet also apply to open connections")
{
    using Clock = std::chrono::steady_clock;
    constexpr int IDLE_MS = 800;
    Fleet fleet;
    startSingleInstance(fleet);
    const auto [host, port] = splitAddress(fleet.callerAddress("a"));
    const Socket openConnection = connectTo(host, port);
    std::string rest;
    REQUIRE(writeAll(openConnection, "GET /catalogue/open HTTP/1.1\r\nHost: t\r\n\r\n"));
    REQUIRE(readMessage(openConnection, rest));
    const std::string limits = "max_head_bytes = 1024\nhead_time_ms = 300\nidle_time_ms = " + std::to_string(IDLE_MS) + "\n";
    fleet.publishSheet(limits + fleet.sheet(2, "", RULES));
    const auto publishedAt = Clock::now();
    char byte = 0;
    setTimeLimit(openConnection, 5000);
    CHECK(::recv(openConnection.fd(), &byte, 1, 0) == 0);
    // A caller must be able to use a connection for at least four fifths of the idle limit.
    CHECK(Clock::now() - publishedAt >= std::chrono::milliseconds(IDLE_MS * 4 / 5));
    CHECK(Clock::now() - publishedAt < std::chrono::milliseconds(IDLE_MS + 2000));

    const auto startedAt = Clock::now();
    CHECK(exchangeRaw(fleet.callerAddress("a"), "GET /catalogue HTTP/1.1\r\nHost: a\r\n").starts_with("HTTP/1.1 408 "));
    CHECK(Clock::now() - startedAt >= std::chrono::milliseconds(300));
    CHECK(exchangeRaw(fleet.callerAddress("a"), "GET /catalogue HTTP/1.1\r\nX: " + std::string(1500, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431 "));
    CHECK(stillServes(fleet));
}
