// Tests the HTTP client with backend servers that send bytes without end: each call must end early with a true result, the
// connection must be closed, and memory must stay bounded.
#include "http_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>

using namespace cornelwind;
using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MAX_RESPONSE = 1024 * 1024;
// Largest number of bytes that a server may get rid of: the limit of a response, and the socket buffers of both sides.
constexpr std::size_t MAX_SENT = MAX_RESPONSE + 8 * 1024 * 1024;
constexpr Duration PROMPT = 2s;
constexpr Duration CALL_TIME_LIMIT = 8s;

/// What a server sends after it has read a request.
struct Script {
    const char* name;
    /// Sent once.
    std::string opening;
    /// Sent again and again until the connection is closed.
    std::string repeated;
    TryResult result;
    /// Whether this is the second request on the connection; the first one gets a complete response.
    bool reused = false;
};

const std::string COMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nEcho: 1\r\n\r\nok";

/// A server that plays one script on its first connection.
class EndlessServer {
public:
    explicit EndlessServer(const Script& script)
        : m_script(script)
        , m_listener(listenOn("127.0.0.1", 0))
        , m_thread([this] { serve(); })
    {
    }
    ~EndlessServer()
    {
        m_stop = true;
        m_listener.shutdown();
        m_thread.join();
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    Endpoint address() const { return { "127.0.0.1", portOf(m_listener) }; }
    std::size_t bytesSent() const { return m_sent; }
    bool connectionClosed() const { return m_closed; }

private:
    void serve()
    {
        const Socket socket(acceptOn(m_listener));
        std::string buffered;
        if (!socket.valid() || !readMessage(socket, buffered))
            return;
        if (m_script.reused) {
            writeAll(socket, COMPLETE);
            if (!readMessage(socket, buffered))
                return;
        }
        writeAll(socket, m_script.opening);
        // A write that blocks for this long finds the connection open and nobody reading.
        setTimeLimit(socket, 100);
        while (!m_stop) {
            const ssize_t sent = ::send(socket.fd(), m_script.repeated.data(), m_script.repeated.size(), MSG_NOSIGNAL);
            if (sent > 0)
                m_sent += static_cast<std::size_t>(sent);
            else if (errno != EAGAIN && errno != EWOULDBLOCK) {
                m_closed = true;
                return;
            }
        }
    }

    Script m_script;
    Socket m_listener;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_closed = false;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_thread;
};

/// Runs calls of an HTTP client on this thread.
class Caller {
public:
    explicit Caller(const Endpoint& address)
        : m_client(m_io)
        , m_address(address)
    {
    }

    HttpResult call()
    {
        HttpCall call;
        call.address = m_address;
        call.deadline = steadyNow() + CALL_TIME_LIMIT;
        call.maxResponse = MAX_RESPONSE;
        call.reuse = true;
        call.allowCloseDelimited = true;
        call.echoHeader = "Echo";
        call.echoValue = "1";
        std::optional<HttpResult> result;
        m_client.start(std::move(call), [&](HttpResult ended) { result = std::move(ended); });
        while (!result)
            runFor(10ms);
        return *result;
    }

