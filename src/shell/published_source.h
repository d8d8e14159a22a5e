#pragma once

#include "cornelwind/event.h"

#include <cstdint>
#include <functional>

namespace cornelwind {

/// Reads what the platform publishes and reports it as events.
class PublishedSource {
public:
    using Handler = std::function<void(EventBody)>;

    virtual ~PublishedSource() = default;

    /// Reads every value once.
    virtual void start() = 0;
    /// @param enabled waits for changes; else reads the list only, every `listRefresh`
    virtual void watch(bool enabled, Millis listRefresh) = 0;
    /// Asks at once, because peers know later values.
    virtual void refresh() = 0;
    /// @return calls made so far
    virtual std::uint64_t calls() const = 0;
};

} // namespace cornelwind
