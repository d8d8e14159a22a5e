#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace cornelwind {

/// Counts the bytes of all messages that are held in memory, against one limit.
class MemoryBudget {
public:
    static constexpr std::size_t DEFAULT_LIMIT_BYTES = 128 * 1024 * 1024;

    /// @param limit in bytes
    explicit MemoryBudget(std::size_t limit = DEFAULT_LIMIT_BYTES)
        : m_limit(limit)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// @return bytes held now
    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }
    bool isExceeded() const { return m_used > m_limit; }

private:
    friend class MemoryCharge;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// The bytes that one message holds. They are returned to the budget when the charge is destroyed.
class MemoryCharge {
public:
    explicit MemoryCharge(MemoryBudgetPtr budget)
        : m_budget(std::move(budget))
    {
    }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    ~MemoryCharge() { set(0); }

    /// @param bytes that the message holds from now on
    void set(std::size_t bytes)
    {
        m_budget->m_used += bytes;
        m_budget->m_used -= std::exchange(m_bytes, bytes);
    }
    std::size_t bytes() const { return m_bytes; }

private:
    MemoryBudgetPtr m_budget;
    std::size_t m_bytes = 0;
};

} // namespace cornelwind
