// RequestFlow: log records of the steps of a request.
#include "request_flow.h"

namespace cornelwind {

RequestRecord RequestFlow::makeRecord(const Request& request, RequestStep step, Time now) const
{
    RequestRecord record;
    record.step = step;
    record.label = request.label;
    if (request.service)
        record.service = request.service->name.value();
    if (request.rule) {
        record.rule = request.rule->name;
        record.idempotent = request.rule->kind == RequestKind::Idempotent;
    }
    if (request.sheet) {
        record.sheet = request.sheet->version;
        record.workspace = labelOf(request).name.value();
    }
    record.tries = request.tryCount;
    if (request.admittedAt > Time {})
        record.age = now - request.admittedAt;
    return record;
}

void RequestFlow::recordPlaced(const Request& request, const Server& server, Time tryDeadline, Context& context) const
{
    RequestRecord record = makeRecord(request, RequestStep::Placed, context.now());
    record.server = server.config.name.value();
    record.risk = m_dependencies.pool.beliefs().unhealthyProbability(server.id, context.now());
    record.inFlight = server.inFlight;
    record.others = m_dependencies.pool.peerLoads().peerInFlight(server.id);
    record.slots = server.config.slots.value();
    record.tryTime = tryDeadline - context.now();
    record.callerTime = request.deadline - context.now();
    const bool waited = request.tryCount == 1 && context.now() > request.admittedAt;
    if (ordersByValue(request) && waited && context.now() + expectedWork(request).most() > request.admittedAt + targetLatencyOf(request))
        record.reason = "expected to miss its target latency";
    context.emit(RecordRequest { std::move(record) });
}

void RequestFlow::recordSendFailed(const Request& request, const ActiveTry& ended, const TryFinished& event, Context& context) const
{
    RequestRecord record = makeRecord(request, RequestStep::SendFailed, context.now());
    if (const Server* server = m_dependencies.pool.find(ended.server))
        record.server = server->config.name.value();
    record.result = toString(event.result);
    record.elapsed = context.now() - ended.sentAt;
    record.status = event.response ? event.response->status : 0;
    context.emit(RecordRequest { std::move(record) });
}

void RequestFlow::recordNotSentAgain(const Request& request, const char* reason, Context& context) const
{
    RequestRecord record = makeRecord(request, RequestStep::NotSentAgain, context.now());
    record.reason = reason;
    context.emit(RecordRequest { std::move(record) });
}

} // namespace cornelwind
