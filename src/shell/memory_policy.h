#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace cornelwind {

/// A body of this size is never the reason why memory is short.
inline constexpr std::size_t SMALL_BODY_BYTES = 64 * 1024;

/// A transfer is slow if it moves less than `SMALL_BODY_BYTES` in this time, that is, less than about 1 Mbit/s.
inline constexpr Millis SLOW_TRANSFER_TIME { 500 };
/// A transfer is slow as well if it moves no byte in this time, which is several round trips within a region.
inline constexpr Millis STALLED_TRANSFER_TIME { 250 };

/// A direction in which a body is transferred. Slow transfers are ended in this order.
enum class Transfer : std::uint8_t {
    /// A response to a caller.
    ToCaller,
    /// The body of a request from a caller. The request has not run.
    FromCaller,
    /// The body of a request to a backend server. The request may have run.
    ToServer,
    /// A response of a backend server. The request has run.
    FromServer,
};

inline constexpr std::size_t TRANSFERS = 4;

/// @return the name used in logs and metrics
const char* toString(Transfer transfer);

/// Tells since when a transfer has moved no byte, and since when less than `SMALL_BODY_BYTES`.
class ProgressMeter {
public:
    void start(Time now)
    {
        m_counted = 0;
        m_total = 0;
        m_movedAt = now;
        m_startedAt = now;
        m_slowSince = now;
    }
    /// @param total bytes moved since the start
    void advance(std::size_t total, Time now)
    {
        if (total > m_total) {
            m_total = total;
            m_movedAt = now;
        }
        if (total < m_counted + SMALL_BODY_BYTES)
            return;
        m_counted = total;
        m_slowSince = now;
    }
    /// @return time since which less than `SMALL_BODY_BYTES` have moved
    Time slowSince() const { return m_slowSince; }
    /// @return time at which a byte last moved
    Time stalledSince() const { return m_movedAt; }
    Time startedAt() const { return m_startedAt; }

private:
    /// Value of `m_total` at `m_slowSince`.
    std::size_t m_counted = 0;
    std::size_t m_total = 0;
    Time m_movedAt;
    Time m_startedAt;
    Time m_slowSince;
};

/// A transfer in progress and the memory that it holds.
struct MemoryStake {
    Transfer transfer = Transfer::ToCaller;
    std::size_t bytes = 0;
    /// See `ProgressMeter`.
    Time slowSince;
    Time stalledSince;
    Time startedAt {};
};

/// How short memory is.
enum class Shortage : std::uint8_t {
    None,
    /// Only the bodies of requests exceed their limit.
    Requests,
    /// All bodies together exceed the limit.
    All,
};

/// Chooses the transfer to end while memory is short.
///
/// Slow transfers come first, except responses of backend servers, whose loss costs a request that has run. Among those of one
/// direction it is the one with the largest product of bytes and time in which it was slow. If none is slow, it is the largest
/// body that is being received, of a request or a response: only receiving takes more memory. If that is the body of a request,
/// the request that began last is ended instead. Otherwise none of many callers that send large bodies at once would ever come to
/// an end.
///
/// @param stakes transfers in progress
/// @param resumedAt time before which this process did not run, so that no transfer counts as slow for longer
/// @return index into `stakes`; nothing if all that may be ended are small
std::optional<std::size_t> chooseTransferToEnd(std::span<const MemoryStake> stakes, Shortage shortage, Time resumedAt, Time now);

} // namespace cornelwind
