#include "cornelwind/retry_budget.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // The balance counts hundredths of a token, so that a deposit of `percent` is exact.
    constexpr std::uint32_t UNITS_PER_TOKEN = 100;
    constexpr std::uint32_t DEFAULT_BURST_TOKENS = 5;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_burst(DEFAULT_BURST_TOKENS * UNITS_PER_TOKEN)
    , m_balance(percent ? DEFAULT_BURST_TOKENS * UNITS_PER_TOKEN : 0)
{
}

void RetryBudget::setBurst(std::uint32_t tokens)
{
    if (m_burst == tokens * UNITS_PER_TOKEN)
        return;
    m_burst = tokens * UNITS_PER_TOKEN;
    m_balance = std::min(m_balance, m_burst);
}

void RetryBudget::deposit()
{
    m_balance = std::min(m_balance + m_percent, m_burst);
}

bool RetryBudget::withdraw()
{
    if (m_balance < UNITS_PER_TOKEN)
        return false;
    m_balance -= UNITS_PER_TOKEN;
    return true;
}

} // namespace cornelwind
