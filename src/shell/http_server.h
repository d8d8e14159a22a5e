#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/caller_limits.h"
#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

struct HttpHead {
    std::string method;
    std::string target;
    std::vector<Header> headers;

    /// @param name compared without regard to case
    /// @return the first value, or null
    const std::string* find(const char* name) const;
};

/// One request on a connection, from its head to the answer.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpHead& head() const = 0;
    /// Reads the body; the handler's onBody or onReceiveFailed follows.
    virtual void readBody(std::size_t limit) = 0;
    /// Sends the answer. Only the first call has an effect.
    virtual void respond(const Answer& answer) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Receives the requests of a listener.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual void onHead(const HttpExchangePtr& exchange) = 0;
    virtual void onBody(const HttpExchangePtr& exchange, std::string body) = 0;
    /// The body could not be read; an answer may still be sent.
    virtual void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) = 0;
    /// The client closed its connection before the answer.
    virtual void onGone(const HttpExchangePtr& exchange) = 0;
    /// @return the answer to a client whose request head could not be read
    virtual Answer refusal(ErrorKind error) = 0;
};

struct HttpLimits {
    std::uint32_t connections = 1000;
    std::size_t head = 16 * 1024;
    /// Longest time from the first byte of a request to the end of its headers.
    Millis headTime { 5000 };
    /// Longest wait for more of a body; see `CallerLimits` for the rest.
    Millis receiveTime { 5000 };
    Millis idleTime { 60000 };
};

/// Accepts HTTP/1.1 connections and reads requests from them.
class HttpServer {
public:
    /// @param io, handler must outlive the server
    HttpServer(boost::asio::io_context& io, HttpHandler& handler, HttpLimits limits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// @return the address listened on, or nothing with ListenFailed in `reason`
    std::optional<Endpoint> listen(const Endpoint& address, Reason& reason);

    /// Takes over other limits, also for connections that are open.
    void setLimits(const CallerLimits& limits);
    /// Answers from now on close their connection.
    void drain();
    /// Closes the connections that carry no request.
    void closeIdle();
    /// Accepts no further connection.
    void close();

    std::size_t connections() const;

private:
    class Listener;
    class Session;

    std::shared_ptr<Listener> m_listener;
};

} // namespace cornelwind
