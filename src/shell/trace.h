#pragma once

#include "cornelwind/types.h"
#include "http_client.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Identifies a span and its trace (W3C Trace Context).
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits.
    std::string spanId;
    /// Whether the trace is recorded; only sampled spans are exported.
    bool sampled = true;

    /// @return the value of a `traceparent` header
    std::string header() const;
};

/// Parses a `traceparent` header.
///
/// @param header the header's value; later versions than 00 may carry further fields, which are ignored
/// @return the context, or nothing if the value is malformed
std::optional<TraceContext> parseTraceparent(std::string_view header);

/// One timed operation of a request, such as a try.
struct Span {
    TraceContext context;
    /// Span id of the parent; empty for the root of a trace.
    std::string parentId;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<Header> attributes;
    bool failed = false;
};

/// Starts spans and exports them to a collector as OTLP/JSON over HTTP.
///
/// At most `MAX_QUEUED` ended spans wait for export; further ones are dropped and counted.
/// The spans of a failed export are dropped and counted too.
class Tracer {
public:
    static constexpr std::size_t MAX_QUEUED = 2048;

    /// @param client must outlive the tracer
    /// @param collector address of the OTLP collector; if absent, spans are not exported
    /// @param instance name of this entry instance, exported as `service.instance.id`
    Tracer(HttpClient& client, std::optional<Endpoint> collector, std::string instance);

    /// Starts a span now.
    ///
    /// @param parent context of the parent span; if absent, the span starts a new, sampled trace
    Span start(std::string name, const std::optional<TraceContext>& parent);
    /// Ends a span now and queues it for export if its trace is sampled.
    void end(Span span);

    /// Exports the oldest queued spans, up to 256, unless an export is in progress.
    void flush();

    /// @return number of spans dropped without export
    std::uint64_t dropped() const { return m_dropped; }

private:
    std::string randomHex(std::size_t digits);
    std::string serialize(const std::vector<Span>& spans) const;

    HttpClient& m_client;
    std::optional<Endpoint> m_collector;
    std::string m_instance;
    std::vector<Span> m_queue;
    std::uint64_t m_dropped = 0;
    bool m_sending = false;
};

} // namespace cornelwind
