#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/settings.h"
#include "peer_link.h"
#include "request_store.h"
#include "trace.h"

#include <functional>
#include <map>
#include <memory>

namespace cornelwind {

namespace peer {
    class Envelope;
    class ForwardReply;
}

/// Passes messages of the reducer and forwarded requests between entry instances.
class PeerSide {
public:
    using Signer = std::function<void(peer::Envelope&)>;

    PeerSide(boost::asio::io_context& io, RequestStore& requests, Tracer& tracer, const Settings& settings, EventSink sink, Signer sign);

    bool listen(const Endpoint& address, Reason& reason) { return m_link.listen(address, reason); }
    void send(const SendPeer& effect);
    void forward(const ActiveRequest& request, const ForwardToOwner& effect);

    /// Reports the body of a forwarded request, which came with its head.
    void readBody(const ActiveRequest& request, const ReadBody& effect);

    /// Answers a request that another entry instance forwarded.
    void reply(const ActiveRequest& request, const Answer* answer, ErrorKind error, Outcome outcome);

    /// @return bytes sent for control, that is without forwarded requests and their answers
    std::uint64_t controlBytes() const { return m_controlBytes; }
    PeerLink& link() { return m_link; }
    const PeerLink& link() const { return m_link; }

private:
    void onMessage(const std::shared_ptr<const peer::Envelope>& message);
    void onForwardRequest(const peer::Envelope& message);
    void onForwardReply(const peer::ForwardReply& reply);

    RequestStore& m_requests;
    Tracer& m_tracer;
    std::map<std::string, Endpoint> m_routes;
    std::uint32_t m_maxRequests;
    EventSink m_sink;
    Signer m_sign;
    PeerLink m_link;
    /// Entry instances speak the fleet's own dialect among each other.
    const Dialect m_dialect;
    std::uint64_t m_controlBytes = 0;
};

} // namespace cornelwind
