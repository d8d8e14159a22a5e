#include "server_limits/server_limit_exchange.h"

#include "peer.pb.h"

#include <algorithm>
#include <cstdio>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_PEERS = 32;
    // Time for a grant that is due at once to arrive.
    constexpr Duration MIN_ASK_LIFETIME = std::chrono::milliseconds(100);
    // An earlier coordinator may be at work for this time.
    constexpr Duration TAKEOVER_TIME = std::chrono::seconds(3);
    constexpr double TAKEOVER_RATE = 0.5;
    // Upper limit of the ages that peers state: 1 h.
    constexpr std::uint64_t MAX_AGE_US = 3'600'000'000;

    std::string describeLimit(const Limit& limit)
    {
        char text[64];
        std::snprintf(text, sizeof text, "%.2f requests a second", limit.perSecond);
        return text;
    }

} // namespace

ServerLimitExchange::ServerLimitExchange(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_choice(dependencies.members, dependencies.gossip)
{
}

void ServerLimitExchange::onTick(Context& context)
{
    serverLimits().expire(context.now());
    m_choice.observe(context.now());
    passOverSilentMembers(context);
    returnUnused(context);
    sendAsks(context);
    handOut(context);
}

void ServerLimitExchange::onResponse(const Server& server, std::optional<double> perSecond, Context& context)
{
    const LimitChange change = serverLimits().state(server.id, perSecond, context.now(), "a response", context.now());
    if (change == LimitChange::None)
        return;
    reportChange(change, server.id, context);
    peer::Envelope message;
    writeRow(server.id, *message.mutable_limit_news()->add_rows(), context.now());
    m_dependencies.gossip.sendToSubset(message, MAX_PEERS, context);
}

void ServerLimitExchange::onLimitNews(const peer::LimitNews& news, const MemberRecord& sender, Context& context)
{
    for (const peer::LimitRow& row : news.rows())
        mergeRow(row, "instance " + sender.name.value(), context);
}

void ServerLimitExchange::sendAsks(Context& context)
{
    const Time now = context.now();
    std::erase_if(m_asks, [now](const auto& row) { return row.second.until <= now; });
    PeerOutbox outbox = makeOutbox();
    for (const auto& [server, patience] : serverLimits().wanted(now)) {
        if (m_asks.contains(server) || serverLimits().expectedOpening(server, now) > now + patience)
            continue;
        const InstanceName coordinator = m_choice.coordinatorOf(server.value(), now);
        m_asks[server] = { coordinator, now + std::max(patience, MIN_ASK_LIFETIME) };
        if (coordinator == m_dependencies.members.self()) {
            expectGrant(server, m_coordinator.ask(server, coordinator, patience, grantRate(server, now), now), context);
            continue;
        }
        peer::GrantAsk& row = *outbox.messageTo(coordinator).mutable_grant_request()->add_rows();
        writeRow(server, *row.mutable_limit(), now);
        row.set_patience_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(patience).count()));
        m_choice.expectReply(coordinator, now);
    }
    outbox.send(context);
}

void ServerLimitExchange::returnUnused(Context& context)
{
    PeerOutbox outbox = makeOutbox();
    for (const auto& [server, coordinator] : serverLimits().takeUnused(context.now())) {
        if (coordinator == m_dependencies.members.self())
            m_coordinator.giveBack(server, grantRate(server, context.now()), context.now());
        else
            outbox.messageTo(coordinator).mutable_grant_return()->add_servers(server.value());
    }
    outbox.send(context);
}

void ServerLimitExchange::onGrantReturn(const peer::GrantReturn& unused, Context& context)
{
    for (const std::uint64_t server : unused.servers())
        m_coordinator.giveBack(ServerId { server }, grantRate(ServerId { server }, context.now()), context.now());
    handOut(context);
}

// What was asked of a silent member is asked of the next one.
void ServerLimitExchange::passOverSilentMembers(Context& context)
{
    for (const InstanceName& silent : m_choice.passOverSilent(context.now()))
        std::erase_if(m_asks, [&](const auto& ask) { return ask.second.coordinator == silent; });
}

void ServerLimitExchange::handOut(Context& context)
{
    if (m_coordinator.empty())
        return;
    PeerOutbox outbox = makeOutbox();
    const auto rate = [&](ServerId server) { return grantRate(server, context.now()); };
    for (const GrantCoordinator::Grant& grant : m_coordinator.takeDue(rate, context.now())) {
        if (grant.instance == m_dependencies.members.self()) {
            receiveGrant(grant.server, grant.instance, context);
            continue;
        }
        peer::GrantRow& row = *outbox.messageTo(grant.instance).mutable_grant_reply()->add_rows();
        writeRow(grant.server, *row.mutable_limit(), context.now());
        row.set_granted(true);
    }
    outbox.send(context);
}

