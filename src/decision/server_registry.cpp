#include "server_registry.h"

#include "peer.pb.h"

#include <algorithm>
#include <set>

namespace cornelwind {
namespace {

    PublishedServer readEntry(const peer::ServerEntry& entry)
    {
        PublishedServer server;
        server.name = ServerName { entry.name() };
        server.service = ServiceName { entry.service() };
        server.address = parseEndpoint(entry.address()).value_or(Endpoint {});
        server.zone = ZoneName { entry.zone() };
        server.slots = Slots { std::max<std::uint32_t>(entry.slots(), 1) };
        server.leaving = entry.leaving();
        server.warmup = Millis { entry.warmup_ms() };
        server.incarnation = entry.incarnation();
        return server;
    }

} // namespace

bool ServerRegistry::onPublished(const ServersPublished& event, Context& context)
{
    m_hasList = true;
    const StoreRevision before = m_revision;
    m_revision = std::max(m_revision, event.revision);
    bool changed = false;
    std::set<ServerName> listedNames;
    for (const ServerChange& change : event.changes) {
        // A watch that resumes after an interruption repeats changes that members have already reported. Applied
        // again, they would restore servers that were removed since.
        if (!event.complete && change.revision <= before)
            continue;
        listedNames.insert(change.name);
        changed = (change.server ? upsert(*change.server, context) : removeOrDefer(change.name, context)) || changed;
    }
    if (!event.complete)
        return changed;
    for (const ServerName& name : findMissing(listedNames))
        changed = removeOrDefer(name, context) || changed;
    return changed;
}

std::vector<ServerName> ServerRegistry::findMissing(const std::set<ServerName>& listedNames) const
{
    std::vector<ServerName> missing;
    for (const auto& [name, entry] : m_entries) {
        if (!listedNames.contains(name))
            missing.push_back(name);
    }
    return missing;
}

bool ServerRegistry::upsert(const PublishedServer& server, Context& context)
{
    const auto [position, isNew] = m_entries.try_emplace(server.name, Entry { server, {} });
    Entry& entry = position->second;
    if (!isNew && entry.server == server && !entry.removeAt)
        return false;
    if (server.leaving && (isNew || !entry.server.leaving))
        context.report(DecisionKind::Leaving, server.name.value(), "its entry is marked as leaving", "revision " + std::to_string(m_revision.value()));
    entry = { server, {} };
    m_changed.insert(server.name);
    m_removed.erase(server.name);
    return true;
}

void ServerRegistry::erase(std::map<ServerName, Entry>::iterator entry)
{
    m_removed.insert(entry->first);
    m_changed.erase(entry->first);
    m_entries.erase(entry);
}

bool ServerRegistry::removeOrDefer(const ServerName& name, Context& context)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return false;
    Entry& entry = found->second;
    if (inExpiryGrace(context.now()) && !entry.server.leaving) {
        if (!entry.removeAt)
            entry.removeAt = std::max(context.now(), m_reachableSince) + EXPIRY_GRACE;
        return false;
    }
    context.report(DecisionKind::Leaving, name.value(), "its entry was removed", "revision " + std::to_string(m_revision.value()));
    erase(found);
    return true;
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
    context.report(DecisionKind::PlatformChanged, "platform", "unreachable; the last known servers stay in use", "revision " + std::to_string(m_revision.value()));
}

bool ServerRegistry::onTick(Context& context)
{
    bool changed = false;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        // While the platform is unreachable, no server can restore its entry.
        const bool expired = m_reachable && entry->second.removeAt && context.now() >= std::max(*entry->second.removeAt, m_reachableSince + EXPIRY_GRACE);
        if (!expired) {
            ++entry;
            continue;
        }
        context.report(DecisionKind::Leaving, entry->first.value(), "its entry expired and was not restored");
        erase(entry++);
        changed = true;
    }
    return changed;
}

bool ServerRegistry::onPeerList(const peer::ServersReply& reply, Context& context)
{
    if (StoreRevision { reply.revision() } <= m_revision)
        return false;
    m_hasList = true;
    m_revision = StoreRevision { reply.revision() };
    bool changed = false;
    std::set<ServerName> listedNames;
    for (const peer::ServerEntry& row : reply.servers()) {
        listedNames.insert(ServerName { row.name() });
        changed = upsert(readEntry(row), context) || changed;
    }
    for (const ServerName& name : findMissing(listedNames))
        changed = removeReportedByPeer(name, context) || changed;
    return changed;
}

bool ServerRegistry::removeReportedByPeer(const ServerName& name, Context& context)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end())
        return false;
    context.report(DecisionKind::Leaving, name.value(), "its entry was removed, as reported by a member", "revision " + std::to_string(m_revision.value()));
    erase(found);
    return true;
}

void ServerRegistry::write(peer::ServersReply& reply) const
{
    reply.set_revision(m_revision.value());
    for (const auto& [name, entry] : m_entries)
        writeEntry(entry.server, *reply.add_servers());
}

void ServerRegistry::writeEntry(const PublishedServer& server, peer::ServerEntry& row)
{
    row.set_name(server.name.value());
    row.set_service(server.service.value());
    row.set_address(toString(server.address));
    row.set_zone(server.zone.value());
    row.set_slots(server.slots.value());
    row.set_leaving(server.leaving);
    row.set_warmup_ms(static_cast<std::uint32_t>(server.warmup.count()));
    row.set_incarnation(server.incarnation);
}

std::shared_ptr<peer::Envelope> ServerRegistry::takePendingUpdate()
{
    if (m_changed.empty() && m_removed.empty())
        return nullptr;
    auto message = std::make_shared<peer::Envelope>();
    peer::ServersNews& news = *message->mutable_servers_news();
    news.set_since(m_sentRevision.value());
    news.set_revision(m_revision.value());
    for (const ServerName& name : m_changed)
        writeEntry(m_entries.at(name).server, *news.add_changed());
    for (const ServerName& name : m_removed)
        news.add_removed(name.value());
    m_changed.clear();
    m_removed.clear();
    m_sentRevision = m_revision;
    return message;
}

bool ServerRegistry::onPeerUpdate(const peer::ServersNews& news, Context& context)
{
    // Ignores stale changes, and changes that follow lost ones. After a loss the members state a higher revision than
    // this entry instance has, so it requests the complete list.
    const bool applies = m_hasList && StoreRevision { news.since() } <= m_revision && StoreRevision { news.revision() } >= m_revision;
    if (!applies)
        return false;
    m_revision = StoreRevision { news.revision() };
    bool changed = false;
    for (const peer::ServerEntry& row : news.changed())
        changed = upsert(readEntry(row), context) || changed;
    for (const std::string& name : news.removed())
        changed = removeReportedByPeer(ServerName { name }, context) || changed;
    return changed;
}

Sheet ServerRegistry::withServers(const Sheet& sheet) const
{
    Sheet filled = sheet;
    for (SheetService& service : filled.services)
        service.servers.clear();
    for (const auto& [name, entry] : m_entries) {
        if (entry.server.leaving)
            continue;
        for (SheetService& service : filled.services) {
            if (service.name != entry.server.service)
                continue;
            service.servers.push_back({ name, entry.server.address, entry.server.zone, entry.server.slots, service.connections,
                entry.server.incarnation, entry.server.warmup });
        }
    }
    // Published servers are never ejected, so the floor is the sum of all slots.
    for (SheetService& service : filled.services) {
        std::uint32_t slots = 0;
        for (const SheetServer& server : service.servers)
            slots += server.slots.value();
        service.floorSlots = Slots { slots };
    }
    return filled;
}

} // namespace cornelwind
