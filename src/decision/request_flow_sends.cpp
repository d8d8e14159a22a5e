// RequestFlow: tries, their results, retries and hedges.
#include "request_flow.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // A backend server that shed a request gets none for about one service time.
    constexpr Millis SHED_BACKOFF { 20 };
    // Time for the platform to publish the new entry of an address that another backend server took over.
    constexpr Millis MISDIRECTED_BACKOFF { 2000 };
    // A try with less time left is not worth its cost.
    constexpr Millis MIN_TRY_TIME { 5 };
    // Maximum number of tries of an at-most-once request if no connection can be made.
    constexpr std::uint8_t MAX_CONNECT_TRIES = 3;

} // namespace

void RequestFlow::send(Request& request, Server& server, Context& context)
{
    const TryId id { ++m_lastTry };
    ++m_counters.tries;
    request.phase = Phase::Sent;
    request.tried[request.triedServerCount++] = server.id;
    ++request.tryCount;
    ++request.possiblyRunCount;
    request.active[request.activeCount++] = { id, server.id, server.config.incarnation, context.now(), false, m_dependencies.pool.isAtCapacity(server), beginQuarantineTrial(request, context) };
    m_tries.emplace(id, request.id);
    const Time deadline = tryDeadline(request, context.now());
    recordPlaced(request, server, deadline, context);
    m_dependencies.pool.begin(server, context.now(), request.bodySize);
    const bool byCost = placedByCost(request);
    if (byCost || ordersByValue(request))
        countTry(*request.service, context.now());
    if (!byCost)
        m_dependencies.sendObserver.trySent(id, server.id, context.now());
    else if (m_dependencies.pool.beliefs().dueForTrial(server.id, context.now())) {
        m_dependencies.pool.beliefs().beginTrial(server.id, context.now());
        request.usedAsTrial = true;
        request.service->trialTokens = std::max(request.service->trialTokens - 1, 0.0);
    }

    const SheetService& config = request.service->config;
    context.emit(SendTry { request.id, id, server.id, server.config.name, server.config.address,
        deadline, request.rule->connection, request.rule->maxResponse,
        config.shedStatus, config.shedHeader, config.drainHeader, labelOf(request) });
    if (request.rule->hedgeAfter && request.tryCount == 1)
        m_timers.push({ context.now() + *request.rule->hedgeAfter, request.id, TimerKind::Hedge });
    const Duration bound = request.service->latency.upperBound();
    if (byCost && bound > Duration {})
        m_timers.push({ context.now() + bound, request.id, TimerKind::Slow });
}

// Where requests are placed by slots, a try leaves time for those that may follow it.
Time RequestFlow::tryDeadline(const Request& request, Time now) const
{
    const bool mayFollow = !placedByCost(request) && request.rule->tries > request.tryCount;
    const std::uint32_t triesLeft = mayFollow ? request.rule->tries - request.tryCount : 0;
    return now + (endOfTries(request) - now) / (triesLeft + 1);
}

void RequestFlow::countTry(Service& service, Time now)
{
    constexpr Duration window = std::chrono::seconds(1);
    if (now - service.windowStart >= window) {
        service.previousTries = now - service.windowStart < 2 * window ? service.tries : 0;
        service.tries = 0;
        service.windowStart = now;
    }
    ++service.tries;
}

void RequestFlow::onSlow(Request& request, Context& context)
{
    const Duration bound = request.service->latency.upperBound();
    bool anySlow = false;
    for (std::uint8_t i = 0; i < request.activeCount; ++i) {
        ActiveTry& active = request.active[i];
        if (active.slow || context.now() - active.sentAt < bound)
            continue;
        active.slow = true;
        anySlow = true;
        observeSlow(request, active, context);
    }
    if (anySlow && request.rule->kind == RequestKind::Idempotent && request.rule->tries > 1)
        hedge(request, context);
}

