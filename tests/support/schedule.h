#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace cornelwind::test {

/// Simulated time, and the actions that happen in its course. Actions of the same time run in the order in which they were added.
class Schedule {
public:
    explicit Schedule(Time start)
        : m_now(start)
    {
    }

    Time now() const { return m_now; }

    /// Adds an action that runs `after` from now.
    void add(Duration after, std::function<void()> action) { m_actions.push({ m_now + after, ++m_sequence, std::move(action) }); }

    /// Runs the actions that are due until `end`, which is then the current time.
    void runUntil(Time end)
    {
        while (!m_actions.empty() && m_actions.top().at <= end) {
            const ScheduledAction next = m_actions.top();
            m_actions.pop();
            m_now = next.at;
            next.action();
        }
        m_now = end;
    }

private:
    struct ScheduledAction {
        Time at;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const ScheduledAction& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };

    Time m_now;
    std::uint64_t m_sequence = 0;
    std::priority_queue<ScheduledAction> m_actions;
};

} // namespace cornelwind::test
