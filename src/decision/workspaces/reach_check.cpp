#include "workspaces/reach_check.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    // Checks go on for this time after the last request for them.
    constexpr Duration WANTED_TIME = std::chrono::seconds(2);
    // Older results say nothing of the present.
    constexpr Duration RESULT_LIFETIME = std::chrono::seconds(2);

    // Number of members asked from which a check without answers shows isolation. While half of the fleet is reachable, a check of
    // this size has no answer by chance only once in 256.
    constexpr std::size_t MIN_CONCLUSIVE_SAMPLE = 8;

} // namespace

void ReachCheck::request(Time now)
{
    m_wantedUntil = now + WANTED_TIME;
}

std::vector<InstanceName> ReachCheck::begin(bool wide, Context& context)
{
    if (context.now() >= m_wantedUntil || !m_asked.empty() || context.now() - m_startedAt < INTERVAL)
        return {};
    std::vector<MemberRecord*> live = m_members.live();
    const std::size_t sample = wide || answeringPart() < 1 ? WIDE_SAMPLE_SIZE : SAMPLE_SIZE;
    while (!live.empty() && m_asked.size() < sample) {
        std::swap(live[context.random() % live.size()], live.back());
        m_asked.push_back(live.back()->name);
        live.pop_back();
    }
    m_askedAll = live.empty();
    m_startedAt = context.now();
    return m_asked;
}

void ReachCheck::finish(Time now)
{
    if (!m_results.empty() && now - m_results.front().startedAt >= RESULT_LIFETIME)
        m_results.pop_front();
    if (m_asked.empty() || now - m_startedAt < TIMEOUT)
        return;
    const auto asked = std::exchange(m_asked, {});
    const auto answered = std::count_if(asked.begin(), asked.end(), [this](const InstanceName& name) {
        const MemberRecord* member = m_members.find(name);
        return member && member->lastHeard > m_startedAt;
    });
    m_results.push_back({ m_startedAt, asked.size(), static_cast<std::size_t>(answered), m_askedAll || asked.size() >= MIN_CONCLUSIVE_SAMPLE });
    if (m_results.size() > MAX_RESULTS)
        m_results.pop_front();
}

void ReachCheck::restart()
{
    m_asked.clear();
    m_results.clear();
}

double ReachCheck::answeringPart() const
{
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (const Result& result : m_results) {
        asked += result.asked;
        answered += result.answered;
    }
    return asked ? static_cast<double>(answered) / static_cast<double>(asked) : 1;
}

} // namespace cornelwind
