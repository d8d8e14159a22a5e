// Tests that the HTTP client returns no response whose status is not that of a final response.
#include "http_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <sys/socket.h>

using namespace cornelwind;
using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration PROMPT = 1s;
constexpr Duration CALL_TIME_LIMIT = 4s;
const std::string INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

struct StatusCase {
    const char* status;
    /// Responses sent before that with the status.
    std::string before;
    TryResult result;
};

/// Sends one request to a server that answers with `bytes` and keeps the connection open.
HttpResult callServer(const std::string& bytes, bool& connectionClosed)
{
    const Socket listener = listenOn("127.0.0.1", 0);
    std::thread server([&] {
        const Socket socket(acceptOn(listener));
        std::string buffered;
        if (!readMessage(socket, buffered))
            return;
        writeAll(socket, bytes);
        setTimeLimit(socket, 500);
        char byte = 0;
        connectionClosed = ::recv(socket.fd(), &byte, 1, 0) == 0;
    });
    boost::asio::io_context io;
    HttpClient client(io);
    HttpCall call;
    call.address = { "127.0.0.1", portOf(listener) };
    call.deadline = steadyNow() + CALL_TIME_LIMIT;
    call.reuse = true;
    std::optional<HttpResult> result;
    client.start(std::move(call), [&](HttpResult ended) { result = std::move(ended); });
    while (!result)
        io.run_one_for(10ms);
    server.join();
    return *result;
}

} // namespace

TEST_CASE("A response with an invalid status is never returned, and the call ends at once")
{
    const StatusCase cases[] = {
        { "000", "", TryResult::Broken },
        { "001", "", TryResult::Broken },
        { "099", "", TryResult::Broken },
        { "101", "", TryResult::Broken },
        { "600", "", TryResult::Broken },
        { "999", "", TryResult::Broken },
        { "000", INTERIM, TryResult::Broken },
        { "00", "", TryResult::Broken },
        { "2000", "", TryResult::Broken },
        { "-20", "", TryResult::Broken },
        { "abc", "", TryResult::Broken },
        { "200", "", TryResult::Answered },
        { "200", INTERIM, TryResult::Answered },
        { "404", "", TryResult::Answered },
        { "599", "", TryResult::Answered },
    };
    for (const StatusCase& row : cases) {
        CAPTURE(row.status, row.before);
        bool connectionClosed = false;
        const Time start = steadyNow();
        const HttpResult result = callServer(row.before + "HTTP/1.1 " + row.status + " Text\r\nContent-Length: 2\r\n\r\nok", connectionClosed);
        CHECK(steadyNow() - start < PROMPT);
        CHECK(std::string(toString(result.result)) == toString(row.result));
        CHECK((result.response != nullptr) == (row.result == TryResult::Answered));
        if (row.result != TryResult::Answered)
            CHECK(connectionClosed);
    }
}
