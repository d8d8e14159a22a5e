#include "request_flow.h"

#include "workspaces/api_key_check.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cornelwind {

namespace {

    // Ticks normally come every 10 ms. After a gap of this length the process itself did not run.
    constexpr Duration MAX_TICK_GAP = std::chrono::milliseconds(200);

} // namespace

RequestFlow::RequestFlow(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void RequestFlow::adopt(SheetPtr sheet)
{
    m_sheet = std::move(sheet);
    m_router = Router(*m_sheet);
    for (auto& [name, service] : m_services)
        service->index.reset();
    for (std::uint32_t i = 0; i < m_sheet->services.size(); ++i) {
        ServicePtr service = findOrCreateService(*m_sheet, i);
        service->index = i;
        service->config = m_sheet->services[i];
        service->config.servers.clear();
        service->budget.setPercent(service->config.retryPercent);
        setBurst(*service);
    }
    std::erase_if(m_services, [](const auto& row) { return !row.second->index && row.second.use_count() == 1; });
    adoptQueueOrders();
}

// The whole fleet shares the allowance. A part of it stays reserved for instances that restart.
void RequestFlow::setBurst(Service& service) const
{
    constexpr double allowancePart = 0.7;
    constexpr std::uint32_t minBurst = 2;
    if (m_retryAllowance)
        service.budget.setBurst(std::max(minBurst, static_cast<std::uint32_t>(allowancePart * m_retryAllowance / m_fleetSize)));
}

void RequestFlow::setFleetSize(std::uint32_t instances)
{
    // Members that a network partition hides still use their part of the allowance.
    if (instances <= m_fleetSize)
        return;
    m_fleetSize = instances;
    for (const auto& [name, service] : m_services)
        setBurst(*service);
}

// The fractional parts of the multiples of the golden ratio are evenly spread, so even a short run of requests is split
// by weight.
std::uint32_t RequestFlow::chooseService(const SheetRule& rule, Context& context)
{
    constexpr double goldenRatio = 0.6180339887498949;
    if (rule.split.empty())
        return rule.service;
    const auto [entry, isNew] = m_splitPositions.try_emplace(rule.name, 0);
    if (isNew)
        entry->second = static_cast<double>(context.random() >> 11) / 9007199254740992.0; // 53 random bits by 2^53
    double& position = entry->second;
    position += goldenRatio;
    position -= std::floor(position);
    std::uint64_t total = 0;
    for (const TrafficShare& share : rule.split)
        total += share.weight;
    double rest = position * static_cast<double>(total);
    for (const TrafficShare& share : rule.split) {
        if (rest < share.weight)
            return share.service;
        rest -= share.weight;
    }
    return rule.split.back().service;
}

RequestFlow::ServicePtr RequestFlow::findOrCreateService(const Sheet& sheet, std::uint32_t index)
{
    const SheetService& config = sheet.services[index];
    ServicePtr& service = m_services[config.name];
    if (!service) {
        service = std::make_shared<Service>();
        service->name = config.name;
        service->id = serviceIdOf(config.name);
        service->budget = RetryBudget(config.retryPercent);
    }
    return service;
}

void RequestFlow::onHead(const HeadReceived& event, Context& context)
{
    ++m_counters.requests;
    Request& request = m_requests[event.request];
    request.id = event.request;
    request.forwarded = event.forwarded;
    request.label = event.label;
    // This request has not run, but an earlier request with the same key may have run at another instance.
    const Outcome outcomeBeforeSend = event.key ? Outcome::Unknown : Outcome::NotRun;
    if (!m_sheet || !m_accepting)
        return refuse(request, { ErrorKind::NoSheet, outcomeBeforeSend, RETRY_AFTER }, context);
    if (m_refusesNew)
        return refuse(request, { ErrorKind::Draining, outcomeBeforeSend, DRAINING_RETRY_AFTER }, context);
    const auto rule = m_router.match(event.method, event.target, event.host);
    if (!rule)
        return refuse(request, { ErrorKind::NoRoute, outcomeBeforeSend, {} }, context);
    request.sheet = m_sheet;
    request.rule = &m_sheet->rules[*rule];
    if (const auto refusal = checkWorkspace(request, event, context))
        return refuse(request, *refusal, context);
    request.service = findOrCreateService(*m_sheet, chooseService(*request.rule, context));
    if (m_refusesNewWithoutKeys && !needsKey(request))
        return refuse(request, { ErrorKind::Draining, Outcome::NotRun, DRAINING_RETRY_AFTER }, context);
    const Time timeLimit = context.now() + request.rule->timeLimit;
    request.deadline = event.remaining ? std::min<Time>(timeLimit, context.now() + *event.remaining) : timeLimit;
    if (request.rule->runLimit == RunLimit::TimeLimit)
        request.runsOnUntil = timeLimit;
    if (const auto refusal = checkKey(request, event))
        return refuse(request, *refusal, context);
    context.emit(ReadBody { request.id, request.rule->maxBody });
}

std::optional<RequestFlow::Refusal> RequestFlow::checkWorkspace(Request& request, const HeadReceived& event, Context& context)
{
    if (event.forwarded) {
        request.forwardedWorkspace = WorkspaceName { std::string(event.workspace) };
        request.workspace = m_sheet->workspaces ? m_sheet->workspaces->findByName(request.forwardedWorkspace) : nullptr;
        return std::nullopt;
    }
    const bool confirmed = m_dependencies.sheetConfirmation.holds(context.now());
    const ApiKeyVerdict verdict = checkApiKey(*m_sheet, *request.rule, event.apiKey, confirmed);
    request.workspace = verdict.workspace;
    if (verdict.error == ErrorKind::None)
        return std::nullopt;
    const Outcome outcome = event.key ? Outcome::Unknown : Outcome::NotRun;
    if (verdict.error == ErrorKind::ApiKeyRejected) {
        ++m_counters.apiKeysRejected;
        return Refusal { verdict.error, outcome, {} };
    }
    ++m_counters.apiKeysUnconfirmed;
    // Another entry instance is likely to know the latest sheet.
    const Duration remaining = event.remaining.value_or(request.rule->timeLimit);
    return Refusal { verdict.error, outcome, retryAfter({ RefusalCause::Unreachable, {}, {}, remaining }, context.random()) };
}

std::uint32_t RequestFlow::priorityOf(const Request& request)
{
    return request.workspace ? request.workspace->priority.value_or(request.rule->priority) : request.rule->priority;
}

WorkspaceLabel RequestFlow::labelOf(const Request& request)
{
    return { request.sheet->workspaces != nullptr, request.workspace ? request.workspace->name : request.forwardedWorkspace };
}

void RequestFlow::onBody(const BodyReceived& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Receiving)
        return;
    request->fingerprint = event.fingerprint;
    request->quarantineId = quarantineIdOf(event.fingerprint, request->rule->host, labelOf(*request).name);
    request->bodySize = event.bodySize;
    request->admittedAt = context.now();
    m_timers.push({ request->deadline, request->id, TimerKind::Deadline });
    if (request->key)
        return beginKeyed(*request, context);
    request->service->budget.deposit();
    takeQuotaToken(*request, context);
}

