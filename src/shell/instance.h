#pragma once

#include "admin_side.h"
#include "caller_side.h"
#include "cornelwind/reducer.h"
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"
#include "dialect.h"
#include "http_client.h"
#include "http_server.h"
#include "metrics.h"
#include "peer_side.h"
#include "published_source.h"
#include "request_log.h"
#include "request_store.h"
#include "server_side.h"
#include "trace.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cornelwind {

/// What an entry instance takes from the adapter of a platform.
struct Adapter {
    using SourceMaker = std::function<std::unique_ptr<PublishedSource>(boost::asio::io_context&, HttpClient&, const Endpoint&, PublishedSource::Handler)>;
    using SettingsLoader = std::function<std::optional<Settings>()>;

    Dialect dialect;
    SheetReader sheetReader = readSheet;
    SourceMaker makeSource;
    /// Reads the settings again after they changed.
    SettingsLoader reload;
    /// Tells whether the settings changed since it was asked last; nobody need signal it.
    std::function<bool()> settingsChanged;
};

/// An entry instance: one reducer and the I/O around it, on one thread.
class Instance {
public:
    Instance(Settings settings, Adapter adapter);

    /// Opens the listeners.
    ///
    /// @return false with the cause in `reason`
    bool start(Reason& reason);

    /// Serves until a planned stop has ended.
    void run();

private:
    void apply(EventBody body);
    void perform(const Effect& effect);
    void on(const ReadBody& effect);
    void on(const SendTry& effect) { m_serverSide.send(effect); }
    void on(const CancelTry& effect) { m_serverSide.cancel(effect); }
    void on(const ForwardToOwner& effect);
    void on(const RelayAnswer& effect);
    void on(const Refuse& effect);
    void on(const ReleaseRequest& effect) { m_requests.erase(effect.request); }
    void on(const GiveKeys& effect);
    void on(const SendPeer& effect) { m_peerSide.send(effect); }
    void on(const SendProbe& effect) { m_serverSide.probe(effect); }
    void on(const WatchPlatform& effect);
    void on(const RefreshPublished& effect);
    void on(const Report& effect);
    void on(const RecordRequest& effect) { m_requestLog.add(effect.record, steadyNow()); }
    void on(const SetCallerLimits& effect);
    void on(const SetReady& effect);
    void on(const Stopped& effect);

    void tick();
    void maintain();
    void awaitSignal();
    void reload();
    void awaitClosed(Time until);
    AdminSide::Parts adminParts();
    ShellFigures figures() const;

    Settings m_settings;
    Adapter m_adapter;
    boost::asio::io_context m_io;
    boost::asio::steady_timer m_ticker;
    boost::asio::steady_timer m_closer;
    boost::asio::signal_set m_signals;
    Reducer m_reducer;
    RequestStore m_requests;
    HttpClient m_client;
    Tracer m_tracer;
    CallerSide m_callerSide;
    ServerSide m_serverSide;
    PeerSide m_peerSide;
    AdminSide m_adminSide;
    HttpServer m_callerServer;
    HttpServer m_adminServer;
    std::optional<HttpServer> m_readinessServer;
    std::unique_ptr<PublishedSource> m_platform;
    RequestLog m_requestLog;
    EffectList m_spareEffects;
    ShellFigures m_figures;
    Time m_nextMaintenance;
};

} // namespace cornelwind
