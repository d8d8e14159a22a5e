#pragma once

#include "active_sheet.h"
#include "cornelwind/reducer.h"
#include "drain.h"
#include "gossip.h"
#include "health.h"
#include "key_registry.h"
#include "loss_table.h"
#include "member_table.h"
#include "request_flow.h"
#include "server_notices.h"
#include "server_registry.h"

#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

namespace peer {
    class ServersRequest;
}

/// Owns the modules of one entry instance and dispatches each event to them.
class Reducer::State {
public:
    State(const Settings& settings, Incarnation incarnation, const KeySecret& secret, Time start, SheetReader reader);
    void apply(const Event& event, EffectList& effects);
    void setSender(peer::Envelope& message) const { m_gossip.setSender(message); }
    Status status(Time now) const;
    Counters counters() const;
    std::vector<Decision> explain(const std::string& subject, std::size_t maxCount) const { return m_decisions.matching(subject, maxCount); }

private:
    void on(const HeadReceived& event, Context& context) { m_flow.onHead(event, context); }
    void on(const BodyReceived& event, Context& context) { m_flow.onBody(event, context); }
    void on(const ReceiveFailed& event, Context& context) { m_flow.onReceiveFailed(event, context); }
    void on(const CallerDisconnected& event, Context& context) { m_flow.onCallerDisconnected(event, context); }
    void on(const TryFinished& event, Context& context) { m_flow.onTryFinished(event, context); }
    void on(const OwnerReplied& event, Context& context) { m_flow.onOwnerReplied(event, context); }
    void on(const ProbeFinished& event, Context& context);
    void on(const ServersListed& event, Context& context) { m_health.onServersListed(event, context); }
    void on(const StopRequested&, Context& context) { m_drain.onStopRequested(context); }
    void on(const PlatformReachable&, Context& context) { platformAnswered(context); }
    void on(const SheetConfirmed& event, Context& context) { m_gossip.confirmSheet(event.calledAt, event.held, context.now()); }
    void on(const SystemSuspended& event, Context& context) { m_gossip.onSuspended(event.time, context.now()); }
    void on(const SettingsChanged& event, Context&) { m_gossip.setSeeds(event.seeds); }
    void on(const PlatformUnreachable& event, Context& context);
    void on(const ServersPublished& event, Context& context);
    void on(const KeysRequested& event, Context& context);
    void on(const SheetFetched& event, Context& context);
    void on(const InstancesListed& event, Context& context);
    void on(const PeerMessageReceived& event, Context& context);
    void on(const Tick&, Context& context);

    /// Handles the messages of the quotas of workspaces.
    ///
    /// @return false if it is another message
    bool onQuotaMessage(const peer::Envelope& message, const MemberRecord& sender, Context& context);
    void platformAnswered(Context& context);
    void offerSheet(const std::string& text, const std::string& source, Context& context);
    void adopt(const SheetPtr& sheet, Context& context);
    void adoptSheetWithServers(Context& context);
    void updateServers(Context& context);
    void catchUp(Context& context);
    void notifyZoneOfServers(Context& context);
    void applyServerUpdates(const peer::ServersNews& update, Context& context);
    void sendServerList(const peer::ServersRequest& request, const MemberRecord& to, Context& context);
    void applyServerList(const peer::ServersReply& reply, Context& context);
    void sendSheet(const MemberRecord& to, Context& context);
    void updateWatch(Context& context);
    void reportWatch(Context& context) const;
    void updateReady(Context& context);
    /// @return whether the API keys of the sheet may be accepted, if it lists any
    bool keysConfirmed(Time now) const;
    void reportApiKeysConfirmed(Context& context);

    KeyRegistry m_keys;
    Quarantine m_quarantine;
    ServerPool m_pool;
    LossTable m_losses;
    ActiveSheet m_activeSheet;
    ServerRegistry m_serverRegistry;
    MemberTable m_members;
    Gossip m_gossip;
    Health m_health;
    WorkspaceQuotas m_quotas;
    RequestFlow m_flow;
    ServerLimitExchange m_serverLimits;
    ServerNotices m_notices;
    Drain m_drain;
    DecisionLog m_decisions;
    std::optional<CallerLimits> m_callerLimits;
    std::optional<Time> m_laggingSince;
    Time m_nextCatchUp;
    StorePosition m_refreshRequestedFor;
    bool m_serversPublishedSeparately;
    /// The latest order to the platform source.
    WatchPlatform m_watch {};
    /// Whether requests are accepted since the start is complete.
    bool m_started = false;
    /// Whether the balancer is told to send requests.
    bool m_ready = false;
};

} // namespace cornelwind
