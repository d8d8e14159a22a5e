// RequestFlow: the queues of services.
#include "request_flow.h"

#include "admission/competition.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace cornelwind {
namespace {

    // Reasons in log records.
    constexpr const char* QUEUE_FULL = "queue full";
    constexpr const char* WAIT_TOO_LONG = "expected wait too long";
    constexpr const char* TOO_LATE = "cannot be done before its deadline";
    constexpr const char* DISPLACED = "displaced by a request of higher value";
    constexpr const char* WAITED_TOO_LONG = "waited until too late";

} // namespace

void RequestFlow::adoptQueueOrders()
{
    double quotas = 0;
    std::size_t limited = 0;
    if (m_sheet->workspaces) {
        for (const Workspace& workspace : m_sheet->workspaces->all()) {
            quotas += workspace.quota ? workspace.quota->perSecond : 0;
            limited += workspace.quota.has_value();
        }
    }
    m_meanQuota = limited ? quotas / static_cast<double>(limited) : 1;
    const std::vector<bool> competing = competingServices(*m_sheet);
    for (auto& [name, service] : m_services)
        setQueueOrder(*service, service->index && competing[*service->index]);
    forgetWorks();
}

// The names of all rules are collected only if a service has learned something.
void RequestFlow::forgetWorks()
{
    std::unordered_set<std::string_view> rules;
    for (auto& [name, service] : m_services) {
        if (service->works.empty())
            continue;
        if (rules.empty()) {
            for (const SheetRule& rule : m_sheet->rules)
                rules.insert(rule.name);
        }
        std::erase_if(service->works, [&](const auto& row) { return !rules.contains(row.first); });
    }
}

void RequestFlow::setQueueOrder(Service& service, bool byValue)
{
    if (service.queue->ordersByValue() == byValue)
        return;
    const auto previous = std::exchange(service.queue, byValue ? makeValueQueue() : makeArrivalQueue());
    // Without a time and a limit, none of the requests that wait is refused.
    const QueueLoad load { Time {}, std::numeric_limits<std::size_t>::max(), {} };
    while (const auto next = previous->next(Time {})) {
        if (const Request* request = find(*next))
            service.queue->enter(queuedRequestOf(*request, request->admittedAt), load);
        previous->remove(*next);
    }
    if (!byValue)
        service.works.clear();
}

ExpectedWork RequestFlow::expectedWork(const Request& request)
{
    const auto found = request.service->works.find(request.rule->name);
    return found == request.service->works.end() ? ExpectedWork {} : found->second.expected();
}

QueuedRequest RequestFlow::queuedRequestOf(const Request& request, Time now) const
{
    QueuedRequest queued;
    queued.request = request.id;
    queued.priority = priorityOf(request);
    queued.target = request.admittedAt + targetLatencyOf(request);
    queued.deadline = request.deadline;
    queued.expires = queueDeadline(request, now);
    queued.work = expectedWork(request);
    if (request.workspace) {
        queued.workspace = workspaceIdOf(request.workspace->name);
        queued.workspaceWeight = request.workspace->quota ? request.workspace->quota->perSecond : m_meanQuota;
    }
    return queued;
}

bool RequestFlow::isOutranked(const Request& request, Time now) const
{
    return request.service->queue->size() && request.service->queue->outranks(queuedRequestOf(request, now), now);
}

void RequestFlow::enqueue(Request& request, Context& context)
{
    Service& service = *request.service;
    const Time now = context.now();
    const bool byValue = ordersByValue(request);
    if (!byValue && placedByCost(request) && now + expectedWait(service, now) > queueDeadline(request, now))
        return refuseQueued(request, ErrorKind::QueueFull, retryAfterOf(request, RefusalCause::Full, context), WAIT_TOO_LONG, context);
    const QueueAdmission admission = service.queue->enter(queuedRequestOf(request, now), { now, service.config.queueLimit, timeForStarts(service, 1, now) });
    if (Request* displaced = admission.displaced ? find(*admission.displaced) : nullptr) {
        ++m_counters.displaced;
        refuseQueued(*displaced, ErrorKind::QueueFull, retryAfterOf(*displaced, RefusalCause::Full, context), DISPLACED, context);
    }
    if (admission.verdict == QueueVerdict::TooLate) {
        ++m_counters.refusedTooLate;
        return refuseQueued(request, ErrorKind::QueueFull, retryAfterOf(request, RefusalCause::TooLate, context, admission.possibleAfter), TOO_LATE, context);
    }
    if (admission.verdict == QueueVerdict::Full)
        return refuseQueued(request, ErrorKind::QueueFull, retryAfterOf(request, RefusalCause::Full, context), QUEUE_FULL, context);
    request.phase = Phase::Queued;
    RequestRecord record = makeRecord(request, RequestStep::Waiting, now);
    record.queued = static_cast<std::uint32_t>(service.queue->size());
    record.expectedWait = expectedWait(service, now);
    context.emit(RecordRequest { std::move(record) });
    dispatchQueue(service, context);
}

