#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cornelwind::test {

/// An owned socket descriptor.
class Socket {
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(Socket&& other) noexcept
        : m_fd(other.release())
    {
    }
    Socket& operator=(Socket&& other) noexcept;

    /// @return the descriptor, or -1
    int fd() const { return m_fd; }
    bool valid() const { return m_fd >= 0; }
    /// Passes ownership to the caller.
    ///
    /// @return the descriptor, which the caller has to close
    int release();
    void close();
    /// Shuts down both directions, so that a read that blocks in another thread returns.
    void shutdown() const;

private:
    int m_fd = -1;
};

/// An HTTP/1.1 request or response, parsed without validation: a header line without a colon is skipped.
struct Message {
    std::string startLine;
    /// Start line and headers as received.
    std::string head;
    /// Header values by name in lower case. The last of several equal names is kept.
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return the status code of a response, or 0 if the start line has none
    int status() const;
    /// @param name header name in lower case
    /// @return the value, or an empty string
    std::string header(const std::string& name) const;
    /// @return the method of a request
    std::string method() const;
    /// @return the request target: path and query
    std::string target() const;
};

/// Opens a listening TCP socket.
///
/// @param port port to listen on; 0 lets the kernel choose a free one
/// @param backlog number of connections that may wait to be accepted
/// @return the socket, invalid if the address cannot be bound
Socket listenOn(const std::string& host, std::uint16_t port, int backlog = 512);
/// Starts to open a connection on a non-blocking socket and returns without waiting for the result.
///
/// @return the socket, invalid if the connect fails at once
Socket beginConnect(const std::string& host, std::uint16_t port);
/// @return the local port of the socket
std::uint16_t portOf(const Socket& socket);
/// Opens a connection with TCP_NODELAY set. Blocks until it is established or fails.
///
/// @return the socket, invalid if the connect fails
Socket connectTo(const std::string& host, std::uint16_t port);
/// Blocks until a connection arrives.
///
/// @return the descriptor of the connection, which the caller owns, or -1 on error, such as after a shutdown of the listener
int acceptOn(const Socket& listener);
/// @return whether all of `text` was written
bool writeAll(const Socket& socket, const std::string& text);

/// Sets the time in ms after which a blocked read or write on the socket fails. 0 sets no limit.
void setTimeLimit(const Socket& socket, int timeLimitMs);

/// Reads one message. Its body has the length that Content-Length gives. Without this header it is empty.
///
/// @param[in,out] buffered bytes received after the previous message; holds those received after this one on return
/// @return the message, or nothing if the connection ends or a read fails before the message is complete
std::optional<Message> readMessage(const Socket& socket, std::string& buffered);

/// Accepts connections for ever and calls `serve` for each on a detached thread.
[[noreturn]] void serveForever(const Socket& listener, std::function<void(Socket)> serve);

/// Sends one request on a new connection.
///
/// @param address `host:port`
/// @param timeLimitMs limit of each single read and write
/// @return the response, or nothing if the connection cannot be opened, ends before the response is complete, or a read or
///     write exceeds the limit
std::optional<Message> call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers = {}, const std::string& body = {}, int timeLimitMs = 15000);

/// Sends `bytes` unchanged on a new connection.
///
/// @param timeLimitMs limit of each single read and write
/// @return all bytes received until the other side closed the connection or a read failed
std::string exchangeRaw(const std::string& address, const std::string& bytes, int timeLimitMs = 5000);

/// @return host and port of an address `host:port`
std::pair<std::string, std::uint16_t> splitAddress(const std::string& address);

} // namespace cornelwind::test
