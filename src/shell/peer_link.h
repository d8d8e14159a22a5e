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
/// each peer. A message is sent at most once by this class; it may get lost, or
/// arrive late after a partition. PUSH and PULL never resend.
///
/// Memory: at most 256 unsent messages for each peer.
class PeerLink {
public:
    using Handler = std::function<void(std::shared_ptr<const peer::Envelope>)>;

    /// @param io runs the handler; must outlive the link and not run after it
    PeerLink(boost::asio::io_context& io, Handler handler);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// @return whether the address is listened on; else the cause is in `reason`
    bool listen(const Endpoint& address, Reason& reason);

    /// Sends without waiting; drops the message where the peer cannot take it.
    void send(const Endpoint& address, const peer::Envelope& message);

    /// Closes the sockets of peers not sent to lately.
    void closeUnused(Time now);

    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct ContextDeleter {
        void operator()(void* context) const;
    };
    struct SocketDeleter {
        void operator()(void* socket) const;
    };
    using SocketPtr = std::unique_ptr<void, SocketDeleter>;
    struct Outbox {
        SocketPtr socket;
        Time lastUsed;
    };

    SocketPtr makeSocket(int type) const;
    Outbox* outboxOf(const Endpoint& address);
    void awaitInbox();
    void drainInbox();
    void receiveOne();

    Handler m_handler;
    std::unique_ptr<void, ContextDeleter> m_context;
    SocketPtr m_inbox;
    /// Watches the descriptor that the inbox signals with; does not own it.
    boost::asio::posix::stream_descriptor m_inboxSignal;
    std::map<std::string, Outbox> m_outboxes;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace cornelwind
