#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/event.h"
#include "cornelwind/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

/// One HTTP/1.1 request to a server.
struct HttpCall {
    Endpoint address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
    /// Nothing is written after this time; the call ends then at the latest.
    Time deadline;
    std::size_t maxAnswer = 1024 * 1024;
    /// Whether an idle connection may carry it.
    bool reuse = false;
    /// If set, an answer with another value in this header belongs to another request.
    std::string echoHeader;
    std::string echoValue;
    /// The header stays in the answer.
    bool keepEcho = false;
    /// An answer may end with its connection instead of stating its length.
    bool allowUnsized = false;
    /// Time for a new connection.
    Millis connectTime { 1000 };
};

/// How a call ended. `answer` is set for Answered only.
struct HttpResult {
    TryResult result = TryResult::NotSent;
    AnswerPtr answer;
};

using CallId = std::uint64_t;
using CallHandler = std::function<void(HttpResult)>;

/// Sends requests and keeps idle connections by address.
///
/// An answer counts as whole only if its length is stated and all of it
/// arrived. A connection with an abandoned exchange is closed, never reused.
class HttpClient {
public:
    /// @param io runs the handlers; must outlive the client
    explicit HttpClient(boost::asio::io_context& io);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// @param handler called once, never from within `start`
    CallId start(HttpCall call, CallHandler handler);

    /// Ends a call with Cancelled and closes its connection.
    void cancel(CallId id);

    /// Closes the idle connections to addresses that are no longer used.
    void closeIdle();

private:
    class Pool;
    class Exchange;

    boost::asio::io_context& m_io;
    std::shared_ptr<Pool> m_pool;
    CallId m_last = 0;
};

/// Lets the kernel notice a peer that went away without a word.
void keepAlive(boost::asio::ip::tcp::socket& socket);

/// @return the present time of the clock that `Time` counts
Time steadyNow();

/// @return whether a header concerns one connection only, and is not passed on
bool isHopByHop(const std::string& name);

} // namespace cornelwind