// A slow response is no evidence against a server that was full, or if this process did not run meanwhile.
void RequestFlow::observeSlow(Request& request, const ActiveTry& active, Context& context)
{
    if (!active.atCapacity && active.sentAt >= m_resumedAt)
        observe(request, active, Observation::Slow, context);
}

void RequestFlow::observe(Request& request, const ActiveTry& ended, Observation observation, Context& context)
{
    m_dependencies.sendObserver.observed(ended.server, observation, ended.sentAt, request.label, context);
}

// Only an idempotent request, or one whose earlier tries are all known not to have run, is sent again.
bool RequestFlow::resend(Request& request, bool reachedServer, Context& context)
{
    if (!maySend(request, context.now()))
        return false;
    if (const char* reason = reasonAgainstResend(request, reachedServer, context)) {
        recordNotSentAgain(request, reason, context);
        return false;
    }
    if (!trySend(request, context)) {
        recordNotSentAgain(request, "no other server has capacity", context);
        return false;
    }
    ++m_counters.retries;
    return true;
}

const char* RequestFlow::reasonAgainstResend(Request& request, bool reachedServer, Context& context) const
{
    const bool idempotent = request.rule->kind == RequestKind::Idempotent;
    if (!idempotent && request.possiblyRunCount)
        return "may have run and is not idempotent";
    if (request.rule->tries < 2 || (idempotent && request.possiblyRunCount >= request.rule->tries))
        return "all tries used";
    if (context.now() + MIN_TRY_TIME >= request.deadline)
        return "too little time left";
    if (quarantineState(request, context.now()) != QuarantineState::Free)
        return "request quarantined";
    if (isOutranked(request, context.now()))
        return "a request of higher value waits";
    // A retry after a try that did not reach its server adds no load, so it needs no budget.
    if (reachedServer && !request.service->budget.withdraw())
        return "retry budget exhausted";
    return nullptr;
}

bool RequestFlow::retry(Request& request, Context& context)
{
    if (placedByCost(request))
        return resend(request, true, context);
    if (!maySend(request, context.now()))
        return false;
    if (request.rule->kind != RequestKind::Idempotent || request.tryCount >= request.rule->tries)
        return false;
    if (context.now() + MIN_TRY_TIME >= request.deadline || quarantineState(request, context.now()) != QuarantineState::Free)
        return false;
    if (isOutranked(request, context.now()) || !request.service->budget.withdraw())
        return false;
    if (!trySend(request, context))
        return false;
    ++m_counters.retries;
    return true;
}

void RequestFlow::hedge(Request& request, Context& context)
{
    if (request.phase != Phase::Sent || request.activeCount != 1 || request.tryCount != 1 || !maySend(request, context.now()))
        return;
    if (quarantineState(request, context.now()) != QuarantineState::Free || isOutranked(request, context.now()) || !request.service->budget.withdraw())
        return;
    if (trySend(request, context))
        ++m_counters.hedges;
}

RequestFlow::ResultHandler RequestFlow::handlerFor(TryResult result)
{
    static constexpr std::array<ResultHandler, 9> handlers {
        &RequestFlow::onAnswered,
        &RequestFlow::onShed,
        &RequestFlow::onNotSent,
        &RequestFlow::onCrashed,
        &RequestFlow::onCrashed, // StaleConnection
        &RequestFlow::onBroken,
        &RequestFlow::onTooLarge,
        &RequestFlow::onTimedOut,
        &RequestFlow::onCancelled,
    };
    return handlers.at(static_cast<std::size_t>(result));
}

