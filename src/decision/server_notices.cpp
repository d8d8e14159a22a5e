#include "server_notices.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    // A server that asks for a longer time is tried again after this one, so that it cannot be out of use for ever.
    constexpr Duration MAX_BACKOFF = std::chrono::seconds(60);
    constexpr Duration REPORT_INTERVAL = std::chrono::seconds(10);

} // namespace

ServerNotices::ServerNotices(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

void ServerNotices::onNotice(ServerId id, std::uint64_t incarnation, const ServerNotice& notice, Context& context)
{
    Server* server = m_dependencies.pool.find(id);
    if (!server || server->config.incarnation != incarnation)
        return;
    if (!notice.unreadable.empty())
        reportUnreadable(*server, notice, context);
    if (notice.leaving)
        m_dependencies.onLeaving(id, context);
    if (notice.backoff > Duration {})
        startBackoff(*server, notice.backoff, context);
    if (notice.limit.kind == StatedLimit::Kind::PerSecond)
        m_dependencies.serverLimits.onResponse(*server, notice.limit.perSecond, context);
    else if (notice.limit.kind == StatedLimit::Kind::None)
        m_dependencies.serverLimits.onResponse(*server, std::nullopt, context);
}

void ServerNotices::startBackoff(Server& server, Duration backoff, Context& context)
{
    const Duration bounded = std::min(backoff, MAX_BACKOFF);
    const bool isNew = server.backoffUntil <= context.now();
    server.backoffUntil = std::max(server.backoffUntil, context.now() + bounded);
    if (isNew)
        context.report(DecisionKind::ServerBackoff, server.config.name.value(), bounded < backoff ? "asked for a longer time without requests" : "asked for a time without requests", {}, bounded);
}

void ServerNotices::reportUnreadable(const Server& server, const ServerNotice& notice, Context& context)
{
    std::erase_if(m_reportedAt, [&](const auto& row) { return context.now() - row.second >= REPORT_INTERVAL; });
    if (m_reportedAt.emplace(server.id, context.now()).second)
        context.report(DecisionKind::NoticeInvalid, server.config.name.value(), "ignored: " + notice.unreadable, {}, REPORT_INTERVAL);
}

} // namespace cornelwind
