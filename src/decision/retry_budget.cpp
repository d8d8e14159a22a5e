#include "cornelwind/retry_budget.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::uint32_t TOKEN = 100;
    constexpr std::uint32_t BURST_TOKENS = 5;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_burst(BURST_TOKENS * TOKEN)
    , m_balance(percent ? BURST_TOKENS * TOKEN : 0)
{
}

void RetryBudget::setBurst(std::uint32_t tokens)
{
    if (m_burst == tokens * TOKEN)
        return;
    m_burst = tokens * TOKEN;
    m_balance = std::min(m_balance, m_burst);
}

void RetryBudget::deposit()
{
    m_balance = std::min(m_balance + m_percent, m_burst);
}

bool RetryBudget::withdraw()
{
    if (m_balance < TOKEN)
        return false;
    m_balance -= TOKEN;
    return true;
}

} // namespace cornelwind
