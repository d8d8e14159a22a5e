#include "server_registry.h"

#include "peer.pb.h"
#include "server_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cornelwind {
namespace {

    constexpr const char* REMOVED = "its entry was removed";
    constexpr const char* REMOVED_BY_PEER = "its entry was removed, as reported by a member";
    constexpr const char* UNUSABLE = "its entry cannot be used";
    constexpr const char* EXPIRED = "its entry expired and was not restored";

    StorePosition positionOf(const peer::ServersReply& list)
    {
        return { StoreEra { list.era() }, StoreRevision { list.revision() } };
    }

    StorePosition positionOf(const peer::ServersNews& news)
    {
        return { StoreEra { news.era() }, StoreRevision { news.revision() } };
    }

    StorePosition sinceOf(const peer::ServersNews& news)
    {
        return { StoreEra { news.since_era() }, StoreRevision { news.since() } };
    }

    /// @param messageEra era of the message that contains the row
    StorePosition positionOf(const peer::ServerRemoval& row, StoreEra messageEra)
    {
        return { StoreEra { messageEra.value() + row.era_lead() }, StoreRevision { row.revision() } };
    }

} // namespace

bool ServerRegistry::onPublished(const ServersPublished& event, Context& context)
{
    // An answer that was made before the restore that is known here.
    if (event.position.era < m_position.era)
        return false;
    noteEra(event.position.era, context);
    for (const std::string& problem : event.unreadable)
        context.report(DecisionKind::EntryInvalid, "platform", problem, toString(event.position));
    bool changed = false;
    for (const ServerChange& change : event.changes)
        changed = apply(change, removalByPlatform(change.position, context.now()), context) || changed;
    if (event.complete)
        changed = removeUnlisted(event, context) || changed;
    noteList(context.now());
    m_position = std::max(m_position, event.position);
    return changed;
}

void ServerRegistry::noteList(Time now)
{
    if (!std::exchange(m_hasList, true))
        m_listedAt = now;
}

void ServerRegistry::noteEra(StoreEra era, Context& context)
{
    if (era <= m_era)
        return;
    const StoreEra before = std::exchange(m_era, era);
    // The restored store states them again if it holds them.
    m_deferred.clear();
    if (!m_hasList)
        return;
    m_hadOutage = true;
    m_reachableSince = context.now();
    context.report(DecisionKind::StoreRestored, "platform", "era " + std::to_string(era.value()) + " after era " + std::to_string(before.value()) + "; servers stay in use until they are written again", toString(m_position));
}

Duration ServerRegistry::graceLeft(Time now) const
{
    const Time since = m_hadOutage ? std::max(m_listedAt, m_reachableSince) : m_listedAt;
    return m_reachable ? std::max(since + EXPIRY_GRACE - now, Duration {}) : EXPIRY_GRACE;
}

ServerRegistry::Removal ServerRegistry::removalByPlatform(StorePosition position, Time now) const
{
    Removal removal { position, {}, false, REMOVED };
    if (!inExpiryGrace(now))
        return removal;
    removal.removeAt = std::max(now, m_reachableSince) + EXPIRY_GRACE;
    removal.awaitsPlatform = true;
    return removal;
}

bool ServerRegistry::removeUnlisted(const ServersPublished& event, Context& context)
{
    std::set<ServerName> listed;
    for (const ServerChange& change : event.changes)
        listed.insert(change.name);
    std::vector<std::pair<ServerName, StorePosition>> unlisted;
    auto page = event.pages.begin();
    for (const auto& [name, record] : m_records) {
        while (page != event.pages.end() && page->last && name > *page->last)
            ++page;
        const StorePosition asOf = page == event.pages.end() ? event.position : page->asOf;
        if (!record.removed && record.position <= asOf && !listed.contains(name))
            unlisted.emplace_back(name, asOf);
    }
    std::erase_if(m_deferred, [&](const auto& row) { return !listed.contains(row.first) && row.second.position <= event.position; });
    bool changed = false;
    for (const auto& [name, asOf] : unlisted)
        changed = applyRemoval(name, removalByPlatform(asOf, context.now()), context) || changed;
    return changed;
}

