#include "metadata_store_watcher.h"

#include "log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cornelwind {
namespace {

    constexpr Millis BATCH_DELAY { 150 };
    constexpr Millis INITIAL_BACKOFF { 150 };
    constexpr Millis MAX_BACKOFF { 2400 };
    constexpr std::uint32_t MAX_BACKOFF_DOUBLINGS = 4;

} // namespace

const char* toString(StoreStatus status)
{
    static constexpr std::array names { "ok", "history-gone", "refused", "lost" };
    return names.at(static_cast<std::size_t>(status));
}

MetadataStoreWatcher::MetadataStoreWatcher(std::unique_ptr<OneShotTimer> timer, std::unique_ptr<MetadataStore> store, Handler handler, RandomSource random)
    : m_store(std::move(store))
    , m_handler(std::move(handler))
    , m_random(std::move(random))
    , m_timer(std::move(timer))
{
}

void MetadataStoreWatcher::start()
{
    restartFromFullRead();
    call();
}

void MetadataStoreWatcher::watch(const WatchPlatform& options)
{
    const bool mustAnswerSooner = options.wait < m_wait;
    m_watchEnabled = options.enabled;
    m_wait = options.wait;
    m_eras.learn(options.era);
    if (m_watchEnabled && m_suspended)
        return call();
    if (m_watchEnabled)
        return mustAnswerSooner ? refresh() : void();
    if (m_state == State::Watch && !m_suspended)
        stopWatching();
}

void MetadataStoreWatcher::stopWatching()
{
    if (m_callInProgress)
        logMessage(LogLevel::Info, LogComponent::Platform, "Watch of the metadata store ended; its call of " + std::to_string(std::chrono::duration_cast<Millis>(m_timer->now() - m_calledAt).count()) + " ms ago had no answer yet.");
    m_store->cancel(m_call);
    m_timer->cancel();
    suspend();
}

void MetadataStoreWatcher::suspend()
{
    m_suspended = true;
    m_failures = 0;
    m_wasAnswered = false;
    // The reply to the cancelled call is ignored.
    ++m_callNumber;
}

void MetadataStoreWatcher::refresh()
{
    if (m_state != State::Watch || m_failures || m_suspended)
        return;
    m_timer->cancel();
    m_store->cancel(m_call);
    m_wasAnswered = false;
    call();
}

void MetadataStoreWatcher::restartFromFullRead()
{
    m_state = State::ReadSheet;
    m_nextPage.clear();
    m_list = { {}, {}, true };
}

void MetadataStoreWatcher::call()
{
    if (m_state == State::Watch && !m_watchEnabled)
        return suspend();
    m_suspended = false;
    m_callInProgress = true;
    m_calledAt = m_timer->now();
    // After a failure or a pause the first call returns at once, and so shows whether the store is reached.
    m_callWait = m_state == State::Watch && m_wasAnswered ? m_wait : Millis { 0 };
    ++m_calls;
    const auto handler = [this, callNumber = ++m_callNumber](const StoreReply& reply) { onReply(callNumber, reply); };
    switch (m_state) {
    case State::ReadSheet:
        m_call = m_store->readSheet(handler);
        return;
    case State::ReadServers:
        m_call = m_store->readServers(m_nextPage, handler);
        return;
    case State::Watch:
        m_call = m_store->watch(m_revision, m_callWait, handler);
        return;
    }
}

void MetadataStoreWatcher::onReply(std::uint64_t callNumber, const StoreReply& reply)
{
    // A later call has replaced the one that this reply belongs to.
    if (callNumber != m_callNumber)
        return;
    m_callInProgress = false;
    if (checkEra(reply))
        return;
    if (reply.status == StoreStatus::HistoryGone) {
        logMessage(LogLevel::Warn, LogComponent::Platform, "Metadata store no longer holds the history from revision " + std::to_string(m_revision.value()) + "; reading all values again.");
        restartFromFullRead();
        return call();
    }
    if (reply.status != StoreStatus::Ok)
        return onFailure(reply.status);
    m_failures = 0;
    m_wasAnswered = true;
    static constexpr std::array handlers { &MetadataStoreWatcher::onSheetRead, &MetadataStoreWatcher::onServersRead, &MetadataStoreWatcher::onChanges };
    (this->*handlers.at(static_cast<std::size_t>(m_state)))(reply);
}

