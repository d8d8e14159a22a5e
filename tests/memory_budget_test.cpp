// Tests the budget of message bodies without child processes: which transfers are ended, and how long one may stall.
#include "cornelwind/selector.h"
#include "cornelwind/server_pool.h"
#include "http_client.h"
#include "http_server.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MEGABYTE = 1024 * 1024;
const Time NOW { 1h };

MemoryStake stake(Transfer transfer, std::size_t bytes, Duration slow, Duration started = 10s, std::optional<Duration> stalled = {})
{
    return { transfer, bytes, NOW - slow, NOW - stalled.value_or(slow), NOW - started };
}

/// Answers each request with a large body.
class LargeResponder final : public HttpHandler {
public:
    void onHead(const HttpExchangePtr& exchange) override { exchange->readBody(MEGABYTE); }
    void onBody(const HttpExchangePtr& exchange, SharedBody) override { exchange->respond({ 200, {}, std::string(16 * MEGABYTE, 'x') }); }
    void onReceiveFailed(const HttpExchangePtr&, ErrorKind) override { }
    void onDisconnect(const HttpExchangePtr&) override { }
    Response errorResponse(ErrorKind) override { return { 500, {}, {} }; }
};

} // namespace

// Guards against the end of a transfer that moves, is small or has run while a slow one holds memory.
TEST_CASE("The transfer that is ended is the slowest for its bytes, in the order of the directions")
{
    struct Case {
        const char* name;
        std::vector<MemoryStake> stakes;
        std::optional<std::size_t> ended;
        Shortage shortage = Shortage::All;
        Duration sinceResume = 1h;
    };
    const auto smallBytes = SMALL_BODY_BYTES;
    const std::vector<Case> cases {
        { "small bodies are never ended", { stake(Transfer::ToCaller, smallBytes, 1min), stake(Transfer::FromServer, smallBytes, 1min) }, std::nullopt },
        { "a caller that does not read comes before any other", { stake(Transfer::FromServer, 9 * MEGABYTE, 0s), stake(Transfer::ToServer, 9 * MEGABYTE, 9s), stake(Transfer::FromCaller, 9 * MEGABYTE, 9s), stake(Transfer::ToCaller, MEGABYTE, 1s) }, 3 },
        { "a caller that sends slowly comes before a server that does not read", { stake(Transfer::ToServer, 9 * MEGABYTE, 9s), stake(Transfer::FromCaller, MEGABYTE, 1s) }, 1 },
        { "a server that does not read comes before a response", { stake(Transfer::FromServer, 9 * MEGABYTE, 0s), stake(Transfer::ToServer, MEGABYTE, 1s) }, 1 },
        { "bytes and time count together", { stake(Transfer::ToCaller, 4 * MEGABYTE, 1s), stake(Transfer::ToCaller, MEGABYTE, 5s), stake(Transfer::ToCaller, 2 * MEGABYTE, 1s) }, 1 },
        { "what moves is not ended, but the largest body that grows", { stake(Transfer::ToCaller, 9 * MEGABYTE, 400ms, 10s, 200ms), stake(Transfer::FromServer, 2 * MEGABYTE, 9s), stake(Transfer::FromCaller, MEGABYTE, 0s) }, 1 },
        { "what moves no byte is slow sooner", { stake(Transfer::FromServer, 9 * MEGABYTE, 0s), stake(Transfer::ToCaller, MEGABYTE, 300ms) }, 1 },
        { "the largest body that grows may be that of a request", { stake(Transfer::FromServer, MEGABYTE, 0s), stake(Transfer::FromCaller, 2 * MEGABYTE, 0s) }, 1 },
        { "of the requests it is the one that began last, so that others come to an end", { stake(Transfer::FromCaller, 2 * MEGABYTE, 0s), stake(Transfer::FromCaller, MEGABYTE, 0s, 1s), stake(Transfer::FromCaller, MEGABYTE, 0s, 2s), stake(Transfer::FromCaller, smallBytes, 0s, 0s) }, 1 },
        { "too many requests end no response", { stake(Transfer::ToCaller, 9 * MEGABYTE, 9s), stake(Transfer::FromServer, 9 * MEGABYTE, 0s), stake(Transfer::FromCaller, MEGABYTE, 0s) }, 2, Shortage::Requests },
        { "no peer is to blame while this process did not run", { stake(Transfer::ToCaller, 9 * MEGABYTE, 9s), stake(Transfer::FromServer, MEGABYTE, 0s) }, 1, Shortage::All, 100ms },
    };
    for (const Case& each : cases) {
        CAPTURE(each.name);
        CHECK(chooseTransferToEnd(each.stakes, each.shortage, NOW - each.sinceResume, NOW) == each.ended);
    }
}

