#include "caller_side.h"

#include <boost/json.hpp>

#include <charconv>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_OWN_BODY = 1024;
    constexpr std::uint32_t DEFAULT_KEY_COUNT = 10;

    std::uint32_t keyCountOf(const std::string& target)
    {
        const auto position = target.find("?count=");
        std::uint32_t count = DEFAULT_KEY_COUNT;
        if (position != std::string::npos)
            std::from_chars(target.data() + position + 7, target.data() + target.size(), count);
        return count;
    }

    Answer plainAnswer(std::uint16_t status, std::string text)
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
    }

} // namespace

CallerSide::CallerSide(RequestStore& requests, Tracer& tracer, Dialect dialect, EventSink sink)
    : m_requests(requests)
    , m_tracer(tracer)
    , m_dialect(std::move(dialect))
    , m_sink(std::move(sink))
{
}

void CallerSide::onHead(const HttpExchangePtr& exchange)
{
    if (exchange->head().target.starts_with(OWN_PATH))
        return serveOwn(exchange);
    ActiveRequest& request = m_requests.create();
    request.head = exchange->head();
    request.exchange = exchange;
    m_byExchange[exchange.get()] = request.id;
    const std::string* parent = request.head.find("traceparent");
    request.span = m_tracer.start("caller", parent ? parseTraceparent(*parent) : std::nullopt);
    request.span.attributes = { { "http.request.method", request.head.method }, { "url.path", request.head.target.substr(0, request.head.target.find('?')) } };
    m_sink(makeHeadReceived(request, m_dialect));
}

void CallerSide::serveOwn(const HttpExchangePtr& exchange)
{
    const HttpHead& head = exchange->head();
    // A balancer's question has no body.
    const std::string path = head.target.substr(std::string(OWN_PATH).size());
    if (path == "ready" && head.method == "GET")
        m_ready ? exchange->readBody(MAX_OWN_BODY) : exchange->respond(plainAnswer(503, "not ready\n"));
    else if (path.starts_with("keys") && head.method == "POST")
        exchange->readBody(MAX_OWN_BODY);
    else
        exchange->respond(refusal(ErrorKind::NoRoute));
}

void CallerSide::onBody(const HttpExchangePtr& exchange, std::string body)
{
    const auto known = m_byExchange.find(exchange.get());
    if (known != m_byExchange.end()) {
        ActiveRequest* request = m_requests.find(known->second);
        if (!request)
            return;
        request->body = std::move(body);
        return m_sink(BodyReceived { request->id, fingerprintOf(request->head, request->body) });
    }
    if (exchange->head().method == "GET")
        return exchange->respond(plainAnswer(200, "ready\n"));
    ActiveRequest& request = m_requests.create();
    request.exchange = exchange;
    request.span = m_tracer.start("keys", std::nullopt);
    m_byExchange[exchange.get()] = request.id;
    m_sink(KeysWanted { request.id, keyCountOf(exchange->head().target) });
}

void CallerSide::onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error)
{
    const auto known = m_byExchange.find(exchange.get());
    if (known != m_byExchange.end())
        m_sink(ReceiveFailed { known->second, error });
    else
        exchange->respond(refusal(error));
}

void CallerSide::onGone(const HttpExchangePtr& exchange)
{
    const auto known = m_byExchange.find(exchange.get());
    if (known == m_byExchange.end())
        return;
    const RequestId id = known->second;
    m_byExchange.erase(known);
    if (ActiveRequest* request = m_requests.find(id)) {
        request->exchange = nullptr;
        request->span.failed = true;
        m_tracer.end(request->span);
    }
    m_sink(CallerGone { id });
}

Answer CallerSide::refusal(ErrorKind error)
{
    std::optional<Millis> retryAfter;
    if (error == ErrorKind::TooManyConnections)
        retryAfter = Millis { 1000 };
    return makeRefusal(error, Outcome::NotRun, retryAfter, {}, m_dialect);
}

void CallerSide::readBody(ActiveRequest& request, const ReadBody& effect)
{
    if (request.exchange)
        request.exchange->readBody(effect.limit.value());
}

void CallerSide::respond(ActiveRequest& request, Answer answer)
{
    if (!request.exchange)
        return;
    const HttpExchangePtr exchange = std::move(request.exchange);
    m_byExchange.erase(exchange.get());
    request.span.failed = answer.status >= 500;
    request.span.attributes.push_back({ "http.response.status_code", std::to_string(answer.status) });
    m_tracer.end(request.span);
    exchange->respond(answer);
}

void CallerSide::giveKeys(ActiveRequest& request, const GiveKeys& effect)
{
    boost::json::array keys;
    for (const std::string& key : effect.keys) {
        if (!key.empty())
            keys.emplace_back(key);
    }
    Answer answer { 200, { { "Content-Type", "application/json" } }, boost::json::serialize(boost::json::object { { "keys", std::move(keys) } }) + "\n" };
    respond(request, std::move(answer));
}

} // namespace cornelwind