StorePosition ServerRegistry::latestPosition(const ServerName& name) const
{
    if (const auto deferred = m_deferred.find(name); deferred != m_deferred.end())
        return deferred->second.position;
    const auto found = m_records.find(name);
    return found == m_records.end() ? m_position : found->second.position;
}

bool ServerRegistry::isNews(const ServerName& name, StorePosition position) const
{
    // A record may still have a position of an earlier era, but the list of the later era holds for it.
    return position.era >= m_position.era && position > latestPosition(name);
}

std::optional<ServerRegistry::EarlierEra> ServerRegistry::earlierEraOf(const ServerName& name, StorePosition position) const
{
    if (const auto found = m_records.find(name); found != m_records.end() && found->second.server) {
        const PublishedServer& server = *found->second.server;
        return found->second.position.era < position.era ? std::optional<EarlierEra>({ found->second.position, server.incarnation, server.leaving }) : std::nullopt;
    }
    const auto departed = m_departed.find(name);
    if (!departed || departed->position.era >= position.era)
        return std::nullopt;
    return EarlierEra { departed->position, departed->incarnation, departed->leaving };
}

// Revisions up to that of the copy are common to both eras. So an entry with a lower revision than the change known here is either
// an older entry from the copy, or was written after the restore.
bool ServerRegistry::mayBeOld(const ServerChange& change, const EarlierEra& before) const
{
    const bool isAfterFirstSight = change.position.era == m_position.era && change.position > m_position;
    return change.position.revision < before.position.revision && !isAfterFirstSight && !m_deferred.contains(change.name);
}

bool ServerRegistry::applyNewEntry(const ServerChange& change, Context& context)
{
    const PublishedServer& server = *change.server;
    const auto before = earlierEraOf(change.name, change.position);
    if (!before)
        return applyEntry(server, change.position, context);
    const bool isSameStart = server.incarnation == before->incarnation;
    const bool isOld = mayBeOld(change, *before);
    if (before->leaving && isSameStart && (server.incarnation || isOld)) {
        PublishedServer leaving = server;
        leaving.leaving = true;
        const bool changed = applyEntry(leaving, change.position, context);
        m_records.at(change.name).leftEarlier = true;
        return changed;
    }
    const auto found = m_records.find(change.name);
    const bool isKnown = found != m_records.end() && found->second.server == server;
    if (!isOld || isKnown || (server.leaving && isSameStart))
        return applyEntry(server, change.position, context);
    defer(change);
    return false;
}

void ServerRegistry::defer(const ServerChange& change)
{
    m_deferred.insert_or_assign(change.name, change);
    m_pending.insert(change.name);
}

bool ServerRegistry::applyDeferred(Context& context)
{
    if (m_deferred.empty() || inExpiryGrace(context.now()))
        return false;
    bool changed = false;
    for (const auto& [name, change] : std::exchange(m_deferred, {}))
        changed = applyEntry(*change.server, change.position, context) || changed;
    return changed;
}

bool ServerRegistry::applyLeaving(const ServerChange& change, Context& context)
{
    const auto found = m_records.find(change.name);
    if (!change.position.era.value() || !change.server || !change.server->leaving || found == m_records.end())
        return false;
    const Record& record = found->second;
    if (record.position != change.position || record.removed || !record.server || record.server->leaving || record.server->incarnation != change.server->incarnation)
        return false;
    applyEntry(*change.server, change.position, context);
    found->second.leftEarlier = true;
    return true;
}

bool ServerRegistry::apply(const ServerChange& change, const Removal& removal, Context& context)
{
    noteEra(change.position.era, context);
    if (!isNews(change.name, change.position))
        return applyLeaving(change, context);
    if (change.server)
        return applyNewEntry(change, context);
    if (change.problem.empty())
        return applyRemoval(change.name, removal, context);
    context.report(DecisionKind::EntryInvalid, change.name.value(), change.problem, toString(change.position));
    return applyRemoval(change.name, { change.position, {}, false, UNUSABLE }, context);
}

