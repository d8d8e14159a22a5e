#include "http_client.h"

#include "connection_pool.h"
#include "cornelwind/http_syntax.h"
#include "log.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = beast::http;
    using asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    constexpr std::size_t MAX_RESPONSE_HEAD_BYTES = 64 * 1024;
    // Limits the bytes received but not yet parsed: a head, or a chunk header or trailer.
    constexpr std::size_t MAX_BUFFERED_BYTES = 2 * MAX_RESPONSE_HEAD_BYTES;
    // Limits chunk headers and trailers to the size of the largest body.
    constexpr std::size_t CHUNKED_SIZE_FACTOR = 2;
    // Interim responses, and late responses to earlier requests, before the expected response.
    constexpr int MAX_SKIPPED_RESPONSES = 8;

    // A body of this size is never the reason why memory is short.
    constexpr std::size_t SMALL_BODY_BYTES = 64 * 1024;

    // Keep-alive detects a vanished remote host after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S = 3 s.
    constexpr int KEEPALIVE_IDLE_S = 1;
    constexpr int KEEPALIVE_INTERVAL_S = 1;
    constexpr int KEEPALIVE_PROBES = 2;

    // Returns the first part of the head that would be read back as something else, or nothing. A line end in a header would
    // end the head there, and the backend server would read the rest as a body or as another request.
    std::optional<std::string> findInvalidPart(const HttpCall& call)
    {
        if (!isToken(call.method))
            return "method " + call.method;
        if (!isRequestTarget(call.target))
            return "target " + call.target;
        for (const Header& header : call.headers) {
            if (!isToken(header.name) || !isFieldValue(header.value))
                return "header " + header.name + ": " + header.value;
        }
        return std::nullopt;
    }

    std::string serializeHead(const HttpCall& call, Time now)
    {
        std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
        if (!call.deadlineHeader.empty())
            head += call.deadlineHeader + ": " + std::to_string(std::chrono::duration_cast<Millis>(call.deadline - now).count()) + "\r\n";
        bool hasHost = false;
        for (const Header& header : call.headers) {
            head += header.name + ": " + header.value + "\r\n";
            hasHost = hasHost || beast::iequals(header.name, "Host");
        }
        if (!hasHost)
            head += "Host: " + toString(call.address) + "\r\n";
        if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD"))
            head += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
        return head + "\r\n";
    }

} // namespace

void enableKeepAlive(tcp::socket& socket)
{
    using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(KEEPALIVE_IDLE_S), ignored);
    socket.set_option(KeepAliveInterval(KEEPALIVE_INTERVAL_S), ignored);
    socket.set_option(KeepAliveCount(KEEPALIVE_PROBES), ignored);
}

Time steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

bool isHopByHop(const std::string& name)
{
    static constexpr std::array names { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };
    return std::any_of(names.begin(), names.end(), [&](const char* known) { return beast::iequals(name, known); });
}

/// The idle connections and the running calls of a client. The client and each call share its ownership.
struct HttpClient::Shared {
    explicit Shared(MemoryBudgetPtr budget)
        : memory(std::move(budget))
    {
    }

    /// Ends the call with the largest body until memory suffices or all bodies are small.
    void enforceMemoryBudget();

    MemoryBudgetPtr memory;
    ConnectionPool idle;
    std::unordered_map<CallId, std::weak_ptr<Exchange>> running;
    std::uint64_t callsOverMemory = 0;
};

/// A running call, from connecting to the complete response.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(asio::io_context& io, std::shared_ptr<Shared> shared, CallId id, HttpCall call, CallHandler handler)
        : m_socket(io)
        , m_timer(io)
        , m_connectTimer(io)
        , m_shared(std::move(shared))
        , m_id(id)
        , m_call(std::move(call))
        , m_handler(std::move(handler))
        , m_memory(m_shared->memory)
    {
    }

    void start()
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

    void cancel() { finish(m_sentAny ? TryResult::Cancelled : TryResult::NotSent); }

    /// @return size of the body received so far, in bytes
    std::size_t bodySize() const { return m_memory.bytes(); }

    /// Ends the call because its body has become too large.
    void endTooLarge() { finish(tooLargeResult()); }

