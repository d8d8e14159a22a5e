#include "http_server.h"

#include "http_client.h"
#include "http_message.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <unordered_set>
#include <utility>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    // Applies while the head is read; `readBody` then sets the limit of the request.
    constexpr std::size_t INITIAL_BODY_LIMIT = 64 * 1024 * 1024;
    constexpr std::string_view CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

const std::string* HttpHead::find(const char* name) const
{
    for (const Header& header : headers) {
        if (beast::iequals(header.name, name))
            return &header.value;
    }
    return nullptr;
}

/// Accepts connections and tracks the open ones. The server and each connection share its ownership.
class HttpServer::Listener : public std::enable_shared_from_this<Listener> {
public:
    Listener(asio::io_context& io, HttpHandler& handler, HttpLimits limits)
        : handler(handler)
        , limits(limits)
        , m_io(io)
        , m_acceptor(io)
    {
    }

    std::optional<Endpoint> listen(const Endpoint& address, Reason& reason)
    {
        ErrorCode error;
        const auto host = asio::ip::make_address(address.host, error);
        const tcp::endpoint endpoint(host, address.port);
        if (!error)
            m_acceptor.open(endpoint.protocol(), error);
        if (!error)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
        if (!error)
            m_acceptor.bind(endpoint, error);
        if (!error)
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        if (error) {
            reason = { ErrorKind::ListenFailed, 0, toString(address) + ": " + error.message() };
            return std::nullopt;
        }
        accept();
        return Endpoint { address.host, m_acceptor.local_endpoint().port() };
    }

    void accept();
    void closeIdle();
    void setLimits(const CallerLimits& changed);
    void close()
    {
        ErrorCode ignored;
        m_acceptor.close(ignored);
    }

    HttpHandler& handler;
    HttpLimits limits;
    std::unordered_set<Connection*> connections;
    bool draining = false;

private:
    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
};

