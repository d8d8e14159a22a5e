#include "request_store.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace cornelwind {

ActiveRequest& RequestStore::create()
{
    const RequestId id { ++m_last };
    ActiveRequest& request = m_requests[id];
    request.id = id;
    return request;
}

ActiveRequest* RequestStore::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

Fingerprint fingerprintOf(const HttpHead& head, const std::string& body)
{
    const auto method = XXH3_64bits(head.method.data(), head.method.size());
    const auto target = XXH3_64bits_withSeed(head.target.data(), head.target.size(), method);
    return Fingerprint { XXH3_64bits_withSeed(body.data(), body.size(), target) };
}

HeadReceived makeHeadReceived(const ActiveRequest& request)
{
    HeadReceived event { request.id, request.head.method, request.head.target, {}, {}, request.origin.has_value() };
    if (const std::string* key = request.head.find(KEY_HEADER))
        event.key = *key;
    if (const std::string* deadline = request.head.find(DEADLINE_HEADER)) {
        std::uint32_t millis = 0;
        const auto [end, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), millis);
        if (error == std::errc {} && end == deadline->data() + deadline->size())
            event.remaining = Millis { millis };
    }
    return event;
}

Answer makeRefusal(ErrorKind error, Outcome outcome, std::optional<Millis> retryAfter, const std::string& nextKey)
{
    const ErrorInfo& info = describe(error);
    const boost::json::object problem {
        { "type", std::string("urn:cornelwind:error:") + info.name },
        { "title", info.title },
        { "status", info.status },
        { "detail", info.remedy },
        { "outcome", toString(outcome) },
    };
    Answer answer;
    answer.status = info.status;
    answer.headers = { { "Content-Type", "application/problem+json" }, { OUTCOME_HEADER, toString(outcome) } };
    if (retryAfter)
        answer.headers.push_back({ "Retry-After", std::to_string(std::max<std::int64_t>(1, (retryAfter->count() + 999) / 1000)) });
    if (!nextKey.empty())
        answer.headers.push_back({ NEXT_KEY_HEADER, nextKey });
    answer.body = boost::json::serialize(problem) + "\n";
    return answer;
}

} // namespace cornelwind
