#pragma once

#include "admission/request_queue.h"

#include <cstddef>
#include <unordered_map>

namespace cornelwind {

/// Turns of the workspaces that wait in one queue, by start-time fair queueing (Goyal et al. 1996).
///
/// A workspace that has not waited for a while is not due more for it. Memory: at most twice the number of requests that
/// wait, and `SPARE_ROWS` rows.
class WorkspaceTurns {
public:
    /// @return position of the next turn of the workspace; the smallest is first
    double turnOf(WorkspaceId workspace) const;
    /// @return number of workspaces whose turns are kept
    std::size_t size() const { return m_ends.size(); }
    /// Records that a request of the workspace starts.
    ///
    /// @param weight capacity that the workspace is due, relative to the others
    /// @param waiting number of requests that wait
    void start(WorkspaceId workspace, double weight, std::size_t waiting);

private:
    static constexpr std::size_t SPARE_ROWS = 32;

    /// Position after the last turn of each workspace, if it lies after the current one.
    std::unordered_map<WorkspaceId, double> m_ends;
    /// Position of the turn that was taken last.
    double m_position = 0;
};

} // namespace cornelwind
