#pragma once

#include "cornelwind/effect.h"
#include "http_client.h"
#include "request_table.h"
#include "trace.h"

#include <unordered_map>

namespace cornelwind {

/// Sends requests and health probes to backend servers and reports the results as events.
class BackendClient {
public:
    /// @param requests requests in progress; must outlive the client
    /// @param client sends the HTTP requests; must outlive the client
    /// @param tracer records a span for each try; must outlive the client
    /// @param conventions header names and response forms that backend servers use
    /// @param sink receives the events
    BackendClient(RequestTable& requests, HttpClient& client, Tracer& tracer, HttpConventions conventions, EventSink sink);

    /// Sends a request to a backend server, then reports TryFinished; with TryResult::NotSent if the request is no longer in progress.
    void send(const SendTry& effect);
    /// Cancels a try; its TryFinished follows. Has no effect on a try that has finished.
    void cancel(const CancelTry& effect);
    /// Sends a health probe, then reports ProbeFinished.
    void probe(const SendProbe& effect);

private:
    /// A try in progress, with the status and headers by which a response tells that the backend server shed the try or is leaving.
    struct PendingTry {
        CallId call = 0;
        Span span;
        std::uint16_t shedStatus = 0;
        std::string shedHeader;
        std::string drainHeader;
        /// The server repeats the id of the request in every response.
        bool expectsEcho = false;
    };

    HttpCall makeCall(const ActiveRequest& request, const SendTry& effect, const Span& span) const;
    void addEchoHeader(const ActiveRequest& request, const Span& span, HttpCall& call) const;
    /// @param drainHeader header that also means that the server is leaving; may be empty
    ServerNotice readNotice(const Response& response, const std::string& drainHeader) const;
    /// Classifies a complete response.
    void readResponse(const PendingTry& pending, const HttpResult& result, TryFinished& event) const;
    void onResult(TryId id, const HttpResult& result);

    RequestTable& m_requests;
    HttpClient& m_client;
    Tracer& m_tracer;
    HttpConventions m_conventions;
    EventSink m_sink;
    std::unordered_map<TryId, PendingTry> m_pendingTries;
};

} // namespace cornelwind