bool MetadataStoreWatcher::checkEra(const StoreReply& reply)
{
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::HistoryGone)
        return false;
    const StoreEra before = m_eras.era();
    switch (m_eras.onReply(reply)) {
    case StoreEraTracker::Verdict::Use:
        return false;
    case StoreEraTracker::Verdict::Repeat:
        m_wasAnswered = false;
        scheduleCall(addJitter(INITIAL_BACKOFF));
        return true;
    case StoreEraTracker::Verdict::ReadAll:
        break;
    }
    if (m_state == State::ReadSheet)
        return false;
    logMessage(LogLevel::Warn, LogComponent::Platform, "Metadata store is in era " + std::to_string(m_eras.era().value()) + ", values up to revision " + std::to_string(m_revision.value()) + " of era " + std::to_string(before.value()) + " are known; reading all values again.");
    restartFromFullRead();
    call();
    return true;
}

void MetadataStoreWatcher::onFailure(StoreStatus status)
{
    if (!m_failures)
        logMessage(LogLevel::Warn, LogComponent::Platform, std::string("Call to the metadata store failed: ") + toString(status) + "; last revision " + std::to_string(m_revision.value()) + ", retrying with backoff.");
    const Duration backoff = std::min<Duration>(INITIAL_BACKOFF * (1U << std::min(m_failures, MAX_BACKOFF_DOUBLINGS)), MAX_BACKOFF);
    ++m_failures;
    m_wasAnswered = false;
    // A single failed call does not show that the platform is unreachable; its retry follows shortly.
    if (m_failures > 1)
        m_handler(PlatformUnreachable {});
    // A call that took long to fail counts as part of the wait, so that the store is tried as often when it does not answer.
    scheduleCall(std::max<Duration>(addJitter(backoff) - (m_timer->now() - m_calledAt), addJitter(INITIAL_BACKOFF)));
}

void MetadataStoreWatcher::scheduleCall(Duration delay)
{
    m_timer->start(delay, [this] { call(); });
}

Duration MetadataStoreWatcher::addJitter(Duration delay) const
{
    return delay / 2 + Duration { static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(delay.count() / 2 + 1)) };
}

void MetadataStoreWatcher::onSheetRead(const StoreReply& reply)
{
    m_state = State::ReadServers;
    for (const StoreChange& change : reply.changes) {
        if (change.sheet)
            m_handler(SheetFetched { *change.sheet });
    }
    m_handler(SheetConfirmed { m_calledAt });
    // The watch starts at this revision, so it reports changes made during the following reads.
    m_revision = reply.revision;
    call();
}

void MetadataStoreWatcher::onServersRead(const StoreReply& reply)
{
    for (const StoreChange& change : reply.changes) {
        if (change.server)
            m_list.changes.push_back(changeOf(*change.server));
    }
    m_list.unreadable.insert(m_list.unreadable.end(), reply.unreadable.begin(), reply.unreadable.end());
    if (m_list.pages.empty())
        m_list.position = positionOf(reply.revision);
    m_list.pages.push_back({ reply.lastServer, positionOf(reply.revision) });
    m_nextPage = reply.nextPage;
    if (m_nextPage.empty()) {
        m_state = State::Watch;
        m_handler(std::exchange(m_list, {}));
    }
    call();
}

// A reply without changes was held back for the whole wait, unless it came sooner. Any other reply may have been made right after
// the call and delayed on its way.
Duration MetadataStoreWatcher::heldTime(const StoreReply& reply) const
{
    const bool isUnchanged = reply.changes.empty() && reply.unreadable.empty() && reply.revision <= m_revision;
    return isUnchanged && m_timer->now() - m_calledAt >= m_callWait ? m_callWait : Duration {};
}

void MetadataStoreWatcher::onChanges(const StoreReply& reply)
{
    ServersPublished servers;
    for (const StoreChange& change : reply.changes) {
        if (change.sheet)
            m_handler(SheetFetched { *change.sheet });
        if (change.server)
            servers.changes.push_back(changeOf(*change.server));
    }
    servers.unreadable = reply.unreadable;
    if (servers.changes.empty() && servers.unreadable.empty() && reply.revision <= m_revision)
        m_handler(PlatformReachable {});
    else {
        servers.position = positionOf(reply.revision);
        m_handler(std::move(servers));
    }
    m_handler(SheetConfirmed { m_calledAt, heldTime(reply) });
    m_revision = std::max(m_revision, reply.revision);
    // Changes often come in bursts. Waiting before the next call lets one call receive a whole burst.
    scheduleCall(reply.changes.empty() ? Duration {} : Duration { BATCH_DELAY });
}

} // namespace cornelwind
