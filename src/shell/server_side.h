#pragma once

#include "cornelwind/effect.h"
#include "http_client.h"
#include "request_store.h"
#include "trace.h"

#include <unordered_map>

namespace cornelwind {

/// Carries out sends and probes to backend servers.
class ServerSide {
public:
    ServerSide(RequestStore& requests, HttpClient& client, Tracer& tracer, Dialect dialect, EventSink sink);

    void send(const SendTry& effect);
    void cancel(const CancelTry& effect);
    void probe(const SendProbe& effect);

private:
    struct Sending {
        CallId call = 0;
        Span span;
        std::uint16_t shedStatus = 0;
        std::string shedHeader;
        std::string drainHeader;
    };

    HttpCall makeCall(const ActiveRequest& request, const SendTry& effect, const Span& span) const;
    void addEcho(const ActiveRequest& request, const Span& span, HttpCall& call) const;
    void onResult(TryId id, const HttpResult& result);

    RequestStore& m_requests;
    HttpClient& m_client;
    Tracer& m_tracer;
    Dialect m_dialect;
    EventSink m_sink;
    std::unordered_map<TryId, Sending> m_sendings;
};

} // namespace cornelwind
