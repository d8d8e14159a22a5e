// RequestFlow: admission, queueing and the choice of a backend server.
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
    const auto next = service.queue.front();
    if (!next && trySend(request, context))
        return;
    if (const auto refusal = refusalOfWait(request, context))
        return completeRequest(request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
    if (placedByCost(request) && context.now() + expectedWait(service, context.now()) > queueDeadline(request, context.now()))
        return completeRequest(request, { Outcome::NotRun, ErrorKind::QueueFull, nullptr }, retryAfterOf(request, RefusalCause::Full, context), context);
    const Time expires = queueDeadline(request, context.now());
    const auto admission = service.queue.enter({ request.id, expires }, priorityOf(request), service.config.queueLimit);
    if (admission.displaced) {
        if (Request* displaced = find(*admission.displaced))
            completeRequest(*displaced, { Outcome::NotRun, ErrorKind::QueueFull, nullptr }, retryAfterOf(*displaced, RefusalCause::Full, context), context);
    }
    if (!admission.admitted)
        return completeRequest(request, { Outcome::NotRun, ErrorKind::QueueFull, nullptr }, retryAfterOf(request, RefusalCause::Full, context), context);
    request.phase = Phase::Queued;
    RequestRecord record = makeRecord(request, RequestStep::Waiting, context.now());
    record.queued = static_cast<std::uint32_t>(service.queue.size());
    record.expectedWait = expectedWait(service, context.now());
    context.emit(RecordRequest { std::move(record) });
    dispatchQueue(service, context);
}

std::optional<RequestFlow::Refusal> RequestFlow::refusalBeforeSend(const Request& request, Context& context) const
{
    const Time now = context.now();
    if (now >= request.deadline)
        return Refusal { ErrorKind::DeadlinePassed, Outcome::NotRun, {} };
    if (m_dependencies.quarantine.isBlocked(request.fingerprint, now))
        return Refusal { ErrorKind::RequestQuarantined, Outcome::NotRun, {} };
    if (!request.service->index || !m_dependencies.pool.hasUsable(*request.service->index))
        return Refusal { ErrorKind::NoServer, Outcome::NotRun, retryAfterOf(request, RefusalCause::NoServer, context) };
    return std::nullopt;
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
    pick.waiting = request.service->queue.size() + 1;
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
    const Millis targetLatency = request.rule->targetLatency.value_or(request.rule->timeLimit / 2);
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
    return static_cast<std::uint32_t>((now - request.admittedAt) / typical);
}

Duration RequestFlow::expectedWait(const Service& service, Time now) const
{
    constexpr Duration window = std::chrono::seconds(1);
    const Duration countedTime = window + std::clamp<Duration>(now - service.windowStart, Duration {}, window);
    const std::uint32_t tries = service.tries + service.previousTries;
    // No estimate is possible from fewer than two tries.
    if (tries < 2)
        return {};
    return countedTime * static_cast<std::int64_t>(service.queue.size()) / tries;
}

Millis RequestFlow::retryAfterOf(const Request& request, RefusalCause cause, Context& context) const
{
    if (!placedByCost(request))
        return RETRY_AFTER;
    const Service& service = *request.service;
    return retryAfter({ cause, service.latency.geometricMean(), expectedWait(service, context.now()), request.deadline - context.now() }, context.random());
}

Time RequestFlow::queueDeadline(const Request& request, Time now) const
{
    if (!placedByCost(request))
        return std::min<Time>(request.deadline, now + request.service->config.maxQueueTime);
    // A request waits only while it can still be served in time; any other is refused at once with a retry time.
    const Millis targetLatency = request.rule->targetLatency.value_or(request.rule->timeLimit / 2);
    return std::min<Time>(request.deadline - request.service->latency.geometricMean(), now + targetLatency);
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
