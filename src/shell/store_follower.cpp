#include "store_follower.h"

#include "entropy.h"
#include "log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelwind {
namespace {

    // Longer waits save calls; a connection that went silent is noticed by keep-alive probes and by the peers.
    constexpr Millis WAIT_TIME { 25000 };
    constexpr Millis GROUP_TIME { 150 };
    constexpr Millis FIRST_BACKOFF { 150 };
    constexpr Millis LONGEST_BACKOFF { 1200 };
    constexpr std::uint32_t MAX_DOUBLINGS = 3;

    // Between half and all of `delay`, so that readers do not call in step.
    Duration jittered(Duration delay)
    {
        return delay / 2 + Duration { static_cast<std::int64_t>(randomBits() % static_cast<std::uint64_t>(delay.count() / 2 + 1)) };
    }

} // namespace

const char* toString(StoreStatus status)
{
    static constexpr std::array names { "ok", "history-gone", "refused", "lost" };
    return names.at(static_cast<std::size_t>(status));
}

StoreFollower::StoreFollower(boost::asio::io_context& io, std::unique_ptr<PublishedStore> store, Handler handler)
    : m_store(std::move(store))
    , m_handler(std::move(handler))
    , m_timer(io)
{
}

void StoreFollower::start()
{
    readAll();
    call();
}

void StoreFollower::watch(bool enabled, Millis)
{
    m_enabled = enabled;
    if (enabled && m_resting)
        return call();
    if (enabled || m_step != Step::Watch || m_resting)
        return;
    m_store->cancel(m_call);
    m_timer.cancel();
    rest();
}

void StoreFollower::rest()
{
    m_resting = true;
    m_failures = 0;
    // The answer to a cancelled call is not waited for.
    ++m_number;
}

void StoreFollower::refresh()
{
    if (m_step != Step::Watch || m_failures || m_resting)
        return;
    m_timer.cancel();
    m_store->cancel(m_call);
    call();
}

void StoreFollower::readAll()
{
    m_step = Step::ReadSheet;
    m_page.clear();
    m_servers.clear();
    m_latestChange = {};
}

void StoreFollower::call()
{
    if (m_step == Step::Watch && !m_enabled)
        return rest();
    m_resting = false;
    ++m_calls;
    const auto handler = [this, number = ++m_number](const StoreReply& reply) { onReply(number, reply); };
    switch (m_step) {
    case Step::ReadSheet:
        m_call = m_store->readSheet(handler);
        return;
    case Step::ReadServers:
        m_call = m_store->readServers(m_page, handler);
        return;
    case Step::Watch:
        m_call = m_store->watch(m_revision, WAIT_TIME, handler);
        return;
    }
}

void StoreFollower::onReply(std::uint64_t number, const StoreReply& reply)
{
    // A cancelled call was replaced by a later one.
    if (number != m_number)
        return;
    if (reply.status == StoreStatus::HistoryGone) {
        logLine(LogLevel::Warn, LogPart::Platform, "The history from revision " + std::to_string(m_revision.value()) + " on is gone; all is read again.");
        readAll();
        return call();
    }
    if (reply.status != StoreStatus::Ok)
        return onFailure(reply.status);
    m_failures = 0;
    static constexpr std::array handlers { &StoreFollower::onSheetRead, &StoreFollower::onServersRead, &StoreFollower::onChanges };
    (this->*handlers.at(static_cast<std::size_t>(m_step)))(reply);
}

void StoreFollower::onFailure(StoreStatus status)
{
    if (!m_failures)
        logLine(LogLevel::Warn, LogPart::Platform, std::string("A call to the store failed: ") + toString(status) + "; last revision " + std::to_string(m_revision.value()) + ".");
    const Duration backoff = std::min<Duration>(FIRST_BACKOFF * (1U << std::min(m_failures, MAX_DOUBLINGS)), LONGEST_BACKOFF);
    ++m_failures;
    // One lost call says little; the next one is made at once.
    if (m_failures > 1)
        m_handler(PlatformLost {});
    schedule(jittered(backoff));
}

void StoreFollower::schedule(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            call();
    });
}

void StoreFollower::onSheetRead(const StoreReply& reply)
{
    m_step = Step::ReadServers;
    for (const PublishedChange& change : reply.changes) {
        if (change.sheet)
            m_handler(SheetFetched { *change.sheet });
    }
    // Changes of the sheet during the following reads are found by the watch.
    m_revision = reply.revision;
    call();
}

void StoreFollower::onServersRead(const StoreReply& reply)
{
    for (const PublishedChange& change : reply.changes) {
        if (!change.server)
            continue;
        m_servers.push_back(*change.server);
        m_latestChange = std::max(m_latestChange, change.revision);
    }
    m_page = reply.nextPage;
    if (m_page.empty()) {
        m_step = Step::Watch;
        m_handler(ServersPublished { std::exchange(m_servers, {}), m_latestChange, true });
    }
    call();
}

void StoreFollower::onChanges(const StoreReply& reply)
{
    ServersPublished servers;
    for (const PublishedChange& change : reply.changes) {
        if (change.sheet)
            m_handler(SheetFetched { *change.sheet });
        if (change.server)
            servers.changes.push_back(*change.server);
        servers.revision = std::max(servers.revision, change.revision);
    }
    m_revision = std::max(m_revision, reply.revision);
    if (servers.changes.empty())
        m_handler(PlatformReached {});
    else
        m_handler(std::move(servers));
    // Changes often come in groups; one call for all of a group is enough.
    schedule(reply.changes.empty() ? Duration {} : Duration { GROUP_TIME });
}

} // namespace cornelwind
