#include "admin_side.h"

#include "request_store.h"

#include <boost/json.hpp>
#include <boost/url.hpp>

#include <array>
#include <cstdio>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr std::size_t MAX_BODY = 1024;

    Answer textAnswer(std::uint16_t status, std::string type, std::string body)
    {
        return { status, { { "Content-Type", std::move(type) } }, std::move(body) };
    }

    double millis(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    json::object toJson(const ServerStatus& server)
    {
        return {
            { "name", server.name.value() },
            { "service", server.service.value() },
            { "standing", server.avoided ? "avoided" : server.standing },
            { "in_flight", server.inFlight },
            { "slots", server.slots },
            { "own_slots", server.ownSlots },
            { "score", server.score },
            { "threshold", server.threshold },
            { "bad_share", server.badShare },
            { "expected_share", server.expectedShare },
        };
    }

    json::object toJson(const MemberStatus& member)
    {
        return {
            { "name", member.name.value() },
            { "zone", member.zone.value() },
            { "state", member.state },
            { "listed", member.listed },
            { "direct", member.direct },
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
            { "sheet_age_ms", millis(status.sheetAge) },
            { "platform_age_ms", millis(status.platformAge) },
            { "requests", status.requests },
            { "keys", status.keys },
            { "servers", std::move(servers) },
            { "members", std::move(members) },
        };
    }

    json::object toJson(const Decision& decision, Time now)
    {
        return {
            { "age_ms", millis(now - decision.at) },
            { "decision", toString(decision.kind) },
            { "subject", decision.subject },
            { "evidence", decision.evidence },
            { "bound", decision.bound },
            { "lasts_ms", millis(decision.lasts) },
        };
    }

} // namespace

AdminSide::AdminSide(Parts parts)
    : m_parts(std::move(parts))
{
}

void AdminSide::onHead(const HttpExchangePtr& exchange)
{
    exchange->readBody(MAX_BODY);
}

void AdminSide::onBody(const HttpExchangePtr& exchange, std::string)
{
    exchange->respond(serve(exchange->head()));
}

void AdminSide::onReceiveFailed(const HttpExchangePtr& exchange, ErrorKind error)
{
    exchange->respond(refusal(error));
}

void AdminSide::onGone(const HttpExchangePtr&)
{
}

Answer AdminSide::refusal(ErrorKind error)
{
    return makeRefusal(error, Outcome::NotRun, {}, {});
}

Answer AdminSide::serve(const HttpHead& head)
{
    struct Command {
        const char* method;
        const char* path;
        Answer (AdminSide::*serve)(const std::string& argument);
    };
    static constexpr std::array commands {
        Command { "GET", "/status", &AdminSide::serveStatus },
        Command { "GET", "/explain", &AdminSide::serveExplain },
        Command { "GET", "/metrics", &AdminSide::serveMetrics },
        Command { "GET", "/ready", &AdminSide::serveReady },
        Command { "POST", "/drain", &AdminSide::serveDrain },
    };
    const auto target = boost::urls::parse_origin_form(head.target);
    if (!target)
        return refusal(ErrorKind::MalformedRequest);
    std::string argument;
    const auto parameters = target->params();
    const auto subject = parameters.find("subject");
    if (subject != parameters.end())
        argument = (*subject).value;
    for (const Command& command : commands) {
        if (head.method == command.method && target->path() == command.path)
            return (this->*command.serve)(argument);
    }
    return refusal(ErrorKind::UnknownCommand);
}

Answer AdminSide::serveStatus(const std::string&)
{
    return textAnswer(200, "application/json", json::serialize(toJson(m_parts.status())) + "\n");
}

Answer AdminSide::serveExplain(const std::string& argument)
{
    json::array decisions;
    for (const Decision& decision : m_parts.explain(argument))
        decisions.push_back(toJson(decision, m_parts.now()));
    json::array servers;
    for (const ServerStatus& server : m_parts.status().servers) {
        if (argument.empty() || server.name.value() == argument || server.service.value() == argument)
            servers.push_back(toJson(server));
    }
    const json::object body { { "servers", std::move(servers) }, { "decisions", std::move(decisions) } };
    return textAnswer(200, "application/json", json::serialize(body) + "\n");
}

Answer AdminSide::serveMetrics(const std::string&)
{
    return textAnswer(200, "text/plain; version=0.0.4", m_parts.metrics());
}

Answer AdminSide::serveReady(const std::string&)
{
    const bool ready = m_parts.status().ready;
    return textAnswer(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

Answer AdminSide::serveDrain(const std::string&)
{
    m_parts.drain();
    return textAnswer(202, "text/plain", "draining\n");
}

} // namespace cornelwind
