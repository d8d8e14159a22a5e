// Tests that the HTTP client writes no head that a server would read back as something else, such as two requests.
#include "http_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

using namespace cornelwind;
using namespace cornelwind::test;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

struct Exchange {
    HttpResult result;
    /// What the server received; nothing if no request arrived.
    std::optional<Message> received;
};

/// Makes one call to a server that answers every request.
Exchange exchange(HttpCall call)
{
    Socket listener = listenOn("127.0.0.1", 0);
    Exchange outcome;
    std::thread server([&] {
        const Socket socket(acceptOn(listener));
        std::string buffered;
        if (!socket.valid())
            return;
        outcome.received = readMessage(socket, buffered);
        writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
    boost::asio::io_context io;
    HttpClient client(io);
    call.address = { "127.0.0.1", portOf(listener) };
    call.deadline = steadyNow() + 3s;
    client.start(std::move(call), [&](HttpResult result) { outcome.result = std::move(result); });
    io.run();
    listener.shutdown();
    server.join();
    return outcome;
}

HttpCall order()
{
    HttpCall call;
    call.method = "POST";
    call.target = "/orders/1?a=b";
    call.headers = { { "Request-Id", "1" }, { "Accept", "a, b;q=0.5\tc \xc3\xa9" }, { "Empty", "" } };
    call.body = "order";
    return call;
}

} // namespace

TEST_CASE("A request that can be written arrives as it is")
{
    const Exchange outcome = exchange(order());
    CHECK(outcome.result.result == TryResult::Answered);
    REQUIRE(outcome.received);
    CHECK(outcome.received->startLine == "POST /orders/1?a=b HTTP/1.1");
    CHECK(outcome.received->header("accept") == "a, b;q=0.5\tc \xc3\xa9");
    CHECK(outcome.received->body == "order");
}

TEST_CASE("A request with a line end or another invalid character in its head is not sent")
{
    struct Row {
        const char* name;
        void (*spoil)(HttpCall& call);
    };
    const Row rows[] = {
        { "line end at the end of a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", "i-7000\r\n" }); } },
        { "line feed in a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", "i\nX: y" }); } },
        { "carriage return in a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", "i\rX" }); } },
        { "null character in a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", "i\0"s }); } },
        { "space at the start of a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", " i" }); } },
        { "tab at the end of a value", [](HttpCall& call) { call.headers.push_back({ "Expect-Instance", "i\t" }); } },
        { "line end in a name", [](HttpCall& call) { call.headers.push_back({ "X\r\nY", "z" }); } },
        { "colon in a name", [](HttpCall& call) { call.headers.push_back({ "X:", "z" }); } },
        { "empty name", [](HttpCall& call) { call.headers.push_back({ "", "z" }); } },
        { "line end in the target", [](HttpCall& call) { call.target += " HTTP/1.1\r\nX: y"; } },
        { "space in the target", [](HttpCall& call) { call.target += " x"; } },
        { "empty target", [](HttpCall& call) { call.target.clear(); } },
        { "space in the method", [](HttpCall& call) { call.method = "GET /other"; } },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        HttpCall call = order();
        row.spoil(call);
        const Exchange outcome = exchange(std::move(call));
        CHECK(std::string_view(toString(outcome.result.result)) == toString(TryResult::NotSent));
        CHECK_FALSE(outcome.received);
    }
}
