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

/// The backend servers that the platform publishes apart from the sheet.
///
/// While the platform is away the last known servers stay in use. Entries may
/// lapse during an outage though the servers live; those removed around one
/// stay in use for `LAPSE_GRACE` after its end and are gone if they are not back.
/// Memory: one entry for each published server.
class Catalogue {
public:
    /// Time after an outage within which lapsed entries are back.
    static constexpr Duration LAPSE_GRACE = std::chrono::milliseconds(2200);

    /// @return whether the servers in use changed
    bool onPublished(const ServersPublished& event, Context& context);
    void onReached(Context& context);
    void onLost(Context& context);
    /// @return whether entries that lapsed are gone now
    bool onTick(Context& context);

    /// Takes the list of a peer where it is newer than what is known here.
    ///
    /// @return whether the servers in use changed
    bool onPeerList(const peer::ServersReply& reply, Context& context);
    void write(peer::ServersReply& reply) const;

    /// What became known of servers in the meantime, for the members of the zone.
    ///
    /// @return nothing if there is nothing new since the last call
    std::shared_ptr<peer::Envelope> takeNews();
    /// Takes the news of a member that watches the platform.
    ///
    /// @return whether the servers in use changed
    bool onNews(const peer::ServersNews& news, Context& context);

    /// @return the sheet with the servers that take work, by service
    Sheet fill(const Sheet& sheet) const;

    StoreRevision revision() const { return m_revision; }
    bool reachable() const { return m_reachable; }
    bool known() const { return m_known; }
    Time lostAt() const { return m_lostAt; }

private:
    struct Entry {
        PublishedServer server;
        /// Set once its entry lapsed; gone at this time.
        std::optional<Time> goneAt;
    };

    static void writeEntry(const PublishedServer& server, peer::ServerEntry& row);
    void erase(std::map<ServerName, Entry>::iterator entry);
    /// @return the servers held that a whole list does not name
    std::vector<ServerName> namesBeyond(const std::set<ServerName>& named) const;
    bool put(const PublishedServer& server, Context& context);
    bool drop(const ServerName& name, Context& context);
    bool dropForMember(const ServerName& name, Context& context);
    bool unsettled(Time now) const;

    std::map<ServerName, Entry> m_entries;
    StoreRevision m_revision;
    /// Not yet told: names of changed and removed entries, and what was known before.
    std::set<ServerName> m_changed;
    std::set<ServerName> m_removed;
    StoreRevision m_toldRevision;
    bool m_reachable = true;
    bool m_known = false;
    Time m_lostAt;
    Time m_reachedAt;
    bool m_wasLost = false;
};

} // namespace cornelwind
