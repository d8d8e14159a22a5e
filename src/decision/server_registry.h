#pragma once

#include "context.h"
#include "cornelwind/event.h"
#include "cornelwind/published_server.h"
#include "cornelwind/sheet.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
    class ServersNews;
    class ServerEntry;
    class ServersReply;
}

/// The backend servers that the platform publishes separately from the sheet.
///
/// While the platform is unreachable, the last known servers stay in use. During
/// an outage servers cannot renew their entries, so that entries of healthy
/// servers may expire. A server whose entry is removed during an outage, or
/// within `EXPIRY_GRACE` after it, therefore stays in use until `EXPIRY_GRACE`
/// after the removal and after the end of the outage. It is removed then unless
/// its entry has been restored. A server that is leaving is removed at once.
/// Memory: one entry for each published server.
class ServerRegistry {
public:
    /// Time after an outage in which servers restore entries that expired during it.
    static constexpr Duration EXPIRY_GRACE = std::chrono::milliseconds(2200);

    /// Applies changes, or a complete list, from the platform.
    ///
    /// @return whether the servers in use changed
    bool onPublished(const ServersPublished& event, Context& context);
    /// Ends an outage: the platform answered.
    void onPlatformReachable(Context& context);
    /// Starts an outage: the platform does not answer.
    void onPlatformUnreachable(Context& context);
    /// Removes servers whose entries expired and were not restored in time.
    ///
    /// @return whether the servers in use changed
    bool onTick(Context& context);

    /// Adopts the complete list of a member if its revision is higher than that known here.
    ///
    /// @return whether the servers in use changed
    bool onPeerList(const peer::ServersReply& reply, Context& context);
    /// Writes the complete list and its revision into a reply.
    void write(peer::ServersReply& reply) const;

    /// Collects the changes since the last call, as a message for the members of the availability zone.
    ///
    /// @return the message, or null if nothing changed
    std::shared_ptr<peer::Envelope> takePendingUpdate();
    /// Applies changes from a member that watches the platform, unless they are stale or earlier ones are missing.
    ///
    /// @return whether the servers in use changed
    bool onPeerUpdate(const peer::ServersNews& news, Context& context);

    /// @return a copy of the sheet in which each service has the published servers that take new requests
    Sheet withServers(const Sheet& sheet) const;

    /// @return the highest revision applied
    StoreRevision revision() const { return m_revision; }
    bool reachable() const { return m_reachable; }
    /// @return whether any list or change of servers has arrived since the start
    bool hasServerList() const { return m_hasList; }
    /// @return when the latest outage started
    Time unreachableSince() const { return m_unreachableSince; }

private:
    struct Entry {
        PublishedServer server;
        /// Set when the entry may have expired in an outage: the server is removed at this time unless restored.
        std::optional<Time> removeAt;
    };

    static void writeEntry(const PublishedServer& server, peer::ServerEntry& row);
    void erase(std::map<ServerName, Entry>::iterator entry);
    /// @return the names of the servers known here that are not in `listedNames`
    std::vector<ServerName> findMissing(const std::set<ServerName>& listedNames) const;
    /// Adds or updates a server.
    ///
    /// @return whether anything changed
    bool upsert(const PublishedServer& server, Context& context);
    /// Removes a server whose entry the platform removed. If the entry may only have expired in an outage, schedules
    /// the removal instead.
    ///
    /// @return whether the server was removed
    bool removeOrDefer(const ServerName& name, Context& context);
    /// Removes a server that a member no longer lists. Never defers the removal: if the entry may only have expired,
    /// the member itself has listed the server until the grace time ended.
    ///
    /// @return whether the server was removed
    bool removeReportedByPeer(const ServerName& name, Context& context);
    /// @return whether an entry that is removed now may only have expired: in an outage and for `EXPIRY_GRACE` after it
    bool inExpiryGrace(Time now) const;

    std::map<ServerName, Entry> m_entries;
    StoreRevision m_revision;
    /// Names of entries changed and removed since the last `takePendingUpdate`.
    std::set<ServerName> m_changed;
    std::set<ServerName> m_removed;
    /// Revision at the last `takePendingUpdate` that returned a message.
    StoreRevision m_sentRevision;
    bool m_reachable = true;
    bool m_hasList = false;
    Time m_unreachableSince;
    Time m_reachableSince;
    bool m_hadOutage = false;
};

} // namespace cornelwind
