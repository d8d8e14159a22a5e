// Stateful test of the replicated list of published servers: members that read the platform, watch it, exchange lists and
// changes, lose the platform and restart, while the platform is restored from older copies, in any order. Messages are lost, repeated, reordered and delayed.
#include "server_registry.h"

#include "peer.pb.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cornelwind;

namespace {

constexpr std::size_t MEMBERS = 3;
constexpr std::size_t NAMES = 4;
constexpr std::size_t ADDRESSES = 2;
constexpr std::size_t PAGE_SIZE = 2;

/// The serial number of the change that wrote the entry of each server. Unlike revisions, serial numbers never go back.
using Serials = std::map<ServerName, std::uint64_t>;

ServerName nameOf(std::size_t index) { return ServerName { "s" + std::to_string(index) }; }

/// The platform's store: the history of all changes. The incarnation of each entry is the serial number of its change.
class Store {
public:
    void put(std::size_t name, std::size_t address, bool leaving)
    {
        PublishedServer server;
        server.name = nameOf(name);
        server.service = ServiceName { "s" };
        server.address = { "10.0.0.1", static_cast<std::uint16_t>(80 + address) };
        server.zone = ZoneName { "a" };
        server.slots = Slots { 4 };
        server.leaving = leaving;
        server.incarnation = ++m_serial;
        m_history.push_back({ { server.name, server, next() }, m_serial });
    }

    void remove(std::size_t name)
    {
        if (state().contains(nameOf(name)))
            m_history.push_back({ { nameOf(name), {}, next() }, ++m_serial });
    }

    /// Changes a value that is no server entry.
    void putOther() { ++m_revision; }

    /// Goes back by some changes, and starts a new era.
    void restore(std::size_t lost)
    {
        m_history.resize(m_history.size() - std::min(m_history.size(), lost));
        m_revision = m_history.empty() ? FIRST_REVISION : m_history.back().change.position.revision.value();
        ++m_era;
    }

    std::uint64_t revision() const { return m_revision; }
    std::uint64_t era() const { return m_era; }
    StorePosition position() const { return { StoreEra { m_era }, StoreRevision { m_revision } }; }

    /// @return the latest entry of each name that has one
    std::map<ServerName, ServerChange> state() const
    {
        std::map<ServerName, ServerChange> entries;
        for (const Entry& entry : m_history) {
            if (entry.change.server)
                entries[entry.change.name] = inEra(entry.change);
            else
                entries.erase(entry.change.name);
        }
        return entries;
    }

    /// A change and its serial number.
    struct Entry {
        ServerChange change;
        std::uint64_t serial;
    };

    std::vector<Entry> changesAfter(std::uint64_t revision) const
    {
        std::vector<Entry> changes;
        for (const Entry& entry : m_history) {
            if (entry.change.position.revision.value() > revision)
                changes.push_back({ inEra(entry.change), entry.serial });
        }
        return changes;
    }

private:
    static constexpr std::uint64_t FIRST_REVISION = 10;

    StorePosition next() { return { {}, StoreRevision { ++m_revision } }; }

    /// @return the change as the store states it now: all replies are of the present era
    ServerChange inEra(ServerChange change) const
    {
        change.position.era = StoreEra { m_era };
        return change;
    }

    std::vector<Entry> m_history;
    std::uint64_t m_revision = FIRST_REVISION;
    std::uint64_t m_serial = FIRST_REVISION;
    std::uint64_t m_era = 1;
};

/// A member with its registry, and what the oracle remembers of it.
class Member {
public:
    explicit Member(Time now)
        : m_now(now)
    {
    }

    void watch(const Store& store, bool rewind)
    {
        if (!m_cursor)
            return;
        // The watcher reads all values of a later era; see MetadataStoreWatcher.
        if (m_cursorEra != store.era()) {
            m_cursor.reset();
            return;
        }
        if (rewind)
            m_cursor = std::max<std::uint64_t>(m_firstRead, *m_cursor - std::min<std::uint64_t>(*m_cursor, 5));
        std::vector<ServerChange> changes;
        const auto entries = store.changesAfter(*m_cursor);
        m_cursor = store.revision();
        reachable(true);
        for (const auto& [change, serial] : entries) {
            changes.push_back(change);
            learned(change.name, serial);
            if (change.server)
                m_justPut[change.name] = serial;
        }
        publish({ std::move(changes), store.position(), false });
    }

    /// Starts to read all entries, page by page. Other steps may come between the pages.
    void beginRead(const Store& store)
    {
        m_read = Read {};
        m_read->cursor = store.revision();
        m_read->era = store.era();
    }

    void readPage(const Store& store)
    {
        if (m_read && m_read->era != store.era())
            beginRead(store);
        if (!m_read)
            return;
        const auto entries = store.state();
        auto entry = m_read->after ? entries.upper_bound(*m_read->after) : entries.begin();
        for (std::size_t i = 0; i < PAGE_SIZE && entry != entries.end(); ++i, ++entry) {
            m_read->event.changes.push_back(entry->second);
            m_read->after = entry->first;
        }
        const bool isLast = entry == entries.end();
        endPage(isLast, store.position());
        if (!isLast)
            return;
        const Read read = *std::exchange(m_read, {});
        reachable(true);
        m_cursor = read.cursor;
        m_firstRead = read.cursor;
        m_cursorEra = read.era;
        for (const ServerChange& change : read.event.changes)
            learned(change.name, change.server->incarnation);
        publish(read.event);
    }