void RequestFlow::onTryFinished(const TryFinished& event, Context& context)
{
    const auto found = m_tries.find(event.id);
    if (found == m_tries.end())
        return;
    const RequestId id = found->second;
    m_tries.erase(found);
    Request& request = m_requests.at(id);
    const auto last = request.active.begin() + request.activeCount;
    const auto position = std::find_if(request.active.begin(), last, [&](const ActiveTry& active) { return active.id == event.id; });
    const ActiveTry ended = *position;
    std::move(position + 1, last, position);
    --request.activeCount;
    request.wasSent = request.wasSent || event.result != TryResult::NotSent;
    m_dependencies.pool.end(ended.server, request.bodySize);
    // A response of another server at the same address says nothing of this one.
    if (!event.misdirected && event.response)
        m_dependencies.onNotice(ended.server, ended.incarnation, event.notice, context);
    if (event.result != TryResult::Answered || isFailure(request, *event.response))
        recordSendFailed(request, ended, event, context);

    clearQuarantine(request, ended, event, context);

    const ServicePtr service = request.service;
    (this->*handlerFor(event.result))(request, ended, event, context);
    eraseIfDone(id, context);
    dispatchQueue(*service, context);
}

// The fingerprint alone has a record if members of an earlier version reported crashes. Crashes seen here do not count for it.
std::uint32_t RequestFlow::beginQuarantineTrial(const Request& request, Context& context)
{
    const std::uint32_t trial = m_dependencies.quarantineExchange.onSend(request.quarantineId, context);
    if (request.fingerprint != request.quarantineId)
        m_dependencies.quarantineExchange.onSend(request.fingerprint, context);
    return trial;
}

// A lost connection that was in use before may have been closed as idle before the request arrived.
void RequestFlow::clearQuarantine(const Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    if (event.misdirected || !(event.response || event.result == TryResult::Crashed))
        return;
    QuarantineExchange& quarantine = m_dependencies.quarantineExchange;
    quarantine.onReached(ended.server, ended.incarnation, ended.sentAt);
    // A server that fails or refuses a request may not have begun to run it.
    const bool hasRun = event.result == TryResult::Answered && !isServerError(*event.response) && !isRefusalStatus(event.response->status);
    if (!hasRun)
        return;
    quarantine.onAnswer(request.quarantineId, context);
    quarantine.onAnswer(request.fingerprint, context);
}

void RequestFlow::observeResponse(Request& request, const ActiveTry& ended, bool failed, Context& context)
{
    const Duration elapsed = context.now() - ended.sentAt;
    LatencyEstimate& latency = request.service->latency;
    if (failed)
        return observe(request, ended, latency.isEarly(elapsed) ? Observation::Failure : Observation::LateFailure, context);
    latency.add(elapsed);
    if (!ended.slow)
        observe(request, ended, Observation::Success, context);
}

bool RequestFlow::isRefusal(const Request& request, const Response& response)
{
    return placedByCost(request) && isRefusalStatus(response.status);
}

bool RequestFlow::isFailure(const Request& request, const Response& response)
{
    return isServerError(response) || isRefusal(request, response);
}

void RequestFlow::holdBack(ServerId id, Duration time, Context& context)
{
    if (Server* server = m_dependencies.pool.find(id))
        server->busyUntil = context.now() + time;
}

void RequestFlow::onAnswered(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    const bool failed = isFailure(request, *event.response);
    m_dependencies.sendObserver.tryEnded(ended.id, failed ? SendEvidence::Failure : SendEvidence::Success, context.now());
    if (placedByCost(request))
        observeResponse(request, ended, failed, context);
    if (ordersByValue(request) && !failed && !event.misdirected && ended.sentAt >= m_resumedAt)
        request.service->works[request.rule->name].add(context.now() - ended.sentAt);
    if (event.misdirected)
        holdBack(ended.server, MISDIRECTED_BACKOFF, context);
    if (failed && !request.answered && (request.activeCount || retry(request, context)))
        return;
    // Callers read a refusal as proof that the request has not run. The backend server has not proved it, or the try would
    // have ended as `TryResult::Shed`.
    if (request.rule->kind == RequestKind::AtMostOnce && isRefusal(request, *event.response))
        return completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
    completeRequest(request, { Outcome::Ran, ErrorKind::None, event.response }, {}, context);
}

