#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/settings.h"
#include "http_server.h"
#include "request_table.h"
#include "trace.h"

#include <string>
#include <unordered_map>

namespace cornelwind {

/// Handles the requests of callers: reports them to the reducer as events and sends the responses that the reducer decides on.
class CallerHandler final : public HttpHandler {
public:
    /// Requests for paths below this prefix are answered by the entry instance itself and never forwarded.
    static constexpr const char* INTERNAL_PATH_PREFIX = "/.cornelwind/";

    /// @param requests requests in progress; must outlive the handler
    /// @param tracer starts and ends the spans; must outlive the handler
    /// @param conventions header names and response forms that callers use
    /// @param sink receives the events
    CallerHandler(RequestTable& requests, Tracer& tracer, HttpConventions conventions, EventSink sink);

    void onHead(const HttpExchangePtr& exchange) override;
    void onBody(const HttpExchangePtr& exchange, SharedBody body) override;
    void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) override;
    void onDisconnect(const HttpExchangePtr& exchange) override;
    Response errorResponse(ErrorKind error) override;

    /// Reads the body of a request, then reports BodyReceived, ReceiveFailed or CallerDisconnected.
    void readBody(ActiveRequest& request, const ReadBody& effect);
    /// Sends the response and ends the span. Has no effect if the caller has disconnected.
    void respond(ActiveRequest& request, const Response& response);
    /// Responds to a request for idempotency keys.
    void issueKeys(ActiveRequest& request, const IssueKeys& effect);
    /// Sets the result of the readiness check for balancers.
    void setReady(bool ready) { m_ready = ready; }

private:
    void serveInternal(const HttpExchangePtr& exchange);

    RequestTable& m_requests;
    Tracer& m_tracer;
    HttpConventions m_conventions;
    EventSink m_sink;
    std::unordered_map<const HttpExchange*, RequestId> m_requestIds;
    bool m_ready = false;
};

} // namespace cornelwind
