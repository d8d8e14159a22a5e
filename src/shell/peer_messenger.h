#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/settings.h"
#include "peer_transport.h"
#include "request_table.h"
#include "trace.h"

#include <functional>
#include <map>
#include <memory>

namespace cornelwind {

namespace peer {
    class Envelope;
    class ForwardReply;
}

/// Exchanges the reducer's messages, forwarded requests and their replies with other entry instances.
class PeerMessenger {
public:
    /// Fills in the protocol version and the sender of an outgoing message.
    using SenderSetter = std::function<void(peer::Envelope&)>;

    /// @param io runs the I/O; must outlive the messenger
    /// @param requests requests in progress; must outlive the messenger
    /// @param tracer starts the spans of forwarded requests; must outlive the messenger
    /// @param settings routes to peers and limits
    /// @param memory counts the bodies of forwarded requests
    /// @param sink receives the events
    /// @param setSender called for each message that this class creates
    PeerMessenger(boost::asio::io_context& io, RequestTable& requests, Tracer& tracer, const Settings& settings, MemoryBudgetPtr memory, EventSink sink, SenderSetter setSender);

    /// @copydoc PeerTransport::listen
    bool listen(const Endpoint& address, Reason& reason) { return m_transport.listen(address, reason); }
    /// Sends a message of the reducer, whose sender is already filled in.
    void send(const SendPeerMessage& effect);
    /// Forwards a request to the owner of its idempotency key, then reports OwnerReplied if the owner replies.
    void forward(const ActiveRequest& request, const ForwardToOwner& effect);

    /// Reports the body of a forwarded request, which arrived together with its head.
    void readBody(const ActiveRequest& request, const ReadBody& effect);

    /// Replies to a request that another entry instance forwarded.
    ///
    /// @param request must have an `origin`
    /// @param response response to relay, or null if the request failed
    /// @param error error to report if `response` is null
    /// @param outcome whether the request ran
    void reply(const ActiveRequest& request, const Response* response, ErrorKind error, Outcome outcome);

    /// @return bytes sent to peers, without forwarded requests and their replies
    std::uint64_t controlBytes() const { return m_controlBytes; }
    PeerTransport& transport() { return m_transport; }
    const PeerTransport& transport() const { return m_transport; }

private:
    void onMessage(const std::shared_ptr<const peer::Envelope>& message);
    void onForwardRequest(const peer::Envelope& message);
    void onForwardReply(const peer::ForwardReply& reply);

    RequestTable& m_requests;
    Tracer& m_tracer;
    std::map<std::string, Endpoint> m_routes;
    std::uint32_t m_maxConnections;
    MemoryBudgetPtr m_memory;
    EventSink m_sink;
    SenderSetter m_setSender;
    PeerTransport m_transport;
    /// Entry instances use the default conventions among each other.
    const HttpConventions m_conventions;
    std::uint64_t m_controlBytes = 0;
};

} // namespace cornelwind
