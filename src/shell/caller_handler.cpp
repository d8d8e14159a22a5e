#include "caller_handler.h"

#include <boost/json.hpp>

#include <charconv>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_INTERNAL_BODY_BYTES = 1024;
    constexpr std::uint32_t DEFAULT_KEY_COUNT = 10;

    std::uint32_t keyCountOf(const std::string& target)
    {
        const auto position = target.find("?count=");
        std::uint32_t count = DEFAULT_KEY_COUNT;
        if (position != std::string::npos)
            std::from_chars(target.data() + position + 7, target.data() + target.size(), count);
        return count;
    }

    Response plainTextResponse(std::uint16_t status, std::string text)
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
    }

} // namespace

CallerHandler::CallerHandler(RequestTable& requests, Tracer& tracer, HttpConventions conventions, EventSink sink)
    : m_requests(requests)
    , m_tracer(tracer)
    , m_conventions(std::move(conventions))
    , m_sink(std::move(sink))
{
}

void CallerHandler::onHead(const HttpExchangePtr& exchange)
{
    if (exchange->head().target.starts_with(INTERNAL_PATH_PREFIX))
        return serveInternal(exchange);
    ActiveRequest& request = m_requests.create();
    request.head = exchange->head();
    request.exchange = exchange;
    m_requestIds[exchange.get()] = request.id;
    const std::string* parent = request.head.find("traceparent");
    request.span = m_tracer.start("caller", parent ? parseTraceparent(*parent) : std::nullopt);
    request.span.attributes = { { "http.request.method", request.head.method }, { "url.path", request.head.target.substr(0, request.head.target.find('?')) } };
    m_sink(makeHeadReceived(request, m_conventions));
}

void CallerHandler::serveInternal(const HttpExchangePtr& exchange)
{
    const HttpHead& head = exchange->head();
    // A readiness check has no body, so the 503 is sent without reading one. The 200 is sent by `onBody`.
    const std::string path = head.target.substr(std::string(INTERNAL_PATH_PREFIX).size());
    if (path == "ready" && head.method == "GET")
        m_ready ? exchange->readBody(MAX_INTERNAL_BODY_BYTES) : exchange->respond(plainTextResponse(503, "not ready\n"));
    else if (path.starts_with("keys") && head.method == "POST")
        exchange->readBody(MAX_INTERNAL_BODY_BYTES);
    else
        exchange->respond(errorResponse(ErrorKind::NoRoute));
}

void CallerHandler::onBody(const HttpExchangePtr& exchange, SharedBody body)
{
    const auto found = m_requestIds.find(exchange.get());
    if (found != m_requestIds.end()) {
        ActiveRequest* request = m_requests.find(found->second);
        if (!request)
            return;
        request->body = std::move(body);
        return m_sink(BodyReceived { request->id, requestFingerprint(request->head, request->body.text()), ByteCount { request->body.size() } });
    }
    if (exchange->head().method == "GET")
        return exchange->respond(plainTextResponse(200, "ready\n"));
    ActiveRequest& request = m_requests.create();
    request.exchange = exchange;
    request.span = m_tracer.start("keys", std::nullopt);
    m_requestIds[exchange.get()] = request.id;
    m_sink(KeysRequested { request.id, keyCountOf(exchange->head().target) });
}

void CallerHandler::onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error)
{
    const auto found = m_requestIds.find(exchange.get());
    if (found != m_requestIds.end())
        m_sink(ReceiveFailed { found->second, error });
    else
        exchange->respond(errorResponse(error));
}

void CallerHandler::onDisconnect(const HttpExchangePtr& exchange)
{
    const auto found = m_requestIds.find(exchange.get());
    if (found == m_requestIds.end())
        return;
    const RequestId id = found->second;
    m_requestIds.erase(found);
    if (ActiveRequest* request = m_requests.find(id)) {
        request->exchange = nullptr;
        request->span.failed = true;
        m_tracer.end(request->span);
    }
    m_sink(CallerDisconnected { id });
}

Response CallerHandler::errorResponse(ErrorKind error)
{
    std::optional<Millis> retryAfter;
    if (error == ErrorKind::TooManyConnections)
        retryAfter = Millis { 1000 };
    return makeErrorResponse(error, Outcome::NotRun, retryAfter, {}, m_conventions);
}

void CallerHandler::readBody(ActiveRequest& request, const ReadBody& effect)
{
    if (request.exchange)
        request.exchange->readBody(effect.limit.value());
}

void CallerHandler::respond(ActiveRequest& request, const Response& response)
{
    if (!request.exchange)
        return;
    const HttpExchangePtr exchange = std::move(request.exchange);
    m_requestIds.erase(exchange.get());
    request.span.failed = response.status >= 500;
    request.span.attributes.push_back({ "http.response.status_code", std::to_string(response.status) });
    m_tracer.end(request.span);
    exchange->respond(response);
}

void CallerHandler::issueKeys(ActiveRequest& request, const IssueKeys& effect)
{
    boost::json::array keys;
    for (const std::string& key : effect.keys) {
        if (!key.empty())
            keys.emplace_back(key);
    }
    const Response response { 200, { { "Content-Type", "application/json" } }, boost::json::serialize(boost::json::object { { "keys", std::move(keys) } }) + "\n" };
    respond(request, response);
}

} // namespace cornelwind
