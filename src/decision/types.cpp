#include "cornelwind/types.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <charconv>

namespace cornelwind {
namespace {

    bool isNumericAddress(const std::string& host)
    {
        // The C library reads only up to a null character.
        if (host.find('\0') != std::string::npos)
            return false;
        in_addr v4 {};
        in6_addr v6 {};
        return inet_pton(AF_INET, host.c_str(), &v4) == 1 || inet_pton(AF_INET6, host.c_str(), &v6) == 1;
    }

    std::string withoutBrackets(std::string_view host)
    {
        if (host.size() >= 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        return std::string(host);
    }

} // namespace

ServerId serverIdOf(const ServerName& name)
{
    return ServerId { XXH3_64bits(name.value().data(), name.value().size()) };
}

ServiceId serviceIdOf(const ServiceName& name)
{
    return ServiceId { XXH3_64bits(name.value().data(), name.value().size()) };
}

WorkspaceId workspaceIdOf(const WorkspaceName& name)
{
    return WorkspaceId { XXH3_64bits(name.value().data(), name.value().size()) };
}

std::string toString(const StorePosition& position)
{
    const std::string revision = "revision " + std::to_string(position.revision.value());
    return position.era.value() ? revision + " of era " + std::to_string(position.era.value()) : revision;
}

const char* toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string toString(const Endpoint& endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.host = withoutBrackets(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc {} || end != port.data() + port.size() || port.empty() || !isNumericAddress(endpoint.host))
        return std::nullopt;
    return endpoint;
}

} // namespace cornelwind
