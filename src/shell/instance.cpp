#include "instance.h"

#include "entropy.h"
#include "log.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace cornelwind {
namespace {

    constexpr Millis TICK_INTERVAL { 10 };
    constexpr Duration MAINTENANCE_INTERVAL = std::chrono::milliseconds(500);
    constexpr Duration CLOSE_TIME = std::chrono::seconds(2);
    constexpr std::size_t MAX_EXPLAINED = 50;
    constexpr std::uint32_t ADMIN_CONNECTIONS = 32;

    Reducer makeReducer(const Settings& settings, const SheetReader& reader)
    {
        // Zero means "no incarnation" in messages.
        const std::uint64_t incarnation = std::max<std::uint64_t>(randomBits(), 1);
        return Reducer::Builder().settings(settings).incarnation(Incarnation { incarnation }).secret(randomSecret().value()).start(steadyNow()).sheetReader(reader).build();
    }

    LogLevel levelOf(DecisionKind kind)
    {
        switch (kind) {
        case DecisionKind::Refused:
            return LogLevel::Debug;
        case DecisionKind::EjectionWithheld:
        case DecisionKind::SheetRefused:
        case DecisionKind::SelfDistrusted:
        case DecisionKind::Quarantined:
            return LogLevel::Warn;
        default:
            return LogLevel::Info;
        }
    }

    std::string fieldsOf(const Decision& decision)
    {
        std::string fields = " subject=\"" + escapeForLog(decision.subject) + "\" evidence=\"" + escapeForLog(decision.evidence) + "\"";
        if (!decision.bound.empty())
            fields += " bound=\"" + escapeForLog(decision.bound) + "\"";
        if (decision.lasts > Duration {})
            fields += " lasts_ms=" + std::to_string(std::chrono::duration_cast<Millis>(decision.lasts).count());
        return fields;
    }

    HttpLimits httpLimitsOf(const Settings& settings, std::uint32_t connections)
    {
        HttpLimits limits;
        limits.connections = connections;
        limits.head = static_cast<std::size_t>(settings.maxHead.value());
        limits.headTime = settings.receiveTime;
        limits.receiveTime = settings.receiveTime;
        return limits;
    }

} // namespace

