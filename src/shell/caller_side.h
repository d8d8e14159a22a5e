#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/settings.h"
#include "http_server.h"
#include "request_store.h"
#include "trace.h"

#include <string>
#include <unordered_map>

namespace cornelwind {

/// Turns what callers send into events, and effects into answers.
class CallerSide final : public HttpHandler {
public:
    /// Paths below this one are answered by the entry instance itself.
    static constexpr const char* OWN_PATH = "/.cornelwind/";

    CallerSide(RequestStore& requests, Tracer& tracer, Dialect dialect, EventSink sink);

    void onHead(const HttpExchangePtr& exchange) override;
    void onBody(const HttpExchangePtr& exchange, std::string body) override;
    void onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error) override;
    void onGone(const HttpExchangePtr& exchange) override;
    Answer refusal(ErrorKind error) override;

    void readBody(ActiveRequest& request, const ReadBody& effect);
    void respond(ActiveRequest& request, Answer answer);
    void giveKeys(ActiveRequest& request, const GiveKeys& effect);
    void setReady(bool ready) { m_ready = ready; }

private:
    void serveOwn(const HttpExchangePtr& exchange);

    RequestStore& m_requests;
    Tracer& m_tracer;
    Dialect m_dialect;
    EventSink m_sink;
    std::unordered_map<const HttpExchange*, RequestId> m_byExchange;
    bool m_ready = false;
};

} // namespace cornelwind
