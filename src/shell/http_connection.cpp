#include "http_connection.h"

#include "http_client.h"
#include "sent_bytes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    // Applies while the head is read; `readBody` then sets the limit of the request.
    constexpr std::size_t INITIAL_BODY_LIMIT = 64 * 1024 * 1024;
    // Limits chunk headers and trailers, which are buffered whole until their end, beside the head.
    constexpr std::size_t MAX_BUFFERED_BYTES = 64 * 1024;
    constexpr std::string_view CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

void HttpServer::Connection::start()
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

void HttpServer::Connection::closeIfIdle()
{
    if (m_phase == Phase::Idle)
        closeNow();
}

void HttpServer::Connection::restartIdleTimer()
{
    if (m_phase == Phase::Idle)
        startIdleTimer();
}

void HttpServer::Connection::readBody(std::size_t limit)
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

void HttpServer::Connection::respond(const Response& response)
{
    if (m_phase != Phase::Processing)
        return;
    m_phase = Phase::Responding;
    const bool bodyRead = m_parser && m_parser->is_done();
    const bool keepAlive = bodyRead && m_keepAlive && !m_closeAfterResponse && !m_listener->draining;
    m_response = serializeResponse(response, m_head.method != "HEAD", keepAlive);
    m_responseMemory.set(m_response.size());
    m_responseBytesWritten = 0;
    m_responseBytesTaken = 0;
    m_progress.start(steadyNow());
    startTimer(m_listener->limits.responseStallTimeout, &Connection::checkResponseStall);
    const auto progress = [self = shared_from_this()](ErrorCode error, std::size_t written) {
        self->m_responseBytesWritten = written;
        return asio::transfer_all()(error, written);
    };
    asio::async_write(m_socket, asio::buffer(m_response), progress, [self = shared_from_this(), keepAlive](ErrorCode error, std::size_t) {
        self->m_response = {};
        self->m_responseMemory.set(0);
        if (error || !keepAlive)
            return self->lingerAndClose();
        self->awaitRequest();
    });
}

void HttpServer::Connection::checkResponseStall()
{
    if (m_phase != Phase::Responding)
        return;
    const std::size_t taken = acknowledgedBytes(m_socket.native_handle(), m_responseBytesWritten);
    if (taken == m_responseBytesTaken)
        return resetNow();
    m_responseBytesTaken = taken;
    startTimer(m_listener->limits.responseStallTimeout, &Connection::checkResponseStall);
}

std::optional<MemoryStake> HttpServer::Connection::memoryStake(Time now)
{
    if (m_phase == Phase::Responding) {
        if (m_responseMemory.bytes() > SMALL_BODY_BYTES)
            m_progress.advance(acknowledgedBytes(m_socket.native_handle(), m_responseBytesWritten), now);
        return MemoryStake { Transfer::ToCaller, m_responseMemory.bytes(), m_progress.slowSince(), m_progress.stalledSince() };
    }
    if (m_phase == Phase::Processing && m_receivingBody)
        return MemoryStake { Transfer::FromCaller, m_bodyMemory.bytes(), m_progress.slowSince(), m_progress.stalledSince(), m_progress.startedAt() };
    return std::nullopt;
}

void HttpServer::Connection::endTransfer()
{
    if (m_phase == Phase::Responding)
        return resetNow();
    rejectBody(ErrorKind::MemoryShort);
}

void HttpServer::Connection::awaitRequest()
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

void HttpServer::Connection::receiveHead()
{
    m_phase = Phase::Receiving;
    m_watchingDisconnect = false;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_listener->limits.maxHeadBytes));
    m_parser->body_limit(INITIAL_BODY_LIMIT);
    m_buffer.max_size(std::max(m_buffer.size(), m_listener->limits.maxHeadBytes + MAX_BUFFERED_BYTES));
    startTimer(m_listener->limits.headTimeout, &Connection::onHeadTimeout);
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t) { self->onHeadRead(error); });
}

void HttpServer::Connection::onHeadRead(ErrorCode error)
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

void HttpServer::Connection::rejectHead(ErrorKind error)
{
    m_phase = Phase::Processing;
    m_closeAfterResponse = true;
    respond(m_listener->handler.errorResponse(error));
}

