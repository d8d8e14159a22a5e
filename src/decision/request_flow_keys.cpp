// RequestFlow: requests with an idempotency key.
#include "request_flow.h"

#include <algorithm>
#include <utility>

namespace cornelwind {

bool RequestFlow::needsKey(const Request& request) const
{
    return request.rule && request.rule->kind == RequestKind::AtMostOnce && request.rule->key == KeyMode::Owner;
}

std::optional<RequestFlow::Refusal> RequestFlow::checkKey(Request& request, const HeadReceived& event)
{
    if (!needsKey(request))
        return std::nullopt;
    if (!event.key)
        return Refusal { ErrorKind::KeyRequired, Outcome::NotRun, {} };
    request.key = parseKey(*event.key);
    if (!request.key)
        return Refusal { ErrorKind::KeyInvalid, Outcome::NotRun, {} };
    const KeyOwner owner = m_dependencies.keys.ownerOf(*request.key);
    if (owner.keySpace && !owner.keySpace->issuer.verify(*request.key))
        return Refusal { ErrorKind::KeyInvalid, Outcome::NotRun, {} };
    return std::nullopt;
}

void RequestFlow::beginKeyed(Request& request, Context& context)
{
    const KeyOwner owner = m_dependencies.keys.ownerOf(*request.key);
    if (!owner.keySpace)
        return forward(request, owner, context);
    if (m_keyedPaused) {
        request.phase = Phase::Paused;
        m_pausedRequests.push_back(request.id);
        return;
    }
    const KeyDecision decision = owner.keySpace->idempotencyStore.begin(request.key->id, request.fingerprint, request.id);
    switch (decision.action) {
    case KeyAction::Run:
        request.service->budget.deposit();
        return takeQuotaToken(request, context);
    case KeyAction::Join:
        ++m_counters.joined;
        request.phase = Phase::Joined;
        return;
    case KeyAction::Repeat:
        ++m_counters.repeated;
        respond(request, decision.result, {}, context);
        return eraseIfDone(request.id, context);
    case KeyAction::Refuse:
        // A request with an expired key may have run. A key used for a different request proves that this one has not.
        const Outcome outcome = decision.error == ErrorKind::KeyMismatch ? Outcome::NotRun : Outcome::Unknown;
        return refuse(request, { decision.error, outcome, {} }, context);
    }
}

void RequestFlow::forward(Request& request, const KeyOwner& owner, Context& context)
{
    // A request is forwarded to the owner, and once more from the owner to its successor. If it may not be forwarded, or
    // the address is unknown, no owner of the key can be reached. An earlier request with the key may have run, so the
    // outcome is unknown.
    const bool mayForward = !request.forwarded || m_dependencies.keys.handedOver();
    if (context.now() >= request.deadline)
        return refuse(request, { ErrorKind::DeadlinePassed, Outcome::Unknown, {} }, context);
    const auto address = m_dependencies.peers.endpointOf(owner.instance, owner.incarnation);
    if (!mayForward || !address)
        return refuse(request, { ErrorKind::OwnerUnreachable, Outcome::Unknown, RETRY_AFTER }, context);
    ++m_counters.forwarded;
    request.phase = Phase::Forwarded;
    context.emit(ForwardToOwner { request.id, owner.instance, *address, std::chrono::duration_cast<Millis>(request.deadline - context.now()), labelOf(request) });
}

void RequestFlow::onOwnerReplied(const OwnerReplied& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Forwarded)
        return;
    std::optional<Millis> retryAfter;
    if (event.error != ErrorKind::None)
        retryAfter = RETRY_AFTER;
    respond(*request, KeyResult { event.outcome, event.error, event.response }, retryAfter, context);
    eraseIfDone(event.request, context);
}

bool RequestFlow::keyedRequestsIdle() const
{
    const auto isInProgress = [](const auto& row) {
        const Phase phase = row.second.phase;
        return row.second.key && (phase == Phase::AwaitingQuota || phase == Phase::Queued || phase == Phase::Sent || phase == Phase::Joined);
    };
    return std::none_of(m_requests.begin(), m_requests.end(), isInProgress);
}

void RequestFlow::resumeKeyedRequests(Context& context)
{
    m_keyedPaused = false;
    const std::vector<RequestId> paused = std::exchange(m_pausedRequests, {});
    for (const RequestId id : paused) {
        Request* request = find(id);
        if (request && request->phase == Phase::Paused)
            beginKeyed(*request, context);
    }
}

} // namespace cornelwind
