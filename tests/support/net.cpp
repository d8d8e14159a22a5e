#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <thread>
#include <utility>

namespace cornelwind::test {
namespace {

    sockaddr_in makeSocketAddress(const std::string& host, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }

    bool receiveInto(const Socket& socket, std::string& destination)
    {
        char buffer[16384];
        const ssize_t count = ::recv(socket.fd(), buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        destination.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    void parseHead(const std::string& head, Message& message)
    {
        std::size_t position = head.find("\r\n");
        message.startLine = head.substr(0, position);
        message.head = head;
        while (position != std::string::npos && position + 2 < head.size()) {
            const std::size_t start = position + 2;
            position = head.find("\r\n", start);
            const std::string line = head.substr(start, position - start);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }

} // namespace

Socket& Socket::operator=(Socket&& other) noexcept
{
    if (this != &other) {
        close();
        m_fd = other.release();
    }
    return *this;
}

void setTimeLimit(const Socket& socket, int timeLimitMs)
{
    const timeval limit { timeLimitMs / 1000, (timeLimitMs % 1000) * 1000 };
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

int Socket::release()
{
    return std::exchange(m_fd, -1);
}

void Socket::close()
{
    if (m_fd >= 0)
        ::close(release());
}

void Socket::shutdown() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

int Message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::string Message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

Socket listenOn(const std::string& host, std::uint16_t port, int backlog)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int enabled = 1;
    setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in address = makeSocketAddress(host, port);
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) || ::listen(socket.fd(), backlog))
        return Socket {};
    return socket;
}

std::uint16_t portOf(const Socket& socket)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

Socket beginConnect(const std::string& host, std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in address = makeSocketAddress(host, port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) && errno != EINPROGRESS)
        return Socket {};
    return socket;
}

Socket connectTo(const std::string& host, std::uint16_t port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = makeSocketAddress(host, port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address))
        return Socket {};
    const int enabled = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return socket;
}

int acceptOn(const Socket& listener)
{
    return ::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
}

bool writeAll(const Socket& socket, const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::send(socket.fd(), text.data() + written, text.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<Message> readMessage(const Socket& socket, std::string& buffered)
{
    std::size_t end = 0;
    while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveInto(socket, buffered))
            return std::nullopt;
    }
    Message message;
    parseHead(buffered.substr(0, end), message);
    buffered.erase(0, end + 4);
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    while (buffered.size() < length) {
        if (!receiveInto(socket, buffered))
            return std::nullopt;
    }
    message.body = buffered.substr(0, length);
    buffered.erase(0, length);
    return message;
}

void serveForever(const Socket& listener, std::function<void(Socket)> serve)
{
    for (;;) {
        const int fd = acceptOn(listener);
        if (fd < 0)
            continue;
        const int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        std::thread([serve, fd] { serve(Socket(fd)); }).detach();
    }
}

std::optional<Message> call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeLimitMs)
{
    const auto [host, port] = splitAddress(address);
    const Socket socket = connectTo(host, port);
    if (!socket.valid())
        return std::nullopt;
    setTimeLimit(socket, timeLimitMs);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    std::string buffered;
    if (!writeAll(socket, text + "\r\n" + body))
        return std::nullopt;
    return readMessage(socket, buffered);
}

std::string exchangeRaw(const std::string& address, const std::string& bytes, int timeLimitMs)
{
    const auto [host, port] = splitAddress(address);
    const Socket socket = connectTo(host, port);
    setTimeLimit(socket, timeLimitMs);
    writeAll(socket, bytes);
    std::string received;
    while (receiveInto(socket, received)) { }
    return received;
}

std::pair<std::string, std::uint16_t> splitAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return { address.substr(0, colon), static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)) };
}

} // namespace cornelwind::test
