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

/// Position in a trace (W3C Trace Context).
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits.
    std::string spanId;
    bool sampled = true;

    /// @return the value of a `traceparent` header
    std::string header() const;
};

/// @param header value of a `traceparent` header
/// @return its parts, or nothing if it is not well-formed
std::optional<TraceContext> parseTraceparent(std::string_view header);

/// One hop of a request.
struct Span {
    TraceContext context;
    std::string parentId;
    std::string name;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<Header> attributes;
    bool failed = false;
};

/// Starts spans and exports them as OTLP/JSON over HTTP.
///
/// Memory: at most `MAX_QUEUED` spans; further ones are dropped and counted.
class Tracer {
public:
    static constexpr std::size_t MAX_QUEUED = 2048;

    /// @param collector nothing turns the export off
    Tracer(HttpClient& client, std::optional<Endpoint> collector, std::string instance);

    /// @param parent nothing starts a new trace
    Span start(std::string name, const std::optional<TraceContext>& parent);
    void end(Span span);

    /// Sends what is queued unless a send is under way.
    void flush();

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
