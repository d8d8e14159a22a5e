#include "request_flow.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    constexpr Millis RETRY_AFTER { 1000 };
    // A backend server that shed is left alone for about one service time.
    constexpr Millis SHED_PAUSE { 20 };
    // A try shorter than this is not worth its cost.
    constexpr Millis MIN_TRY_TIME { 5 };
    constexpr std::uint8_t MAX_CONNECT_TRIES = 3;
    // Median answer times that a request waits for a slot of its own entry instance.
    constexpr double AT_MOST_ONCE_BORROW_MEDIANS = 3;
    constexpr double IDEMPOTENT_BORROW_MEDIANS = 1;
    constexpr std::uint16_t FIRST_SERVER_ERROR = 500;

    bool isServerError(const Answer& answer)
    {
        return answer.status >= FIRST_SERVER_ERROR;
    }

} // namespace

RequestFlow::RequestFlow(Parts parts)
    : m_parts(std::move(parts))
{
}

void RequestFlow::adopt(SheetPtr sheet)
{
    m_sheet = std::move(sheet);
    m_router = Router(*m_sheet);
    for (auto& [name, service] : m_services)
        service->index.reset();
    for (std::uint32_t i = 0; i < m_sheet->services.size(); ++i) {
        ServicePtr service = serviceOf(*m_sheet, i);
        service->index = i;
        service->config = m_sheet->services[i];
        service->config.servers.clear();
        service->budget.setPercent(service->config.retryPercent);
    }
    std::erase_if(m_services, [](const auto& row) { return !row.second->index && row.second.use_count() == 1; });
}

RequestFlow::ServicePtr RequestFlow::serviceOf(const Sheet& sheet, std::uint32_t index)
{
    const SheetService& config = sheet.services[index];
    ServicePtr& service = m_services[config.name];
    if (!service) {
        service = std::make_shared<Service>();
        service->name = config.name;
        service->budget = RetryBudget(config.retryPercent);
    }
    return service;
}

// ---- Arrival

void RequestFlow::onHead(const HeadReceived& event, Context& context)
{
    ++m_counters.requests;
    Request& request = m_requests[event.request];
    request.id = event.request;
    request.forwarded = event.forwarded;
    if (!m_sheet || !m_open)
        return refuse(request, { ErrorKind::NoSheet, Outcome::NotRun, RETRY_AFTER }, context);
    const auto rule = m_router.match(event.method, event.target);
    if (!rule)
        return refuse(request, { ErrorKind::NoRoute, Outcome::NotRun, {} }, context);
    request.sheet = m_sheet;
    request.rule = &m_sheet->rules[*rule];
    request.service = serviceOf(*m_sheet, request.rule->service);
    request.runLimit = context.now() + request.rule->timeLimit;
    request.deadline = request.runLimit;
    if (event.remaining)
        request.deadline = std::min<Time>(request.deadline, context.now() + *event.remaining);
    if (request.rule->kind == RequestKind::Idempotent)
        request.runLimit = request.deadline;
    if (const auto refusal = checkKey(request, event))
        return refuse(request, *refusal, context);
    context.emit(ReadBody { request.id, request.rule->maxBody });
}

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
    const KeyOwner owner = m_parts.keys.ownerOf(*request.key);
    if (owner.holding && !owner.holding->mint.verify(*request.key))
        return Refusal { ErrorKind::KeyInvalid, Outcome::NotRun, {} };
    return std::nullopt;
}

void RequestFlow::onBody(const BodyReceived& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Receiving)
        return;
    request->fingerprint = event.fingerprint;
    request->admittedAt = context.now();
    m_timers.push({ request->deadline, request->id, false });
    if (request->key)
        return beginKeyed(*request, context);
    request->service->budget.deposit();
    admit(*request, context);
}

