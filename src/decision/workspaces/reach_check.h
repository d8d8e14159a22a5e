#pragma once

#include "context.h"
#include "member_table.h"

#include <deque>
#include <vector>

namespace cornelwind {

/// Estimates which part of the live members this entry instance reaches, long before they are declared dead.
///
/// Asks a few members, chosen at random, for a reply every `INTERVAL` while that is of interest. Any message of a member counts.
class ReachCheck {
public:
    static constexpr Duration INTERVAL = std::chrono::milliseconds(300);
    /// Members that do not answer within this time are not reached.
    static constexpr Duration TIMEOUT = std::chrono::milliseconds(150);
    /// Number of members asked in a check.
    static constexpr std::size_t SAMPLE_SIZE = 3;
    /// The same after a member did not answer.
    static constexpr std::size_t WIDE_SAMPLE_SIZE = 16;
    /// Number of latest checks from which the part is estimated.
    static constexpr std::size_t MAX_RESULTS = 3;

    explicit ReachCheck(MemberTable& members)
        : m_members(members)
    {
    }

    /// Keeps checking for a while.
    void request(Time now);
    /// @param wide whether there are signs that members do not answer
    /// @return the members to send a message now that they answer
    std::vector<InstanceName> begin(bool wide, Context& context);
    /// Ends a check whose time is over.
    void finish(Time now);
    /// Forgets earlier checks.
    void restart();

    /// @return part of the live members that answered lately; 1 while unknown
    double answeringPart() const;
    /// @return whether all live members or many of them were asked in the last check, and none of them answered
    bool isIsolated() const { return !m_results.empty() && m_results.back().conclusive && !m_results.back().answered; }
    /// @return when the last check began, which may not have ended
    Time lastBegun() const { return m_startedAt; }
    /// @return when the last check began that has ended; the zero time if there was none
    Time lastCheck() const { return m_results.empty() ? Time {} : m_results.back().startedAt; }

private:
    struct Result {
        Time startedAt;
        std::size_t asked = 0;
        std::size_t answered = 0;
        /// Whether a check without answers shows that this instance reaches nobody.
        bool conclusive = false;
    };

    MemberTable& m_members;
    std::vector<InstanceName> m_asked;
    bool m_askedAll = false;
    Time m_startedAt;
    Time m_wantedUntil;
    std::deque<Result> m_results;
};

} // namespace cornelwind
