#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// What the end of a send says about the backend server.
enum class Evidence : std::uint8_t {
    /// An answer in time.
    Success,
    /// An error, a lost connection or a broken answer.
    Failure,
    /// Nothing: shed, cancelled, or cut short by the caller.
    None,
};

/// Receives what happens to sends, and tells what is usual.
class EvidenceSink {
public:
    virtual ~EvidenceSink() = default;
    virtual void trySent(TryId id, ServerId server, Time now) = 0;
    /// @param service index into the sheet in force
    /// @return median time of an answer, or zero while it is not known
    virtual Duration typicalTime(std::uint32_t service) const = 0;
    virtual void tryEnded(TryId id, Evidence evidence, Time now) = 0;
};

} // namespace cornelwind
