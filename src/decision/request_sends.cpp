// The part of the request flow from a send to its end, and what is sent again.
#include "request_flow.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // A backend server that shed is left alone for about one service time.
    constexpr Millis SHED_BACKOFF { 20 };
    // An address that another server took over is used again once its entry is renewed.
    constexpr Millis MISDIRECTED_BACKOFF { 2000 };
    constexpr std::uint16_t SERVICE_UNAVAILABLE = 503;
    // A try shorter than this is not worth its cost.
    constexpr Millis MIN_TRY_TIME { 5 };
    constexpr std::uint8_t MAX_CONNECT_TRIES = 3;
    constexpr std::uint16_t FIRST_SERVER_ERROR = 500;

    bool isServerError(const Answer& answer)
    {
        return answer.status >= FIRST_SERVER_ERROR;
    }

} // namespace

void RequestFlow::send(Request& request, Server& server, Context& context)
{
    const TryId id { ++m_lastTry };
    ++m_counters.tries;
    request.phase = Phase::Sent;
    request.tried[request.triedCount++] = server.id;
    ++request.sendCount;
    ++request.possiblyRunCount;
    request.active[request.activeCount++] = { id, server.id, context.now(), false, m_parts.pool.crowded(server) };
    m_tries.emplace(id, request.id);
    recordPlaced(request, server, context);
    m_parts.pool.begin(server, context.now());
    const bool byCost = placedByCost(request);
    if (byCost)
        countSend(*request.service, context.now());
    if (!byCost)
        m_parts.evidence.trySent(id, server.id, context.now());
    else if (m_parts.pool.beliefs().dueForTrial(server.id, context.now())) {
        m_parts.pool.beliefs().beginTrial(server.id, context.now());
        request.service->trialTokens = std::max(request.service->trialTokens - 1, 0.0);
    }

    const auto remaining = request.runDeadline - context.now();
    const std::uint32_t triesLeft = byCost ? 0 : request.rule->tries > request.sendCount ? request.rule->tries - request.sendCount
                                                                                         : 0;
    const SheetService& config = request.service->config;
    context.emit(SendTry { request.id, id, server.id, server.config.name, server.config.address,
        context.now() + remaining / (triesLeft + 1), request.rule->connection, request.rule->maxAnswer,
        config.shedStatus, config.shedHeader, config.drainHeader });
    if (request.rule->hedgeAfter && request.sendCount == 1)
        m_timers.push({ context.now() + *request.rule->hedgeAfter, request.id, TimerKind::Hedge });
    const Duration bound = request.service->latency.bound();
    if (byCost && bound > Duration {})
        m_timers.push({ context.now() + bound, request.id, TimerKind::Slow });
}

void RequestFlow::countSend(Service& service, Time now)
{
    constexpr Duration window = std::chrono::seconds(1);
    if (now - service.windowStart >= window) {
        service.previousSends = now - service.windowStart < 2 * window ? service.sends : 0;
        service.sends = 0;
        service.windowStart = now;
    }
    ++service.sends;
}

