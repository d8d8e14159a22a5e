#include "http_server.h"

#include "http_connection.h"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace cornelwind {
namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    using asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

} // namespace

const std::string* HttpHead::find(const char* name) const
{
    for (const Header& header : headers) {
        if (beast::iequals(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::optional<Endpoint> HttpServer::Listener::listen(const Endpoint& address, Reason& reason)
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

void HttpServer::Listener::close()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
}

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

HttpServer::HttpServer(asio::io_context& io, HttpHandler& handler, HttpLimits limits, MemoryBudgetPtr memory)
    : m_listener(std::make_shared<Listener>(io, handler, limits, std::move(memory)))
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

void HttpServer::setDraining(bool draining)
{
    m_listener->draining = draining;
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
