#include "drain.h"

#include "peer.pb.h"

#include <array>
#include <memory>

namespace cornelwind {
namespace {

    constexpr Duration STEP_INTERVAL = std::chrono::milliseconds(200);
    constexpr Duration PROMISE_TIME = std::chrono::seconds(3);
    constexpr std::uint32_t MAX_OFFERS = 10;

} // namespace

Drain::Drain(Parts parts, Duration timeLimit, Duration noticeTime)
    : m_parts(parts)
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
    m_parts.gossip.setLeaving();
    m_parts.gossip.announce(context);
    context.emit(SetReady { false });
    context.report(DecisionKind::Draining, m_parts.members.self().value(), "a stop was requested", "time limit", m_timeLimit);
}

void Drain::onTick(Context& context)
{
    static constexpr std::array<PhaseHandler, 6> handlers {
        nullptr,
        &Drain::quiesce,
        &Drain::findHeir,
        &Drain::awaitAck,
        &Drain::finish,
        nullptr,
    };
    const PhaseHandler handler = handlers.at(static_cast<std::size_t>(m_phase));
    if (!handler)
        return;
    if (context.now() - m_requestedAt >= m_timeLimit) {
        m_parts.flow.abandonAll(context);
        m_phase = Phase::Stopped;
        return context.emit(Stopped {});
    }
    (this->*handler)(context);
}

void Drain::quiesce(Context& context)
{
    if (context.now() - m_requestedAt < m_noticeTime)
        return;
    if (!m_parts.keys.used() && context.now() >= m_expectsUntil) {
        // The balancer sends nobody any more; who still comes on an open connection is told to go elsewhere.
        m_parts.flow.refuseNew();
        m_phase = Phase::Finish;
        return;
    }
    m_parts.flow.pauseKeyed();
    if (!m_parts.flow.keyedIdle() || context.now() < m_expectsUntil)
        return;
    m_phase = Phase::FindHeir;
    offer(context);
}

void Drain::findHeir(Context& context)
{
    if (context.now() >= m_nextStep)
        offer(context);
}

void Drain::offer(Context& context)
{
    auto candidates = m_parts.members.live();
    std::erase_if(candidates, [](const MemberRecord* member) { return member->state != MemberState::Alive; });
    if (candidates.empty() || m_offers++ == MAX_OFFERS) {
        m_parts.flow.resumeKeyed(context);
        m_phase = Phase::Finish;
        return;
    }
    const MemberRecord& chosen = *candidates[context.random() % candidates.size()];
    m_offered = chosen.name;
    m_nextStep = context.now() + STEP_INTERVAL;
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_heir_offer();
    m_parts.gossip.send(chosen, std::move(message), context);
}

void Drain::onMessage(const peer::Envelope& message, MemberRecord& sender, Context& context)
{
    auto reply = std::make_shared<peer::Envelope>();
    switch (message.body_case()) {
    case peer::Envelope::kHeirOffer:
        if (stopping())
            return;
        m_expectsUntil = context.now() + PROMISE_TIME;
        reply->mutable_heir_accept();
        return m_parts.gossip.send(sender, std::move(reply), context);
    case peer::Envelope::kHeirAccept:
        return onAccept(sender, context);
    case peer::Envelope::kHandover:
        return onHandover(message.handover(), sender, context);
    case peer::Envelope::kHandoverAck:
        return m_parts.keys.onAck(message.handover_ack());
    case peer::Envelope::kHeirNotice:
        return m_parts.keys.noteHeir(Incarnation { message.heir_notice().incarnation() }, InstanceName { message.heir_notice().heir() }, context.now());
    default:
        return;
    }
}

void Drain::onHandover(const peer::Handover& part, const MemberRecord& sender, Context& context)
{
    // After its own handover this entry instance cannot answer for more keys.
    if (m_parts.keys.handedOver())
        return;
    const InheritResult result = m_parts.keys.inherit(part, context.now());
    if (result == InheritResult::Refused)
        return;
    if (result == InheritResult::Complete)
        m_expectsUntil = Time {};
    auto ack = std::make_shared<peer::Envelope>();
    ack->mutable_handover_ack()->set_incarnation(part.incarnation());
    ack->mutable_handover_ack()->set_part(part.part());
    m_parts.gossip.send(sender, std::move(ack), context);
}

void Drain::onAccept(const MemberRecord& sender, Context& context)
{
    if (m_phase == Phase::FindHeir && m_offered == sender.name)
        handOver(sender.name, context);
}

void Drain::handOver(const InstanceName& heir, Context& context)
{
    const std::size_t keys = m_parts.keys.size();
    m_parts.keys.handOver(heir, context.now());
    context.report(DecisionKind::HandedOver, heir.value(), std::to_string(keys) + " used keys");
    m_phase = Phase::Handover;
    m_nextStep = Time {};
    awaitAck(context);
}

void Drain::awaitAck(Context& context)
{
    if (m_parts.keys.handoverAcknowledged()) {
        notifyHeir(context);
        m_parts.flow.resumeKeyed(context);
        m_phase = Phase::Finish;
        return;
    }
    if (context.now() < m_nextStep)
        return;
    m_nextStep = context.now() + STEP_INTERVAL;
    const MemberRecord* heir = m_parts.members.find(m_parts.keys.heir());
    if (!heir)
        return;
    m_parts.keys.sendHandover([&](const peer::Handover& part) {
        auto message = std::make_shared<peer::Envelope>();
        *message->mutable_handover() = part;
        m_parts.gossip.send(*heir, std::move(message), context);
    });
}

void Drain::notifyHeir(Context& context)
{
    for (const MemberRecord* member : m_parts.members.live()) {
        for (const Incarnation incarnation : m_parts.keys.handedOverIncarnations()) {
            auto message = std::make_shared<peer::Envelope>();
            message->mutable_heir_notice()->set_incarnation(incarnation.value());
            message->mutable_heir_notice()->set_heir(m_parts.keys.heir().value());
            m_parts.gossip.send(*member, std::move(message), context);
        }
    }
}

void Drain::finish(Context& context)
{
    if (!m_parts.flow.idle())
        return;
    m_phase = Phase::Stopped;
    context.emit(Stopped {});
}

} // namespace cornelwind
