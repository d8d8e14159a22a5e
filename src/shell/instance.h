#pragma once

#include "admin_handler.h"
#include "backend_client.h"
#include "caller_handler.h"
#include "cornelwind/reducer.h"
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"
#include "http_client.h"
#include "http_conventions.h"
#include "http_server.h"
#include "metrics.h"
#include "peer_messenger.h"
#include "platform_source.h"
#include "request_log.h"
#include "request_table.h"
#include "suspension_clock.h"
#include "trace.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cornelwind {

/// Functions and settings that adapt an entry instance to a platform.
struct PlatformAdapter {
    using SourceFactory = std::function<std::unique_ptr<PlatformSource>(boost::asio::io_context&, HttpClient&, const Endpoint&, PlatformSource::Handler)>;
    using SettingsLoader = std::function<std::optional<Settings>()>;

    HttpConventions conventions;
    SheetReader sheetReader = readSheet;
    /// Creates the source of the sheet and instance list. Called only if the settings name a platform.
    SourceFactory makeSource;
    /// Reloads the settings; returns nothing if they are invalid.
    SettingsLoader reload;
    /// Returns whether the settings changed since the last call. It is polled, so that a change takes effect without a signal.
    std::function<bool()> settingsChanged;
};

/// An entry instance: a reducer and the I/O that feeds it events and performs its effects, on one thread.
class Instance {
public:
    /// @param settings valid settings; the addresses stay fixed for the life of the instance
    /// @param adapter adaptation to the platform
    Instance(Settings settings, PlatformAdapter adapter);

    /// Opens the listeners and starts to read what the platform publishes.
    ///
    /// @param reason set to ErrorKind::ListenFailed on failure
    /// @return false on failure
    bool start(Reason& reason);

    /// Serves until a planned stop is complete. SIGTERM, SIGINT or the drain command starts the stop.
    void run();

private:
    /// Runs an action, and logs an exception that it throws instead of ending the process.
    template <typename Action>
    void guard(const Action& action);
    void apply(EventBody body);
    void applyNow(EventBody body);
    void perform(const Effect& effect);
    void on(const ReadBody& effect);
    void on(const SendTry& effect) { m_backendClient.send(effect); }
    void on(const CancelTry& effect) { m_backendClient.cancel(effect); }
    void on(const ForwardToOwner& effect);
    void on(const RelayResponse& effect);
    void on(const Refuse& effect);
    void on(const ReleaseRequest& effect) { m_requests.erase(effect.request); }
    void on(const IssueKeys& effect);
    void on(const SendPeerMessage& effect) { m_peerMessenger.send(effect); }
    void on(const SendProbe& effect) { m_backendClient.probe(effect); }
    void on(const WatchPlatform& effect);
    void on(const RefreshPublished& effect);
    void on(const ReportDecision& effect);
    void on(const RecordRequest& effect) { m_requestLog.add(effect.record, steadyNow()); }
    void on(const SetCallerLimits& effect);
    void on(const SetReady& effect);
    void on(const Stopped& effect);

    void tick();
    void maintain();
    void awaitSignal();
    void reload();
    void awaitConnectionsClosed(Time until);
    AdminHandler::Operations adminOperations();
    IoStats ioStats() const;

    Settings m_settings;
    PlatformAdapter m_adapter;
    boost::asio::io_context m_io;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_closeTimer;
    boost::asio::signal_set m_signals;
    Reducer m_reducer;
    RequestTable m_requests;
    MemoryBudgetPtr m_memory;
    HttpClient m_client;
    Tracer m_tracer;
    CallerHandler m_callerHandler;
    BackendClient m_backendClient;
    PeerMessenger m_peerMessenger;
    AdminHandler m_adminHandler;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    std::optional<HttpServer> m_readinessServer;
    std::unique_ptr<PlatformSource> m_platform;
    RequestLog m_requestLog;
    SuspensionClock m_suspensionClock;
    /// Reused by `apply` to avoid an allocation for each event.
    EffectList m_effectBuffer;
    IoStats m_ioStats;
    Time m_nextMaintenance;
};

} // namespace cornelwind
