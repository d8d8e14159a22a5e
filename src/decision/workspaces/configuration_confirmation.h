#pragma once

#include "cornelwind/types.h"

#include <optional>
#include <vector>

namespace cornelwind {

/// Tells up to which moment this entry instance provably knows every configuration that the platform acknowledged.
///
/// An API key may be removed while this instance is cut off, frozen or suspended. So it accepts keys only while that moment, the
/// confirmation time, is recent. Only what began after a moment proves something about it: a call to the platform that was made,
/// or a ping that was sent, by this instance. A response or a message by itself may have been delayed for any time.
/// docs/design/api-keys.md compares this with other designs.
///
/// Memory: the confirmation time and the latest `MAX_SUSPENSIONS` suspensions.
class ConfigurationConfirmation {
public:
    /// Number of suspensions that are remembered one by one.
    static constexpr std::size_t MAX_SUSPENSIONS = 8;

    /// @param maxAge keys are accepted while the confirmation is not older; empty if they are accepted without any
    explicit ConfigurationConfirmation(std::optional<Duration> maxAge)
        : m_maxAge(maxAge)
    {
    }

    /// Records that every configuration acknowledged before `offset` after `began` is known here. Earlier moments than the latest are
    /// ignored.
    ///
    /// @param began when the call was made, or the ping sent, that proves it
    /// @param offset time for which the platform held its reply back, or minus the age that a member states
    void confirm(Time began, Duration offset, Time now);
    /// Records that the system was suspended, which the clock did not count.
    ///
    /// @param now when that was noticed; what began earlier may have begun before the suspension
    void onSuspended(Duration time, Time now);

    /// @return whether API keys are accepted with a recent confirmation only
    bool isRequired() const { return m_maxAge.has_value(); }
    /// @return time since the confirmation time; empty before the first confirmation
    std::optional<Duration> age(Time now) const;
    /// @return whether API keys may be accepted
    bool holds(Time now) const;
    /// @return whether another member should be asked, so that the confirmation does not become too old
    bool needsRefresh(Time now) const;

private:
    struct Suspension {
        Time noticedAt;
        Duration time;
    };

    std::optional<Duration> m_maxAge;
    std::optional<Time> m_confirmedAt;
    /// Oldest first.
    std::vector<Suspension> m_suspensions;
};

} // namespace cornelwind