bool ServerRegistry::applyEntry(const PublishedServer& published, StorePosition position, Context& context)
{
    PublishedServer server = published;
    const Record previous = std::exchange(m_records[server.name], {});
    const std::optional<PublishedServer>& before = previous.server;
    const bool leftEarlier = previous.leftEarlier && before && before->incarnation == server.incarnation && server.incarnation;
    server.leaving = server.leaving || leftEarlier;
    if (server.leaving && !(before && before->leaving))
        context.report(DecisionKind::Leaving, server.name.value(), "its entry is marked as leaving", toString(position));
    if (!server.leaving && !before && m_hasList)
        context.report(DecisionKind::ServerAdded, server.name.value(), "its entry is published", toString(position));
    const bool changed = before != server;
    m_pending.insert(server.name);
    m_deferred.erase(server.name);
    m_departed.remove(server.name);
    Record& record = m_records[published.name];
    record = Record { position, false, std::move(server), {}, false, leftEarlier };
    return changed;
}

bool ServerRegistry::applyRemoval(const ServerName& name, const Removal& removal, Context& context)
{
    const auto position = m_records.try_emplace(name).first;
    Record& record = position->second;
    record.position = removal.position;
    record.removed = true;
    m_pending.insert(name);
    // A removal of an earlier era may come again.
    if (const auto deferred = m_deferred.find(name); deferred != m_deferred.end() && deferred->second.position < removal.position)
        m_deferred.erase(deferred);
    if (!record.server)
        return false;
    if (removal.removeAt && !record.server->leaving) {
        record.removeAt = std::min(*removal.removeAt, record.removeAt.value_or(*removal.removeAt));
        record.awaitsPlatform = removal.awaitsPlatform;
        return false;
    }
    dropServer(position, removal.evidence, context);
    return true;
}

void ServerRegistry::dropServer(Records::iterator position, const char* evidence, Context& context)
{
    Record& record = position->second;
    context.report(DecisionKind::Leaving, position->first.value(), evidence, toString(record.position));
    m_departed.add(*record.server, record.position, context.now());
    record.server.reset();
    record.removeAt.reset();
}

bool ServerRegistry::inExpiryGrace(Time now) const
{
    return !m_reachable || (m_hadOutage && now - m_reachableSince < EXPIRY_GRACE);
}

void ServerRegistry::onPlatformReachable(Context& context)
{
    if (m_reachable)
        return;
    m_reachable = true;
    m_hadOutage = true;
    m_reachableSince = context.now();
    context.report(DecisionKind::PlatformChanged, "platform", "reachable again", "after " + std::to_string(std::chrono::duration_cast<Millis>(context.now() - m_unreachableSince).count()) + " ms");
}

void ServerRegistry::onPlatformUnreachable(Context& context)
{
    if (!m_reachable)
        return;
    m_reachable = false;
    m_unreachableSince = context.now();
    context.report(DecisionKind::PlatformChanged, "platform", "unreachable; the last known servers stay in use", toString(m_position));
}

bool ServerRegistry::onTick(Context& context)
{
    m_departed.expire(context.now());
    bool changed = applyDeferred(context);
    for (auto position = m_records.begin(); position != m_records.end(); ++position) {
        if (!isOver(position->second, context.now()))
            continue;
        dropServer(position, EXPIRED, context);
        changed = true;
    }
    if (changed)
        forgetRemovals();
    return changed;
}

bool ServerRegistry::isOver(const Record& record, Time now) const
{
    if (!record.removeAt || now < *record.removeAt)
        return false;
    return !record.awaitsPlatform || (m_reachable && now >= m_reachableSince + EXPIRY_GRACE);
}

void ServerRegistry::forgetRemovals()
{
    std::erase_if(m_records, [&](const auto& row) {
        const Record& record = row.second;
        return record.removed && !record.server && record.position <= m_position && !m_pending.contains(row.first);
    });
}

