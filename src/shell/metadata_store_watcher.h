#pragma once

#include "metadata_store.h"
#include "one_shot_timer.h"
#include "platform_source.h"
#include "store_era_tracker.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

/// Follows the metadata store, which keeps a history of revisions: reads all values, then watches for changes.
///
/// If the store states a later era, it was restored from an older copy, and all values are read again.
///
/// One call is in progress at a time. After an interrupted watch it resumes from the last
/// revision seen; if the store no longer holds that revision, it reads all values again.
/// Failed calls are retried with exponential backoff and jitter: the first time after at
/// most 150 ms, later at most 2.4 s after the start of the failed call.
class MetadataStoreWatcher final : public PlatformSource {
public:
    /// @return uniformly distributed bits
    using RandomSource = std::function<std::uint64_t()>;

    /// @param timer runs the retries
    /// @param store the metadata store to follow
    /// @param handler receives the events
    /// @param random source of the jitter
    MetadataStoreWatcher(std::unique_ptr<OneShotTimer> timer, std::unique_ptr<MetadataStore> store, Handler handler, RandomSource random);

    void start() override;

    /// Watches for changes if enabled, else makes no calls once all values are read. Ignores `listRefresh`.
    void watch(const WatchPlatform& options) override;

    /// Restarts a watch in progress from the last revision seen. Does nothing if values are being read, calls fail or
    /// watching is disabled.
    void refresh() override;

    std::uint64_t calls() const override { return m_calls; }

private:
    /// The kind of the call that is in progress or made next.
    enum class State : std::uint8_t {
        ReadSheet,
        ReadServers,
        Watch,
    };

    /// Makes the call of the current state, or suspends if that is a watch and watching is disabled.
    void call();
    void onReply(std::uint64_t callNumber, const StoreReply& reply);
    /// Reads all values again if the reply shows that those known are out of date, or repeats a call whose reply is.
    ///
    /// @return whether the next call was made or scheduled, so that the reply is done with
    bool checkEra(const StoreReply& reply);
    void onFailure(StoreStatus status);
    void onSheetRead(const StoreReply& reply);
    void onServersRead(const StoreReply& reply);
    void onChanges(const StoreReply& reply);
    /// @return time for which the store is known to have held back the reply to the latest call
    Duration heldTime(const StoreReply& reply) const;
    /// Resets the state so that the next call starts to read all values again.
    void restartFromFullRead();
    /// @return a revision in the present era
    StorePosition positionOf(StoreRevision revision) const { return { m_eras.era(), revision }; }
    /// @return a change of a server in the present era
    ServerChange changeOf(const ServerChange& change) const { return { change.name, change.server, positionOf(change.position.revision), change.problem }; }
    void scheduleCall(Duration delay);
    /// @return a random delay between half and all of `delay`, so that entry instances do not call in synchrony
    Duration addJitter(Duration delay) const;
    /// Ends the watch in progress.
    void stopWatching();
    /// Makes no calls until watching is enabled again, and ignores a reply that is still to come.
    void suspend();

    std::unique_ptr<MetadataStore> m_store;
    Handler m_handler;
    RandomSource m_random;
    std::unique_ptr<OneShotTimer> m_timer;
    State m_state = State::ReadSheet;
    CallId m_call = 0;
    /// Number of the latest call; replies to earlier ones are ignored.
    std::uint64_t m_callNumber = 0;
    /// Changes up to this revision of the era are known; a watch starts after it.
    StoreRevision m_revision;
    StoreEraTracker m_eras;
    std::string m_nextPage;
    /// Backend servers read so far, while the pages are read.
    ServersPublished m_list { {}, {}, true };
    bool m_watchEnabled = false;
    /// No call is in progress and none is scheduled.
    bool m_suspended = false;
    bool m_callInProgress = false;
    Time m_calledAt;
    /// Maximum time for which the store holds back its reply to the latest call while there is no change.
    Millis m_callWait {};
    /// Longest time that a watch waits for a change.
    Millis m_wait {};
    /// Whether the latest call got an answer.
    bool m_wasAnswered = false;
    /// Failed calls in a row.
    std::uint32_t m_failures = 0;
    std::uint64_t m_calls = 0;
};

} // namespace cornelwind
