#include "drain.h"

#include "peer.pb.h"

#include <array>
#include <memory>

namespace cornelwind {
namespace {

    // Time between two offers, and between two transmissions of unacknowledged parts.
    constexpr Duration RETRY_INTERVAL = std::chrono::milliseconds(200);
    // How long this entry instance waits for the keys after it accepted an offer.
    constexpr Duration ACCEPTED_OFFER_LIFETIME = std::chrono::seconds(3);
    constexpr std::uint32_t MAX_OFFERS = 10;

} // namespace

Drain::Drain(Dependencies dependencies, Duration timeLimit, Duration noticeTime)
    : m_dependencies(dependencies)
    , m_timeLimit(timeLimit)
    , m_noticeTime(noticeTime)
{
}

void Drain::onStopRequested(Context& context)
{
    if (stopping())
        return;
    m_phase = Phase::Quiesce;
    m_requestedAt = context.now();
    m_dependencies.gossip.setLeaving();
    m_dependencies.gossip.announce(context);
    context.emit(SetReady { false });
    context.report(DecisionKind::Draining, m_dependencies.members.self().value(), "a stop was requested", "time limit", m_timeLimit);
}

void Drain::onTick(Context& context)
{
    static constexpr std::array<PhaseHandler, 6> handlers {
        nullptr,
        &Drain::quiesce,
        &Drain::findSuccessor,
        &Drain::awaitAck,
        &Drain::finish,
        nullptr,
    };
    const PhaseHandler handler = handlers.at(static_cast<std::size_t>(m_phase));
    if (!handler)
        return;
    if (context.now() - m_requestedAt >= m_timeLimit) {
        m_dependencies.flow.expireAll(context);
        m_phase = Phase::Stopped;
        return context.emit(Stopped {});
    }
    (this->*handler)(context);
}

void Drain::quiesce(Context& context)
{
    if (context.now() - m_requestedAt < m_noticeTime)
        return;
    // The balancer sends no new connections any more. Requests that still come are refused, so that callers connect to
    // another entry instance and no request is in progress when the time is over.
    m_dependencies.flow.stopAcceptingWithoutKeys();
    if (!m_dependencies.keys.used() && context.now() >= m_incomingUntil)
        return beginFinish();
    m_dependencies.flow.pauseKeyedRequests();
    if (!m_dependencies.flow.keyedRequestsIdle() || context.now() < m_incomingUntil)
        return;
    m_phase = Phase::FindSuccessor;
    offerKeys(context);
}

void Drain::findSuccessor(Context& context)
{
    if (context.now() >= m_nextRetry)
        offerKeys(context);
}

void Drain::offerKeys(Context& context)
{
    auto candidates = m_dependencies.members.live();
    std::erase_if(candidates, [](const MemberRecord* member) { return member->state != MemberState::Alive; });
    if (candidates.empty() || m_offerCount++ == MAX_OFFERS) {
        m_dependencies.flow.resumeKeyedRequests(context);
        return beginFinish();
    }
    const MemberRecord& chosen = *candidates[context.random() % candidates.size()];
    m_offeredTo = chosen.name;
    m_nextRetry = context.now() + RETRY_INTERVAL;
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_heir_offer();
    m_dependencies.gossip.send(chosen, std::move(message), context);
}

void Drain::onMessage(const peer::Envelope& message, MemberRecord& sender, Context& context)
{
    auto reply = std::make_shared<peer::Envelope>();
    switch (message.body_case()) {
    case peer::Envelope::kHeirOffer:
        if (stopping())
            return;
        m_incomingUntil = context.now() + ACCEPTED_OFFER_LIFETIME;
        reply->mutable_heir_accept();
        return m_dependencies.gossip.send(sender, std::move(reply), context);
    case peer::Envelope::kHeirAccept:
        return onOfferAccepted(sender, context);
    case peer::Envelope::kHandover:
        return onHandover(message.handover(), sender, context);
    case peer::Envelope::kHandoverAck:
        return m_dependencies.keys.onAck(message.handover_ack());
    case peer::Envelope::kHeirNotice:
        return m_dependencies.keys.recordSuccessor(Incarnation { message.heir_notice().incarnation() }, InstanceName { message.heir_notice().heir() }, context.now());
    default:
        return;
    }
}

void Drain::onHandover(const peer::Handover& part, const MemberRecord& sender, Context& context)
{
    // After its own handover this entry instance cannot own further keys.
    if (m_dependencies.keys.handedOver())
        return;
    const HandoverResult result = m_dependencies.keys.acceptPart(part, context.now());
    if (result == HandoverResult::Refused)
        return;
    if (result == HandoverResult::Complete)
        m_incomingUntil = Time {};
    auto ack = std::make_shared<peer::Envelope>();
    ack->mutable_handover_ack()->set_incarnation(part.incarnation());
    ack->mutable_handover_ack()->set_part(part.part());
    m_dependencies.gossip.send(sender, std::move(ack), context);
}

void Drain::onOfferAccepted(const MemberRecord& sender, Context& context)
{
    if (m_phase == Phase::FindSuccessor && m_offeredTo == sender.name)
        handOver(sender.name, context);
}

void Drain::handOver(const InstanceName& successor, Context& context)
{
    const std::size_t keys = m_dependencies.keys.size();
    m_dependencies.keys.handOver(successor, context.now());
    context.report(DecisionKind::HandedOver, successor.value(), std::to_string(keys) + " used keys");
    m_phase = Phase::Handover;
    m_nextRetry = Time {};
    awaitAck(context);
}

void Drain::awaitAck(Context& context)
{
    if (m_dependencies.keys.handoverAcknowledged()) {
        announceSuccessor(context);
        m_dependencies.flow.resumeKeyedRequests(context);
        return beginFinish();
    }
    if (context.now() < m_nextRetry)
        return;
    m_nextRetry = context.now() + RETRY_INTERVAL;
    const MemberRecord* successor = m_dependencies.members.find(m_dependencies.keys.successor());
    if (!successor)
        return;
    m_dependencies.keys.sendHandover([&](const peer::Handover& part) {
        auto message = std::make_shared<peer::Envelope>();
        *message->mutable_handover() = part;
        m_dependencies.gossip.send(*successor, std::move(message), context);
    });
}

void Drain::announceSuccessor(Context& context)
{
    for (const MemberRecord* member : m_dependencies.members.live()) {
        for (const Incarnation incarnation : m_dependencies.keys.handedOverIncarnations()) {
            auto message = std::make_shared<peer::Envelope>();
            message->mutable_heir_notice()->set_incarnation(incarnation.value());
            message->mutable_heir_notice()->set_heir(m_dependencies.keys.successor().value());
            m_dependencies.gossip.send(*member, std::move(message), context);
        }
    }
}

void Drain::beginFinish()
{
    m_dependencies.flow.stopAccepting();
    m_phase = Phase::Finish;
}

void Drain::finish(Context& context)
{
    if (!m_dependencies.flow.idle())
        return;
    m_phase = Phase::Stopped;
    context.emit(Stopped {});
}

} // namespace cornelwind
