#include "http_client_exchange.h"

#include "cornelwind/http_syntax.h"
#include "log.h"
#include "request_head.h"
#include "sent_bytes.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include <array>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;

    constexpr std::size_t MAX_RESPONSE_HEAD_BYTES = 64 * 1024;
    // Limits chunk headers and trailers to the size of the largest body.
    constexpr std::size_t CHUNKED_SIZE_FACTOR = 2;
    // Interim responses, and late responses to earlier requests, before the expected response.
    constexpr int MAX_SKIPPED_RESPONSES = 8;

} // namespace

HttpClient::Exchange::Exchange(asio::io_context& io, std::shared_ptr<Shared> shared, CallId id, HttpCall call, CallHandler handler)
    : m_socket(io)
    , m_timer(io)
    , m_connectTimer(io)
    , m_shared(std::move(shared))
    , m_id(id)
    , m_call(std::move(call))
    , m_handler(std::move(handler))
    , m_memory(m_shared->memory, MemoryKind::Response)
{
    m_shared->memory->add(this);
    m_call.body.beginCall();
}

std::optional<MemoryStake> HttpClient::Exchange::memoryStake(Time now)
{
    if (m_done)
        return std::nullopt;
    if (!m_writing)
        return MemoryStake { Transfer::FromServer, m_memory.bytes(), {}, {} };
    if (m_call.body.size() > SMALL_BODY_BYTES)
        m_writeProgress.advance(acknowledgedBytes(m_socket.native_handle(), m_written), now);
    return MemoryStake { Transfer::ToServer, m_call.body.size(), m_writeProgress.slowSince(), m_writeProgress.stalledSince() };
}

// A request that is being written may have been read in part, so the call counts as cancelled and not as not sent.
void HttpClient::Exchange::endTransfer()
{
    if (m_writing) {
        finish(TryResult::Cancelled);
        return m_call.body.stopCounting();
    }
    ++m_shared->callsOverMemory;
    finish(tooLargeResult());
}

void HttpClient::Exchange::start()
{
    if (const auto invalid = findInvalidPart(m_call)) {
        logMessage(LogLevel::Warn, LogComponent::Server, "Request to " + toString(m_call.address) + " not sent; invalid " + escapeForLog(*invalid));
        return finish(TryResult::NotSent);
    }
    m_timer.expires_at(m_call.deadline);
    m_timer.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error)
            self->finish(self->m_sentAny ? TryResult::TimedOut : TryResult::NotSent);
    });
    if (m_call.reuse) {
        if (auto idle = m_shared->idle.acquire(m_call.address)) {
            m_socket = std::move(*idle);
            m_reused = true;
            return write();
        }
    }
    connect();
}

void HttpClient::Exchange::connect()
{
    ErrorCode error;
    const auto host = asio::ip::make_address(m_call.address.host, error);
    if (error)
        return finish(TryResult::NotSent);
    m_connectTimer.expires_after(m_call.connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](ErrorCode waitError) {
        if (!waitError && !self->m_connected)
            self->finish(TryResult::NotSent);
    });
    m_socket.async_connect({ host, m_call.address.port }, [self = shared_from_this()](ErrorCode connectError) {
        if (connectError)
            return self->finish(TryResult::NotSent);
        self->m_connected = true;
        self->m_connectTimer.cancel();
        enableKeepAlive(self->m_socket);
        ErrorCode ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->write();
    });
}

void HttpClient::Exchange::write()
{
    // The deadline is checked right before the write, so that a process that was suspended does not send late.
    const Time now = steadyNow();
    if (m_done || now >= m_call.deadline)
        return finish(TryResult::NotSent);
    m_sentAny = true;
    m_head = serializeHead(m_call, now);
    m_writing = true;
    m_writeProgress.start(now);
    const auto progress = [self = shared_from_this()](ErrorCode error, std::size_t written) {
        self->m_written = written;
        return asio::transfer_all()(error, written);
    };
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(m_call.body.text()) };
    asio::async_write(m_socket, buffers, progress, [self = shared_from_this()](ErrorCode error, std::size_t written) { self->onWritten(error, written); });
    if (m_call.body.size() > SMALL_BODY_BYTES)
        readHeadEarly();
}

void HttpClient::Exchange::readHeadEarly()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
        if (!error && self->m_writing && !self->m_done)
            self->readHead();
    });
}

void HttpClient::Exchange::onWritten(ErrorCode error, std::size_t written)
{
    if (m_done)
        return;
    m_writing = false;
    m_sentAll = !error;
    if (m_headState == HeadState::Complete)
        return beginBody();
    if (m_headState == HeadState::Reading)
        return;
    // A server may respond and close before it has read the whole request.
    if (!error || written)
        return readHead();
    m_sentAny = false;
    finish(TryResult::NotSent);
}