bool ServerRegistry::onPeerList(const peer::ServersReply& reply, Context& context)
{
    const StorePosition position = positionOf(reply);
    if (position <= m_position)
        return false;
    noteEra(position.era, context);
    bool changed = false;
    std::set<ServerName> listed;
    for (const peer::ServerEntry& row : reply.servers()) {
        const ServerChange change = readEntry(row, position);
        listed.insert(change.name);
        changed = apply(change, { change.position, {}, false, REMOVED_BY_PEER }, context) || changed;
    }
    for (const peer::ServerRemoval& row : reply.removals()) {
        const ServerName name { row.name() };
        changed = applyPeerRemoval(row, position.era, context) || changed;
        // An entry that is later than the removal has been removed since, too.
        if (const auto found = m_records.find(name); found != m_records.end() && found->second.removed)
            listed.insert(name);
    }
    std::erase_if(m_deferred, [&](const auto& row) { return !listed.contains(row.first) && row.second.position <= position; });
    std::vector<ServerName> unlisted;
    for (const auto& [name, record] : m_records) {
        if (record.server && record.position <= position && !listed.contains(name))
            unlisted.push_back(name);
    }
    for (const ServerName& name : unlisted)
        changed = applyRemoval(name, removalByList(m_records.at(name), reply, position, context.now()), context) || changed;
    noteList(context.now());
    m_position = position;
    return changed;
}

// The server may write its entry again, unless the member has waited for that.
ServerRegistry::Removal ServerRegistry::removalByList(const Record& record, const peer::ServersReply& list, StorePosition position, Time now) const
{
    Removal removal { position, {}, false, REMOVED_BY_PEER };
    if (record.position.era < position.era && list.unlisted_in_use_ms())
        removal.removeAt = now + std::min<Duration>(Millis { list.unlisted_in_use_ms() }, EXPIRY_GRACE);
    return removal;
}

bool ServerRegistry::applyPeerRemoval(const peer::ServerRemoval& row, StoreEra messageEra, Context& context)
{
    const ServerName name { row.name() };
    Removal removal { positionOf(row, messageEra), {}, false, REMOVED_BY_PEER };
    if (row.in_use_ms())
        removal.removeAt = context.now() + std::min<Duration>(Millis { row.in_use_ms() }, EXPIRY_GRACE);
    noteEra(removal.position.era, context);
    if (isNews(name, removal.position))
        return applyRemoval(name, removal, context);
    // The member may know sooner that the removal is final.
    const auto found = m_records.find(name);
    const bool isSame = found != m_records.end() && found->second.removed && found->second.server && found->second.position == removal.position;
    return isSame && applyRemoval(name, removal, context);
}

void ServerRegistry::write(peer::ServersReply& reply, Time now) const
{
    reply.set_revision(m_position.revision.value());
    reply.set_era(m_position.era.value());
    if (m_position.era.value())
        reply.set_unlisted_in_use_ms(static_cast<std::uint32_t>(std::chrono::ceil<Millis>(graceLeft(now)).count()));
    for (const auto& [name, record] : m_records) {
        if (record.position.era < m_position.era || m_deferred.contains(name))
            continue;
        if (record.removed)
            writeRemoval(name, record, now, *reply.add_removals());
        else
            writeEntry(*record.server, record.position, m_position.era, *reply.add_servers());
    }
    for (const auto& [name, change] : m_deferred)
        writeEntry(*change.server, change.position, m_position.era, *reply.add_servers());
}

void ServerRegistry::writeRemoval(const ServerName& name, const Record& record, Time now, peer::ServerRemoval& row) const
{
    row.set_name(name.value());
    row.set_revision(record.position.revision.value());
    row.set_era_lead(record.position.era.value() - m_position.era.value());
    if (!record.removeAt)
        return;
    const auto left = std::chrono::ceil<Millis>(*record.removeAt - now);
    row.set_in_use_ms(static_cast<std::uint32_t>(std::max<Millis>(left, Millis { 1 }).count()));
}

