#include "workspaces/configuration_confirmation.h"

#include <cstdint>

namespace cornelwind {
namespace {

    // In percent of the maximum age: a member is asked when the confirmation is older, which leaves time for several attempts.
    constexpr std::int64_t REFRESH_AGE = 28;

} // namespace

void ConfigurationConfirmation::confirm(Time at)
{
    if (!m_confirmedAt || at > *m_confirmedAt)
        m_confirmedAt = at;
}

void ConfigurationConfirmation::onSuspended(Duration time)
{
    if (m_confirmedAt)
        *m_confirmedAt -= time;
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
    return m_maxAge && (!m_confirmedAt || now - *m_confirmedAt > *m_maxAge * REFRESH_AGE / 100);
}

} // namespace cornelwind
