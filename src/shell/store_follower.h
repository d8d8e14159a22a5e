#pragma once

#include "published_source.h"
#include "published_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

/// Follows a store with a history: reads all, then waits for changes from there on.
///
/// One call at a time. Whatever ends a wait, it resumes from the last revision
/// seen; if the history is gone it reads all again.
class StoreFollower final : public PublishedSource {
public:
    StoreFollower(boost::asio::io_context& io, std::unique_ptr<PublishedStore> store, Handler handler);

    void start() override;
    /// @param enabled waits for changes; else nothing is asked once all is read
    void watch(bool enabled, Millis listRefresh) override;
    void refresh() override;
    std::uint64_t calls() const override { return m_calls; }

private:
    enum class Step : std::uint8_t {
        ReadSheet,
        ReadServers,
        Watch,
    };

    void call();
    void onReply(std::uint64_t number, const StoreReply& reply);
    void onFailure(StoreStatus status);
    void onSheetRead(const StoreReply& reply);
    void onServersRead(const StoreReply& reply);
    void onChanges(const StoreReply& reply);
    void readAll();
    void schedule(Duration delay);
    void rest();

    std::unique_ptr<PublishedStore> m_store;
    Handler m_handler;
    boost::asio::steady_timer m_timer;
    Step m_step = Step::ReadSheet;
    CallId m_call = 0;
    std::uint64_t m_number = 0;
    /// Changes up to here are known.
    StoreRevision m_revision;
    std::string m_page;
    std::vector<ServerChange> m_servers;
    /// Of the entries read so far. The store's own revision also counts other values, which members do not compare.
    StoreRevision m_latestChange;
    bool m_enabled = false;
    /// Nothing is asked: no call runs and none is scheduled.
    bool m_resting = false;
    std::uint32_t m_failures = 0;
    std::uint64_t m_calls = 0;
};

} // namespace cornelwind
