#include "request_table.h"

#include "header_value.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace cornelwind {
namespace {

    // A day. The time limits of the rules are shorter.
    constexpr double MAX_REMAINING_MS = 24 * 3600 * 1000.0;

} // namespace

ActiveRequest& RequestTable::create()
{
    const RequestId id { ++m_lastId };
    ActiveRequest& request = m_requests[id];
    request.id = id;
    return request;
}

ActiveRequest* RequestTable::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

Fingerprint requestFingerprint(const HttpHead& head, const std::string& body)
{
    const auto method = XXH3_64bits(head.method.data(), head.method.size());
    const auto target = XXH3_64bits_withSeed(head.target.data(), head.target.size(), method);
    return Fingerprint { XXH3_64bits_withSeed(body.data(), body.size(), target) };
}

bool isWorkspaceHeader(const std::string& name, const WorkspaceLabel& label, const HttpConventions& conventions)
{
    return label.isSet && (boost::algorithm::iequals(name, conventions.apiKeyHeader) || boost::algorithm::iequals(name, conventions.workspaceHeader));
}

HeadReceived makeHeadReceived(const ActiveRequest& request, const HttpConventions& conventions)
{
    HeadReceived event { request.id, request.head.method, request.head.target, {}, {}, request.origin.has_value() };
    if (const std::string* host = request.head.find("Host"))
        event.host = *host;
    event.label = request.span.context.traceId;
    const std::string* label = conventions.requestIdHeader.empty() ? nullptr : request.head.find(conventions.requestIdHeader.c_str());
    if (label)
        event.label = *label;
    if (const std::string* key = request.head.find(KEY_HEADER))
        event.key = *key;
    event.apiKey = findOnly(request.head.headers, conventions.apiKeyHeader);
    event.workspace = request.workspace;
    if (const auto millis = smallestNumber(request.head.headers, conventions.deadlineHeader))
        event.remaining = Millis { static_cast<std::int64_t>(std::clamp(*millis, 0.0, MAX_REMAINING_MS)) };
    return event;
}

namespace {

    constexpr std::uint16_t SERVICE_UNAVAILABLE = 503;
    constexpr std::uint16_t BAD_GATEWAY = 502;
    constexpr std::uint16_t GATEWAY_TIMEOUT = 504;
    constexpr std::uint16_t UNPROCESSABLE_CONTENT = 422;

    // With `outcomeInStatus`, 422 and statuses from 502 on become 503 if the request did not run. If it may have run,
    // the status is 504 (deadline passed) or 502, neither of which says that it did not run.
    std::uint16_t refusalStatus(ErrorKind error, Outcome outcome, const HttpConventions& conventions)
    {
        const std::uint16_t status = describe(error).status;
        if (!conventions.outcomeInStatus)
            return status;
        if (outcome == Outcome::NotRun)
            return status >= BAD_GATEWAY || status == UNPROCESSABLE_CONTENT ? SERVICE_UNAVAILABLE : status;
        return error == ErrorKind::DeadlinePassed ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }

    std::string formatRetryAfter(Millis wait, const HttpConventions& conventions)
    {
        if (!conventions.fractionalRetryAfter)
            return std::to_string(std::max<std::int64_t>(1, (wait.count() + 999) / 1000));
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", static_cast<double>(wait.count()) / 1000);
        return text;
    }

} // namespace

Response makeErrorResponse(ErrorKind error, Outcome outcome, std::optional<Millis> retryAfter, const std::string& nextKey, const HttpConventions& conventions)
{
    const ErrorInfo& info = describe(error);
    Response response;
    response.status = refusalStatus(error, outcome, conventions);
    response.headers = { { "Content-Type", "application/problem+json" } };
    if (conventions.addFleetHeaders)
        response.headers.push_back({ OUTCOME_HEADER, toString(outcome) });
    if (retryAfter)
        response.headers.push_back({ "Retry-After", formatRetryAfter(*retryAfter, conventions) });
    if (!nextKey.empty() && conventions.addFleetHeaders)
        response.headers.push_back({ NEXT_KEY_HEADER, nextKey });
    const boost::json::object problem {
        { "type", std::string("urn:cornelwind:error:") + info.name },
        { "title", info.title },
        { "status", response.status },
        { "detail", info.remedy },
        { "outcome", toString(outcome) },
    };
    response.body = boost::json::serialize(problem) + "\n";
    return response;
}

} // namespace cornelwind