void ServerLimitExchange::onGrantRequest(const peer::GrantRequest& request, const MemberRecord& sender, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    for (const peer::GrantAsk& row : request.rows()) {
        const ServerId server { row.limit().server() };
        mergeRow(row.limit(), "instance " + sender.name.value(), context);
        const double rate = grantRate(server, context.now());
        const Duration wait = rate > 0 ? m_coordinator.ask(server, sender.name, Millis { row.patience_ms() }, rate, context.now()) : Duration {};
        if (rate > 0 && wait <= Duration {})
            continue;
        peer::GrantRow& reply = *message->mutable_grant_reply()->add_rows();
        writeRow(server, *reply.mutable_limit(), context.now());
        reply.set_wait_ms(static_cast<std::uint32_t>(std::chrono::ceil<Millis>(wait).count()));
    }
    if (message->has_grant_reply())
        m_dependencies.gossip.send(sender, std::move(message), context);
    handOut(context);
}

void ServerLimitExchange::onGrantReply(const peer::GrantReply& reply, const MemberRecord& sender, Context& context)
{
    m_choice.onReply(sender.name);
    for (const peer::GrantRow& row : reply.rows()) {
        const ServerId server { row.limit().server() };
        mergeRow(row.limit(), "instance " + sender.name.value(), context);
        if (row.granted())
            receiveGrant(server, sender.name, context);
        else
            expectGrant(server, Millis { row.wait_ms() }, context);
    }
}

// A grant for which nobody waits any more has been on its way for too long.
void ServerLimitExchange::receiveGrant(ServerId server, const InstanceName& coordinator, Context& context)
{
    if (m_asks.erase(server))
        serverLimits().addGrant(server, coordinator, context.now());
}

// A request that does not wait for its turn may ask again when that is near.
void ServerLimitExchange::expectGrant(ServerId server, Duration wait, Context& context)
{
    serverLimits().expectGrant(server, context.now() + wait);
    const auto ask = m_asks.find(server);
    if (ask != m_asks.end() && context.now() + wait > ask->second.until)
        m_asks.erase(ask);
}

double ServerLimitExchange::grantRate(ServerId server, Time now) const
{
    const Limit* limit = serverLimits().find(server);
    if (!limit || !limit->holds())
        return 0;
    const Time since = std::min(m_coordinator.coordinatedSince(server).value_or(now), m_choice.membersChangedAt());
    const bool settled = now - since >= TAKEOVER_TIME && m_choice.isSelf(m_choice.coordinatorOf(server.value(), now));
    return limit->perSecond * m_choice.reachableShare() * (settled ? 1 : TAKEOVER_RATE);
}

void ServerLimitExchange::mergeRow(const peer::LimitRow& row, const std::string& source, Context& context)
{
    const ServerId id { row.server() };
    const Server* server = m_dependencies.pool.find(id);
    if (!server || server->config.incarnation != row.incarnation())
        return;
    const Time statedAt = context.now() - Duration { std::min(row.stated_ago_us(), MAX_AGE_US) };
    const bool limited = row.per_second() > 0;
    reportChange(serverLimits().state(id, limited ? std::optional(row.per_second()) : std::nullopt, statedAt, source, context.now()), id, context);
}

void ServerLimitExchange::writeRow(ServerId id, peer::LimitRow& row, Time now) const
{
    row.set_server(id.value());
    if (const Server* server = m_dependencies.pool.find(id))
        row.set_incarnation(server->config.incarnation);
    const Limit* limit = serverLimits().find(id);
    row.set_stated_ago_us(limit ? static_cast<std::uint64_t>((now - limit->statedAt).count()) : MAX_AGE_US);
    row.set_per_second(limit ? limit->perSecond : 0);
}

void ServerLimitExchange::reportChange(LimitChange change, ServerId id, Context& context) const
{
    const Server* server = m_dependencies.pool.find(id);
    const Limit* limit = serverLimits().find(id);
    if (change == LimitChange::None || !server || !limit)
        return;
    if (change == LimitChange::Ended)
        context.report(DecisionKind::ServerUnlimited, server->config.name.value(), "no limit any more according to " + limit->source);
    else
        context.report(DecisionKind::ServerLimited, server->config.name.value(), "limit named according to " + limit->source, describeLimit(*limit));
}

} // namespace cornelwind
