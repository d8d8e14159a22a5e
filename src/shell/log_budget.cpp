#include "log_budget.h"

#include <algorithm>
#include <utility>

namespace cornelwind {

bool LogBudget::allow(bool failure, Time now)
{
    const double seconds = std::chrono::duration<double>(now - m_at).count();
    m_tokens = std::min<double>(LINES_PER_SECOND, m_tokens + std::max(seconds, 0.0) * LINES_PER_SECOND);
    m_at = now;
    const double reserve = failure ? 1 : LINES_PER_SECOND / 2.0;
    if (m_tokens < reserve) {
        ++m_suppressed;
        return false;
    }
    m_tokens -= 1;
    return true;
}

std::uint64_t LogBudget::takeSuppressed()
{
    return std::exchange(m_suppressed, 0);
}

} // namespace cornelwind