std::shared_ptr<peer::Envelope> ServerRegistry::takePendingUpdate(Time now)
{
    const auto isComplete = [&](const ServerName& name) { return latestPosition(name) <= m_position; };
    if (m_sentPosition == m_position && std::none_of(m_pending.begin(), m_pending.end(), isComplete))
        return nullptr;
    auto message = std::make_shared<peer::Envelope>();
    peer::ServersNews& news = *message->mutable_servers_news();
    news.set_since(m_sentPosition.revision.value());
    news.set_since_era(m_sentPosition.era.value());
    news.set_revision(m_position.revision.value());
    news.set_era(m_position.era.value());
    for (const ServerName& name : m_pending)
        writeChange(name, now, news);
    // Changes after `m_position` are sent once more: a receiver whose list reaches that revision need not contain them.
    std::erase_if(m_pending, isComplete);
    m_sentPosition = m_position;
    forgetRemovals();
    return message;
}

void ServerRegistry::writeChange(const ServerName& name, Time now, peer::ServersNews& news) const
{
    if (const auto deferred = m_deferred.find(name); deferred != m_deferred.end())
        return writeEntry(*deferred->second.server, deferred->second.position, m_position.era, *news.add_changed());
    const auto found = m_records.find(name);
    if (found == m_records.end() || found->second.position.era < m_position.era)
        return;
    const Record& record = found->second;
    if (!record.removed)
        return writeEntry(*record.server, record.position, m_position.era, *news.add_changed());
    writeRemoval(name, record, now, *news.add_removals());
    news.add_removed(name.value());
}

bool ServerRegistry::onPeerUpdate(const peer::ServersNews& news, Context& context)
{
    if (!m_hasList)
        return false;
    const StorePosition position = positionOf(news);
    noteEra(position.era, context);
    bool changed = false;
    for (const peer::ServerEntry& row : news.changed()) {
        const ServerChange change = readEntry(row, position);
        changed = apply(change, { change.position, {}, false, REMOVED_BY_PEER }, context) || changed;
    }
    for (const peer::ServerRemoval& row : news.removals())
        changed = applyPeerRemoval(row, position.era, context) || changed;
    for (int i = news.removals_size(); i < news.removed_size(); ++i) {
        peer::ServerRemoval row;
        row.set_name(news.removed(i));
        row.set_revision(news.revision());
        changed = applyPeerRemoval(row, position.era, context) || changed;
    }
    // After a loss the members state a later position than this entry instance has, so it requests the complete list.
    if (sinceOf(news) <= m_position && containsOwnChanges(news))
        m_position = std::max(m_position, position);
    return changed;
}

bool ServerRegistry::containsOwnChanges(const peer::ServersNews& news) const
{
    std::set<ServerName> contained;
    for (const peer::ServerEntry& row : news.changed())
        contained.insert(ServerName { row.name() });
    for (const std::string& name : news.removed())
        contained.insert(ServerName { name });
    return std::all_of(m_records.begin(), m_records.end(), [&](const auto& row) {
        const StorePosition position = row.second.position;
        return row.second.removed || position <= sinceOf(news) || position > positionOf(news) || contained.contains(row.first);
    });
}

Sheet ServerRegistry::withServers(const Sheet& sheet) const
{
    Sheet filled = sheet;
    for (SheetService& service : filled.services)
        service.servers.clear();
    for (const auto& [name, record] : m_records) {
        if (!record.server || record.server->leaving)
            continue;
        for (SheetService& service : filled.services) {
            if (service.name != record.server->service)
                continue;
            // A running request needs a connection, so that no entry can claim more slots than connections.
            const Slots slots = std::min(record.server->slots, Slots { service.connections });
            service.servers.push_back({ name, record.server->address, record.server->zone, slots, service.connections,
                record.server->incarnation, record.server->warmup });
        }
    }
    // Published servers are never ejected, so the floor is the sum of all slots.
    for (SheetService& service : filled.services) {
        std::uint64_t slots = 0;
        for (const SheetServer& server : service.servers)
            slots += server.slots.value();
        service.floorSlots = Slots { static_cast<std::uint32_t>(std::min<std::uint64_t>(slots, std::numeric_limits<std::uint32_t>::max())) };
    }
    return filled;
}

} // namespace cornelwind
