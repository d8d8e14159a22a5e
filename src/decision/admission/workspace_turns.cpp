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
    const std::size_t limit = 2 * waiting + SPARE_ROWS;
    if (m_ends.size() <= limit)
        return;
    std::erase_if(m_ends, [this](const auto& row) { return row.second <= m_position; });
    // Ever new workspaces take turns at the same position. Those that had one before may then have another one early.
    if (m_ends.size() > limit)
        m_ends.clear();
}

} // namespace cornelwind
