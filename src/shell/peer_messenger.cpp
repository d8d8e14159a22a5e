#include "peer_messenger.h"

#include "../decision/response_codec.h"
#include "peer.pb.h"

#include <boost/algorithm/string/predicate.hpp>

namespace cornelwind {

PeerMessenger::PeerMessenger(boost::asio::io_context& io, RequestTable& requests, Tracer& tracer, const Settings& settings, MemoryBudgetPtr memory, EventSink sink, SenderSetter setSender)
    : m_requests(requests)
    , m_tracer(tracer)
    , m_maxConnections(settings.maxConnections)
    , m_memory(std::move(memory))
    , m_sink(std::move(sink))
    , m_setSender(std::move(setSender))
    , m_transport(io, [this](const std::shared_ptr<const peer::Envelope>& message) { onMessage(message); })
{
    for (const PeerRoute& route : settings.peerRoutes)
        m_routes[route.instance.value()] = route.via;
}

void PeerMessenger::send(const SendPeerMessage& effect)
{
    const std::uint64_t bytesBefore = m_transport.bytesSent();
    m_transport.send(effect.address, *effect.message);
    m_controlBytes += m_transport.bytesSent() - bytesBefore;
}

void PeerMessenger::forward(const ActiveRequest& request, const ForwardToOwner& effect)
{
    peer::Envelope message;
    peer::ForwardRequest& forward = *message.mutable_forward_request();
    forward.set_correlation(request.id.value());
    forward.set_method(request.head.method);
    forward.set_target(request.head.target);
    const auto add = [&](const std::string& name, const std::string& value) {
        auto& field = *forward.add_headers();
        field.set_name(name);
        field.set_value(value);
    };
    for (const Header& header : request.head.headers) {
        const bool isOwn = boost::algorithm::iequals(header.name, "traceparent") || boost::algorithm::iequals(header.name, m_conventions.deadlineHeader);
        if (!isOwn && !isWorkspaceHeader(header.name, effect.workspace, m_conventions))
            add(header.name, header.value);
    }
    add("traceparent", request.span.context.header());
    add(m_conventions.deadlineHeader, std::to_string(effect.remaining.count()));
    forward.set_body(request.body.text());
    forward.set_workspace(effect.workspace.name.value());
    m_setSender(message);
    m_transport.send(effect.address, message);
}

void PeerMessenger::reply(const ActiveRequest& request, const Response* response, ErrorKind error, Outcome outcome)
{
    peer::Envelope message;
    peer::ForwardReply& reply = *message.mutable_forward_reply();
    reply.set_correlation(request.origin->correlation);
    reply.set_outcome(static_cast<std::uint32_t>(outcome));
    if (response)
        writeResponse(*response, reply);
    else
        reply.set_error(describe(error).name);
    m_setSender(message);
    m_transport.send(request.origin->address, message);
}

void PeerMessenger::onMessage(const std::shared_ptr<const peer::Envelope>& message)
{
    m_sink(PeerMessageReceived { message });
    if (message->has_forward_request())
        onForwardRequest(*message);
    else if (message->has_forward_reply())
        onForwardReply(message->forward_reply());
}

void PeerMessenger::onForwardRequest(const peer::Envelope& message)
{
    const peer::ForwardRequest& forward = message.forward_request();
    const auto route = m_routes.find(message.from().name());
    const auto address = route == m_routes.end() ? parseEndpoint(message.from().address()) : std::optional(route->second);
    // A request is dropped if its sender has no valid address or too many requests are in progress. The sender then gets
    // no reply and responds to the caller with outcome `unknown` when the time limit ends.
    if (!address || m_requests.size() >= 2 * std::size_t { m_maxConnections })
        return;
    ActiveRequest& request = m_requests.create();
    request.origin = PeerOrigin { *address, forward.correlation() };
    request.head.method = forward.method();
    request.head.target = forward.target();
    for (const auto& header : forward.headers())
        request.head.headers.push_back({ header.name(), header.value() });
    request.body = SharedBody(forward.body(), m_memory);
    request.workspace = forward.workspace();
    const std::string* parent = request.head.find("traceparent");
    request.span = m_tracer.start("owner", parent ? parseTraceparent(*parent) : std::nullopt);
    m_sink(makeHeadReceived(request, m_conventions));
}

void PeerMessenger::readBody(const ActiveRequest& request, const ReadBody& effect)
{
    if (request.body.size() > effect.limit.value())
        return m_sink(ReceiveFailed { request.id, ErrorKind::BodyTooLarge });
    // A forwarded body arrives complete, so it is no transfer that the budget could end. It is refused here instead.
    if (request.body.size() > SMALL_BODY_BYTES && m_memory->isExceeded())
        return m_sink(ReceiveFailed { request.id, ErrorKind::MemoryShort });
    m_sink(BodyReceived { request.id, requestFingerprint(request.head, request.body.text()), ByteCount { request.body.size() } });
}

void PeerMessenger::onForwardReply(const peer::ForwardReply& reply)
{
    OwnerReplied event { RequestId { reply.correlation() }, readOutcome(reply.outcome()), ErrorKind::None, nullptr };
    if (reply.error().empty())
        event.response = readResponse(reply);
    else
        event.error = readErrorKind(reply.error());
    m_sink(event);
}

} // namespace cornelwind
