#include "member_table.h"

#include "peer.pb.h"

#include <algorithm>
#include <array>
#include <bit>

namespace cornelwind {
namespace {

    // Number of past incarnations kept for each member.
    constexpr std::size_t MAX_PAST_INCARNATIONS = 8;
    // Number of members accepted beyond the listed ones; bounds the memory. A platform that lists no entry instances leaves all
    // of them unlisted.
    constexpr std::size_t MAX_UNLISTED_MEMBERS = 4096;
    // Time for which a dead unlisted member stays in the table.
    constexpr Duration DEAD_RETENTION = std::chrono::seconds(60);
    // A report about another incarnation is ignored if the member itself sent a message within this time, since what
    // it states directly is more reliable.
    constexpr Duration RECENT_CONTACT = std::chrono::seconds(2);
    // Number of transmissions of a state change for each bit of the fleet size.
    constexpr std::uint32_t RETRANSMIT_FACTOR = 3;

    bool isLive(const MemberRecord& member)
    {
        return member.state == MemberState::Alive || member.state == MemberState::Suspect;
    }

    MemberState readState(std::uint32_t number)
    {
        return number <= static_cast<std::uint32_t>(MemberState::Leaving) ? static_cast<MemberState>(number) : MemberState::Suspect;
    }

    bool isPastIncarnation(const MemberRecord& member, Incarnation incarnation)
    {
        return std::find(member.pastIncarnations.begin(), member.pastIncarnations.end(), incarnation) != member.pastIncarnations.end();
    }

} // namespace

const char* toString(MemberState state)
{
    static constexpr std::array names { "listed", "alive", "suspect", "dead", "leaving" };
    return names.at(static_cast<std::size_t>(state));
}

void writeMember(const MemberRecord& record, peer::Member& member)
{
    member.set_name(record.name.value());
    member.set_zone(record.zone.value());
    member.set_address(toString(record.address));
    member.set_incarnation(record.incarnation.value());
    member.set_refutation(record.refutation);
    member.set_state(static_cast<std::uint32_t>(record.state));
}

MemberTable::MemberTable(InstanceName self, ZoneName zone, const std::vector<PeerRoute>& routes)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
{
    for (const PeerRoute& route : routes)
        m_routes[route.instance] = route.via;
}

const Endpoint& MemberTable::addressOf(const MemberRecord& member) const
{
    const auto route = m_routes.find(member.name);
    return route == m_routes.end() ? member.address : route->second;
}

MemberRecord* MemberTable::mergeSender(const peer::Member& sender, Context& context)
{
    const InstanceName name { sender.name() };
    const Incarnation incarnation { sender.incarnation() };
    const auto address = parseEndpoint(sender.address());
    if (name == m_self || name.value().empty() || !address || !incarnation.value())
        return nullptr;
    if (!m_members.contains(name) && m_members.size() >= MAX_UNLISTED_MEMBERS + listedCount())
        return nullptr;
    MemberRecord& member = m_members[name];
    if (isPastIncarnation(member, incarnation))
        return nullptr;
    member.name = name;
    if (member.incarnation != incarnation) {
        markPast(member);
        beginIncarnation(member, incarnation);
    }
    member.wasHeard = true;
    member.zone = ZoneName { sender.zone() };
    member.address = *address;
    member.lastHeard = context.now();
    member.refutation = std::max(member.refutation, sender.refutation());
    const MemberState reportedState = readState(sender.state());
    if (reportedState == MemberState::Leaving)
        setState(member, MemberState::Leaving, "announced that it is stopping", context);
    else if (member.state != MemberState::Leaving)
        setState(member, MemberState::Alive, "sent a message", context);
    return &member;
}

void MemberTable::markPast(MemberRecord& member)
{
    if (!member.incarnation.value())
        return;
    member.pastIncarnations.push_back(member.incarnation);
    if (member.pastIncarnations.size() > MAX_PAST_INCARNATIONS)
        member.pastIncarnations.pop_front();
}

void MemberTable::beginIncarnation(MemberRecord& member, Incarnation incarnation)
{
    member.incarnation = incarnation;
    member.wasHeard = false;
    member.refutation = 0;
    member.state = MemberState::Listed;
}

void MemberTable::merge(const peer::Member& update, Context& context)
{
    const InstanceName name { update.name() };
    if (name == m_self)
        return refute(update);
    const auto address = parseEndpoint(update.address());
    const Incarnation incarnation { update.incarnation() };
    const MemberState state = readState(update.state());
    if (name.value().empty() || !address || !incarnation.value() || state == MemberState::Listed)
        return;
    if (!m_members.contains(name)) {
        if (state == MemberState::Dead || m_members.size() >= MAX_UNLISTED_MEMBERS + listedCount())
            return;
        MemberRecord& added = m_members[name];
        added.name = name;
        added.zone = ZoneName { update.zone() };
        added.address = *address;
    }
    MemberRecord& member = m_members[name];
    if (isPastIncarnation(member, incarnation))
        return;
    if (member.incarnation != incarnation) {
        const bool heardRecently = member.incarnation.value() && context.now() - member.lastHeard < RECENT_CONTACT;
        if (heardRecently || state == MemberState::Dead)
            return;
        // Reports of different starts arrive in any order. One that is known from a report only may be the present one.
        if (member.wasHeard)
            markPast(member);
        beginIncarnation(member, incarnation);
        member.address = *address;
        member.zone = ZoneName { update.zone() };
    }
    const bool hasHigherRefutation = update.refutation() > member.refutation;
    const bool hasLaterState = update.refutation() == member.refutation && state > member.state;
    if (!hasHigherRefutation && !hasLaterState)
        return;
    member.refutation = update.refutation();
    setState(member, state, "reported by another member", context);
}

// An entry instance that learns that it is suspected raises its refutation number above that of the suspicion,
// so that its next message overrides the suspicion.
void MemberTable::refute(const peer::Member& update)
{
    const MemberState state = readState(update.state());
    const bool suspected = state == MemberState::Suspect || state == MemberState::Dead;
    if (Incarnation { update.incarnation() } == m_incarnation && suspected)
        m_refutation = std::max(m_refutation, update.refutation() + 1);
}

void MemberTable::onListed(const InstancesListed& event, Context& context)
{
    m_hasPlatformList = true;
    m_selfListed = false;
    for (auto& [name, member] : m_members)
        member.listed = false;
    for (const ListedInstance& listed : event.instances) {
        if (listed.name == m_self) {
            m_selfListed = true;
            continue;
        }
        MemberRecord& member = m_members[listed.name];
        member.listed = true;
        if (member.name != listed.name) {
            member.name = listed.name;
            member.zone = listed.zone;
            member.address = listed.address;
        }
        if (listed.leaving && member.state == MemberState::Alive)
            setState(member, MemberState::Leaving, "listed as leaving by the platform", context);
    }
    std::erase_if(m_members, [](const auto& row) { return !row.second.listed && row.second.state == MemberState::Listed; });
}

void MemberTable::suspect(MemberRecord& member, Context& context)
{
    if (member.state == MemberState::Alive || member.state == MemberState::Leaving)
        setState(member, MemberState::Suspect, "did not answer a ping", context);
}

void MemberTable::expire(Context& context)
{
    for (auto& [name, member] : m_members) {
        if (member.state == MemberState::Suspect && member.stateExpiresAt <= context.now())
            setState(member, MemberState::Dead, "did not refute the suspicion in time", context);
    }
    std::erase_if(m_members, [&](const auto& row) {
        return row.second.state == MemberState::Dead && !row.second.listed && row.second.stateExpiresAt <= context.now();
    });
}

std::vector<peer::Member> MemberTable::takeUpdates(std::size_t limit)
{
    std::vector<MemberRecord*> pending;
    for (auto& [name, member] : m_members) {
        if (member.pendingTransmissions)
            pending.push_back(&member);
    }
    // Those sent least often come first, so that a change is not held back by others that many members know already.
    const auto end = pending.begin() + static_cast<std::ptrdiff_t>(std::min(limit, pending.size()));
    std::partial_sort(pending.begin(), end, pending.end(), [](const MemberRecord* a, const MemberRecord* b) { return a->pendingTransmissions > b->pendingTransmissions; });
    std::vector<peer::Member> updates;
    std::for_each(pending.begin(), end, [&](MemberRecord* member) {
        --member->pendingTransmissions;
        writeMember(*member, updates.emplace_back());
    });
    return updates;
}

MemberRecord* MemberTable::find(const InstanceName& name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::optional<Endpoint> MemberTable::endpointOf(const InstanceName& name, Incarnation incarnation) const
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return std::nullopt;
    const MemberRecord& member = found->second;
    const bool answers = isLive(member) || member.state == MemberState::Leaving;
    const bool sameIncarnation = !incarnation.value() || member.incarnation == incarnation;
    if (!answers || !sameIncarnation)
        return std::nullopt;
    return addressOf(member);
}

bool MemberTable::acceptsEvidenceFrom(const InstanceName& name) const
{
    const auto found = m_members.find(name);
    return !m_hasPlatformList || (found != m_members.end() && found->second.listed);
}

std::vector<MemberRecord*> MemberTable::live()
{
    std::vector<MemberRecord*> members;
    for (auto& [name, member] : m_members) {
        if (isLive(member))
            members.push_back(&member);
    }
    return members;
}

std::size_t MemberTable::liveCount() const
{
    return std::count_if(m_members.begin(), m_members.end(), [](const auto& row) { return isLive(row.second); });
}

std::uint32_t MemberTable::rank() const
{
    return static_cast<std::uint32_t>(std::count_if(m_members.begin(), m_members.end(),
        [this](const auto& row) { return isLive(row.second) && row.first < m_self; }));
}

std::uint32_t MemberTable::zoneRank() const
{
    return static_cast<std::uint32_t>(std::count_if(m_members.begin(), m_members.end(),
        [this](const auto& row) { return isLive(row.second) && row.second.zone == m_zone && row.first < m_self; }));
}

std::uint32_t MemberTable::zoneLiveCount() const
{
    return static_cast<std::uint32_t>(std::count_if(m_members.begin(), m_members.end(),
        [this](const auto& row) { return isLive(row.second) && row.second.zone == m_zone; }));
}

std::size_t MemberTable::listedCount() const
{
    return 1 + std::count_if(m_members.begin(), m_members.end(), [](const auto& row) { return row.second.listed; });
}

std::size_t MemberTable::listedLiveCount() const
{
    return 1 + std::count_if(m_members.begin(), m_members.end(), [](const auto& row) { return row.second.listed && isLive(row.second); });
}

void MemberTable::setState(MemberRecord& member, MemberState state, const char* why, Context& context)
{
    if (member.state == state)
        return;
    const char* before = toString(member.state);
    member.state = state;
    if (state == MemberState::Suspect)
        member.stateExpiresAt = context.now() + SUSPICION_TIME;
    if (state == MemberState::Dead)
        member.stateExpiresAt = context.now() + DEAD_RETENTION;
    member.pendingTransmissions = RETRANSMIT_FACTOR * static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
    context.report(DecisionKind::MemberChanged, member.name.value(), std::string(before) + " to " + toString(state) + ", " + why);
}

} // namespace cornelwind