    bool reading() const { return m_read.has_value(); }

    void reachable(bool isReachable)
    {
        Context context = makeContext();
        if (isReachable)
            m_registry->onPlatformReachable(context);
        else
            m_registry->onPlatformUnreachable(context);
    }

    void restart()
    {
        m_registry = std::make_unique<ServerRegistry>();
        m_cursor.reset();
        m_read.reset();
        m_inUse.clear();
        m_latest.clear();
        m_everUsed.clear();
        m_era = {};
        ++m_starts;
    }

    void advance(Duration duration)
    {
        m_now += duration;
        Context context = makeContext();
        m_registry->onTick(context);
    }

    std::shared_ptr<peer::Envelope> takeUpdate() { return m_registry->takePendingUpdate(m_now); }

    std::shared_ptr<peer::Envelope> makeList() const
    {
        auto message = std::make_shared<peer::Envelope>();
        m_registry->write(*message->mutable_servers_reply(), m_now);
        return message;
    }

    void receive(const peer::Envelope& message)
    {
        Context context = makeContext();
        if (message.has_servers_news())
            m_registry->onPeerUpdate(message.servers_news(), context);
        else
            m_registry->onPeerList(message.servers_reply(), context);
    }

    /// Compares the servers in use with those before the latest step.
    void check()
    {
        if (m_registry->era() > m_era) {
            m_era = m_registry->era();
            m_eraSince = m_now;
        }
        // An entry that is not written again after a restore counts in the end, although it may be old.
        const bool mayBeOld = m_era.value() > 1 && m_now - m_eraSince >= ServerRegistry::EXPIRY_GRACE;
        const Serials inUse = serversInUse();
        for (const auto& [name, revision] : inUse) {
            const auto before = m_inUse.find(name);
            if (before != m_inUse.end() && before->second == revision)
                continue;
            // Put into use by the latest step: nothing newer may be known of it, except that one event may bring an entry
            // together with its removal, which may be an expiry in an outage.
            // A member that never used a server cannot tell that an entry of the copy is old.
            const bool isUnknown = m_era.value() > 1 && !m_everUsed.contains(name);
            RC_ASSERT(revision >= m_latest[name] || revision == m_justPut[name] || mayBeOld || isUnknown);
        }
        m_justPut.clear();
        for (const auto& [name, revision] : inUse)
            m_everUsed.insert(name);
        for (const auto& [name, revision] : m_inUse) {
            const auto after = inUse.find(name);
            if (after == inUse.end() || after->second != revision)
                learned(name, after == inUse.end() ? revision + 1 : after->second);
        }
        m_inUse = inUse;
    }

    /// @return the serial number of the entry of each server that takes requests
    Serials serversInUse() const
    {
        Sheet sheet;
        sheet.services.emplace_back();
        sheet.services[0].name = ServiceName { "s" };
        const Sheet filled = m_registry->withServers(sheet);
        Serials inUse;
        for (const SheetServer& server : filled.services[0].servers)
            inUse[server.name] = server.incarnation;
        return inUse;
    }

    StorePosition position() const { return m_registry->position(); }
    bool hasList() const { return m_registry->hasServerList(); }
    int starts() const { return m_starts; }

private:
    /// A read of all entries that is in progress.
    struct Read {
        std::uint64_t cursor = 0;
        std::uint64_t era = 0;
        std::optional<ServerName> after;
        ServersPublished event { {}, {}, true };
    };

    Context makeContext()
    {
        m_effects.clear();
        return { m_now, 1, m_effects };
    }

    void publish(ServersPublished event)
    {
        Context context = makeContext();
        m_registry->onPublished(event, context);
    }

    /// Records that the member has seen a change of `name`.
    void learned(const ServerName& name, std::uint64_t serial) { m_latest[name] = std::max(m_latest[name], serial); }

    void endPage(bool isLast, StorePosition asOf)
    {
        if (m_read->event.pages.empty())
            m_read->event.position = asOf;
        m_read->event.pages.push_back({ isLast ? std::nullopt : m_read->after, asOf });
    }

    std::unique_ptr<ServerRegistry> m_registry = std::make_unique<ServerRegistry>();
    EffectList m_effects;
    Time m_now;
    /// Changes up to this revision have been read; empty before the first read.
    std::optional<std::uint64_t> m_cursor;
    std::uint64_t m_firstRead = 0;
    /// Era of `m_cursor`.
    std::uint64_t m_cursorEra = 0;
    /// Latest era that the registry has seen, and since when.
    StoreEra m_era;
    Time m_eraSince;
    std::optional<Read> m_read;
    Serials m_inUse;
    /// Servers that were in use since the start.
    std::set<ServerName> m_everUsed;
    /// Latest serial number of each name that the member has read itself or acted on.
    Serials m_latest;
    /// Latest entries among the changes of the latest watch.
    Serials m_justPut;
    int m_starts = 0;
};

/// The store, the members and every message that they have sent.
class World {
public:
    World()
    {
        for (std::size_t i = 0; i < MEMBERS; ++i)
            m_members.emplace_back(Time { std::chrono::seconds(100) });
    }

