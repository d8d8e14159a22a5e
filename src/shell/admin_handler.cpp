#include "admin_handler.h"

#include "request_table.h"

#include <boost/json.hpp>
#include <boost/url.hpp>

#include <array>
#include <cstdio>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr std::size_t MAX_BODY_BYTES = 1024;

    Response textResponse(std::uint16_t status, std::string type, std::string body)
    {
        return { status, { { "Content-Type", std::move(type) } }, std::move(body) };
    }

    double toMillis(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    json::object toJson(const ServerStatus& server)
    {
        return {
            { "name", server.name.value() },
            { "service", server.service.value() },
            { "standing", server.avoided ? "avoided" : server.state },
            { "in_flight", server.inFlight },
            { "slots", server.slots },
            { "own_slots", server.ownSlots },
            { "score", server.score },
            { "threshold", server.threshold },
            { "bad_share", server.badShare },
            { "expected_share", server.expectedShare },
            { "limit", server.limit },
            { "limit_age_ms", toMillis(server.limitAge) },
            { "limit_source", server.limitSource },
            { "backoff_ms", toMillis(server.backoff) },
            { "idle", server.idle ? toString(*server.idle) : "" },
        };
    }

    json::object toJson(const MemberStatus& member)
    {
        return {
            { "name", member.name.value() },
            { "zone", member.zone.value() },
            { "state", member.state },
            { "listed", member.listed },
            { "direct", member.answersDirectly },
        };
    }

    json::object toJson(const Status& status)
    {
        json::array servers;
        for (const ServerStatus& server : status.servers)
            servers.push_back(toJson(server));
        json::array members;
        for (const MemberStatus& member : status.members)
            members.push_back(toJson(member));
        char incarnation[17];
        std::snprintf(incarnation, sizeof incarnation, "%016llx", static_cast<unsigned long long>(status.incarnation.value()));
        return {
            { "name", status.name.value() },
            { "incarnation", incarnation },
            { "ready", status.ready },
            { "stopping", status.stopping },
            { "watching", status.watching },
            { "sheet_version", status.sheet.value() },
            { "sheet_age_ms", toMillis(status.sheetAge) },
            { "workspaces", status.workspaces },
            { "api_keys", status.apiKeys },
            { "api_keys_confirmed", status.apiKeysConfirmed },
            { "confirmation_age_ms", status.confirmationAge ? json::value(toMillis(*status.confirmationAge)) : json::value() },
            { "platform_age_ms", toMillis(status.platformAge) },
            { "zone_contact_age_ms", toMillis(status.zoneContactAge) },
            { "requests", status.requests },
            { "keys", status.keys },
            { "servers", std::move(servers) },
            { "members", std::move(members) },
        };
    }

    json::object toJson(const Decision& decision, Time now)
    {
        return {
            { "age_ms", toMillis(now - decision.at) },
            { "decision", toString(decision.kind) },
            { "subject", decision.subject },
            { "evidence", decision.evidence },
            { "bound", decision.bound },
            { "lasts_ms", toMillis(decision.lasts) },
        };
    }

} // namespace

AdminHandler::AdminHandler(Operations operations)
    : m_operations(std::move(operations))
{
}

void AdminHandler::onHead(const HttpExchangePtr& exchange)
{
    exchange->readBody(MAX_BODY_BYTES);
}

void AdminHandler::onBody(const HttpExchangePtr& exchange, SharedBody)
{
    exchange->respond(serve(exchange->head()));
}

void AdminHandler::onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error)
{
    exchange->respond(errorResponse(error));
}

void AdminHandler::onDisconnect(const HttpExchangePtr&)
{
}

Response AdminHandler::errorResponse(ErrorKind error)
{
    return makeErrorResponse(error, Outcome::NotRun, {}, {});
}

Response AdminHandler::serve(const HttpHead& head)
{
    struct Route {
        const char* method;
        const char* path;
        Response (AdminHandler::*serve)(const std::string& subject);
    };
    static constexpr std::array routes {
        Route { "GET", "/status", &AdminHandler::serveStatus },
        Route { "GET", "/explain", &AdminHandler::serveExplain },
        Route { "GET", "/metrics", &AdminHandler::serveMetrics },
        Route { "GET", "/ready", &AdminHandler::serveReady },
        Route { "POST", "/drain", &AdminHandler::serveDrain },
    };
    const auto target = boost::urls::parse_origin_form(head.target);
    if (!target)
        return errorResponse(ErrorKind::MalformedRequest);
    std::string subject;
    const auto parameters = target->params();
    const auto parameter = parameters.find("subject");
    if (parameter != parameters.end())
        subject = (*parameter).value;
    for (const Route& route : routes) {
        if (head.method == route.method && target->path() == route.path)
            return (this->*route.serve)(subject);
    }
    return errorResponse(ErrorKind::UnknownCommand);
}

Response AdminHandler::serveStatus(const std::string&)
{
    return textResponse(200, "application/json", json::serialize(toJson(m_operations.status())) + "\n");
}

Response AdminHandler::serveExplain(const std::string& subject)
{
    json::array decisions;
    for (const Decision& decision : m_operations.explain(subject))
        decisions.push_back(toJson(decision, m_operations.now()));
    json::array servers;
    for (const ServerStatus& server : m_operations.status().servers) {
        if (subject.empty() || server.name.value() == subject || server.service.value() == subject)
            servers.push_back(toJson(server));
    }
    const json::object body { { "servers", std::move(servers) }, { "decisions", std::move(decisions) } };
    return textResponse(200, "application/json", json::serialize(body) + "\n");
}

Response AdminHandler::serveMetrics(const std::string&)
{
    return textResponse(200, "text/plain; version=0.0.4", m_operations.metrics());
}

Response AdminHandler::serveReady(const std::string&)
{
    const bool ready = m_operations.status().ready;
    return textResponse(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

Response AdminHandler::serveDrain(const std::string&)
{
    m_operations.drain();
    return textResponse(202, "text/plain", "draining\n");
}

} // namespace cornelwind
