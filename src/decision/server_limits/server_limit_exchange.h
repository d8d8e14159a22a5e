#pragma once

#include "context.h"
#include "coordinator_choice.h"
#include "cornelwind/server_pool.h"
#include "gossip.h"
#include "member_table.h"
#include "peer_outbox.h"
#include "server_limits/grant_coordinator.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

namespace peer {
    class GrantReply;
    class GrantRequest;
    class GrantReturn;
    class LimitNews;
    class LimitRow;
}

/// Shares the limits of backend servers, and divides them among the entry instances, see docs/design/server-limits.md.
///
/// Each limited server has a coordinator, the live instance with the highest hash of server and instance. An instance that
/// wants to send there asks the coordinator for a grant. A member that does not reply is passed over for `SILENT_TIME`, and
/// the next one takes its place at half the rate, as the first may still be handing out grants to others.
///
/// Messages: one to each of at most `MAX_PEERS` members for each limit that begins, changes or ends; for a grant, one to its
/// coordinator, one or two in reply, and one to give it back if it is not used.
class ServerLimitExchange {
public:
    struct Dependencies {
        ServerPool& pool;
        MemberTable& members;
        Gossip& gossip;
    };

    explicit ServerLimitExchange(Dependencies dependencies);

    /// Asks for the grants wanted, and hands out those that are due.
    void onTick(Context& context);
    /// Records what a response just now said of the limit of a server, and tells the peers of a change.
    ///
    /// @param perSecond requests a second; nothing if the server names no limit
    void onResponse(const Server& server, std::optional<double> perSecond, Context& context);

    void onLimitNews(const peer::LimitNews& news, const MemberRecord& sender, Context& context);
    /// Lets the sender wait for grants, sends those that are due, and replies with the expected wait for the others.
    void onGrantRequest(const peer::GrantRequest& request, const MemberRecord& sender, Context& context);
    void onGrantReply(const peer::GrantReply& reply, const MemberRecord& sender, Context& context);
    void onGrantReturn(const peer::GrantReturn& unused, Context& context);

private:
    /// A request for a grant that has not been granted.
    struct Ask {
        InstanceName coordinator;
        /// The instance no longer waits for the grant after this time.
        Time until;
    };

    void sendAsks(Context& context);
    void returnUnused(Context& context);
    PeerOutbox makeOutbox() { return { m_dependencies.members, m_dependencies.gossip }; }
    void passOverSilentMembers(Context& context);
    void handOut(Context& context);
    void expectGrant(ServerId server, Duration wait, Context& context);
    void receiveGrant(ServerId server, const InstanceName& coordinator, Context& context);
    /// @return grants a second that this entry instance hands out for a server; 0 if it is not limited
    double grantRate(ServerId server, Time now) const;
    void mergeRow(const peer::LimitRow& row, const std::string& source, Context& context);
    void writeRow(ServerId server, peer::LimitRow& row, Time now) const;
    void reportChange(LimitChange change, ServerId server, Context& context) const;
    ServerLimitTable& serverLimits() { return m_dependencies.pool.serverLimits(); }
    const ServerLimitTable& serverLimits() const { return m_dependencies.pool.serverLimits(); }

    Dependencies m_dependencies;
    GrantCoordinator m_coordinator;
    std::unordered_map<ServerId, Ask> m_asks;
    CoordinatorChoice m_choice;
};

} // namespace cornelwind