    void runFor(std::chrono::milliseconds time)
    {
        m_io.restart();
        m_io.run_for(time);
    }

private:
    boost::asio::io_context m_io;
    HttpClient m_client;
    Endpoint m_address;
};

std::vector<Script> scripts()
{
    const std::string okHead = "HTTP/1.1 200 OK\r\nEcho: 1\r\n";
    const std::string filler(4096, 'x');
    return {
        { "a status line without end", "HTTP/1.1 200 ", filler, TryResult::Broken },
        { "bytes that are no response", "", std::string(4096, '\x01'), TryResult::Broken },
        { "empty lines", "", "\r\n\r\n\r\n\r\n", TryResult::Broken },
        { "a header line without end", "HTTP/1.1 200 OK\r\nX: ", filler, TryResult::Broken },
        { "header lines without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n", TryResult::Broken },
        { "interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n", TryResult::Broken },
        { "a body beyond a stated length that is too large", okHead + "Content-Length: 100000000000\r\n\r\n", filler, TryResult::TooLarge },
        { "a body that ends with the connection", okHead + "\r\n", filler, TryResult::Broken },
        { "chunks without end", okHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", TryResult::Broken },
        { "a chunk size without end", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000", TryResult::Broken },
        { "a chunk extension without end", okHead + "Transfer-Encoding: chunked\r\n\r\n4;", filler, TryResult::Broken },
        { "chunk extensions without end", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;a=" + std::string(2000, 'x') + "\r\nx\r\n", TryResult::Broken },
        { "a trailer line without end", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", filler, TryResult::Broken },
        { "trailer lines without end", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", TryResult::Broken },
        { "bytes after a complete response", COMPLETE, filler, TryResult::Answered },
        { "bytes after a complete chunked response", okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", filler, TryResult::Answered },
        { "responses after a complete response", COMPLETE, COMPLETE, TryResult::Answered },
        { "responses to other requests", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nEcho: 2\r\n\r\nno", TryResult::Broken, true },
        { "a header line without end on a reused connection", "HTTP/1.1 200 OK\r\nX: ", filler, TryResult::Broken, true },
    };
}

template <typename Condition>
bool becomesTrue(Caller& caller, Condition condition)
{
    const Time end = steadyNow() + PROMPT;
    while (!condition() && steadyNow() < end)
        caller.runFor(10ms);
    return condition();
}

} // namespace

TEST_CASE("A server that sends bytes without end gets its connection closed, and the call ends at once with a true result")
{
    for (const Script& script : scripts()) {
        CAPTURE(script.name);
        EndlessServer server(script);
        Caller caller(server.address());
        if (script.reused)
            REQUIRE(caller.call().result == TryResult::Answered);
        const Time start = steadyNow();
        const HttpResult result = caller.call();
        CHECK(steadyNow() - start < PROMPT);
        CHECK(std::string(toString(result.result)) == toString(script.result));
        if (result.response)
            CHECK(result.response->body == "ok");
        CHECK(becomesTrue(caller, [&] { return server.connectionClosed(); }));
        CHECK(server.bytesSent() <= MAX_SENT);
    }
}

TEST_CASE("Bodies without end at many servers take no more memory than the budget, and a small response still arrives")
{
    constexpr std::size_t budget = 8 * 1024 * 1024;
    // One read of each call may come before the budget is enforced.
    constexpr std::size_t tolerance = 1024 * 1024;
    constexpr int endlessCalls = 12;
    const std::vector<Script> bodies {
        { "a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'), TryResult::Broken },
        { "chunks without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(4096, 'x') + "\r\n", TryResult::Broken },
        { "a stated length within the limit", "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", std::string(4096, 'x'), TryResult::TooLarge },
    };
    for (const Script& body : bodies) {
        CAPTURE(body.name);
        boost::asio::io_context io;
        const auto memory = std::make_shared<MemoryBudget>(budget);
        HttpClient client(io, memory);
        std::vector<std::unique_ptr<EndlessServer>> servers;
        int ended = 0;
        const auto start = [&](const Endpoint& address, const CallHandler& handler) {
            HttpCall call;
            call.address = address;
            call.deadline = steadyNow() + CALL_TIME_LIMIT;
            call.maxResponse = 64 * 1024 * 1024;
            call.allowCloseDelimited = true;
            client.start(std::move(call), handler);
        };
        for (int i = 0; i < endlessCalls; ++i) {
            servers.push_back(std::make_unique<EndlessServer>(body));
            start(servers.back()->address(), [&](const HttpResult& result) {
                CHECK(std::string(toString(result.result)) == toString(body.result));
                ++ended;
            });
        }
        EndlessServer sound({ "a small response", COMPLETE, "", TryResult::Answered });
        bool served = false;
        std::size_t most = 0;
        const Time begun = steadyNow();
        for (bool asked = false; (ended < endlessCalls - 1 || !served) && steadyNow() < begun + CALL_TIME_LIMIT;) {
            io.restart();
            io.run_one_for(10ms);
            most = std::max(most, memory->used());
            if (ended && !asked) {
                asked = true;
                start(sound.address(), [&](const HttpResult& result) { served = result.response && result.response->body == "ok"; });
            }
        }
        CHECK(served);
        // The last call alone may stay below the budget until it is at its own limit.
        CHECK(ended >= endlessCalls - 1);
        CHECK(most <= budget + tolerance);
        CHECK(client.callsOverMemory() >= endlessCalls - 2);
    }
}

TEST_CASE("A response counts against the memory budget until it is destroyed")
{
    EndlessServer server({ "a response", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'), "", TryResult::Answered });
    boost::asio::io_context io;
    const auto memory = std::make_shared<MemoryBudget>();
    ResponsePtr response;
    {
        HttpClient client(io, memory);
        HttpCall call;
        call.address = server.address();
        call.deadline = steadyNow() + CALL_TIME_LIMIT;
        client.start(std::move(call), [&](const HttpResult& result) { response = result.response; });
        io.run();
    }
    REQUIRE(response);
    CHECK(memory->used() == 1000);
    response.reset();
    CHECK(memory->used() == 0);
}
