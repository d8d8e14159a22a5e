// RequestFlow: admission and the choice of a backend server.
#include "request_flow.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // Share of the requests that may be trials of a suspected server. Most trials fail, and a failed at-most-once request
    // cannot be retried.
    constexpr double TRIAL_SHARE = 0.05;
    constexpr double IDEMPOTENT_TRIAL_SHARE = 0.15;
    // Maximum number of trials that may be saved up.
    constexpr double MAX_TRIAL_TOKENS = 2;
    // Weight of one request in the moving average: it covers about the last hundred requests.
    constexpr double IDEMPOTENT_SHARE_WEIGHT = 0.01;
    // A failed try costs a retryable request some time and a retry; it costs any other request its whole value.
    constexpr double RETRYABLE_RISK_WEIGHT = 0.5;
    // A failed trial of a retryable request costs little, because most trials end within milliseconds.
    constexpr double RETRYABLE_TRIAL_COST = 0.2;
    // Time that a request waits for a slot of its own entry instance before it borrows one, in median response times.
    constexpr double AT_MOST_ONCE_BORROW_MEDIANS = 3;
    constexpr double IDEMPOTENT_BORROW_MEDIANS = 1;

} // namespace

void RequestFlow::admit(Request& request, Context& context)
{
    if (const auto refusal = refusalBeforeSend(request, context))
        return completeRequest(request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
    Service& service = *request.service;
    const bool idempotent = request.rule->kind == RequestKind::Idempotent;
    service.trialTokens = std::min(service.trialTokens + (idempotent ? IDEMPOTENT_TRIAL_SHARE : TRIAL_SHARE), MAX_TRIAL_TOKENS);
    service.idempotentShare += IDEMPOTENT_SHARE_WEIGHT * ((idempotent ? 1 : 0) - service.idempotentShare);
    service.queue->countArrival(priorityOf(request));
    if (!service.queue->size() && trySend(request, context))
        return service.queue->countStart(priorityOf(request));
    if (const auto refusal = refusalOfWait(request, context))
        return completeRequest(request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
    enqueue(request, context);
}

std::optional<RequestFlow::Refusal> RequestFlow::refusalBeforeSend(const Request& request, Context& context)
{
    const Time now = context.now();
    if (now >= request.deadline)
        return Refusal { ErrorKind::DeadlinePassed, Outcome::NotRun, {} };
    if (quarantineState(request, now) == QuarantineState::Blocked) {
        ++m_counters.quarantined;
        m_dependencies.quarantine.recordRefusal(request.quarantineId, now);
        return Refusal { ErrorKind::RequestQuarantined, Outcome::NotRun, {} };
    }
    if (!request.service->index || !m_dependencies.pool.hasUsable(*request.service->index))
        return Refusal { ErrorKind::NoServer, Outcome::NotRun, retryAfterOf(request, RefusalCause::NoServer, context) };
    return std::nullopt;
}

// Members of an earlier version report fingerprints, which do not tell hosts and workspaces apart.
QuarantineState RequestFlow::quarantineState(const Request& request, Time now) const
{
    const QuarantineState state = m_dependencies.quarantine.state(request.quarantineId, now);
    return state == QuarantineState::Free ? m_dependencies.quarantine.state(request.fingerprint, now) : state;
}

// Where no server opens in time, waiting is of no use to the caller.
std::optional<RequestFlow::Refusal> RequestFlow::refusalOfWait(const Request& request, Context& context) const
{
    if (!request.service->index || request.tryCount)
        return std::nullopt;
    const Time opening = m_dependencies.pool.earliestOpening(*request.service->index, context.now());
    if (opening <= queueDeadline(request, request.admittedAt))
        return std::nullopt;
    return Refusal { ErrorKind::ServersLimited, Outcome::NotRun, retryAfterOpening(opening - context.now(), context.random()) };
}

bool RequestFlow::trySend(Request& request, Context& context)
{
    if (!maySend(request, context.now()) || !request.service->index || request.activeCount == MAX_ACTIVE || request.triedServerCount == MAX_TRIED)
        return false;
    PickContext pick;
    pick.now = context.now();
    pick.random = context.random();
    pick.waited = context.now() - request.admittedAt;
    pick.patience = queueDeadline(request, request.admittedAt) - context.now();
    pick.waiting = request.service->queue->size() + 1;
    pick.bodySize = request.bodySize;
    pick.excluded = { request.tried.data(), request.triedServerCount };
    const bool byCost = placedByCost(request);
    pick.trialAllowed = mayRunTrial(request);
    pick.trialBudgeted = request.service->trialTokens >= 1;
    pick.explorationAllowed = pick.trialAllowed;
    if (byCost) {
        pick.acceptableRisk = acceptableRisk(request, context.now());
        pick.overcommit = allowedOvercommit(request, context.now());
        const bool retryable = request.rule->kind == RequestKind::Idempotent && !request.tryCount;
        pick.riskWeight = retryable ? RETRYABLE_RISK_WEIGHT : 1;
        pick.trialCost = retryable ? RETRYABLE_TRIAL_COST : 1;
        pick.manyRequestsLost = m_dependencies.losses.isHigh(request.service->id, context.now());
    } else
        pick.borrowAllowed = mayBorrowSlot(request, context.now());
    Server* server = m_dependencies.pool.pick(*request.service->index, pick);
    if (!server)
        return false;
    send(request, *server, context);
    return true;
}

// At-most-once requests are used as trials only if there are too few idempotent ones for that.
bool RequestFlow::mayRunTrial(const Request& request) const
{
    if (request.rule->kind == RequestKind::Idempotent)
        return true;
    return placedByCost(request) && request.service->idempotentShare * IDEMPOTENT_TRIAL_SHARE < TRIAL_SHARE;
}

// The longer a request has waited, the more risk it takes to be answered in time.
double RequestFlow::acceptableRisk(const Request& request, Time now) const
{
    // Acceptable risk of a request that has not waited.
    constexpr double initialRisk = 0.35;
    const Millis targetLatency = targetLatencyOf(request);
    const double waitedFraction = static_cast<double>((now - request.admittedAt).count()) / static_cast<double>(Duration { targetLatency }.count());
    return std::min(initialRisk + (1 - initialRisk) * waitedFraction, 1.0);
}

// A request that has waited may go to a server without free slots: one request beyond the slots for each typical
// response time waited. Otherwise instances that find all slots taken by others would starve.
std::uint32_t RequestFlow::allowedOvercommit(const Request& request, Time now) const
{
    const Duration typical = request.service->latency.geometricMean();
    if (typical <= Duration {})
        return 1;
    // A competing request may wait beyond its target latency, but does not overload servers the more for it.
    const Duration waited = now - request.admittedAt;
    const Duration counted = ordersByValue(request) ? std::min<Duration>(waited, targetLatencyOf(request)) : waited;
    return static_cast<std::uint32_t>(counted / typical);
}

// The instance that a slot is reserved for may use it at the same time; the server then sheds one of the two requests. An
// at-most-once request is not retried after that, so it waits longer for a slot of its own instance.
bool RequestFlow::mayBorrowSlot(const Request& request, Time now) const
{
    if (request.tryCount)
        return true;
    const double waitMedians = request.rule->kind == RequestKind::AtMostOnce ? AT_MOST_ONCE_BORROW_MEDIANS : IDEMPOTENT_BORROW_MEDIANS;
    const auto median = static_cast<double>(m_dependencies.sendObserver.medianTime(*request.service->index).count());
    return now - request.admittedAt >= Duration { static_cast<std::int64_t>(waitMedians * median) };
}

} // namespace cornelwind
