#pragma once

#include "context.h"
#include "cornelwind/server_notice.h"
#include "cornelwind/server_pool.h"
#include "server_limits/server_limit_exchange.h"

#include <functional>
#include <unordered_map>

namespace cornelwind {

/// Acts on what backend servers say of themselves in their responses.
///
/// Memory: one row for each server that said something that cannot be read.
class ServerNotices {
public:
    struct Dependencies {
        ServerPool& pool;
        ServerLimitExchange& serverLimits;
        /// Called when a server says that it is shutting down.
        std::function<void(ServerId, Context&)> onLeaving;
    };

    explicit ServerNotices(Dependencies dependencies);

    /// @param incarnation incarnation of the server that responded; what an earlier one said does not hold for its successor
    void onNotice(ServerId server, std::uint64_t incarnation, const ServerNotice& notice, Context& context);

private:
    /// Sends the server nothing for the time that it asks for, within `MAX_BACKOFF`.
    static void startBackoff(Server& server, Duration backoff, Context& context);
    /// Reports values that cannot be read, at most once in `REPORT_INTERVAL` for each server.
    void reportUnreadable(const Server& server, const ServerNotice& notice, Context& context);

    Dependencies m_dependencies;
    std::unordered_map<ServerId, Time> m_reportedAt;
};

} // namespace cornelwind
