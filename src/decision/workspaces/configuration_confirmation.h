#pragma once

#include "cornelwind/types.h"

#include <optional>

namespace cornelwind {

/// Tells up to which moment this entry instance provably knows every configuration that the platform acknowledged.
///
/// An API key may be removed while this instance is cut off, frozen or suspended. So it accepts keys only while that moment, the
/// confirmation time, is recent. Only what began after a moment proves something about it: a call to the platform that was made,
/// or a ping that was sent, by this instance. A response or a message by itself may have been delayed for any time.
/// docs/design/api-keys.md compares this with other designs.
class ConfigurationConfirmation {
public:
    /// @param maxAge keys are accepted while the confirmation is not older; empty if they are accepted without any
    explicit ConfigurationConfirmation(std::optional<Duration> maxAge)
        : m_maxAge(maxAge)
    {
    }

    /// Records that every configuration acknowledged before `at` is known here. Earlier times than the latest are ignored.
    void confirm(Time at);
    /// Records that the machine was suspended, which the clock did not count.
    void onSuspended(Duration time);

    /// @return whether API keys are accepted with a recent confirmation only
    bool isRequired() const { return m_maxAge.has_value(); }
    /// @return time since the confirmation time; empty before the first confirmation
    std::optional<Duration> age(Time now) const;
    /// @return whether API keys may be accepted
    bool holds(Time now) const;
    /// @return whether another member should be asked, so that the confirmation does not become too old
    bool needsRefresh(Time now) const;

private:
    std::optional<Duration> m_maxAge;
    std::optional<Time> m_confirmedAt;
};

} // namespace cornelwind
