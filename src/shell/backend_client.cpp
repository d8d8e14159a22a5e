#include "backend_client.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::uint16_t FIRST_REDIRECT_STATUS = 300;
    // Enough for many round trips between availability zones. A try whose connection takes longer ends as not sent, so that
    // the request can go to another backend server.
    constexpr Millis CONNECT_TIMEOUT { 150 };
    constexpr std::size_t MAX_PROBE_RESPONSE_BYTES = 16 * 1024;

    bool hasHeader(const Response& response, const std::string& name)
    {
        return !name.empty() && std::any_of(response.headers.begin(), response.headers.end(), [&](const Header& header) { return boost::algorithm::iequals(header.name, name); });
    }

    // Returns whether a header of the caller is withheld from the backend server: hop-by-hop headers and those of the fleet.
    bool isWithheldHeader(const std::string& name)
    {
        return isHopByHop(name) || boost::algorithm::iequals(name, "traceparent") || boost::algorithm::istarts_with(name, "Cornelwind-");
    }

} // namespace

BackendClient::BackendClient(RequestTable& requests, HttpClient& client, Tracer& tracer, HttpConventions conventions, EventSink sink)
    : m_requests(requests)
    , m_client(client)
    , m_tracer(tracer)
    , m_conventions(std::move(conventions))
    , m_sink(std::move(sink))
{
}

void BackendClient::send(const SendTry& effect)
{
    const ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return m_sink(TryFinished { effect.id, TryResult::NotSent, nullptr });
    Span span = m_tracer.start("try", request->span.context);
    span.attributes = { { "server", effect.name.value() } };
    HttpCall call = makeCall(*request, effect, span);
    PendingTry& pending = m_pendingTries[effect.id];
    pending = { 0, std::move(span), effect.shedStatus, effect.shedHeader, effect.drainHeader, call.keepEcho };
    pending.call = m_client.start(std::move(call), [this, id = effect.id](const HttpResult& result) { onResult(id, result); });
}

HttpCall BackendClient::makeCall(const ActiveRequest& request, const SendTry& effect, const Span& span) const
{
    HttpCall call;
    call.address = effect.address;
    call.method = request.head.method;
    call.target = request.head.target;
    for (const Header& header : request.head.headers) {
        const bool isWithheld = isWithheldHeader(header.name) || isWorkspaceHeader(header.name, effect.workspace, m_conventions);
        if (!isWithheld && !boost::algorithm::iequals(header.name, m_conventions.deadlineHeader))
            call.headers.push_back(header);
    }
    if (!effect.workspace.name.value().empty())
        call.headers.push_back({ m_conventions.workspaceHeader, effect.workspace.name.value() });
    call.deadlineHeader = m_conventions.deadlineHeader;
    if (!m_conventions.expectedServerHeader.empty())
        call.headers.push_back({ m_conventions.expectedServerHeader, effect.name.value() });
    if (m_conventions.addFleetHeaders)
        call.headers.push_back({ "traceparent", span.context.header() });
    addEchoHeader(request, span, call);
    call.connectTimeout = CONNECT_TIMEOUT;
    call.allowCloseDelimited = m_conventions.closeDelimitedResponses;
    call.body = request.body;
    call.deadline = effect.deadline;
    call.maxResponse = effect.maxResponse.value();
    call.reuse = effect.connection == ConnectionUse::Reuse;
    return call;
}

// Sets the header that the backend server echoes: the span id of the try, or the caller's request id if the conventions
// name a header for it. A response that echoes another value belongs to another request.
void BackendClient::addEchoHeader(const ActiveRequest& request, const Span& span, HttpCall& call) const
{
    if (m_conventions.requestIdHeader.empty()) {
        call.echoHeader = TRY_HEADER;
        call.echoValue = span.context.spanId;
        call.headers.push_back({ call.echoHeader, call.echoValue });
        return;
    }
    if (const std::string* requestId = request.head.find(m_conventions.requestIdHeader.c_str())) {
        call.echoHeader = m_conventions.requestIdHeader;
        call.echoValue = *requestId;
        call.keepEcho = true;
    }
}

ServerNotice BackendClient::readNotice(const Response& response, const std::string& drainHeader) const
{
    ServerNotice notice = m_conventions.readNotice ? m_conventions.readNotice(response) : ServerNotice {};
    notice.leaving = notice.leaving || hasHeader(response, drainHeader);
    return notice;
}

void BackendClient::readResponse(const PendingTry& pending, const HttpResult& result, TryFinished& event) const
{
    const Response& response = *result.response;
    event.notice = readNotice(response, pending.drainHeader);
    event.misdirected = m_conventions.misdirectedStatus && response.status == m_conventions.misdirectedStatus;
    const bool statusMatches = !pending.shedStatus || response.status == pending.shedStatus;
    // Only the header proves that the request has not run: a failing server may return any status after it has run one.
    const bool refuses = statusMatches && hasHeader(response, pending.shedHeader);
    const bool incomplete = !m_conventions.completionHeader.empty() && response.status < FIRST_REDIRECT_STATUS && !hasHeader(response, m_conventions.completionHeader);
    // Without the request's id a response may be that of another request, written once more.
    const bool unattributed = pending.expectsEcho && !result.echoed;
    if (unattributed || (incomplete && !refuses)) {
        event.result = TryResult::Broken;
        event.response = nullptr;
        event.misdirected = false;
        event.notice = {};
    } else if (refuses)
        event.result = TryResult::Shed;
}

void BackendClient::onResult(TryId id, const HttpResult& result)
{
    const auto found = m_pendingTries.find(id);
    if (found == m_pendingTries.end())
        return;
    PendingTry pending = std::move(found->second);
    m_pendingTries.erase(found);
    TryFinished event { id, result.result, result.response };
    if (result.response)
        readResponse(pending, result, event);
    pending.span.failed = event.result != TryResult::Answered;
    pending.span.attributes.push_back({ "result", toString(event.result) });
    m_tracer.end(std::move(pending.span));
    m_sink(event);
}

void BackendClient::cancel(const CancelTry& effect)
{
    const auto found = m_pendingTries.find(effect.id);
    if (found != m_pendingTries.end())
        m_client.cancel(found->second.call);
}

void BackendClient::probe(const SendProbe& effect)
{
    HttpCall call;
    call.address = effect.address;
    call.target = effect.path;
    call.deadline = steadyNow() + effect.timeLimit;
    call.maxResponse = MAX_PROBE_RESPONSE_BYTES;
    const Time sentAt = steadyNow();
    m_client.start(std::move(call), [this, server = effect.server, drainHeader = effect.drainHeader, sentAt](const HttpResult& result) {
        ProbeFinished event { server };
        event.answered = result.response != nullptr;
        event.healthy = event.answered && result.response->status < 500;
        if (event.answered)
            event.notice = readNotice(*result.response, drainHeader);
        event.latency = steadyNow() - sentAt;
        m_sink(event);
    });
}

} // namespace cornelwind
