#pragma once

#include "cornelwind/types.h"
#include "log_rate_limiter.h"
#include "memory_policy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_set>
#include <utility>

namespace cornelwind {

/// Purpose of the bytes that a `MemoryCharge` counts.
enum class MemoryKind : std::uint8_t {
    /// Body of a request that is being received from a caller.
    ReceivingRequest,
    /// Complete body of a request, until the request has ended and no try writes it any more.
    Request,
    /// Body of a response of a backend server, from its first byte until nothing needs it any more.
    Response,
    /// Response that is being written to a caller.
    WritingResponse,
};

inline constexpr std::size_t MEMORY_KINDS = 4;

/// @return the name used in metrics
const char* toString(MemoryKind kind);

/// A connection or call that holds the bytes of a message in transfer, and that can be ended to free them.
class MemoryHolder {
public:
    virtual ~MemoryHolder() = default;

    /// Records the progress of the transfer, and describes it.
    ///
    /// @return the transfer in progress; nothing if there is none that can be ended
    virtual std::optional<MemoryStake> memoryStake(Time now) = 0;
    /// Ends the transfer that `memoryStake` describes. Its bytes no longer count on return, and `memoryStake` returns nothing.
    virtual void endTransfer() = 0;
};

/// Counts the bytes of all message bodies that are held in memory, against one limit.
///
/// Request bodies alone may use `REQUEST_PERCENT` of it, so that waiting requests leave room for responses. While memory is short,
/// `enforce` ends transfers in the order of `chooseTransferToEnd`.
class MemoryBudget {
public:
    static constexpr std::size_t DEFAULT_LIMIT_BYTES = 128 * 1024 * 1024;
    /// Part of the limit that request bodies may use. A process with 395 MB of memory has a limit of 98 MB, so that one request body
    /// of 64 MiB still fits.
    static constexpr std::size_t REQUEST_PERCENT = 75;

    /// @param limit in bytes
    explicit MemoryBudget(std::size_t limit = DEFAULT_LIMIT_BYTES)
        : m_limit(limit)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// @return bytes held now
    std::size_t used() const { return m_used; }
    std::size_t used(MemoryKind kind) const { return m_usedByKind.at(static_cast<std::size_t>(kind)); }
    std::size_t limit() const { return m_limit; }
    bool isExceeded() const { return shortage() != Shortage::None; }
    /// @return which limit is exceeded
    Shortage shortage() const;

    /// Ends transfers until memory suffices or none is left that may be ended.
    void enforce(Time now);
    /// Measures progress and enforces the limits. Call it periodically, because a transfer that stalls causes no call of `enforce`.
    ///
    /// After a gap between two calls this process did not run, so transfers do not count as slow for the time before it.
    void tick(Time now);

    /// @return number of transfers that were ended, by direction
    std::uint64_t ended(Transfer transfer) const { return m_ended.at(static_cast<std::size_t>(transfer)); }

    /// @param holder must be removed before it is destroyed
    void add(MemoryHolder* holder) { m_holders.insert(holder); }
    void remove(MemoryHolder* holder) { m_holders.erase(holder); }

private:
    friend class MemoryCharge;

    MemoryHolder* chooseHolder(Time now) const;
    void measureProgress(Time now);
    void report(const MemoryStake& stake, Time now);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::array<std::size_t, MEMORY_KINDS> m_usedByKind {};
    std::unordered_set<MemoryHolder*> m_holders;
    std::array<std::uint64_t, TRANSFERS> m_ended {};
    LogRateLimiter m_logRateLimiter;
    Time m_lastTick;
    Time m_nextMeasurement;
    /// Time since which this process has run without a gap.
    Time m_resumedAt;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// The bytes that one message holds. They are returned to the budget when the charge is destroyed.
class MemoryCharge {
public:
    MemoryCharge(MemoryBudgetPtr budget, MemoryKind kind)
        : m_budget(std::move(budget))
        , m_kind(kind)
    {
    }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    ~MemoryCharge() { set(0); }

    /// @param bytes that the message holds from now on
    void set(std::size_t bytes)
    {
        std::size_t& ofKind = m_budget->m_usedByKind.at(static_cast<std::size_t>(m_kind));
        m_budget->m_used += bytes - m_bytes;
        ofKind += bytes - m_bytes;
        m_bytes = bytes;
    }
    std::size_t bytes() const { return m_bytes; }

private:
    MemoryBudgetPtr m_budget;
    MemoryKind m_kind;
    std::size_t m_bytes = 0;
};

} // namespace cornelwind
