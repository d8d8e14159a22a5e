#include "cornelwind/published_server.h"

#include "cornelwind/http_syntax.h"

namespace cornelwind {

std::string findProblem(const PublishedServer& server)
{
    if (server.name.value().empty() || server.name.value().size() > MAX_SERVER_NAME_BYTES)
        return "a name of " + std::to_string(server.name.value().size()) + " bytes";
    // No server chooses another name, so the entry is of another writer.
    if (!isUnreserved(server.name.value()))
        return "a name with other characters than letters, digits and -._~";
    if (server.service.value().empty())
        return "no service";
    if (!server.address.port)
        return "address " + toString(server.address);
    if (!server.slots.value() || server.slots > MAX_SLOTS)
        return "slots " + std::to_string(server.slots.value());
    if (server.warmup < Millis { 0 } || server.warmup > MAX_WARMUP)
        return "warm-up of " + std::to_string(server.warmup.count()) + " ms";
    return {};
}

} // namespace cornelwind
