#pragma once

#include "cornelwind/types.h"

#include <optional>

namespace cornelwind {

/// Looks up the addresses of the other entry instances.
class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    /// @param incarnation the start of the entry instance that is sought; zero for any
    /// @return the address to send to, or nothing if that incarnation is unknown or does not answer
    virtual std::optional<Endpoint> endpointOf(const InstanceName& name, Incarnation incarnation) const = 0;
};

} // namespace cornelwind