void RequestFlow::onReceiveFailed(const ReceiveFailed& event, Context& context)
{
    Request* request = find(event.request);
    if (!request || request->phase != Phase::Receiving)
        return;
    // This request did not use its key, but an earlier request with the same key may have run.
    const Outcome outcome = request->key ? Outcome::Unknown : Outcome::NotRun;
    const std::optional<Millis> retryAfter = event.error == ErrorKind::MemoryShort ? std::optional(RETRY_AFTER) : std::nullopt;
    refuse(*request, { event.error, outcome, retryAfter }, context);
}

void RequestFlow::completeRequest(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context)
{
    const RequestId id = request.id;
    for (std::uint8_t i = 0; i < request.activeCount; ++i)
        context.emit(CancelTry { request.active[i].id });
    if (!request.key) {
        respond(request, result, retryAfter, context);
        return eraseIfDone(id, context);
    }
    KeySpace* keySpace = m_dependencies.keys.find(request.key->incarnation);
    if (!keySpace)
        return;
    for (const RequestId waiter : keySpace->idempotencyStore.finish(request.key->id, result)) {
        Request* waiting = find(waiter);
        if (!waiting)
            continue;
        respond(*waiting, result, retryAfter, context);
        eraseIfDone(waiter, context);
    }
    if (Request* runner = find(id)) {
        runner->answered = true;
        eraseIfDone(id, context);
    }
}

void RequestFlow::refuse(Request& request, const Refusal& refusal, Context& context)
{
    respond(request, { refusal.outcome, refusal.error, nullptr }, refusal.retryAfter, context);
    eraseIfDone(request.id, context);
}