void HttpClient::Exchange::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(MAX_RESPONSE_HEAD_BYTES);
    m_parser->body_limit(m_call.maxResponse);
    if (m_call.method == "HEAD")
        m_parser->skip(true);
    m_headState = HeadState::Reading;
    m_buffer.beginHead();
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t read) {
        if (self->m_done)
            return;
        self->m_receivedAny = self->m_receivedAny || read || self->m_buffer.size();
        const bool hasFoldedLine = self->m_buffer.endHead();
        if (error)
            return self->finish(self->resultOf(error));
        if (hasFoldedLine)
            return self->finish(TryResult::Broken);
        const unsigned status = self->m_parser->get().result_int();
        if (isInterimStatus(status))
            return self->skipResponse();
        // The parser accepts any number as a status. 101 is invalid too, because no request asks for a protocol switch.
        if (!isFinalStatus(status))
            return self->finish(TryResult::Broken);
        self->m_headState = HeadState::Complete;
        if (!self->m_writing)
            self->beginBody();
    });
}

void HttpClient::Exchange::beginBody()
{
    // Without a stated length the response ends when the connection closes, so a truncated one may look complete.
    // It is refused unless the call allows it; then it is complete only after an orderly close. A failed write has already
    // taken the error of a reset from the socket, and reads would report the end of the connection as orderly.
    if (m_parser->need_eof() && (!m_call.allowCloseDelimited || !m_sentAll))
        return finish(TryResult::Broken);
    m_parser->body_limit(m_call.maxResponse);
    m_bodyBytes = 0;
    readBody();
}

void HttpClient::Exchange::readBody()
{
    if (m_parser->is_done())
        return complete();
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t read) {
        if (self->m_done)
            return;
        self->m_bodyBytes += read;
        if (error)
            return self->finish(self->resultOf(error));
        self->m_memory.set(self->m_parser->get().body().size());
        if (self->m_shared->memory->isExceeded())
            self->m_shared->memory->enforce(steadyNow());
        if (self->m_done)
            return;
        if (self->m_bodyBytes > CHUNKED_SIZE_FACTOR * self->m_call.maxResponse + MAX_RESPONSE_HEAD_BYTES)
            return self->finish(TryResult::Broken);
        self->readBody();
    });
}

void HttpClient::Exchange::complete()
{
    auto held = std::make_shared<HeldResponse>(m_shared->memory);
    held->memory.set(m_memory.bytes());
    m_memory.set(0);
    Response& response = held->response;
    auto message = m_parser->release();
    response.status = static_cast<std::uint16_t>(message.result_int());
    for (const auto& field : message) {
        const std::string name(field.name_string());
        if (!m_call.echoHeader.empty() && beast::iequals(name, m_call.echoHeader)) {
            if (field.value() != m_call.echoValue)
                return skipStaleResponse();
            m_echoed = true;
            if (!m_call.keepEcho)
                continue;
        }
        if (!isHopByHop(name))
            response.headers.push_back({ name, std::string(field.value()) });
    }
    response.body = std::move(message.body());
    m_response = ResponsePtr(held, &response);
    m_reusable = m_sentAll && message.keep_alive() && !m_buffer.size();
    m_idleTime = idleTimeOf(message[http::field::keep_alive]);
    finish(TryResult::Answered);
}

void HttpClient::Exchange::skipStaleResponse()
{
    if (!m_reused || m_parser->need_eof())
        return finish(TryResult::Broken);
    skipResponse();
}

void HttpClient::Exchange::skipResponse()
{
    if (++m_skippedResponses > MAX_SKIPPED_RESPONSES)
        return finish(TryResult::Broken);
    readHead();
}

TryResult HttpClient::Exchange::connectionLostResult() const
{
    if (m_receivedAny)
        return TryResult::Broken;
    return m_reused ? TryResult::StaleConnection : TryResult::Crashed;
}

TryResult HttpClient::Exchange::resultOf(ErrorCode error) const
{
    if (error == http::error::body_limit)
        return tooLargeResult();
    if (error == http::error::end_of_stream || error == http::error::partial_message || error.category() == asio::error::get_system_category())
        return connectionLostResult();
    return error == asio::error::eof ? connectionLostResult() : TryResult::Broken;
}

void HttpClient::Exchange::finish(TryResult result)
{
    if (std::exchange(m_done, true))
        return;
    m_timer.cancel();
    m_connectTimer.cancel();
    m_shared->running.erase(m_id);
    m_shared->memory->remove(this);
    m_call.body.endCall();
    m_memory.set(0);
    if (m_reusable)
        m_shared->idle.release(m_call.address, std::move(m_socket), m_idleTime);
    else {
        ErrorCode ignored;
        m_socket.close(ignored);
    }
    asio::post(m_timer.get_executor(), [self = shared_from_this(), result] {
        const CallHandler handler = std::exchange(self->m_handler, nullptr);
        handler({ result, self->m_response, self->m_echoed });
    });
}

} // namespace cornelwind