void RequestFlow::onShed(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    ++m_counters.sheds;
    --request.possiblyRunCount;
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::None, context.now());
    holdBack(ended.server, event.misdirected ? MISDIRECTED_BACKOFF : SHED_BACKOFF, context);
    if (request.activeCount || retry(request, context))
        return;
    const Outcome outcome = request.possiblyRunCount ? Outcome::Unknown : Outcome::NotRun;
    completeRequest(request, { outcome, ErrorKind::ServerShed, nullptr }, retryAfterOf(request, RefusalCause::Shed, context), context);
}

void RequestFlow::onNotSent(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::Failure, context.now());
    --request.possiblyRunCount;
    if (placedByCost(request)) {
        observe(request, ended, Observation::Unreachable, context);
        if (request.activeCount || resend(request, false, context))
            return;
        const Outcome provedOutcome = request.possiblyRunCount ? Outcome::Unknown : Outcome::NotRun;
        return completeRequest(request, { provedOutcome, ErrorKind::ServerUnreachable, nullptr }, retryAfterOf(request, RefusalCause::Unreachable, context), context);
    }
    if (request.activeCount || retry(request, context))
        return;
    // Nothing was written, so even an at-most-once request may be sent to another server.
    const bool atMostOnce = request.rule->kind == RequestKind::AtMostOnce;
    if (atMostOnce && request.tryCount < MAX_CONNECT_TRIES && context.now() + MIN_TRY_TIME < endOfTries(request) && !isOutranked(request, context.now()) && trySend(request, context))
        return;
    const Outcome outcome = atMostOnce || request.tryCount == 1 ? Outcome::NotRun : Outcome::Unknown;
    completeRequest(request, { outcome, ErrorKind::ServerUnreachable, nullptr }, RETRY_AFTER, context);
}

void RequestFlow::onCrashed(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    // If the request crashed a server before, the request is the likely cause and not this server. A reused connection
    // may also have been closed as idle.
    const bool suspect = m_dependencies.quarantine.isSuspect(request.quarantineId, context.now()) || m_dependencies.quarantine.isSuspect(request.fingerprint, context.now());
    const bool stale = event.result == TryResult::StaleConnection;
    m_dependencies.sendObserver.tryEnded(ended.id, suspect || stale ? SendEvidence::None : SendEvidence::Failure, context.now());
    if (placedByCost(request))
        observe(request, ended, Observation::Broken, context);
    m_dependencies.onServerCrash(request.quarantineId, request.fingerprint, { ended.server, ended.incarnation, context.now(), false, ended.quarantineTrial }, context);
    if (request.activeCount || retry(request, context))
        return;
    const bool blocked = quarantineState(request, context.now()) != QuarantineState::Free;
    const ErrorKind error = blocked ? ErrorKind::RequestQuarantined : ErrorKind::ServerFailed;
    completeRequest(request, { Outcome::Unknown, error, nullptr }, {}, context);
}

void RequestFlow::onBroken(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::Failure, context.now());
    if (placedByCost(request))
        observe(request, ended, Observation::Broken, context);
    if (request.activeCount || retry(request, context))
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

void RequestFlow::onTooLarge(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::None, context.now());
    if (request.activeCount)
        return;
    completeRequest(request, { Outcome::Ran, ErrorKind::AnswerTooLarge, nullptr }, {}, context);
}

void RequestFlow::onTimedOut(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    // The detector already counted the slow response while the try was in progress.
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::None, context.now());
    if (placedByCost(request) && !ended.slow)
        observeSlow(request, ended, context);
    if (request.activeCount || retry(request, context))
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::DeadlinePassed, nullptr }, {}, context);
}

void RequestFlow::onCancelled(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_dependencies.sendObserver.tryEnded(ended.id, SendEvidence::None, context.now());
    if (request.activeCount)
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

} // namespace cornelwind