void RequestFlow::beginKeyed(Request& request, Context& context)
{
    const KeyOwner owner = m_parts.keys.ownerOf(*request.key);
    if (!owner.holding)
        return forward(request, owner, context);
    if (m_keyedPaused) {
        request.phase = Phase::Paused;
        m_paused.push_back(request.id);
        return;
    }
    const KeyVerdict verdict = owner.holding->ledger.begin(request.key->id, request.fingerprint, request.id);
    switch (verdict.action) {
    case KeyAction::Run:
        request.service->budget.deposit();
        return admit(request, context);
    case KeyAction::Join:
        ++m_counters.joined;
        request.phase = Phase::Joined;
        return;
    case KeyAction::Repeat:
        ++m_counters.repeated;
        answer(request, verdict.result, {}, context);
        return eraseIfDone(request.id, context);
    case KeyAction::Refuse:
        // An expired key may have run; a key of another request has not run this one.
        const Outcome outcome = verdict.error == ErrorKind::KeyMismatch ? Outcome::NotRun : Outcome::Unknown;
        return refuse(request, { verdict.error, outcome, {} }, context);
    }
}

void RequestFlow::forward(Request& request, const KeyOwner& owner, Context& context)
{
    // One hop, and another from an owner to its heir; otherwise the key has no owner left.
    // An earlier send of the key may have run, so the outcome is unknown.
    const bool mayForward = !request.forwarded || m_parts.keys.handedOver();
    const auto address = m_parts.peers.reach(owner.instance, owner.incarnation);
    if (!mayForward || !address)
        return refuse(request, { ErrorKind::OwnerUnreachable, Outcome::Unknown, RETRY_AFTER }, context);
    ++m_counters.forwarded;
    request.phase = Phase::Forwarded;
    const auto remaining = std::chrono::duration_cast<Millis>(request.deadline - context.now());
    context.emit(ForwardToOwner { request.id, owner.instance, *address, std::max(remaining, Millis { 0 }) });
}

void RequestFlow::onOwnerReplied(const OwnerReplied& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Forwarded)
        return;
    std::optional<Millis> retryAfter;
    if (event.error != ErrorKind::None)
        retryAfter = RETRY_AFTER;
    answer(*request, KeyResult { event.outcome, event.error, event.answer }, retryAfter, context);
    eraseIfDone(event.request, context);
}

void RequestFlow::onReceiveFailed(const ReceiveFailed& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Receiving)
        return;
    // The key was not used up; an earlier send of it may have run.
    const Outcome outcome = request->key ? Outcome::Unknown : Outcome::NotRun;
    refuse(*request, { event.error, outcome, {} }, context);
}

// ---- Admission and sends

