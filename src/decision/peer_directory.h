#pragma once

#include "cornelwind/types.h"

#include <optional>

namespace cornelwind {

/// Tells which entry instances can be asked.
class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    /// @param incarnation zero for any
    /// @return where that start of the entry instance can be reached, or nothing if it is not known to answer
    virtual std::optional<Endpoint> reach(const InstanceName& name, Incarnation incarnation) const = 0;
};

} // namespace cornelwind