// Guards against a copy of the body for each try, which the budget did not count.
TEST_CASE("Copies of a body count once, until the last one is gone")
{
    const auto memory = std::make_shared<MemoryBudget>();
    std::optional<SharedBody> first { std::in_place, std::string(MEGABYTE, 'x'), memory };
    std::optional<SharedBody> second = first;
    CHECK(memory->used(MemoryKind::Request) == MEGABYTE);
    first.reset();
    CHECK(memory->used() == MEGABYTE);
    second->beginCall();
    second->stopCounting();
    CHECK(memory->used() == MEGABYTE);
    second->endCall();
    second->stopCounting();
    CHECK(memory->used() == 0);
    second.reset();
    CHECK(memory->used() == 0);
}

// Guards against connections that are held for ever by callers that do not read, until there is none left.
TEST_CASE("A connection whose client takes no byte of its response is closed, and one that reads slowly is not")
{
    for (const bool reads : { false, true }) {
        CAPTURE(reads);
        boost::asio::io_context io;
        LargeResponder handler;
        HttpLimits limits;
        limits.responseStallTimeout = Millis { 300 };
        HttpServer server(io, handler, limits, std::make_shared<MemoryBudget>());
        Reason reason;
        const auto address = server.listen({ "127.0.0.1", 0 }, reason);
        REQUIRE(address);
        const Socket client = connectTo("127.0.0.1", address->port);
        setTimeLimit(client, 20);
        REQUIRE(writeAll(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
        std::string block(512 * 1024, ' ');
        for (const Time until = steadyNow() + 1500ms; steadyNow() < until;) {
            io.run_for(20ms);
            if (reads)
                ::recv(client.fd(), block.data(), block.size(), 0);
        }
        CHECK(server.connections() == (reads ? 1 : 0));
    }
}

// Guards against a backend server that gets more bytes of requests than it has memory for.
TEST_CASE("A server with many bytes of request bodies in flight has no room for another large one")
{
    Reasons reasons;
    const auto sheet = readSheet("version = 1\n[[service]]\nname = \"s\"\n[[service.server]]\nname = \"s0\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\nslots = 9\n"
                                 "[[rule]]\nmethod = \"GET\"\npath = \"/\"\nservice = \"s\"\nkind = \"idempotent\"\n",
        reasons);
    REQUIRE(sheet);
    ServerPool pool(makeSlotShareSelector(), ZoneName { "z" });
    pool.applySheet(*sheet, NOW);
    pool.setMaxBodyBytes(ByteCount { 4 * MEGABYTE });
    const auto pick = [&](std::uint64_t bytes) {
        PickContext context;
        context.now = NOW;
        context.bodySize = ByteCount { bytes };
        return pool.pick(0, context);
    };
    Server* server = pick(5 * MEGABYTE);
    // A body beyond the bound is sent while no other is in flight, or it could never be sent.
    REQUIRE(server);
    pool.begin(*server, NOW, ByteCount { 3 * MEGABYTE });
    CHECK(pick(MEGABYTE) == server);
    CHECK(pick(MEGABYTE + 1) == nullptr);
    CHECK(pick(SMALL_BODY_BYTES) == server);
    pool.begin(*server, NOW, ByteCount { SMALL_BODY_BYTES });
    pool.end(server->id, ByteCount { 3 * MEGABYTE });
    CHECK(pick(5 * MEGABYTE) == server);
}