/// A client connection, whose requests are handled one after the other.
class HttpServer::Connection final : public HttpExchange, public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, std::shared_ptr<Listener> listener)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_listener(std::move(listener))
    {
        m_listener->connections.insert(this);
    }

    ~Connection() override { m_listener->connections.erase(this); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void start()
    {
        ErrorCode ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        enableKeepAlive(m_socket);
        if (m_listener->connections.size() > m_listener->limits.connections) {
            m_phase = Phase::Processing;
            m_closeAfterResponse = true;
            return respond(m_listener->handler.errorResponse(ErrorKind::TooManyConnections));
        }
        awaitRequest();
    }

    void closeIfIdle()
    {
        if (m_phase == Phase::Idle)
            closeNow();
    }

    /// Restarts the idle timer after its limit changed, so that the connection does not close sooner than
    /// a caller that knows the new limit expects.
    void restartIdleTimer()
    {
        if (m_phase == Phase::Idle)
            startIdleTimer();
    }

    const HttpHead& head() const override { return m_head; }

    void readBody(std::size_t limit) override
    {
        const auto length = m_parser->content_length();
        if (length && *length > limit)
            return rejectBody(ErrorKind::BodyTooLarge);
        m_parser->body_limit(limit);
        const auto& request = m_parser->get();
        if (beast::iequals(request[http::field::expect], "100-continue") && !m_parser->is_done())
            return sendContinue();
        receiveBody();
    }

    void respond(const Response& response) override
    {
        if (m_phase != Phase::Processing)
            return;
        m_phase = Phase::Responding;
        const bool bodyRead = m_parser && m_parser->is_done();
        const bool keepAlive = bodyRead && m_keepAlive && !m_closeAfterResponse && !m_listener->draining;
        m_response = serializeResponse(response, m_head.method != "HEAD", keepAlive);
        asio::async_write(m_socket, asio::buffer(m_response), [self = shared_from_this(), keepAlive](ErrorCode error, std::size_t) {
            if (error || !keepAlive)
                return self->lingerAndClose();
            self->awaitRequest();
        });
    }

private:
    enum class Phase {
        Idle,
        Receiving,
        Processing,
        Responding,
        Closed,
    };

    void awaitRequest()
    {
        m_phase = Phase::Idle;
        if (m_buffer.size())
            return receiveHead();
        startIdleTimer();
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (!error && self->m_phase == Phase::Idle)
                self->receiveHead();
        });
    }

    void startIdleTimer() { startTimer(m_listener->limits.idleTimeout, &Connection::closeNow); }

    void receiveHead()
    {
        m_phase = Phase::Receiving;
        m_watchingDisconnect = false;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_listener->limits.maxHeadBytes));
        m_parser->body_limit(INITIAL_BODY_LIMIT);
        startTimer(m_listener->limits.headTimeout, &Connection::onHeadTimeout);
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t) { self->onHeadRead(error); });
    }

    void onHeadRead(ErrorCode error)
    {
        if (m_phase != Phase::Receiving)
            return;
        if (error == http::error::end_of_stream || isConnectionError(error))
            return closeNow();
        if (error)
            return rejectHead(errorKindOf(error));
        const auto& request = m_parser->get();
        if (isAmbiguous(request))
            return rejectHead(ErrorKind::MalformedRequest);
        m_keepAlive = request.keep_alive();
        m_head = {};
        m_head.method = std::string(request.method_string());
        m_head.target = std::string(request.target());
        for (const auto& field : request)
            m_head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        m_phase = Phase::Processing;
        stopTimer();
        m_listener->handler.onHead(shared_from_this());
    }

    void onHeadTimeout() { rejectHead(ErrorKind::SlowSender); }

    void rejectHead(ErrorKind error)
    {
        m_phase = Phase::Processing;
        m_closeAfterResponse = true;
        respond(m_listener->handler.errorResponse(error));
    }

    void rejectBody(ErrorKind error)
    {
        m_closeAfterResponse = true;
        m_listener->handler.onReceiveFailed(shared_from_this(), error);
    }

    void sendContinue()
    {
        asio::async_write(m_socket, asio::buffer(CONTINUE_RESPONSE), [self = shared_from_this()](ErrorCode error, std::size_t) {
            if (!error)
                self->receiveBody();
        });
    }

    void receiveBody()
    {
        startTimer(m_listener->limits.receiveTimeout, &Connection::onBodyTimeout);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t) { self->onBodyRead(error); });
    }

    void onBodyTimeout() { rejectBody(ErrorKind::SlowSender); }

    void onBodyRead(ErrorCode error)
    {
        if (m_phase != Phase::Processing || m_closeAfterResponse)
            return;
        stopTimer();
        if (isConnectionError(error)) {
            m_closeAfterResponse = true;
            return m_listener->handler.onDisconnect(shared_from_this());
        }
        if (error)
            return rejectBody(errorKindOf(error));
        watchForDisconnect();
        m_listener->handler.onBody(shared_from_this(), std::move(m_parser->get().body()));
    }

    // Detects a client that disconnects while its request is in progress.
    void watchForDisconnect()
    {
        if (m_buffer.size())
            return;
        m_watchingDisconnect = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (error || !self->m_watchingDisconnect || self->m_phase != Phase::Processing)
                return;
            std::array<char, 1> byte {};
            ErrorCode peekError;
            self->m_socket.non_blocking(true, peekError);
            self->m_socket.receive(asio::buffer(byte), tcp::socket::message_peek, peekError);
            if (!peekError || peekError == asio::error::would_block)
                return;
            self->m_listener->handler.onDisconnect(self);
            self->closeNow();
        });
    }

    void startTimer(Millis time, void (Connection::*onExpired)())
    {
        m_timer.expires_after(time);
        // The handler of an expired timer cannot be cancelled once it is queued. The generation tells that it is outdated.
        m_timer.async_wait([weak = weak_from_this(), onExpired, generation = ++m_timerGeneration](ErrorCode error) {
            const auto self = weak.lock();
            if (!error && self && self->m_timerGeneration == generation)
                ((*self).*onExpired)();
        });
    }

    void stopTimer()
    {
        ++m_timerGeneration;
        m_timer.cancel();
    }

    // Discards input until the client closes or 1 s has passed, then closes the connection: if input is left unread
    // on close, the kernel resets the connection and the client may lose the response.
    void lingerAndClose()
    {
        ErrorCode ignored;
        m_phase = Phase::Closed;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(Millis { 1000 }, &Connection::closeNow);
        discard();
    }

    void discard()
    {
        m_socket.async_receive(asio::buffer(m_discarded), [self = shared_from_this()](ErrorCode error, std::size_t) {
            if (error)
                return self->closeNow();
            self->discard();
        });
    }

    void closeNow()
    {
        m_phase = Phase::Closed;
        ErrorCode ignored;
        stopTimer();
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<Listener> m_listener;
    beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    HttpHead m_head;
    std::string m_response;
    std::array<char, 4096> m_discarded {};
    Phase m_phase = Phase::Idle;
    std::uint64_t m_timerGeneration = 0;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    bool m_watchingDisconnect = false;
};

void HttpServer::Listener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!error)
            std::make_shared<Connection>(std::move(socket), self)->start();
        self->accept();
    });
}

void HttpServer::Listener::closeIdle()
{
    const std::vector<Connection*> all(connections.begin(), connections.end());
    for (Connection* connection : all)
        connection->closeIfIdle();
}

void HttpServer::Listener::setLimits(const CallerLimits& changed)
{
    limits.maxHeadBytes = static_cast<std::size_t>(changed.maxHeadBytes.value());
    limits.headTimeout = changed.headTimeout;
    limits.idleTimeout = changed.idleTimeout;
    for (Connection* connection : connections)
        connection->restartIdleTimer();
}

HttpServer::HttpServer(asio::io_context& io, HttpHandler& handler, HttpLimits limits)
    : m_listener(std::make_shared<Listener>(io, handler, limits))
{
}

HttpServer::~HttpServer()
{
    close();
}

std::optional<Endpoint> HttpServer::listen(const Endpoint& address, Reason& reason)
{
    return m_listener->listen(address, reason);
}

void HttpServer::setLimits(const CallerLimits& limits)
{
    m_listener->setLimits(limits);
}

void HttpServer::drain()
{
    m_listener->draining = true;
}

void HttpServer::closeIdle()
{
    m_listener->closeIdle();
}

void HttpServer::close()
{
    m_listener->close();
}

std::size_t HttpServer::connections() const
{
    return m_listener->connections.size();
}

} // namespace cornelwind
