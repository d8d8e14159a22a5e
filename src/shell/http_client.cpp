#include "http_client.h"

#include "http_client_exchange.h"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/beast/core/string.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    using asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    // Keep-alive detects a vanished remote host after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S = 3 s.
    constexpr int KEEPALIVE_IDLE_S = 1;
    constexpr int KEEPALIVE_INTERVAL_S = 1;
    constexpr int KEEPALIVE_PROBES = 2;

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