private:
    /// A complete response with the memory that it holds.
    struct HeldResponse {
        Response response;
        MemoryCharge memory;
    };

    void connect()
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

    void write()
    {
        // The deadline is checked right before the write, so that a process that was suspended does not send late.
        const Time now = steadyNow();
        if (m_done || now >= m_call.deadline)
            return finish(TryResult::NotSent);
        m_sentAny = true;
        m_head = serializeHead(m_call, now);
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(m_call.body) };
        asio::async_write(m_socket, buffers, [self = shared_from_this()](ErrorCode error, std::size_t written) {
            self->m_sentAll = !error;
            // A server may respond and close before it has read the whole request.
            if (!error || written)
                return self->readHead();
            self->m_sentAny = false;
            self->finish(TryResult::NotSent);
        });
    }

    void readHead()
    {
        m_parser.emplace();
        m_parser->header_limit(MAX_RESPONSE_HEAD_BYTES);
        m_parser->body_limit(m_call.maxResponse);
        if (m_call.method == "HEAD")
            m_parser->skip(true);
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode error, std::size_t read) {
            if (self->m_done)
                return;
            self->m_receivedAny = self->m_receivedAny || read || self->m_buffer.size();
            if (error)
                return self->finish(self->resultOf(error));
            if (self->m_parser->get().result_int() < 200 && self->m_parser->get().result_int() != 101)
                return self->skipResponse();
            self->beginBody();
        });
    }

    void beginBody()
    {
        // Without a stated length the response ends when the connection closes, so a truncated one may look complete.
        // It is refused unless the call allows it; then it is complete only after an orderly close.
        if (m_parser->need_eof() && !m_call.allowCloseDelimited)
            return finish(TryResult::Broken);
        m_parser->body_limit(m_call.maxResponse);
        m_bodyBytes = 0;
        readBody();
    }

    void readBody()
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
            self->m_shared->enforceMemoryBudget();
            if (self->m_done)
                return;
            if (self->m_bodyBytes > CHUNKED_SIZE_FACTOR * self->m_call.maxResponse + MAX_RESPONSE_HEAD_BYTES)
                return self->finish(TryResult::Broken);
            self->readBody();
        });
    }

    void complete()
    {
        auto held = std::make_shared<HeldResponse>(HeldResponse { {}, std::move(m_memory) });
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

    // Called for a response that echoes another request. On a reused connection it may be a late response to an
    // earlier request, and the expected one follows. On a new connection, or if the connection ends with the
    // response, none can follow and the response counts as broken.
    void skipStaleResponse()
    {
        if (!m_reused || m_parser->need_eof())
            return finish(TryResult::Broken);
        skipResponse();
    }

    // Reads the next response instead, unless so many came already that the server does not stop sending them.
    void skipResponse()
    {
        if (++m_skippedResponses > MAX_SKIPPED_RESPONSES)
            return finish(TryResult::Broken);
        readHead();
    }

    TryResult connectionLostResult() const
    {
        if (m_receivedAny)
            return TryResult::Broken;
        return m_reused ? TryResult::StaleConnection : TryResult::Crashed;
    }

    // Without a stated length, a body beyond the limit may have no end and is no complete response.
    TryResult tooLargeResult() const { return m_parser->content_length() ? TryResult::TooLarge : TryResult::Broken; }

    TryResult resultOf(ErrorCode error) const
    {
        if (error == http::error::body_limit)
            return tooLargeResult();
        if (error == http::error::end_of_stream || error == http::error::partial_message || error.category() == asio::error::get_system_category())
            return connectionLostResult();
        return error == asio::error::eof ? connectionLostResult() : TryResult::Broken;
    }

    void finish(TryResult result)
    {
        if (std::exchange(m_done, true))
            return;
        m_timer.cancel();
        m_connectTimer.cancel();
        m_shared->running.erase(m_id);
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

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_connectTimer;
    std::shared_ptr<Shared> m_shared;
    CallId m_id;
    HttpCall m_call;
    CallHandler m_handler;
    std::string m_head;
    beast::flat_buffer m_buffer { MAX_BUFFERED_BYTES };
    std::optional<http::response_parser<http::string_body>> m_parser;
    ResponsePtr m_response;
    /// Memory of the body while it is received.
    MemoryCharge m_memory;
    Duration m_idleTime {};
    /// Bytes received since the head of the response.
    std::size_t m_bodyBytes = 0;
    int m_skippedResponses = 0;
    bool m_connected = false;
    bool m_sentAll = false;
    bool m_reused = false;
    bool m_sentAny = false;
    bool m_receivedAny = false;
    bool m_reusable = false;
    bool m_echoed = false;
    bool m_done = false;
};

void HttpClient::Shared::enforceMemoryBudget()
{
    while (memory->isExceeded()) {
        std::shared_ptr<Exchange> largest;
        for (const auto& [id, weak] : running) {
            auto exchange = weak.lock();
            if (exchange && (!largest || exchange->bodySize() > largest->bodySize()))
                largest = std::move(exchange);
        }
        if (!largest || largest->bodySize() <= SMALL_BODY_BYTES)
            return;
        ++callsOverMemory;
        largest->endTooLarge();
    }
}

HttpClient::HttpClient(asio::io_context& io, MemoryBudgetPtr memory)
    : m_io(io)
    , m_shared(std::make_shared<Shared>(std::move(memory)))
{
}

HttpClient::~HttpClient() = default;

CallId HttpClient::start(HttpCall call, CallHandler handler)
{
    const CallId id = ++m_lastId;
    auto exchange = std::make_shared<Exchange>(m_io, m_shared, id, std::move(call), std::move(handler));
    m_shared->running.emplace(id, exchange);
    exchange->start();
    return id;
}

void HttpClient::cancel(CallId id)
{
    const auto found = m_shared->running.find(id);
    if (found == m_shared->running.end())
        return;
    if (auto exchange = found->second.lock())
        exchange->cancel();
}

std::uint64_t HttpClient::callsOverMemory() const
{
    return m_shared->callsOverMemory;
}

void HttpClient::closeExpiredConnections()
{
    m_shared->idle.closeExpired();
}

} // namespace cornelwind