    void step()
    {
        static constexpr std::array steps { &World::changeStore, &World::changeStore, &World::watch, &World::watch, &World::readPage, &World::readPage,
            &World::lose, &World::sendList, &World::deliver, &World::deliver, &World::deliver, &World::restart, &World::pass, &World::restore };
        (this->*steps.at(draw(steps.size())))();
        collectUpdates();
        for (Member& member : m_members)
            member.check();
    }

    /// Ends all faults: the first member reads the platform, the others hear its messages.
    void settle()
    {
        for (Member& member : m_members)
            member.reachable(true);
        Member& first = m_members.front();
        readAll(first);
        first.watch(m_store, false);
        collectUpdates();
        exchangeLists();
        for (int i = 0; i < 100; ++i) {
            for (Member& member : m_members)
                member.advance(std::chrono::milliseconds(100));
            collectUpdates();
            exchangeLists();
        }
    }

    void checkAgreement() const
    {
        Serials truth;
        for (const auto& [name, change] : m_store.state()) {
            if (!change.server->leaving)
                truth[name] = change.server->incarnation;
        }
        for (const Member& member : m_members) {
            if (member.hasList())
                RC_ASSERT(member.serversInUse() == truth);
        }
    }

private:
    /// A message to a member; it does not reach a later start of the receiver if it answers a question of an earlier one.
    struct Sent {
        std::shared_ptr<peer::Envelope> message;
        std::size_t to;
        int receiverStart;
    };

    /// Draws from the whole range also in the first, small cases, so that each kind of step occurs.
    static std::size_t draw(std::size_t below) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, below)); }
    Member& anyMember() { return m_members[draw(MEMBERS)]; }

    void changeStore()
    {
        const std::size_t name = draw(NAMES);
        switch (draw(6)) {
        case 0:
            return m_store.putOther();
        case 1:
        case 2:
            return m_store.remove(name);
        default:
            return m_store.put(name, draw(ADDRESSES), !draw(4));
        }
    }

    void watch() { anyMember().watch(m_store, !draw(3)); }

    void readPage()
    {
        Member& member = anyMember();
        if (!draw(3))
            member.beginRead(m_store);
        member.readPage(m_store);
    }

    void readAll(Member& member)
    {
        member.beginRead(m_store);
        while (member.reading())
            member.readPage(m_store);
    }

    void lose() { anyMember().reachable(false); }

    void sendList()
    {
        const std::size_t from = draw(MEMBERS);
        const std::size_t to = draw(MEMBERS);
        if (from != to && m_members[from].hasList())
            m_sent.push_back({ m_members[from].makeList(), to, m_members[to].starts() });
    }

    void deliver()
    {
        if (m_sent.empty())
            return;
        const Sent& sent = m_sent[draw(m_sent.size())];
        Member& to = m_members[sent.to];
        if (sent.message->has_servers_news() || sent.receiverStart == to.starts())
            to.receive(*sent.message);
    }

    void restart()
    {
        if (!draw(3))
            anyMember().restart();
    }

    void restore()
    {
        if (draw(2))
            return;
        m_store.restore(draw(6));
        // Most faults show with the first read after a restore.
        if (draw(2))
            readAll(anyMember());
    }

    void pass()
    {
        const auto duration = std::chrono::milliseconds(draw(1500));
        for (Member& member : m_members)
            member.advance(duration);
    }

    void collectUpdates()
    {
        for (std::size_t from = 0; from < MEMBERS; ++from) {
            const auto update = m_members[from].takeUpdate();
            for (std::size_t to = 0; update && to < MEMBERS; ++to) {
                if (to != from)
                    m_sent.push_back({ update, to, m_members[to].starts() });
            }
        }
    }

    /// Each member that hears of a later revision asks for the list, as `Reducer` does.
    void exchangeLists()
    {
        for (Member& to : m_members) {
            for (const Member& from : m_members) {
                if (from.position() > to.position())
                    to.receive(*from.makeList());
            }
        }
    }

    Store m_store;
    std::vector<Member> m_members;
    std::vector<Sent> m_sent;
};

void checkProperty(const std::string& description, const std::function<void()>& property)
{
    const bool holds = rc::check(description, property);
    CHECK(holds);
}

} // namespace

TEST_CASE("Whatever the order of reads and messages, no member goes back to an older entry, and all agree in the end")
{
    checkProperty("no older entry, agreement", [] {
        World world;
        const int steps = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(1, 60));
        for (int i = 0; i < steps; ++i)
            world.step();
        world.settle();
        world.checkAgreement();
    });
}
