#include "request_log.h"

#include "log.h"

#include <array>
#include <cstdio>

namespace cornelwind {
namespace {

    constexpr std::uint16_t FIRST_SERVER_ERROR = 500;
    // From a fast look-up to the longest request time limit in use, in seconds.
    const prometheus::Histogram::BucketBoundaries BUCKET_BOUNDS_S { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10 };

    double millis(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    void add(std::string& fields, const char* key, const std::string& value) { fields += std::string(" ") + key + "=" + value; }
    void add(std::string& fields, const char* key, std::uint64_t value) { add(fields, key, std::to_string(value)); }
    void addQuoted(std::string& fields, const char* key, const std::string& text) { add(fields, key, "\"" + escapeForLog(text) + "\""); }

    void addMillis(std::string& fields, const char* key, Duration duration)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", millis(duration));
        add(fields, key, std::string(text));
    }

    void addRatio(std::string& fields, const char* key, double ratio)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", ratio);
        add(fields, key, std::string(text));
    }

    void addReason(const RequestRecord& record, std::string& fields)
    {
        if (*record.reason)
            addQuoted(fields, "reason", record.reason);
    }

    void formatPlaced(const RequestRecord& record, std::string& fields)
    {
        add(fields, "server", escapeForLog(record.server));
        addRatio(fields, "risk", record.risk);
        add(fields, "own", record.inFlight);
        add(fields, "others", record.others);
        add(fields, "slots", record.slots);
        addMillis(fields, "try_ms", record.tryTime);
        addMillis(fields, "left_ms", record.callerTime);
        addReason(record, fields);
    }

    void formatWaiting(const RequestRecord& record, std::string& fields)
    {
        add(fields, "queued", record.queued);
        addMillis(fields, "expected_ms", record.expectedWait);
    }

    void formatSendFailed(const RequestRecord& record, std::string& fields)
    {
        add(fields, "server", escapeForLog(record.server));
        add(fields, "result", std::string(record.result));
        add(fields, "status", record.status);
        addMillis(fields, "elapsed_ms", record.elapsed);
    }

    void formatNotSentAgain(const RequestRecord& record, std::string& fields) { addQuoted(fields, "reason", record.reason); }

    void formatAnswered(const RequestRecord& record, std::string& fields) { add(fields, "status", record.status); }

    void formatRefused(const RequestRecord& record, std::string& fields)
    {
        add(fields, "error", std::string(describe(record.error).name));
        add(fields, "outcome", std::string(toString(record.outcome)));
        if (record.retryAfter)
            add(fields, "retry_after_ms", static_cast<std::uint64_t>(record.retryAfter->count()));
        addReason(record, fields);
    }

    void formatNoFields(const RequestRecord&, std::string&) { }

    using Formatter = void (*)(const RequestRecord&, std::string&);
    constexpr std::array<Formatter, REQUEST_STEPS> formatters { &formatPlaced, &formatWaiting, &formatSendFailed, &formatNotSentAgain, &formatAnswered, &formatRefused, &formatNoFields };

} // namespace

std::string formatFields(const RequestRecord& record)
{
    std::string fields;
    addQuoted(fields, "request", record.label);
    add(fields, "service", escapeForLog(record.service));
    add(fields, "rule", escapeForLog(record.rule));
    if (!record.workspace.empty())
        addQuoted(fields, "workspace", record.workspace);
    add(fields, "kind", std::string(record.idempotent ? "idempotent" : "at-most-once"));
    add(fields, "sheet", record.sheet.value());
    add(fields, "sends", record.tries);
    addMillis(fields, "age_ms", record.age);
    formatters.at(static_cast<std::size_t>(record.step))(record, fields);
    return fields;
}

bool isFailure(const RequestRecord& record)
{
    switch (record.step) {
    case RequestStep::SendFailed:
    case RequestStep::NotSentAgain:
    case RequestStep::Refused:
        return true;
    case RequestStep::Answered:
        return record.status >= FIRST_SERVER_ERROR;
    default:
        return false;
    }
}

RequestLog::RequestLog()
    : m_durations(prometheus::BuildHistogram().Name("cornelwind_request_seconds").Help("Time from the complete receipt of a request to its response, in seconds.").Register(m_registry))
    , m_placementTimes(prometheus::BuildHistogram().Name("cornelwind_placement_seconds").Help("Time from the complete receipt of a request to each try, in seconds.").Register(m_registry))
    , m_refusals(prometheus::BuildCounter().Name("cornelwind_refusals_total").Help("Requests refused by the fleet, by error and outcome.").Register(m_registry))
    , m_failures(prometheus::BuildCounter().Name("cornelwind_failed_sends_total").Help("Failed tries, by result.").Register(m_registry))
    , m_notRetried(prometheus::BuildCounter().Name("cornelwind_not_sent_again_total").Help("Failed requests that were not retried, by reason.").Register(m_registry))
{
}

void RequestLog::add(const RequestRecord& record, Time now)
{
    count(record);
    const bool failure = isFailure(record);
    if (m_rateLimiter.allow(failure, now))
        logEvent(failure ? LogLevel::Warn : LogLevel::Info, LogComponent::Request, toString(record.step), formatFields(record));
}

void RequestLog::reportSuppressed()
{
    if (const std::uint64_t lines = m_rateLimiter.takeSuppressed())
        logEvent(LogLevel::Warn, LogComponent::Request, "suppressed", " lines=" + std::to_string(lines));
}

void RequestLog::count(const RequestRecord& record)
{
    const double seconds = millis(record.age) / 1000;
    switch (record.step) {
    case RequestStep::Placed:
        m_placementTimes.Add({ { "service", record.service } }, BUCKET_BOUNDS_S).Observe(seconds);
        return;
    case RequestStep::Answered:
        m_durations.Add({ { "service", record.service }, { "answer", isFailure(record) ? "server-error" : "success" } }, BUCKET_BOUNDS_S).Observe(seconds);
        return;
    case RequestStep::Refused:
        m_durations.Add({ { "service", record.service }, { "answer", "refusal" } }, BUCKET_BOUNDS_S).Observe(seconds);
        m_refusals.Add({ { "service", record.service }, { "error", describe(record.error).name }, { "outcome", toString(record.outcome) } }).Increment();
        return;
    case RequestStep::SendFailed:
        m_failures.Add({ { "service", record.service }, { "result", record.result } }).Increment();
        return;
    case RequestStep::NotSentAgain:
        m_notRetried.Add({ { "service", record.service }, { "reason", record.reason } }).Increment();
        return;
    default:
        return;
    }
}

} // namespace cornelwind
