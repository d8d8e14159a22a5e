#include "coordinator_choice.h"

#include <algorithm>
#include <utility>

namespace cornelwind {
namespace {

    constexpr Duration OBSERVATION_INTERVAL = std::chrono::milliseconds(100);
    // 64-bit FNV prime.
    constexpr std::uint64_t FINGERPRINT_FACTOR = 0x100000001b3;

} // namespace

// Mixes the bits with the finalizer of SplitMix64.
std::uint64_t CoordinatorChoice::hashOf(std::uint64_t subject, const InstanceName& instance)
{
    std::uint64_t bits = subject ^ serverIdOf(ServerName { instance.value() }).value();
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
    return bits ^ (bits >> 31);
}

void CoordinatorChoice::observe(Time now)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (now < m_nextObservation)
        return;
    m_nextObservation = now + OBSERVATION_INTERVAL;
    std::uint64_t fingerprint = 1;
    for (const MemberRecord* member : m_members.live())
        fingerprint = fingerprint * FINGERPRINT_FACTOR + member->incarnation.value();
    if (fingerprint != m_membersFingerprint)
        m_membersChangedAt = now;
    m_membersFingerprint = fingerprint;
    m_aliveFingerprint = 1;
    for (const auto& [name, member] : m_members.records()) {
        if (member.state == MemberState::Alive) {
            if (!m_silentUntil.contains(name))
                m_goneSince.erase(name);
            m_aliveFingerprint = m_aliveFingerprint * FINGERPRINT_FACTOR + member.incarnation.value();
        } else
            m_goneSince.try_emplace(name, now);
    }
    std::erase_if(m_goneSince, [this](const auto& row) { return !m_members.records().contains(row.first); });
}

InstanceName CoordinatorChoice::coordinatorOf(std::uint64_t subject, Time now) const
{
    InstanceName best;
    std::uint64_t highest = 0;
    const auto consider = [&](const InstanceName& name) {
        const std::uint64_t hash = hashOf(subject, name);
        if (!best.value().empty() && hash <= highest)
            return;
        highest = hash;
        best = name;
    };
    for (const MemberRecord* member : m_members.live()) {
        const auto silent = m_silentUntil.find(member->name);
        if (silent == m_silentUntil.end() || silent->second <= now)
            consider(member->name);
    }
    if (!m_gossip.leaving() || best.value().empty())
        consider(m_members.self());
    return best;
}

std::vector<InstanceName> CoordinatorChoice::passOverSilent(Time now)
{
    std::vector<InstanceName> silent;
    m_passedOver += std::erase_if(m_silentUntil, [&](const auto& row) { return row.second <= now; });
    std::erase_if(m_awaitedSince, [&](const auto& row) {
        if (now - row.second < REPLY_TIMEOUT)
            return false;
        m_silentUntil[row.first] = now + SILENT_TIME;
        m_goneSince.try_emplace(row.first, now);
        silent.push_back(row.first);
        return true;
    });
    m_passedOver += silent.size();
    return silent;
}

void CoordinatorChoice::endSilence(const InstanceName& member)
{
    m_passedOver += m_silentUntil.erase(member);
}

double CoordinatorChoice::reachableShare() const
{
    const auto& records = m_members.records();
    const auto dead = std::count_if(records.begin(), records.end(), [](const auto& row) { return row.second.state == MemberState::Dead; });
    const auto reachable = static_cast<double>(1 + m_members.liveCount());
    return reachable / (reachable + static_cast<double>(dead));
}

double CoordinatorChoice::liveShare() const
{
    const auto& records = m_members.records();
    const auto leaving = std::count_if(records.begin(), records.end(), [](const auto& row) { return row.second.state == MemberState::Leaving; });
    return static_cast<double>(1 + m_members.liveCount()) / static_cast<double>(knownCount() - static_cast<std::size_t>(leaving));
}

std::optional<Time> CoordinatorChoice::precedesSince(std::uint64_t subject) const
{
    const std::uint64_t own = hashOf(subject, m_members.self());
    for (const auto& [name, member] : m_members.records()) {
        if (member.state == MemberState::Alive && !m_silentUntil.contains(name) && hashOf(subject, name) > own)
            return std::nullopt;
    }
    Time since = startedAt();
    for (const auto& [name, at] : m_goneSince) {
        if (hashOf(subject, name) > own)
            since = std::max(since, at);
    }
    return since;
}

std::vector<InstanceName> CoordinatorChoice::gonePredecessors(std::uint64_t subject, std::size_t limit) const
{
    const std::uint64_t own = hashOf(subject, m_members.self());
    std::vector<std::pair<std::uint64_t, InstanceName>> gone;
    for (const auto& [name, at] : m_goneSince) {
        const std::uint64_t hash = hashOf(subject, name);
        if (hash > own)
            gone.emplace_back(hash, name);
    }
    std::sort(gone.rbegin(), gone.rend(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<InstanceName> names;
    for (std::size_t i = 0; i < std::min(limit, gone.size()); ++i)
        names.push_back(gone[i].second);
    return names;
}

bool CoordinatorChoice::isLive(const InstanceName& instance) const
{
    const MemberRecord* member = m_members.find(instance);
    return member && (member->state == MemberState::Alive || member->state == MemberState::Suspect);
}

std::vector<InstanceName> CoordinatorChoice::silentMembers() const
{
    std::vector<InstanceName> names;
    for (const auto& [name, until] : m_silentUntil)
        names.push_back(name);
    return names;
}

} // namespace cornelwind
