#include "connection_pool.h"

#include "http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    using ErrorCode = boost::system::error_code;

    constexpr std::size_t MAX_IDLE_PER_ADDRESS = 8;
    constexpr Duration MAX_IDLE_TIME = std::chrono::seconds(20);
    // The client drops an idle connection this long before the server's stated timeout, so that it does not send
    // on a connection that the server is closing.
    constexpr Duration IDLE_TIMEOUT_MARGIN = std::chrono::seconds(1);

    // Returns whether a pooled connection can carry a request. Unexpected data or a close by the server rule it out.
    bool isOpenAndIdle(ConnectionPool::Socket& socket)
    {
        std::array<char, 1> byte {};
        ErrorCode error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

} // namespace

std::optional<ConnectionPool::Socket> ConnectionPool::acquire(const Endpoint& address)
{
    auto& idle = m_idle[toString(address)];
    while (!idle.empty()) {
        const IdleConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        ErrorCode ignored;
        connection->socket.cancel(ignored);
        if (steadyNow() < connection->until && isOpenAndIdle(connection->socket))
            return std::move(connection->socket);
    }
    return std::nullopt;
}

void ConnectionPool::release(const Endpoint& address, Socket socket, Duration idleTime)
{
    auto& idle = m_idle[toString(address)];
    if (idle.size() >= MAX_IDLE_PER_ADDRESS)
        return;
    const auto connection = std::make_shared<IdleConnection>(IdleConnection { std::move(socket), steadyNow() + idleTime });
    idle.push_back(connection);
    closeWhenReadable(connection);
}

void ConnectionPool::closeExpired()
{
    for (auto& [address, idle] : m_idle)
        std::erase_if(idle, [](const IdleConnectionPtr& connection) { return steadyNow() >= connection->until || !connection->socket.is_open(); });
    std::erase_if(m_idle, [](const auto& row) { return row.second.empty(); });
}

void ConnectionPool::closeWhenReadable(const IdleConnectionPtr& connection)
{
    connection->socket.async_wait(Socket::wait_read, [weak = std::weak_ptr(connection)](ErrorCode error) {
        const IdleConnectionPtr readable = weak.lock();
        ErrorCode ignored;
        if (!error && readable)
            readable->socket.close(ignored);
    });
}

Duration idleTimeOf(std::string_view keepAlive)
{
    const auto position = keepAlive.find("timeout=");
    std::uint32_t seconds = 0;
    if (position == keepAlive.npos)
        return MAX_IDLE_TIME;
    const char* begin = keepAlive.data() + position + std::string_view("timeout=").size();
    if (std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds).ec != std::errc {})
        return MAX_IDLE_TIME;
    return std::clamp<Duration>(std::chrono::seconds(seconds) - IDLE_TIMEOUT_MARGIN, Duration {}, MAX_IDLE_TIME);
}

} // namespace cornelwind
