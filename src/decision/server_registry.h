#pragma once

#include "context.h"
#include "cornelwind/event.h"
#include "cornelwind/published_server.h"
#include "cornelwind/sheet.h"
#include "departed_servers.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
    class ServerRemoval;
    class ServersNews;
    class ServersReply;
}

/// The backend servers that the platform publishes separately from the sheet: a last-writer-wins map.
///
/// Each entry and each removal carries the position in the history of the platform's store that
/// made it: era and revision. Of two changes of one server the one with the later position holds,
/// from whatever source it comes and in whatever order: the store, its watch, or
/// the lists and changes of members. In addition the registry knows `position()`,
/// up to which it has every change. A server that is not known here and whose
/// change is not later than that was removed, so that removals need not be kept
/// once `position()` has reached them. docs/design/published-servers.md compares
/// this with other designs.
///
/// While the platform is unreachable, the last known servers stay in use. During
/// an outage servers cannot renew their entries, so that entries of healthy
/// servers may expire. A server whose entry is removed during an outage, or
/// within `EXPIRY_GRACE` after it, therefore stays in use until `EXPIRY_GRACE`
/// after the removal and after the end of the outage, unless its entry has been
/// restored. A server that is leaving is out of use at once.
///
/// A later era means that the store was restored from an older copy. What is in use then stays in use until it is written again, as
/// after an outage: an entry that is missing goes out of use `EXPIRY_GRACE` after the later era was first seen. An entry that may be
/// an older one of the same server (`mayBeOld`) is deferred for as long. A server that was leaving stays leaving for the same
/// incarnation. docs/design/store-restore.md compares this with other designs.
/// Memory: one record for each published server.
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

    /// Applies the complete list of a member, unless it is older than what is known here.
    ///
    /// @return whether the servers in use changed
    bool onPeerList(const peer::ServersReply& reply, Context& context);
    /// Writes the complete list and its position into a reply.
    ///
    /// @param now time from which the remaining use of servers with removed entries is counted
    void write(peer::ServersReply& reply, Time now) const;

    /// Collects the changes since the last call, as a message for the members of the availability zone.
    ///
    /// @param now time from which the remaining use of servers with removed entries is counted
    /// @return the message, or null if neither a server nor `position()` changed
    std::shared_ptr<peer::Envelope> takePendingUpdate(Time now);
    /// Applies changes from a member, unless no list is known here yet.
    ///
    /// @return whether the servers in use changed
    bool onPeerUpdate(const peer::ServersNews& news, Context& context);

    /// @return a copy of the sheet in which each service has the published servers that take new requests
    Sheet withServers(const Sheet& sheet) const;

    /// @return the position up to which every change is known here
    StorePosition position() const { return m_position; }
    /// @return the latest era that the platform or a member has stated
    StoreEra era() const { return m_era; }
    bool reachable() const { return m_reachable; }
    /// @return whether any list of servers has arrived since the start
    bool hasServerList() const { return m_hasList; }
    /// @return when the latest outage started
    Time unreachableSince() const { return m_unreachableSince; }

