// Tests that the HTTP client states the time that is left when it writes a request, not when the call was started.
#include "http_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind;
using namespace cornelwind::test;
using namespace std::chrono_literals;

TEST_CASE("A request whose connection opens late states the time that is left then")
{
    constexpr Millis timeLimit = 3s;
    // The kernel drops the opening packet of a connection for which the queue has no room, and sends it again after a second.
    const Socket listener = listenOn("127.0.0.1", 0, 0);
    std::vector<Socket> queued;
    queued.push_back(connectTo("127.0.0.1", portOf(listener)));
    boost::asio::io_context io;
    HttpClient client(io);
    HttpCall call;
    call.address = { "127.0.0.1", portOf(listener) };
    call.connectTimeout = timeLimit;
    call.deadlineHeader = "Deadline-Ms";
    const Time startedAt = steadyNow();
    call.deadline = startedAt + timeLimit;
    client.start(std::move(call), [](const HttpResult&) {});
    std::optional<Message> request;
    Time receivedAt;
    std::thread server([&] {
        std::this_thread::sleep_for(300ms);
        const Socket first(acceptOn(listener));
        const Socket second(acceptOn(listener));
        std::string buffered;
        request = readMessage(second, buffered);
        receivedAt = steadyNow();
        writeAll(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    });
    io.run();
    server.join();
    REQUIRE(request);
    const Millis stated { std::atoi(request->header("deadline-ms").c_str()) };
    CAPTURE(stated.count(), std::chrono::duration_cast<Millis>(receivedAt - startedAt).count());
    // The connection opened when the opening packet was sent again.
    CHECK(receivedAt - startedAt >= 900ms);
    CHECK(stated > 0ms);
    CHECK(stated <= timeLimit - 900ms);
}