Instance::Instance(Settings settings, Adapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_ticker(m_io)
    , m_closer(m_io)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_reducer(makeReducer(m_settings, m_adapter.sheetReader))
    , m_client(m_io)
    , m_tracer(m_client, m_settings.traceCollector, m_settings.name.value())
    , m_callerSide(m_requests, m_tracer, m_adapter.dialect, [this](EventBody body) { apply(std::move(body)); })
    , m_serverSide(m_requests, m_client, m_tracer, m_adapter.dialect, [this](EventBody body) { apply(std::move(body)); })
    , m_peerSide(
          m_io, m_requests, m_tracer, m_settings, [this](EventBody body) { apply(std::move(body)); },
          [this](peer::Envelope& message) { m_reducer.sign(message); })
    , m_adminSide(adminParts())
    , m_callerServer(m_io, m_callerSide, httpLimitsOf(m_settings, m_settings.maxConnections))
    , m_adminServer(m_io, m_adminSide, httpLimitsOf(m_settings, ADMIN_CONNECTIONS))
{
    if (m_settings.platform)
        m_platform = m_adapter.makeSource(m_io, m_client, *m_settings.platform, [this](EventBody body) { apply(std::move(body)); });
    if (m_settings.readiness)
        m_readinessServer.emplace(m_io, m_callerSide, httpLimitsOf(m_settings, ADMIN_CONNECTIONS));
}

bool Instance::start(Reason& reason)
{
    const auto callers = m_callerServer.listen(m_settings.callers, reason);
    const auto admin = callers ? m_adminServer.listen(m_settings.admin, reason) : std::nullopt;
    if (admin && m_readinessServer && !m_readinessServer->listen(*m_settings.readiness, reason))
        return false;
    if (!admin || !m_peerSide.listen(m_settings.peers, reason))
        return false;
    logLine(LogLevel::Info, LogPart::Main, "Listening for callers at " + toString(*callers) + ", for operators at " + toString(*admin) + ", for peers at " + toString(m_settings.peers) + ".");
    if (m_platform)
        m_platform->start();
    return true;
}

void Instance::run()
{
    awaitSignal();
    tick();
    m_io.run();
}

void Instance::apply(EventBody body)
{
    EffectList effects = std::exchange(m_spareEffects, {});
    m_reducer.apply({ steadyNow(), randomBits(), std::move(body) }, effects);
    for (const Effect& effect : effects)
        perform(effect);
    effects.clear();
    m_spareEffects = std::move(effects);
}

void Instance::perform(const Effect& effect)
{
    std::visit([this](const auto& body) { on(body); }, effect);
}

void Instance::on(const ReadBody& effect)
{
    ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return;
    if (request->origin)
        m_peerSide.readBody(*request, effect);
    else
        m_callerSide.readBody(*request, effect);
}

void Instance::on(const ForwardToOwner& effect)
{
    if (const ActiveRequest* request = m_requests.find(effect.request))
        m_peerSide.forward(*request, effect);
}

void Instance::on(const RelayAnswer& effect)
{
    ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return;
    if (request->origin) {
        m_peerSide.reply(*request, effect.answer.get(), ErrorKind::None, Outcome::Ran);
        return m_tracer.end(request->span);
    }
    Answer answer = *effect.answer;
    if (m_adapter.dialect.fleetHeaders)
        answer.headers.push_back({ OUTCOME_HEADER, toString(Outcome::Ran) });
    if (m_adapter.dialect.fleetHeaders && !effect.nextKey.empty())
        answer.headers.push_back({ NEXT_KEY_HEADER, effect.nextKey });
    m_callerSide.respond(*request, std::move(answer));
}

void Instance::on(const Refuse& effect)
{
    ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return;
    if (request->origin) {
        m_peerSide.reply(*request, nullptr, effect.error, effect.outcome);
        request->span.failed = true;
        return m_tracer.end(request->span);
    }
    m_callerSide.respond(*request, makeRefusal(effect.error, effect.outcome, effect.retryAfter, effect.nextKey, m_adapter.dialect));
}

void Instance::on(const GiveKeys& effect)
{
    if (ActiveRequest* request = m_requests.find(effect.request))
        m_callerSide.giveKeys(*request, effect);
    m_requests.erase(effect.request);
}

void Instance::on(const WatchPlatform& effect)
{
    if (m_platform)
        m_platform->watch(effect.enabled, effect.listRefresh);
}

void Instance::on(const RefreshPublished&)
{
    if (m_platform)
        m_platform->refresh();
}

void Instance::on(const Report& effect)
{
    ++m_figures.decisions.at(static_cast<std::size_t>(effect.decision.kind));
    logEvent(levelOf(effect.decision.kind), LogPart::Decision, toString(effect.decision.kind), fieldsOf(effect.decision));
}

void Instance::on(const SetCallerLimits& effect)
{
    m_callerServer.setLimits(effect.limits);
    logLine(LogLevel::Info, LogPart::Main, "Limits of callers: " + std::to_string(effect.limits.head.value()) + " bytes of head in " + std::to_string(effect.limits.headTime.count()) + " ms, idle for " + std::to_string(effect.limits.idleTime.count()) + " ms.");
}

void Instance::on(const SetReady& effect)
{
    m_callerSide.setReady(effect.ready);
    logLine(LogLevel::Info, LogPart::Main, effect.ready ? "Ready for callers." : "Not ready for callers.");
    if (!effect.ready)
        m_callerServer.drain();
}

// Requests that arrive while connections end are still served.
void Instance::on(const Stopped&)
{
    m_callerServer.close();
    m_callerServer.closeIdle();
    m_adminServer.close();
    awaitClosed(steadyNow() + CLOSE_TIME);
}

void Instance::awaitClosed(Time until)
{
    if (!m_callerServer.connections() || steadyNow() >= until) {
        logLine(LogLevel::Info, LogPart::Main, "Stopped.");
        flushLog();
        return m_io.stop();
    }
    m_closer.expires_after(TICK_INTERVAL);
    m_closer.async_wait([this, until](boost::system::error_code) { awaitClosed(until); });
}

void Instance::tick()
{
    apply(Tick {});
    maintain();
    flushLog();
    m_ticker.expires_after(TICK_INTERVAL);
    m_ticker.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void Instance::maintain()
{
    const Time now = steadyNow();
    if (now < m_nextMaintenance)
        return;
    m_nextMaintenance = now + MAINTENANCE_INTERVAL;
    m_tracer.flush();
    m_requestLog.reportSuppressed();
    if (m_adapter.settingsChanged && m_adapter.settingsChanged())
        reload();
    m_client.closeIdle();
    m_peerSide.link().closeUnused(now);
}

void Instance::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else
            apply(StopRequested {});
        awaitSignal();
    });
}

// Addresses and limits hold from the start on; what may change while running is taken over.
void Instance::reload()
{
    const auto settings = m_adapter.reload ? m_adapter.reload() : std::nullopt;
    if (!settings)
        return logLine(LogLevel::Warn, LogPart::Main, "Settings cannot be read again; the present ones stay in use.");
    startLog(settings->name.value(), settings->logLevel);
    logLine(LogLevel::Info, LogPart::Main, "Settings read again: " + std::to_string(settings->seeds.size()) + " seeds.");
    apply(SettingsChanged { settings->seeds });
}

AdminSide::Parts Instance::adminParts()
{
    return {
        [this] { return m_reducer.status(steadyNow()); },
        [this](const std::string& subject) { return m_reducer.explain(subject, MAX_EXPLAINED); },
        [this] { return renderMetrics(m_reducer.status(steadyNow()), m_reducer.counters(), figures(), m_requestLog.metrics()); },
        [this] { apply(StopRequested {}); },
        [] { return steadyNow(); },
    };
}

ShellFigures Instance::figures() const
{
    ShellFigures figures = m_figures;
    figures.connections = m_callerServer.connections();
    figures.peerBytesSent = m_peerSide.link().bytesSent();
    figures.peerBytesReceived = m_peerSide.link().bytesReceived();
    figures.controlBytesSent = m_peerSide.controlBytes();
    figures.platformCalls = m_platform ? m_platform->calls() : 0;
    figures.spansDropped = m_tracer.dropped();
    figures.logLinesDropped = droppedLogLines();
    return figures;
}

} // namespace cornelwind
