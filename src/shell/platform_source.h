#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/event.h"

#include <cstdint>
#include <functional>

namespace cornelwind {

/// Reads the sheet and the lists of entry instances or backend servers that the platform publishes, and reports them
/// as events.
class PlatformSource {
public:
    using Handler = std::function<void(EventBody)>;

    virtual ~PlatformSource() = default;

    /// Reads every value once.
    virtual void start() = 0;
    /// Enables or disables watching for changes.
    virtual void watch(const WatchPlatform& options) = 0;
    /// Reads again at once. Called when peers know later values than this entry instance.
    virtual void refresh() = 0;
    /// @return number of calls made to the platform so far
    virtual std::uint64_t calls() const = 0;
};

} // namespace cornelwind
