#include "trace.h"

#include "random_bits.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr std::size_t TRACE_ID_DIGITS = 32;
    constexpr std::size_t SPAN_ID_DIGITS = 16;
    // Length of a `traceparent` value of version 00: version, trace id, span id and flags, separated by hyphens.
    constexpr std::size_t TRACEPARENT_LENGTH = 55;
    constexpr Millis EXPORT_TIMEOUT { 2000 };
    constexpr std::size_t MAX_SPANS_PER_EXPORT = 256;

    bool isLowerHex(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isAllZeros(std::string_view text)
    {
        return text.find_first_not_of('0') == std::string_view::npos;
    }

    std::string toUnixNanos(std::chrono::system_clock::time_point time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
    }

    json::object makeAttribute(const std::string& key, const std::string& value)
    {
        return { { "key", key }, { "value", json::object { { "stringValue", value } } } };
    }

    json::object toJson(const Span& span)
    {
        json::array attributes;
        for (const Header& header : span.attributes)
            attributes.push_back(makeAttribute(header.name, header.value));
        // Span kind 1 is internal, status code 2 is an error (opentelemetry-proto, trace.proto).
        json::object object {
            { "traceId", span.context.traceId },
            { "spanId", span.context.spanId },
            { "parentSpanId", span.parentId },
            { "name", span.name },
            { "kind", 1 },
            { "startTimeUnixNano", toUnixNanos(span.start) },
            { "endTimeUnixNano", toUnixNanos(span.end) },
            { "attributes", std::move(attributes) },
        };
        if (span.failed)
            object["status"] = json::object { { "code", 2 } };
        return object;
    }

} // namespace

std::string TraceContext::header() const
{
    return "00-" + traceId + "-" + spanId + (sampled ? "-01" : "-00");
}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() < TRACEPARENT_LENGTH || header.substr(0, 2) == "ff" || !isLowerHex(header.substr(0, 2)))
        return std::nullopt;
    const bool hasSeparators = header[2] == '-' && header[35] == '-' && header[52] == '-';
    const bool hasExtraFields = header.size() > TRACEPARENT_LENGTH;
    if (!hasSeparators || (hasExtraFields && (header.substr(0, 2) == "00" || header[TRACEPARENT_LENGTH] != '-')))
        return std::nullopt;
    TraceContext context { std::string(header.substr(3, TRACE_ID_DIGITS)), std::string(header.substr(36, SPAN_ID_DIGITS)) };
    const std::string_view flags = header.substr(53, 2);
    if (!isLowerHex(context.traceId) || !isLowerHex(context.spanId) || !isLowerHex(flags) || isAllZeros(context.traceId) || isAllZeros(context.spanId))
        return std::nullopt;
    context.sampled = (flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0') & 1;
    return context;
}

Tracer::Tracer(HttpClient& client, std::optional<Endpoint> collector, std::string instance)
    : m_client(client)
    , m_collector(std::move(collector))
    , m_instance(std::move(instance))
{
}

Span Tracer::start(std::string name, const std::optional<TraceContext>& parent)
{
    Span span;
    span.name = std::move(name);
    span.context.traceId = parent ? parent->traceId : randomHex(TRACE_ID_DIGITS);
    span.context.sampled = parent ? parent->sampled : true;
    span.context.spanId = randomHex(SPAN_ID_DIGITS);
    span.parentId = parent ? parent->spanId : std::string {};
    span.start = std::chrono::system_clock::now();
    return span;
}

void Tracer::end(Span span)
{
    if (!m_collector || !span.context.sampled)
        return;
    if (m_queue.size() == MAX_QUEUED) {
        ++m_dropped;
        return;
    }
    span.end = std::chrono::system_clock::now();
    m_queue.push_back(std::move(span));
}

void Tracer::flush()
{
    if (!m_collector || m_sending || m_queue.empty())
        return;
    const auto count = static_cast<std::ptrdiff_t>(std::min(m_queue.size(), MAX_SPANS_PER_EXPORT));
    const std::vector<Span> batch(m_queue.begin(), m_queue.begin() + count);
    m_queue.erase(m_queue.begin(), m_queue.begin() + count);
    m_sending = true;
    HttpCall call;
    call.address = *m_collector;
    call.method = "POST";
    call.target = "/v1/traces";
    call.headers = { { "Content-Type", "application/json" } };
    call.body = serialize(batch);
    call.deadline = steadyNow() + EXPORT_TIMEOUT;
    call.reuse = true;
    m_client.start(std::move(call), [this, count](const HttpResult& result) {
        m_sending = false;
        if (result.result != TryResult::Answered)
            m_dropped += static_cast<std::uint64_t>(count);
    });
}

std::string Tracer::serialize(const std::vector<Span>& spans) const
{
    json::array list;
    for (const Span& span : spans)
        list.push_back(toJson(span));
    const json::object scope { { "scope", json::object { { "name", "cornelwind" } } }, { "spans", std::move(list) } };
    const json::object resource { { "attributes", json::array { makeAttribute("service.name", "cornelwind"), makeAttribute("service.instance.id", m_instance) } } };
    const json::object group { { "resource", resource }, { "scopeSpans", json::array { scope } } };
    return json::serialize(json::object { { "resourceSpans", json::array { group } } });
}

std::string Tracer::randomHex(std::size_t digits)
{
    static constexpr char hex[] = "0123456789abcdef";
    std::string text;
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digits; ++i, bits >>= 4) {
        if (i % 16 == 0)
            bits = randomBits();
        text += hex[bits & 0xf];
    }
    return text;
}

} // namespace cornelwind
