#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <boost/asio/io_context.hpp>
#include <nng/nng.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cornelwind {

namespace peer {
    class Envelope;
}

/// Exchanges messages with other entry instances over nng.
///
/// Each instance listens on one PULL socket and dials one PUSH socket per peer.
/// A message is sent at most once by this class; it may get lost, or arrive
/// late after a partition. PUSH and PULL never resend, unlike REQ and REP.
class PeerLink {
public:
    using Handler = std::function<void(std::shared_ptr<const peer::Envelope>)>;

    /// @param io runs the handler; must outlive the link
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
    std::uint64_t bytesReceived() const;

private:
    struct Outbox {
        nng_socket socket;
        Time lastUsed;
    };
    class Inbox;

    Outbox* outboxOf(const Endpoint& address);

    boost::asio::io_context& m_io;
    std::shared_ptr<Inbox> m_inbox;
    std::map<std::string, Outbox> m_outboxes;
    std::uint64_t m_bytesSent = 0;
};

} // namespace cornelwind
