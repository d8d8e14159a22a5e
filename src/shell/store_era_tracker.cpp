#include "store_era_tracker.h"

#include "log.h"

#include <utility>

namespace cornelwind {

StoreEraTracker::Verdict StoreEraTracker::onReply(const StoreReply& reply)
{
    if (reply.era) {
        if (onEra(*reply.era) == Verdict::Repeat)
            return Verdict::Repeat;
    } else if (!reply.unreadableEra.empty())
        report(Problem::Unreadable, "an era that is not a number: " + reply.unreadableEra);
    else if (m_era.value())
        report(Problem::Missing, "no era");
    return std::exchange(m_mustReadAll, false) ? Verdict::ReadAll : Verdict::Use;
}

StoreEraTracker::Verdict StoreEraTracker::onEra(StoreEra era)
{
    if (era < m_era) {
        report(Problem::Earlier, "the earlier era " + std::to_string(era.value()));
        if (m_earlier == MAX_EARLIER)
            return Verdict::Use;
        if (++m_earlier < MAX_EARLIER)
            return Verdict::Repeat;
        m_mustReadAll = true;
        return Verdict::Use;
    }
    learn(era);
    m_earlier = 0;
    return Verdict::Use;
}

void StoreEraTracker::learn(StoreEra era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_mustReadAll = true;
    m_reported.reset();
}

void StoreEraTracker::report(Problem problem, const std::string& detail)
{
    if (m_reported.test(static_cast<std::size_t>(problem)))
        return;
    m_reported.set(static_cast<std::size_t>(problem));
    logMessage(LogLevel::Warn, LogComponent::Platform, "Metadata store states " + detail + "; ignored, era " + std::to_string(m_era.value()) + " stays in use.");
}

} // namespace cornelwind
