#include "admission/workspace_turns.h"

#include <algorithm>

namespace cornelwind {

double WorkspaceTurns::turnOf(WorkspaceId workspace) const
{
    const auto found = m_ends.find(workspace);
    return found == m_ends.end() ? m_position : std::max(found->second, m_position);
}

void WorkspaceTurns::start(WorkspaceId workspace, double weight, std::size_t waiting)
{
    m_position = turnOf(workspace);
    m_ends[workspace] = m_position + 1 / weight;
    if (m_ends.size() > 2 * waiting + SPARE_ROWS)
        std::erase_if(m_ends, [this](const auto& row) { return row.second <= m_position; });
}

} // namespace cornelwind
