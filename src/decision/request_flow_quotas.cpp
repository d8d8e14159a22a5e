// RequestFlow: tokens of the quotas of workspaces.
#include "request_flow.h"

namespace cornelwind {

void RequestFlow::takeQuotaToken(Request& request, Context& context)
{
    if (!request.workspace || request.rule->isPublic)
        return admit(request, context);
    const WorkspaceQuotas::Answer answer = m_dependencies.quotas.take(request.workspace->name, request.id, context);
    switch (answer.verdict) {
    case WorkspaceQuotas::Verdict::Unlimited:
        return admit(request, context);
    case WorkspaceQuotas::Verdict::Granted:
        request.holdsQuotaToken = true;
        return admit(request, context);
    case WorkspaceQuotas::Verdict::Waits:
        ++m_counters.quotaWaits;
        request.phase = Phase::AwaitingQuota;
        return;
    case WorkspaceQuotas::Verdict::Refused:
        return refuseOverQuota(request, answer.next, context);
    }
}

void RequestFlow::onQuotaDecisions(Context& context)
{
    // A request that is refused after it got its token gives it to the next one.
    for (auto decisions = m_dependencies.quotas.takeDecisions(); !decisions.empty(); decisions = m_dependencies.quotas.takeDecisions()) {
        for (const QuotaDecision& decision : decisions) {
            Request* request = find(decision.request);
            if (!request || request->phase != Phase::AwaitingQuota)
                continue;
            request->holdsQuotaToken = decision.granted;
            if (decision.granted)
                admit(*request, context);
            else
                refuseOverQuota(*request, decision.next, context);
        }
    }
}

void RequestFlow::refuseOverQuota(Request& request, Duration untilToken, Context& context)
{
    ++m_counters.quotaRefusals;
    completeRequest(request, { Outcome::NotRun, ErrorKind::QuotaExceeded, nullptr }, retryAfterOpening(untilToken, context.random()), context);
}

void RequestFlow::returnQuotaToken(const Request& request, Context& context)
{
    if (request.holdsQuotaToken && !request.wasSent)
        m_dependencies.quotas.giveBack(request.workspace->name, context);
}

} // namespace cornelwind
