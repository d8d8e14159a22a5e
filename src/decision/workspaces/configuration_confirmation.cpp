#include "workspaces/configuration_confirmation.h"

#include <algorithm>
#include <cstdint>

namespace cornelwind {
namespace {

    // Part of the maximum age: a member is asked when the confirmation is older, which leaves time for several attempts.
    constexpr std::int64_t REFRESH_AGE_PERCENT = 28;

} // namespace

void ConfigurationConfirmation::confirm(Time began, Duration offset, Time now)
{
    Time at = began + offset;
    for (const Suspension& suspension : m_suspensions) {
        if (began <= suspension.noticedAt)
            at -= suspension.time;
    }
    at = std::min(at, now);
    if (!m_confirmedAt || at > *m_confirmedAt)
        m_confirmedAt = at;
}

void ConfigurationConfirmation::onSuspended(Duration time, Time now)
{
    if (m_confirmedAt)
        *m_confirmedAt -= time;
    m_suspensions.push_back({ now, time });
    if (m_suspensions.size() <= MAX_SUSPENSIONS)
        return;
    // Counting the oldest toward calls that began after it makes ages larger, never smaller.
    m_suspensions[1].time += m_suspensions[0].time;
    m_suspensions.erase(m_suspensions.begin());
}

std::optional<Duration> ConfigurationConfirmation::age(Time now) const
{
    return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt;
}

bool ConfigurationConfirmation::holds(Time now) const
{
    return !m_maxAge || (m_confirmedAt && now - *m_confirmedAt <= *m_maxAge);
}

bool ConfigurationConfirmation::needsRefresh(Time now) const
{
    return m_maxAge && (!m_confirmedAt || now - *m_confirmedAt > *m_maxAge * REFRESH_AGE_PERCENT / 100);
}

} // namespace cornelwind