void RequestFlow::admit(Request& request, Context& context)
{
    if (const auto refusal = refusalBeforeSend(request, context.now()))
        return settle(request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
    Service& service = *request.service;
    const auto next = service.queue.front();
    if (!next && trySend(request, context))
        return;
    const Time expires = std::min<Time>(request.deadline, context.now() + service.config.queueTime);
    const auto admission = service.queue.enter({ request.id, expires }, request.rule->priority, service.config.queueLimit);
    if (admission.displaced) {
        if (Request* displaced = find(*admission.displaced))
            settle(*displaced, { Outcome::NotRun, ErrorKind::QueueFull, nullptr }, RETRY_AFTER, context);
    }
    if (!admission.admitted)
        return settle(request, { Outcome::NotRun, ErrorKind::QueueFull, nullptr }, RETRY_AFTER, context);
    request.phase = Phase::Queued;
    pump(service, context);
}

std::optional<RequestFlow::Refusal> RequestFlow::refusalBeforeSend(const Request& request, Time now) const
{
    if (now >= request.deadline)
        return Refusal { ErrorKind::DeadlinePassed, Outcome::NotRun, {} };
    if (m_parts.quarantine.stops(request.fingerprint, now))
        return Refusal { ErrorKind::RequestQuarantined, Outcome::NotRun, {} };
    if (!request.service->index || !m_parts.pool.hasUsable(*request.service->index))
        return Refusal { ErrorKind::NoServer, Outcome::NotRun, RETRY_AFTER };
    return std::nullopt;
}

bool RequestFlow::trySend(Request& request, Context& context)
{
    if (!request.service->index || request.activeCount == MAX_ACTIVE || request.triedCount == MAX_TRIED)
        return false;
    PickContext pick;
    pick.now = context.now();
    pick.random = context.random();
    pick.excluded = { request.tried.data(), request.triedCount };
    pick.trialAllowed = request.rule->kind == RequestKind::Idempotent;
    pick.borrowAllowed = mayBorrow(request, context.now());
    Server* server = m_parts.pool.pick(*request.service->index, pick);
    if (!server)
        return false;
    send(request, *server, context);
    return true;
}

// A borrowed slot may be taken, and a shed ends an at-most-once request: it waits longer for a slot of its own.
bool RequestFlow::mayBorrow(const Request& request, Time now) const
{
    if (request.sendCount)
        return true;
    const double patience = request.rule->kind == RequestKind::AtMostOnce ? AT_MOST_ONCE_BORROW_MEDIANS : IDEMPOTENT_BORROW_MEDIANS;
    const auto median = static_cast<double>(m_parts.evidence.typicalTime(*request.service->index).count());
    return now - request.admittedAt >= Duration { static_cast<std::int64_t>(patience * median) };
}

void RequestFlow::send(Request& request, Server& server, Context& context)
{
    const TryId id { ++m_lastTry };
    ++m_counters.tries;
    request.phase = Phase::Sent;
    request.tried[request.triedCount++] = server.id;
    ++request.sendCount;
    request.active[request.activeCount++] = { id, server.id };
    m_tries.emplace(id, request.id);
    m_parts.pool.begin(server);
    m_parts.evidence.trySent(id, server.id, context.now());

    const auto remaining = request.runLimit - context.now();
    const std::uint32_t triesLeft = request.rule->tries > request.sendCount ? request.rule->tries - request.sendCount : 0;
    const SheetService& config = request.service->config;
    context.emit(SendTry { request.id, id, server.id, server.config.name, server.config.address,
        context.now() + remaining / (triesLeft + 1), request.rule->connection, request.rule->maxAnswer,
        config.shedStatus, config.shedHeader, config.drainHeader });
    if (request.rule->hedgeAfter && request.sendCount == 1)
        m_timers.push({ context.now() + *request.rule->hedgeAfter, request.id, true });
}

void RequestFlow::pump(Service& service, Context& context)
{
    while (const auto next = service.queue.front()) {
        Request* request = find(*next);
        if (!request) {
            service.queue.popFront();
            continue;
        }
        if (const auto refusal = refusalBeforeSend(*request, context.now())) {
            service.queue.popFront();
            settle(*request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
            continue;
        }
        if (!trySend(*request, context))
            return;
        service.queue.popFront();
    }
}

bool RequestFlow::retry(Request& request, Context& context)
{
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

// ---- Ends of sends

RequestFlow::ResultHandler RequestFlow::handlerOf(TryResult result)
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
        m_parts.leaving(ended.server, context);

    const ServicePtr service = request.service;
    (this->*handlerOf(event.result))(request, ended, event, context);
    eraseIfDone(id, context);
    pump(*service, context);
}

void RequestFlow::onAnswered(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    const bool failed = isServerError(*event.answer);
    m_parts.quarantine.recordSuccess(request.fingerprint);
    m_parts.evidence.tryEnded(ended.id, failed ? Evidence::Failure : Evidence::Success, context.now());
    if (failed && !request.answered && (request.activeCount || retry(request, context)))
        return;
    settle(request, { Outcome::Ran, ErrorKind::None, event.answer }, {}, context);
}

void RequestFlow::onShed(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    ++m_counters.sheds;
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (Server* server = m_parts.pool.find(ended.server))
        server->busyUntil = context.now() + SHED_PAUSE;
    if (request.activeCount || retry(request, context))
        return;
    // Another send of this request may have run, unless this was the only one.
    const Outcome outcome = request.sendCount == 1 ? Outcome::NotRun : Outcome::Unknown;
    settle(request, { outcome, ErrorKind::ServerShed, nullptr }, RETRY_AFTER, context);
}

void RequestFlow::onNotSent(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::Failure, context.now());
    if (request.activeCount || retry(request, context))
        return;
    // Nothing was written, so even an at-most-once request may go elsewhere.
    const bool neverWritten = request.rule->kind == RequestKind::AtMostOnce;
    if (neverWritten && request.sendCount < MAX_CONNECT_TRIES && context.now() + MIN_TRY_TIME < request.runLimit && trySend(request, context))
        return;
    const Outcome outcome = neverWritten || request.sendCount == 1 ? Outcome::NotRun : Outcome::Unknown;
    settle(request, { outcome, ErrorKind::ServerUnreachable, nullptr }, RETRY_AFTER, context);
}

void RequestFlow::onCrashed(Request& request, const ActiveTry& ended, const TryFinished& event, Context& context)
{
    // A request that crashed a server before accuses itself, not the next server;
    // an idle connection may also have been closed just then.
    const bool suspect = m_parts.quarantine.suspects(request.fingerprint, context.now());
    const bool stale = event.result == TryResult::StaleConnection;
    m_parts.evidence.tryEnded(ended.id, suspect || stale ? Evidence::None : Evidence::Failure, context.now());
    m_parts.crashed(request.fingerprint, context);
    if (request.activeCount || retry(request, context))
        return;
    const bool stopped = m_parts.quarantine.stops(request.fingerprint, context.now());
    const ErrorKind error = stopped ? ErrorKind::RequestQuarantined : ErrorKind::ServerFailed;
    settle(request, { Outcome::Unknown, error, nullptr }, {}, context);
}

void RequestFlow::onBroken(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::Failure, context.now());
    if (request.activeCount || retry(request, context))
        return;
    settle(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

void RequestFlow::onTooLarge(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (request.activeCount)
        return;
    settle(request, { Outcome::Ran, ErrorKind::AnswerTooLarge, nullptr }, {}, context);
}

void RequestFlow::onTimedOut(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    // Slowness was counted while the send was pending.
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (request.activeCount || retry(request, context))
        return;
    settle(request, { Outcome::Unknown, ErrorKind::DeadlinePassed, nullptr }, {}, context);
}

void RequestFlow::onCancelled(Request& request, const ActiveTry& ended, const TryFinished&, Context& context)
{
    m_parts.evidence.tryEnded(ended.id, Evidence::None, context.now());
    if (request.activeCount)
        return;
    settle(request, { Outcome::Unknown, ErrorKind::ServerFailed, nullptr }, {}, context);
}

// ---- Results

void RequestFlow::settle(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context)
{
    const RequestId id = request.id;
    for (std::uint8_t i = 0; i < request.activeCount; ++i)
        context.emit(CancelTry { request.active[i].id });
    if (!request.key) {
        answer(request, result, retryAfter, context);
        return eraseIfDone(id, context);
    }
    KeyHolding* holding = m_parts.keys.find(request.key->incarnation);
    if (!holding)
        return;
    for (const RequestId waiter : holding->ledger.finish(request.key->id, result)) {
        Request* waiting = find(waiter);
        if (!waiting)
            continue;
        answer(*waiting, result, retryAfter, context);
        eraseIfDone(waiter, context);
    }
    if (Request* runner = find(id)) {
        runner->answered = true;
        eraseIfDone(id, context);
    }
}

void RequestFlow::refuse(Request& request, const Refusal& refusal, Context& context)
{
    answer(request, { refusal.outcome, refusal.error, nullptr }, refusal.retryAfter, context);
    eraseIfDone(request.id, context);
}

void RequestFlow::answer(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context)
{
    if (request.answered)
        return;
    request.answered = true;
    std::string nextKey;
    if (needsKey(request) && !request.forwarded)
        nextKey = m_parts.keys.mint(context.now());
    if (result.answer) {
        ++m_counters.relayed;
        return context.emit(RelayAnswer { request.id, result.answer, std::move(nextKey) });
    }
    ++m_counters.refused;
    const ErrorKind error = result.error == ErrorKind::None ? ErrorKind::AnswerNotHeld : result.error;
    context.emit(Refuse { request.id, error, result.outcome, retryAfter, std::move(nextKey) });
    context.report(DecisionKind::Refused, request.service ? request.service->name.value() : std::string("unrouted"),
        describe(error).name, std::string("outcome ") + toString(result.outcome));
}

void RequestFlow::eraseIfDone(RequestId id, Context& context)
{
    const Request* request = find(id);
    if (!request || !request->answered || request->activeCount)
        return;
    m_requests.erase(id);
    context.emit(ReleaseRequest { id });
}

void RequestFlow::onCallerGone(const CallerGone& event, Context& context)
{
    if (Request* request = find(event.request))
        detach(*request, context);
}

// Ends what a request holds because nobody waits for its answer any more.
void RequestFlow::detach(Request& request, Context& context)
{
    const RequestId id = request.id;
    request.answered = true;
    const bool owns = request.phase == Phase::Queued || request.phase == Phase::Sent;
    if (request.rule && request.rule->kind == RequestKind::AtMostOnce && owns) {
        // The work goes on, so that a later send of the key can learn its result.
        return;
    }
    if (request.phase == Phase::Queued)
        request.service->queue.remove(id);
    if (request.phase == Phase::Joined) {
        if (KeyHolding* holding = m_parts.keys.find(request.key->incarnation))
            holding->ledger.leave(request.key->id, id);
    }
    for (std::uint8_t i = 0; i < request.activeCount; ++i)
        context.emit(CancelTry { request.active[i].id });
    eraseIfDone(id, context);
}

void RequestFlow::onTick(Context& context)
{
    while (!m_timers.empty() && m_timers.top().at <= context.now()) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        Request* request = find(timer.request);
        if (!request)
            continue;
        if (timer.hedge)
            hedge(*request, context);
        else
            expireDeadline(*request, context);
    }
    for (auto& [name, service] : m_services) {
        for (const RequestId expired : service->queue.expire(context.now())) {
            if (Request* request = find(expired))
                settle(*request, { Outcome::NotRun, ErrorKind::QueueTimeout, nullptr }, RETRY_AFTER, context);
        }
        pump(*service, context);
    }
}

void RequestFlow::expireDeadline(Request& request, Context& context)
{
    switch (request.phase) {
    case Phase::Receiving:
        return;
    case Phase::Paused:
        return refuse(request, { ErrorKind::OwnerUnreachable, Outcome::Unknown, RETRY_AFTER }, context);
    case Phase::Queued:
        request.service->queue.remove(request.id);
        return settle(request, { Outcome::NotRun, ErrorKind::DeadlinePassed, nullptr }, {}, context);
    case Phase::Sent:
    case Phase::Joined:
        answer(request, { Outcome::Unknown, ErrorKind::DeadlinePassed, nullptr }, {}, context);
        return detach(request, context);
    case Phase::Forwarded:
        answer(request, { Outcome::Unknown, ErrorKind::OwnerUnreachable, nullptr }, RETRY_AFTER, context);
        return eraseIfDone(request.id, context);
    }
}

bool RequestFlow::keyedIdle() const
{
    const auto holds = [](const auto& row) {
        const Phase phase = row.second.phase;
        return row.second.key && (phase == Phase::Queued || phase == Phase::Sent || phase == Phase::Joined);
    };
    return std::none_of(m_requests.begin(), m_requests.end(), holds);
}

void RequestFlow::resumeKeyed(Context& context)
{
    m_keyedPaused = false;
    const std::vector<RequestId> paused = std::exchange(m_paused, {});
    for (const RequestId id : paused) {
        Request* request = find(id);
        if (request && request->phase == Phase::Paused)
            beginKeyed(*request, context);
    }
}

void RequestFlow::abandonAll(Context& context)
{
    std::vector<RequestId> ids;
    for (const auto& [id, request] : m_requests)
        ids.push_back(id);
    for (const RequestId id : ids) {
        if (Request* request = find(id)) {
            request->deadline = context.now();
            expireDeadline(*request, context);
        }
    }
}

RequestFlow::Request* RequestFlow::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

} // namespace cornelwind
