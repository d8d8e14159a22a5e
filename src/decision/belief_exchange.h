#pragma once

#include "context.h"
#include "cornelwind/server_pool.h"
#include "gossip.h"
#include "loss_table.h"
#include "member_table.h"
#include "zone_broadcast.h"

#include <set>
#include <string>
#include <vector>

namespace cornelwind {

namespace peer {
    class BeliefsReply;
    class Loads;
}

/// Shares observations of backend servers, and the requests in flight at them, with the other entry instances.
///
/// An observation that counts against a server, or that a suspected server has
/// recovered, is sent at once. Only failed connection attempts are not sent, since
/// the path of this entry instance is more often at fault than the server. An
/// instance that starts, or that resumes after a pause of its process, requests the
/// suspected servers from some members, so that it does not lose a request of its
/// own to each unhealthy server.
/// Messages: one broadcast for each such observation, see `ZoneBroadcast`;
/// loads within the availability zone only.
class BeliefExchange {
public:
    struct Dependencies {
        ServerPool& pool;
        MemberTable& members;
        Gossip& gossip;
        LossTable& losses;
    };

    explicit BeliefExchange(Dependencies dependencies);

    /// Requests suspicions after a start or a pause. Sends the requests in flight here if they changed or a server
    /// has answered, and otherwise at regular intervals, since the report stored at a peer expires.
    void onTick(Context& context);

    /// Records an observation of this entry instance and sends it to the peers if they need it.
    ///
    /// @param sentAt when the request was sent
    /// @param request name of the request in the log
    void observed(ServerId server, Observation observation, Time sentAt, const std::string& request, Context& context);

    /// Records observations of a peer.
    ///
    /// @param message contains outcomes
    void onOutcomes(const peer::Envelope& message, const MemberRecord& sender, Context& context);
    /// Records the requests that a peer of the availability zone has in flight at backend servers.
    void onLoads(const peer::Loads& loads, const MemberRecord& sender, Context& context);
    /// Sends the suspected servers and the recovery model to a peer that requested them.
    void onBeliefsRequest(const MemberRecord& sender, Context& context);
    /// Adopts the suspicions and the recovery model of a peer, see `BeliefTable::adopt` and `RecoveryModel::adopt`.
    void onBeliefsReply(const peer::BeliefsReply& reply, const MemberRecord& sender, Context& context);

private:
    void requestBeliefs(Context& context);
    void sendLoads(Context& context);
    void sendOutcome(ServerId server, Observation observation, Time sentAt, Context& context);
    void reportBelief(ServerId server, Observation observation, const std::string& source, Context& context) const;

    Dependencies m_dependencies;
    ZoneBroadcast m_broadcast;
    Time m_lastTick;
    /// Members that were sent a request for their suspicions since the start or the last pause.
    std::set<InstanceName> m_requestedFrom;
    /// When loads are sent next if nothing changes before.
    Time m_nextLoads;
    std::vector<ServerLoad> m_sentLoads;
    /// Servers that answered in time since loads were last sent.
    std::set<ServerId> m_answered;
};

} // namespace cornelwind
