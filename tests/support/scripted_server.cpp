#include "scripted_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace cornelwind::test {

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script))
    , m_listener(listenOn("127.0.0.1", 0))
    , m_thread([this] { accept(); })
{
}

ScriptedServer::~ScriptedServer()
{
    m_listener.shutdown();
    m_thread.join();
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (const Connection& connection : m_connections)
            connection.socket.shutdown();
    }
    for (Connection& connection : m_connections)
        connection.thread.join();
}

void ScriptedServer::accept()
{
    for (int fd = acceptOn(m_listener); fd >= 0; fd = acceptOn(m_listener)) {
        const std::lock_guard lock(m_mutex);
        Connection& connection = m_connections.emplace_back();
        connection.socket = Socket(fd);
        connection.thread = std::thread([this, &connection] {
            m_script(connection.socket);
            const std::lock_guard closing(m_mutex);
            connection.socket.close();
        });
    }
}

void resetConnection(Socket& socket)
{
    const linger immediate { 1, 0 };
    setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    socket.close();
}

std::string readHead(const Socket& socket)
{
    const std::string end = "\r\n\r\n";
    std::string head;
    char byte = 0;
    while (!head.ends_with(end)) {
        if (::recv(socket.fd(), &byte, 1, 0) != 1)
            return {};
        head += byte;
    }
    return head;
}

bool discardBytes(const Socket& socket, std::size_t count)
{
    std::string buffer(64 * 1024, '\0');
    while (count) {
        const ssize_t received = ::recv(socket.fd(), buffer.data(), std::min(count, buffer.size()), 0);
        if (received <= 0)
            return false;
        count -= static_cast<std::size_t>(received);
    }
    return true;
}

} // namespace cornelwind::test
