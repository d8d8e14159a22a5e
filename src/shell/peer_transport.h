#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cornelwind {

namespace peer {
    class Envelope;
}

/// Exchanges messages with other entry instances over ZeroMQ.
///
/// Each instance listens on one PULL socket and connects one PUSH socket to
/// each peer. Delivery is at most once: a message may be lost, or arrive late
/// after a network partition, but PUSH and PULL never resend it.
///
/// At most 256 unsent messages are queued for each peer.
class PeerTransport {
public:
    using Handler = std::function<void(std::shared_ptr<const peer::Envelope>)>;

    /// @param io runs the handler; must outlive the transport and not run after its destruction
    /// @param handler receives each well-formed message; others are dropped
    PeerTransport(boost::asio::io_context& io, Handler handler);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Binds the PULL socket and starts to receive.
    ///
    /// @param address address to bind
    /// @param reason set to ErrorKind::ListenFailed on failure
    /// @return false on failure
    bool listen(const Endpoint& address, Reason& reason);

    /// Queues a message without blocking. Drops it if the queue of the peer is full or no socket can be opened.
    void send(const Endpoint& address, const peer::Envelope& message);

    /// Closes the sockets of peers to which nothing was sent for 60 s.
    void closeUnused(Time now);

    /// @return message bytes queued for sending so far
    std::uint64_t bytesSent() const { return m_bytesSent; }
    /// @return message bytes received so far, malformed messages included
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct ContextDeleter {
        void operator()(void* context) const;
    };
    struct SocketDeleter {
        void operator()(void* socket) const;
    };
    using SocketPtr = std::unique_ptr<void, SocketDeleter>;
    struct PushSocket {
        SocketPtr socket;
        Time lastUsed;
    };

    SocketPtr makeSocket(int type) const;
    PushSocket* pushSocketFor(const Endpoint& address);
    void awaitReadable();
    void receivePending();
    void receiveOne();

    Handler m_handler;
    std::unique_ptr<void, ContextDeleter> m_context;
    SocketPtr m_pullSocket;
    /// Event descriptor of the PULL socket, which ZeroMQ owns.
    boost::asio::posix::stream_descriptor m_pullDescriptor;
    std::map<std::string, PushSocket> m_pushSockets;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace cornelwind