private:
    /// The latest known change of one server.
    struct Record {
        StorePosition position;
        /// Whether the change removed the entry.
        bool removed = false;
        /// The server that is in use or leaving. Kept after a removal until `removeAt`.
        std::optional<PublishedServer> server;
        /// When a server whose entry was removed goes out of use, unless the entry is restored.
        std::optional<Time> removeAt;
        /// Whether `removeAt` is put off until `EXPIRY_GRACE` after the end of an outage.
        bool awaitsPlatform = false;
        /// Whether this start of the server was leaving in an earlier era, so that it stays leaving.
        bool leftEarlier = false;
    };
    using Records = std::map<ServerName, Record>;

    /// How a removal was learned, which decides when it takes effect.
    struct Removal {
        StorePosition position;
        /// When the server goes out of use; empty for at once.
        std::optional<Time> removeAt;
        /// See `Record`.
        bool awaitsPlatform = false;
        /// For operators.
        const char* evidence;
    };

    /// The latest state of a server in an earlier era.
    struct EarlierEra {
        StorePosition position;
        std::uint64_t incarnation = 0;
        bool leaving = false;
    };

    /// Starts the time in which servers write their entries again, if the era is later than all before.
    void noteEra(StoreEra era, Context& context);
    /// @return whether a change at `position` is later than what is known of the server
    bool isNews(const ServerName& name, StorePosition position) const;
    /// @return what is known of the server from eras before that of `position`; nothing if nothing is
    std::optional<EarlierEra> earlierEraOf(const ServerName& name, StorePosition position) const;
    /// @return whether an entry of a restored store may be older than what was known before, since it has a lower revision and may
    ///     have been written before this entry instance saw the restored store first
    bool mayBeOld(const ServerChange& change, const EarlierEra& before) const;
    /// Applies or defers an entry that is news.
    bool applyNewEntry(const ServerChange& change, Context& context);
    void defer(const ServerChange& change);
    /// Applies the deferred entries whose time is over.
    bool applyDeferred(Context& context);
    /// Applies an entry that is known here if it states that its server is leaving. After a restore, two instances may hold the same
    /// entry with and without this; the leaving state prevails.
    bool applyLeaving(const ServerChange& change, Context& context);
    /// Applies one change from any source.
    ///
    /// @return whether the servers in use changed
    bool apply(const ServerChange& change, const Removal& removal, Context& context);
    bool applyEntry(const PublishedServer& published, StorePosition position, Context& context);
    bool applyRemoval(const ServerName& name, const Removal& removal, Context& context);
    /// @param messageEra era of the message that contains the row
    bool applyPeerRemoval(const peer::ServerRemoval& row, StoreEra messageEra, Context& context);
    /// Removes the servers that a complete list of the platform does not contain.
    ///
    /// @return whether the servers in use changed
    bool removeUnlisted(const ServersPublished& event, Context& context);
    /// @return the removal of an entry that the platform removed: at once, or later if the entry may only have expired
    Removal removalByPlatform(StorePosition position, Time now) const;
    /// @return the removal of a server that the complete list of a member does not contain
    Removal removalByList(const Record& record, const peer::ServersReply& list, StorePosition position, Time now) const;
    /// @return how much longer the store may lack entries, because it has been restored or did not answer
    Duration graceLeft(Time now) const;
    /// Checks whether the sender has seen each entry here that changed in the time that its message covers. A sender that
    /// read a complete list does not know of an entry that came and went before.
    bool containsOwnChanges(const peer::ServersNews& news) const;
    void writeRemoval(const ServerName& name, const Record& record, Time now, peer::ServerRemoval& row) const;
    /// @return position of the latest change of a server that is known here, deferred ones included
    StorePosition latestPosition(const ServerName& name) const;
    /// @return whether the time in which the entry could have been restored has passed
    bool isOver(const Record& record, Time now) const;
    /// Writes the latest change of a server into a message.
    void writeChange(const ServerName& name, Time now, peer::ServersNews& news) const;
    /// Records that a list has arrived.
    void noteList(Time now);
    /// Takes a server out of use and reports it.
    void dropServer(Records::iterator position, const char* evidence, Context& context);
    /// Forgets the removals that `position()` has reached.
    void forgetRemovals();
    /// @return whether an entry that is removed now may only have expired: in an outage and for `EXPIRY_GRACE` after it
    bool inExpiryGrace(Time now) const;

    Records m_records;
    /// Entries of a restored store that may be old, until they are written again or the time to do so is over.
    std::map<ServerName, ServerChange> m_deferred;
    DepartedServers m_departed;
    /// Every change up to this position is known.
    StorePosition m_position;
    StoreEra m_era;
    /// Servers changed since they were last sent to the members.
    std::set<ServerName> m_pending;
    /// Value of `m_position` in the latest message to the members.
    StorePosition m_sentPosition;
    bool m_reachable = true;
    bool m_hasList = false;
    Time m_unreachableSince;
    /// When the latest outage ended, or the latest era was first seen.
    Time m_reachableSince;
    /// When the first list arrived.
    Time m_listedAt;
    bool m_hadOutage = false;
};

} // namespace cornelwind