void RequestFlow::refuseQueued(Request& request, ErrorKind error, Millis retryAfter, const char* reason, Context& context)
{
    request.queueReason = reason;
    completeRequest(request, { Outcome::NotRun, error, nullptr }, retryAfter, context);
}

void RequestFlow::expireQueued(Service& service, Context& context)
{
    for (const RequestId expired : service.queue->expire(context.now())) {
        if (Request* request = find(expired))
            refuseQueued(*request, ErrorKind::QueueTimeout, retryAfterOf(*request, RefusalCause::Full, context), WAITED_TOO_LONG, context);
    }
}

void RequestFlow::dispatchQueue(Service& service, Context& context)
{
    while (const auto next = service.queue->next(context.now())) {
        Request* request = find(*next);
        if (!request) {
            service.queue->remove(*next);
            continue;
        }
        if (const auto refusal = refusalBeforeSend(*request, context)) {
            service.queue->remove(*next);
            completeRequest(*request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
            continue;
        }
        const bool sent = trySend(*request, context);
        const auto refusal = sent ? std::nullopt : refusalOfWait(*request, context);
        if (!sent && !refusal)
            return;
        if (sent) {
            m_counters.servedLate += service.queue->start(context.now());
            continue;
        }
        service.queue->remove(*next);
        completeRequest(*request, { refusal->outcome, refusal->error, nullptr }, refusal->retryAfter, context);
    }
}

Duration RequestFlow::timeForStarts(const Service& service, std::size_t starts, Time now)
{
    constexpr Duration window = std::chrono::seconds(1);
    const Duration countedTime = window + std::clamp<Duration>(now - service.windowStart, Duration {}, window);
    const std::uint32_t tries = service.tries + service.previousTries;
    // No estimate is possible from fewer than two tries.
    if (tries < 2)
        return {};
    return countedTime * static_cast<std::int64_t>(starts) / tries;
}

Duration RequestFlow::expectedWait(const Service& service, Time now)
{
    return timeForStarts(service, service.queue->size(), now);
}

Millis RequestFlow::retryAfterOf(const Request& request, RefusalCause cause, Context& context, Duration possibleAfter) const
{
    if (!placedByCost(request) && !ordersByValue(request))
        return RETRY_AFTER;
    const Service& service = *request.service;
    const Duration work = expectedWork(request).mean;
    RetryAfterInput input;
    input.cause = cause;
    input.typical = work > Duration {} ? work : service.latency.geometricMean();
    input.wait = cause == RefusalCause::TooLate ? possibleAfter : expectedWait(service, context.now());
    input.remaining = request.deadline - context.now();
    return retryAfter(input, context.random());
}

Millis RequestFlow::targetLatencyOf(const Request& request)
{
    return request.rule->targetLatency.value_or(request.rule->timeLimit / 2);
}

Time RequestFlow::queueDeadline(const Request& request, Time now) const
{
    const Time latest = ordersByValue(request) ? request.deadline - expectedWork(request).mean : request.deadline;
    if (!placedByCost(request))
        return std::min<Time>(latest, now + request.service->config.maxQueueTime);
    if (ordersByValue(request))
        return latest;
    // A request waits only while it can still be served in time; any other is refused at once with a retry time.
    return std::min<Time>(request.deadline - request.service->latency.geometricMean(), now + targetLatencyOf(request));
}

} // namespace cornelwind