void RequestFlow::dispatchQueue(Service& service, Context& context)
{
    while (const auto next = service.queue.front()) {
        Request* request = find(*next);
        if (!request) {
            service.queue.popFront();
            continue;
        }
        if (const auto refusal = refusalBeforeSend(*request, context)) {
            service.queue.popFront();
            completeRequest(*request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
            continue;
        }
        if (!trySend(*request, context))
            return;
        service.queue.popFront();
    }
}

void RequestFlow::onSlow(Request& request, Context& context)
{
    const Duration bound = request.service->latency.bound();
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

// An answer may be late for another reason: the server was full, or this process did not run meanwhile.
void RequestFlow::observeSlow(Request& request, const ActiveTry& active, Context& context)
{
    if (!active.atCapacity && active.sentAt >= m_resumedAt)
        observe(request, active, Observation::Slow, context);
}

void RequestFlow::observe(Request& request, const ActiveTry& ended, Observation observation, Context& context)
{
    m_parts.evidence.observed(ended.server, observation, ended.sentAt, request.label, context);
}

// Sends a request again whose earlier sends are proved not to have run, or which is idempotent.
bool RequestFlow::resend(Request& request, bool reachedServer, Context& context)
{
    if (request.answered)
        return false;
    if (const char* reason = reasonAgainstResend(request, reachedServer, context)) {
        recordNotSentAgain(request, reason, context);
        return false;
    }
    if (!trySend(request, context)) {
        recordNotSentAgain(request, "no other server has room", context);
        return false;
    }
    ++m_counters.retries;
    return true;
}

const char* RequestFlow::reasonAgainstResend(Request& request, bool reachedServer, Context& context) const
{
    const bool idempotent = request.rule->kind == RequestKind::Idempotent;
    if (!idempotent && request.possiblyRunCount)
        return "it may have run and is not idempotent";
    if (request.rule->tries < 2 || (idempotent && request.possiblyRunCount >= request.rule->tries))
        return "its tries are used up";
    if (context.now() + MIN_TRY_TIME >= request.deadline)
        return "too little time is left";
    if (m_parts.quarantine.stops(request.fingerprint, context.now()))
        return "it crashes servers";
    // A send that never arrived adds no load.
    if (reachedServer && !request.service->budget.withdraw())
        return "the retry budget is used up";
    return nullptr;
}

bool RequestFlow::retry(Request& request, Context& context)
{
    if (placedByCost(request))
        return resend(request, true, context);
    if (request.rule->kind != RequestKind::Idempotent || request.sendCount >= request.rule->tries)
        return false;
    if (context.now() + MIN_TRY_TIME >= request.deadline || m_parts.quarantine.stops(request.fingerprint, context.now()))
        return false;
    if (!request.service->budget.withdraw())
        return false;
    if (!trySend(request, context))
        return false;
    ++m_counters.retries;
    return true;
}

void RequestFlow::hedge(Request& request, Context& context)
{
    if (request.phase != Phase::Sent || request.activeCount != 1 || request.sendCount != 1)
        return;
    if (!request.service->budget.withdraw())
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
    const auto known = m_tries.find(event.id);
    if (known == m_tries.end())
        return;
    const RequestId id = known->second;
    m_tries.erase(known);
    Request& request = m_requests.at(id);
    const auto last = request.active.begin() + request.activeCount;
    const auto position = std::find_if(request.active.begin(), last, [&](const ActiveTry& active) { return active.id == event.id; });
    const ActiveTry ended = *position;
    std::move(position + 1, last, position);
    --request.activeCount;
    m_parts.pool.end(ended.server);
    if (event.leaving)
        m_parts.onServerLeaving(ended.server, context);
    if (event.result != TryResult::Answered || isServerError(*event.answer))
        recordSendFailed(request, ended, event, context);

    const ServicePtr service = request.service;
    (this->*handlerFor(event.result))(request, ended, event, context);
    eraseIfDone(id, context);
    dispatchQueue(*service, context);
}

void RequestFlow::observeResponse(Request& request, const ActiveTry& ended, bool failed, Context& context)
{
    const Duration elapsed = context.now() - ended.sentAt;
    UsualTime& latency = request.service->latency;
    if (failed)
        return observe(request, ended, latency.isEarly(elapsed) ? Observation::Failure : Observation::LateFailure, context);
    latency.add(elapsed);
    if (!ended.slow)
        observe(request, ended, Observation::Success, context);
}

void RequestFlow::onAnswered(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    const bool failed = isServerError(*event.answer);
    m_parts.quarantine.recordSuccess(request.fingerprint);
    m_parts.evidence.tryEnded(ended.id, failed ? Evidence::Failure : Evidence::Success, context.now());
    if (placedByCost(request))
        observeResponse(request, ended, failed, context);
    if (failed && !request.answered && (request.activeCount || retry(request, context)))
        return;
    // Without proof such a status would promise that the request has not run.
    if (failed && request.rule->kind == RequestKind::AtMostOnce && event.answer->status == SERVICE_UNAVAILABLE && placedByCost(request))
        return completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
    completeRequest(request, { Outcome::Ran, ErrorKind::None, event.answer }, {}, context);
}

void RequestFlow::onShed(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    ++m_counters.sheds;
    --request.possiblyRunCount;
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (Server* server = m_parts.pool.find(ended.server))
        server->busyUntil = context.now() + (event.misdirected ? MISDIRECTED_BACKOFF : SHED_BACKOFF);
    if (request.activeCount || retry(request, context))
        return;
    const Outcome outcome = request.possiblyRunCount ? Outcome::Unknown : Outcome::NotRun;
    completeRequest(request, { outcome, ErrorKind::ServerShed, nullptr }, retryAfterOf(request, RefusalCause::Shed, context), context);
}

void RequestFlow::onNotSent(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::Failure, context.now());
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
    // Nothing was written, so even an at-most-once request may go elsewhere.
    const bool atMostOnce = request.rule->kind == RequestKind::AtMostOnce;
    if (atMostOnce && request.sendCount < MAX_CONNECT_TRIES && context.now() + MIN_TRY_TIME < request.runDeadline && trySend(request, context))
        return;
    const Outcome outcome = atMostOnce || request.sendCount == 1 ? Outcome::NotRun : Outcome::Unknown;
    completeRequest(request, { outcome, ErrorKind::ServerUnreachable, nullptr }, RETRY_AFTER, context);
}

void RequestFlow::onCrashed(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    // A request that crashed a server before accuses itself, not the next server;
    // an idle connection may also have been closed just then.
    const bool suspect = m_parts.quarantine.suspects(request.fingerprint, context.now());
    const bool stale = event.result == TryResult::StaleConnection;
    m_parts.evidence.tryEnded(ended.id, suspect || stale ? Evidence::None : Evidence::Failure, context.now());
    if (placedByCost(request))
        observe(request, ended, Observation::Broken, context);
    m_parts.onServerCrash(request.fingerprint, context);
    if (request.activeCount || retry(request, context))
        return;
    const bool stopped = m_parts.quarantine.stops(request.fingerprint, context.now());
    const ErrorKind error = stopped ? ErrorKind::RequestQuarantined : ErrorKind::ServerFailed;
    completeRequest(request, { Outcome::Unknown, error, nullptr }, {}, context);
}

void RequestFlow::onBroken(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::Failure, context.now());
    if (placedByCost(request))
        observe(request, ended, Observation::Broken, context);
    if (request.activeCount || retry(request, context))
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

void RequestFlow::onTooLarge(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (request.activeCount)
        return;
    completeRequest(request, { Outcome::Ran, ErrorKind::AnswerTooLarge, nullptr }, {}, context);
}

void RequestFlow::onTimedOut(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    // Slowness was counted while the send was pending.
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (placedByCost(request) && !ended.slow)
        observeSlow(request, ended, context);
    if (request.activeCount || retry(request, context))
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::DeadlinePassed, nullptr }, {}, context);
}

void RequestFlow::onCancelled(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (request.activeCount)
        return;
    completeRequest(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

} // namespace cornelwind