void HttpServer::Connection::rejectBody(ErrorKind error)
{
    m_closeAfterResponse = true;
    dropBody();
    m_listener->handler.onReceiveFailed(shared_from_this(), error);
}

void HttpServer::Connection::sendContinue()
{
    asio::async_write(m_socket, asio::buffer(CONTINUE_RESPONSE), [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (!error)
            self->receiveBody();
    });
}

void HttpServer::Connection::receiveBody()
{
    startTimer(m_listener->limits.receiveTimeout, &Connection::onBodyTimeout);
    m_receivingBody = true;
    m_progress.start(steadyNow());
    // Lets each read consume all that the buffer holds, as `http::async_read` does.
    m_parser->eager(true);
    if (!m_parser->is_done())
        return readSomeBody();
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onBodyRead({}); });
}

void HttpServer::Connection::readSomeBody()
{
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t) { self->onSomeBodyRead(error); });
}

void HttpServer::Connection::onSomeBodyRead(ErrorCode error)
{
    if (m_phase != Phase::Processing || m_closeAfterResponse)
        return dropBody();
    if (error || m_parser->is_done())
        return onBodyRead(error);
    const std::size_t size = m_parser->get().body().size();
    m_bodyMemory.set(size);
    m_progress.advance(size, steadyNow());
    if (m_listener->memory->isExceeded())
        m_listener->memory->enforce(steadyNow());
    if (m_phase == Phase::Processing && !m_closeAfterResponse)
        return readSomeBody();
    dropBody();
}

// Frees the part of a body that was received. A read in progress may still append one block, which is dropped when it ends.
void HttpServer::Connection::dropBody()
{
    m_receivingBody = false;
    m_bodyMemory.set(0);
    if (m_parser)
        std::string().swap(m_parser->get().body());
}

void HttpServer::Connection::onBodyRead(ErrorCode error)
{
    if (m_phase != Phase::Processing || m_closeAfterResponse)
        return dropBody();
    m_receivingBody = false;
    stopTimer();
    if (isConnectionError(error)) {
        dropBody();
        m_closeAfterResponse = true;
        return m_listener->handler.onDisconnect(shared_from_this());
    }
    if (error)
        return rejectBody(errorKindOf(error));
    watchForDisconnect();
    m_bodyMemory.set(0);
    m_listener->handler.onBody(shared_from_this(), SharedBody(std::move(m_parser->get().body()), m_listener->memory));
}

// Detects a client that disconnects while its request is in progress.
void HttpServer::Connection::watchForDisconnect()
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

void HttpServer::Connection::startTimer(Millis time, void (Connection::*onExpired)())
{
    m_timer.expires_after(time);
    // The handler of an expired timer cannot be cancelled once it is queued. The generation tells that it is outdated.
    m_timer.async_wait([weak = weak_from_this(), onExpired, generation = ++m_timerGeneration](ErrorCode error) {
        const auto self = weak.lock();
        if (!error && self && self->m_timerGeneration == generation)
            ((*self).*onExpired)();
    });
}

void HttpServer::Connection::stopTimer()
{
    ++m_timerGeneration;
    m_timer.cancel();
}

// Discards input until the client closes or 1 s has passed, then closes the connection: if input is left unread
// on close, the kernel resets the connection and the client may lose the response.
void HttpServer::Connection::lingerAndClose()
{
    ErrorCode ignored;
    m_phase = Phase::Closed;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    startTimer(Millis { 1000 }, &Connection::closeNow);
    discard();
}

void HttpServer::Connection::discard()
{
    m_socket.async_receive(asio::buffer(m_discarded), [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (error)
            return self->closeNow();
        self->discard();
    });
}

// Closes with a reset, since after a normal close the kernel would keep the rest of the response for a client that does not read.
void HttpServer::Connection::resetNow()
{
    ErrorCode ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_responseMemory.set(0);
    closeNow();
}

void HttpServer::Connection::closeNow()
{
    m_phase = Phase::Closed;
    ErrorCode ignored;
    stopTimer();
    m_socket.close(ignored);
}

} // namespace cornelwind
