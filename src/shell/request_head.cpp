#include "request_head.h"

#include "cornelwind/http_syntax.h"

#include <boost/beast/core/string.hpp>

#include <chrono>

namespace cornelwind {

std::optional<std::string> findInvalidPart(const HttpCall& call)
{
    if (!isToken(call.method))
        return "method " + call.method;
    if (!isRequestTarget(call.target))
        return "target " + call.target;
    for (const Header& header : call.headers) {
        if (!isToken(header.name) || !isFieldValue(header.value))
            return "header " + header.name;
    }
    return std::nullopt;
}

std::string serializeHead(const HttpCall& call, Time now)
{
    std::string head = call.method + " " + call.target + " HTTP/1.1\r\n";
    if (!call.deadlineHeader.empty())
        head += call.deadlineHeader + ": " + std::to_string(std::chrono::duration_cast<Millis>(call.deadline - now).count()) + "\r\n";
    bool hasHost = false;
    for (const Header& header : call.headers) {
        head += header.name + ": " + header.value + "\r\n";
        hasHost = hasHost || boost::beast::iequals(header.name, "Host");
    }
    if (!hasHost)
        head += "Host: " + toString(call.address) + "\r\n";
    if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD"))
        head += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return head + "\r\n";
}

} // namespace cornelwind