void RequestFlow::respond(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context)
{
    if (request.answered)
        return;
    request.answered = true;
    countResult(request, result, context.now());
    std::string nextKey;
    if (needsKey(request) && !request.forwarded)
        nextKey = m_dependencies.keys.issueKey(context.now());
    if (result.response) {
        ++m_counters.relayed;
        RequestRecord record = makeRecord(request, RequestStep::Answered, context.now());
        record.status = result.response->status;
        context.emit(RecordRequest { std::move(record) });
        return context.emit(RelayResponse { request.id, result.response, std::move(nextKey) });
    }
    ++m_counters.refused;
    const ErrorKind error = result.error == ErrorKind::None ? ErrorKind::AnswerNotHeld : result.error;
    RequestRecord record = makeRecord(request, RequestStep::Refused, context.now());
    record.error = error;
    record.outcome = result.outcome;
    record.retryAfter = retryAfter;
    record.reason = request.queueReason;
    context.emit(RecordRequest { std::move(record) });
    context.emit(Refuse { request.id, error, result.outcome, retryAfter, std::move(nextKey) });
    context.report(DecisionKind::Refused, request.service ? request.service->name.value() : std::string("unrouted"),
        describe(error).name, std::string("outcome ") + toString(result.outcome));
}

void RequestFlow::countResult(const Request& request, const KeyResult& result, Time now)
{
    if (!request.service || request.usedAsTrial || !placedByCost(request))
        return;
    const bool served = result.response && !isFailure(request, *result.response);
    m_dependencies.losses.recordOwn(request.service->id, served, now);
}

void RequestFlow::eraseIfDone(RequestId id, Context& context)
{
    const Request* request = find(id);
    if (!request || !request->answered || request->activeCount)
        return;
    returnQuotaToken(*request, context);
    m_requests.erase(id);
    context.emit(ReleaseRequest { id });
}

void RequestFlow::onCallerDisconnected(const CallerDisconnected& event, Context& context)
{
    Request* request = find(event.request);
    if (!request)
        return;
    if (!request->answered)
        context.emit(RecordRequest { makeRecord(*request, RequestStep::Abandoned, context.now()) });
    abandon(*request, context);
}

void RequestFlow::abandon(Request& request, Context& context)
{
    const RequestId id = request.id;
    request.answered = true;
    const bool atMostOnce = request.rule && request.rule->kind == RequestKind::AtMostOnce;
    const bool waits = request.phase == Phase::Queued || request.phase == Phase::AwaitingQuota;
    if (waits && !request.runsOnUntil)
        return leaveQueue(request, context);
    if (atMostOnce && (waits || request.phase == Phase::Sent))
        return;
    if (request.phase == Phase::Joined) {
        if (KeySpace* keySpace = m_dependencies.keys.find(request.key->incarnation))
            keySpace->idempotencyStore.removeWaiter(request.key->id, id);
    }
    for (std::uint8_t i = 0; i < request.activeCount; ++i)
        context.emit(CancelTry { request.active[i].id });
    eraseIfDone(id, context);
}

void RequestFlow::leaveQueue(Request& request, Context& context)
{
    if (request.phase == Phase::AwaitingQuota)
        m_dependencies.quotas.cancel(request.workspace->name, request.id, context);
    else
        request.service->queue->remove(request.id);
    completeRequest(request, { Outcome::NotRun, ErrorKind::DeadlinePassed, nullptr }, {}, context);
}

void RequestFlow::onTick(Context& context)
{
    if (context.now() - m_lastTick > MAX_TICK_GAP)
        m_resumedAt = context.now();
    m_lastTick = context.now();
    while (!m_timers.empty() && m_timers.top().at <= context.now()) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        Request* request = find(timer.request);
        if (!request)
            continue;
        switch (timer.kind) {
        case TimerKind::Deadline:
            expireDeadline(*request, context);
            break;
        case TimerKind::Hedge:
            hedge(*request, context);
            break;
        case TimerKind::Slow:
            onSlow(*request, context);
            break;
        }
    }
    for (auto& [name, service] : m_services) {
        expireQueued(*service, context);
        dispatchQueue(*service, context);
    }
}

void RequestFlow::expireDeadline(Request& request, Context& context)
{
    switch (request.phase) {
    case Phase::Receiving:
        return;
    case Phase::Paused:
        return refuse(request, { ErrorKind::OwnerUnreachable, Outcome::Unknown, RETRY_AFTER }, context);
    case Phase::AwaitingQuota:
    case Phase::Queued:
        return leaveQueue(request, context);
    case Phase::Sent:
    case Phase::Joined:
        respond(request, { Outcome::Unknown, ErrorKind::DeadlinePassed, nullptr }, {}, context);
        return abandon(request, context);
    case Phase::Forwarded:
        respond(request, { Outcome::Unknown, ErrorKind::OwnerUnreachable, nullptr }, RETRY_AFTER, context);
        return eraseIfDone(request.id, context);
    }
}

void RequestFlow::expireAll(Context& context)
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

void RequestFlow::dispatchQueues(Context& context)
{
    for (auto& [name, service] : m_services)
        dispatchQueue(*service, context);
}

RequestFlow::Request* RequestFlow::find(RequestId id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

} // namespace cornelwind
