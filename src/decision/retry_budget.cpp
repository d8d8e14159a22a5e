#include "cornelwind/retry_budget.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::uint32_t TOKEN = 100;
    constexpr std::uint32_t BURST_TOKENS = 5;

} // namespace

RetryBudget::RetryBudget(std::uint32_t percent)
    : m_percent(percent)
    , m_balance(percent ? BURST_TOKENS * TOKEN : 0)
{
}

void RetryBudget::deposit()
{
    m_balance = std::min(m_balance + m_percent, BURST_TOKENS * TOKEN);
}

bool RetryBudget::withdraw()
{
    if (m_balance < TOKEN)
        return false;
    m_balance -= TOKEN;
    return true;
}

} // namespace cornelwind
