#pragma once

#include "cornelwind/event.h"
#include "cornelwind/response.h"
#include "cornelwind/types.h"
#include "memory_budget.h"
#include "shared_body.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

/// An HTTP/1.1 request to send, with its limits.
struct HttpCall {
    Endpoint address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    SharedBody body;
    /// The call ends at this time at the latest, and nothing is written after it.
    Time deadline;
    /// Header that states the time until `deadline`, in ms, at the moment at which the request is written. Empty for none.
    std::string deadlineHeader;
    /// Maximum size of the response body, in bytes.
    std::size_t maxResponse = 1024 * 1024;
    /// Whether the request may be sent on a pooled idle connection.
    bool reuse = false;
    /// Header that the server may echo, or empty. A response in which it has another value than `echoValue`
    /// belongs to another request and is not returned; a response without it is accepted.
    std::string echoHeader;
    std::string echoValue;
    /// Whether the echoed header stays in the response.
    bool keepEcho = false;
    /// Accepts a response without a stated length, which ends when the server closes the connection after it has received the
    /// whole request.
    bool allowCloseDelimited = false;
    /// Time limit for opening a new connection.
    Millis connectTimeout { 1000 };
};

/// Result of a call. `response` is set only if `result` is TryResult::Answered.
struct HttpResult {
    TryResult result = TryResult::NotSent;
    ResponsePtr response;
    /// Whether the response repeats the `echoValue` of the call.
    bool echoed = false;
};

using CallId = std::uint64_t;
using CallHandler = std::function<void(HttpResult)>;

/// Asynchronous HTTP/1.1 client with a pool of idle connections per address.
///
/// A response is complete only if its length is stated, by Content-Length or chunks,
/// and all of it arrived, unless HttpCall::allowCloseDelimited is set. A head that is
/// malformed, has folded lines or a status that is none ends the call at once, also while
/// a long request is still being written. A connection
/// whose call was cancelled, timed out or failed is closed and never reused. A pooled
/// connection is closed as soon as the server sends or closes; until then it keeps `io` running.
///
/// Response bodies count against a memory budget from their first byte until the response is destroyed. While it is exceeded, the
/// budget ends calls in the order of `chooseTransferToEnd`: one whose server does not read the request as TryResult::Cancelled, one
/// whose response has become largest as if the body had exceeded HttpCall::maxResponse. So servers that send without end or do not
/// read cannot take the memory of the process, and calls with ordinary messages are not affected by them.
class HttpClient {
public:
    /// @param io runs the I/O and the handlers; must outlive the client
    /// @param memory limits the size of all bodies together
    explicit HttpClient(boost::asio::io_context& io, MemoryBudgetPtr memory = std::make_shared<MemoryBudget>());
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Starts a call.
    ///
    /// @param call request and limits
    /// @param handler called exactly once with the result, never from within `start`
    /// @return id for `cancel`
    CallId start(HttpCall call, CallHandler handler);

    /// Ends a call and closes its connection. Has no effect on a call that has ended.
    ///
    /// The result is Cancelled, or NotSent if nothing was written.
    ///
    /// @param id value returned by `start`
    void cancel(CallId id);

    /// @return number of calls whose response was given up because all bodies together were too large
    std::uint64_t callsOverMemory() const;

    /// Closes pooled connections whose idle time has expired. Call it periodically, because the pool runs no timer.
    void closeExpiredConnections();

private:
    struct Shared;
    class Exchange;

    boost::asio::io_context& m_io;
    std::shared_ptr<Shared> m_shared;
    CallId m_lastId = 0;
};

/// Enables TCP keep-alive, so that the kernel detects within 3 s a remote host that vanished without closing the connection.
void enableKeepAlive(boost::asio::ip::tcp::socket& socket);

/// @return the current time of the monotonic clock that `Time` counts
Time steadyNow();

/// @param name header name, in any case
/// @return whether a proxy must not forward the header: it concerns a single connection, or the proxy writes it itself
bool isHopByHop(const std::string& name);

} // namespace cornelwind
