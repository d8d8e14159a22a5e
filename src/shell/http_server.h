#pragma once

#include "cornelwind/caller_limits.h"
#include "cornelwind/error.h"
#include "cornelwind/response.h"
#include "cornelwind/types.h"
#include "memory_budget.h"
#include "shared_body.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

/// Request line and headers of a request.
struct HttpHead {
    std::string method;
    std::string target;
    std::vector<Header> headers;

    /// @param name header name, in any case
    /// @return the value of the first header of that name, or null
    const std::string* find(const char* name) const;
};

/// A request on a connection, from its head to its response.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpHead& head() const = 0;
    /// Reads the body. The server then calls onBody, onReceiveFailed or onDisconnect of the handler.
    ///
    /// It calls none of them if the client expects `100 Continue` and that cannot be sent.
    ///
    /// @param limit maximum size of the body, in bytes
    virtual void readBody(std::size_t limit) = 0;
    /// Sends the response. Only the first call has an effect.
    virtual void respond(const Response& response) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Handles the requests of an HttpServer.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /// The head was read. The handler calls readBody or respond, now or later.
    virtual void onHead(const HttpExchangePtr& exchange) = 0;
    /// The body was read after readBody.
    virtual void onBody(const HttpExchangePtr& exchange, SharedBody body) = 0;
    /// The body could not be read. A response may still be sent.
    virtual void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) = 0;
    /// The client closed its connection before the response.
    virtual void onDisconnect(const HttpExchangePtr& exchange) = 0;
    /// @return the response to a connection beyond `HttpLimits::connections` or to a request whose head could not be read
    virtual Response errorResponse(ErrorKind error) = 0;
};

/// Limits of an HttpServer.
struct HttpLimits {
    /// Maximum number of open connections; further ones get an error response and are closed.
    std::uint32_t connections = 1000;
    /// Maximum size of the request line and the headers together, in bytes.
    std::size_t maxHeadBytes = 16 * 1024;
    /// Time limit from the first byte of a request to the end of its headers.
    Millis headTimeout { 5000 };
    /// Time limit for reading the whole body.
    Millis receiveTimeout { 5000 };
    /// Maximum time that a connection may stay open without a request.
    Millis idleTimeout { 60000 };
    /// A client that takes no byte of its response in a whole period of this length is disconnected, because the number of connections
    /// is limited. The default is that of `idleTimeout`, in which a client that reads at all takes some bytes.
    Millis responseStallTimeout { 60000 };
};

/// Asynchronous HTTP/1.1 server. Requests on one connection are handled one after the other.
class HttpServer {
public:
    /// @param io runs the I/O; must outlive the server
    /// @param handler receives the requests; must outlive the server
    /// @param limits initial limits; `setLimits` replaces some of them
    /// @param memory counts the bodies that are being received and the responses that are being written, and ends slow transfers
    HttpServer(boost::asio::io_context& io, HttpHandler& handler, HttpLimits limits, MemoryBudgetPtr memory);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Opens the listener and starts to accept connections.
    ///
    /// @param address address to bind; port 0 selects a free port
    /// @param reason set to ErrorKind::ListenFailed on failure
    /// @return the bound address, or nothing on failure
    std::optional<Endpoint> listen(const Endpoint& address, Reason& reason);

    /// Replaces the limits on request heads and idle time. They also apply to open connections.
    ///
    /// The idle time of open connections starts again, so that none closes before the new idle time has passed.
    void setLimits(const CallerLimits& limits);
    /// Sets whether each connection is closed after its next response, so that clients connect to another entry instance.
    void setDraining(bool draining);
    /// Closes the connections without a request in progress.
    void closeIdle();
    /// Stops accepting connections. Open ones continue.
    void close();

    /// @return number of open connections
    std::size_t connections() const;

private:
    class Listener;
    class Connection;

    std::shared_ptr<Listener> m_listener;
};

} // namespace cornelwind
