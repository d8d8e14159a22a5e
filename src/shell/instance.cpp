#include "instance.h"

#include "log.h"
#include "random_bits.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace cornelwind {
namespace {

    constexpr Millis TICK_INTERVAL { 10 };
    constexpr Duration MAINTENANCE_INTERVAL = std::chrono::milliseconds(500);
    constexpr Duration CLOSE_TIMEOUT = std::chrono::seconds(2);
    constexpr std::size_t MAX_EXPLAINED_DECISIONS = 50;
    constexpr std::uint32_t ADMIN_CONNECTIONS = 32;
    // Bodies may take this part of the memory of the process. A response that grows or is passed on exists twice for a moment.
    constexpr std::uint64_t BODY_MEMORY_PART = 4;

    Reducer makeReducer(const Settings& settings, const SheetReader& reader)
    {
        // In messages, zero means that no incarnation is known.
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
        case DecisionKind::NoticeInvalid:
        case DecisionKind::EntryInvalid:
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
        limits.maxHeadBytes = static_cast<std::size_t>(settings.maxHead.value());
        limits.headTimeout = settings.receiveTimeout;
        limits.receiveTimeout = settings.receiveTimeout;
        return limits;
    }

} // namespace

Instance::Instance(Settings settings, PlatformAdapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_tickTimer(m_io)
    , m_closeTimer(m_io)
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
    , m_reducer(makeReducer(m_settings, m_adapter.sheetReader))
    , m_memory(std::make_shared<MemoryBudget>(static_cast<std::size_t>(m_settings.memory.value() / BODY_MEMORY_PART)))
    , m_client(m_io, m_memory)
    , m_tracer(m_client, m_settings.traceCollector, m_settings.name.value())
    , m_callerHandler(m_requests, m_tracer, m_adapter.conventions, [this](EventBody body) { apply(std::move(body)); })
    , m_backendClient(m_requests, m_client, m_tracer, m_adapter.conventions, [this](EventBody body) { apply(std::move(body)); })
    , m_peerMessenger(
          m_io, m_requests, m_tracer, m_settings, m_memory, [this](EventBody body) { apply(std::move(body)); },
          [this](peer::Envelope& message) { m_reducer.setSender(message); })
    , m_adminHandler(adminOperations())
    , m_callerServer(m_io, m_callerHandler, httpLimitsOf(m_settings, m_settings.maxConnections), m_memory)
    , m_adminServer(m_io, m_adminHandler, httpLimitsOf(m_settings, ADMIN_CONNECTIONS), m_memory)
{
    if (m_settings.platform)
        m_platform = m_adapter.makeSource(m_io, m_client, *m_settings.platform, [this](EventBody body) { apply(std::move(body)); });
    if (m_settings.readiness)
        m_readinessServer.emplace(m_io, m_callerHandler, httpLimitsOf(m_settings, ADMIN_CONNECTIONS), m_memory);
}

bool Instance::start(Reason& reason)
{
    const auto callers = m_callerServer.listen(m_settings.callers, reason);
    const auto admin = callers ? m_adminServer.listen(m_settings.admin, reason) : std::nullopt;
    if (admin && m_readinessServer && !m_readinessServer->listen(*m_settings.readiness, reason))
        return false;
    if (!admin || !m_peerMessenger.listen(m_settings.peers, reason))
        return false;
    logMessage(LogLevel::Info, LogComponent::Main, "Listening: callers at " + toString(*callers) + ", admin at " + toString(*admin) + ", peers at " + toString(m_settings.peers) + ".");
    if (m_platform)
        m_platform->start();
    return true;
}

void Instance::run()
{
    awaitSignal();
    tick();
    while (!m_io.stopped())
        guard([this] { m_io.run(); });
}

template <typename Action>
void Instance::guard(const Action& action)
{
    try {
        action();
    } catch (const std::exception& error) {
        // One message that nobody foresaw must not end the requests of all callers.
        logMessage(LogLevel::Error, LogComponent::Main, "Unexpected error; the event is dropped: " + escapeForLog(error.what()));
    }
}

// A suspension is reported before the event, since decisions depend on the age of what the instance knows.
void Instance::apply(EventBody body)
{
    if (const Duration suspended = m_suspensionClock.takeSuspended(); suspended > Duration {}) {
        logMessage(LogLevel::Warn, LogComponent::Main, "The system was suspended for " + std::to_string(std::chrono::duration_cast<Millis>(suspended).count()) + " ms.");
        applyNow(SystemSuspended { suspended });
    }
    applyNow(std::move(body));
}

void Instance::applyNow(EventBody body)
{
    EffectList effects = std::exchange(m_effectBuffer, {});
    guard([&] { m_reducer.apply({ steadyNow(), randomBits(), std::move(body) }, effects); });
    for (const Effect& effect : effects)
        guard([&] { perform(effect); });
    effects.clear();
    m_effectBuffer = std::move(effects);
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
        m_peerMessenger.readBody(*request, effect);
    else
        m_callerHandler.readBody(*request, effect);
}

void Instance::on(const ForwardToOwner& effect)
{
    if (const ActiveRequest* request = m_requests.find(effect.request))
        m_peerMessenger.forward(*request, effect);
}

void Instance::on(const RelayResponse& effect)
{
    ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return;
    if (request->origin) {
        m_peerMessenger.reply(*request, effect.response.get(), ErrorKind::None, Outcome::Ran);
        return m_tracer.end(request->span);
    }
    if (!m_adapter.conventions.addFleetHeaders)
        return m_callerHandler.respond(*request, *effect.response);
    Response response = *effect.response;
    response.headers.push_back({ OUTCOME_HEADER, toString(Outcome::Ran) });
    if (!effect.nextKey.empty())
        response.headers.push_back({ NEXT_KEY_HEADER, effect.nextKey });
    m_callerHandler.respond(*request, response);
}

void Instance::on(const Refuse& effect)
{
    ActiveRequest* request = m_requests.find(effect.request);
    if (!request)
        return;
    if (request->origin) {
        m_peerMessenger.reply(*request, nullptr, effect.error, effect.outcome);
        request->span.failed = true;
        return m_tracer.end(request->span);
    }
    m_callerHandler.respond(*request, makeErrorResponse(effect.error, effect.outcome, effect.retryAfter, effect.nextKey, m_adapter.conventions));
}

void Instance::on(const IssueKeys& effect)
{
    if (ActiveRequest* request = m_requests.find(effect.request))
        m_callerHandler.issueKeys(*request, effect);
    m_requests.erase(effect.request);
}

void Instance::on(const WatchPlatform& effect)
{
    if (m_platform)
        m_platform->watch(effect);
}

void Instance::on(const RefreshPublished&)
{
    if (m_platform)
        m_platform->refresh();
}

void Instance::on(const ReportDecision& effect)
{
    ++m_ioStats.decisions.at(static_cast<std::size_t>(effect.decision.kind));
    logEvent(levelOf(effect.decision.kind), LogComponent::Decision, toString(effect.decision.kind), fieldsOf(effect.decision));
}

void Instance::on(const SetCallerLimits& effect)
{
    m_callerServer.setLimits(effect.limits);
    logMessage(LogLevel::Info, LogComponent::Main, "Caller limits: " + std::to_string(effect.limits.maxHeadBytes.value()) + " bytes of request head within " + std::to_string(effect.limits.headTimeout.count()) + " ms, idle time " + std::to_string(effect.limits.idleTimeout.count()) + " ms.");
}

void Instance::on(const SetReady& effect)
{
    m_callerHandler.setReady(effect.ready);
    logMessage(LogLevel::Info, LogComponent::Main, effect.ready ? "Ready for callers." : "Not ready for callers.");
    m_callerServer.setDraining(!effect.ready);
}

// Connections with a request in progress stay open for up to CLOSE_TIMEOUT. Requests that arrive on them are still served.
void Instance::on(const Stopped&)
{
    m_callerServer.close();
    m_callerServer.closeIdle();
    m_adminServer.close();
    awaitConnectionsClosed(steadyNow() + CLOSE_TIMEOUT);
}

void Instance::awaitConnectionsClosed(Time until)
{
    if (!m_callerServer.connections() || steadyNow() >= until) {
        logMessage(LogLevel::Info, LogComponent::Main, "Stopped.");
        flushLog();
        return m_io.stop();
    }
    m_closeTimer.expires_after(TICK_INTERVAL);
    m_closeTimer.async_wait([this, until](boost::system::error_code) { awaitConnectionsClosed(until); });
}

void Instance::tick()
{
    // Before the work, so that an unexpected error in it does not stop the clock.
    m_tickTimer.expires_after(TICK_INTERVAL);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
    apply(Tick {});
    m_memory->tick(steadyNow());
    maintain();
    flushLog();
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
    m_client.closeExpiredConnections();
    m_peerMessenger.transport().closeUnused(now);
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

// Applies only the settings that may change while running: the seeds, the log level and the instance name in log lines.
// The others, such as addresses and limits, apply after a restart.
void Instance::reload()
{
    const auto settings = m_adapter.reload ? m_adapter.reload() : std::nullopt;
    if (!settings)
        return logMessage(LogLevel::Warn, LogComponent::Main, "Settings reload failed; keeping the current settings.");
    configureLog(settings->name.value(), settings->logLevel);
    logMessage(LogLevel::Info, LogComponent::Main, "Settings reloaded: " + std::to_string(settings->seeds.size()) + " seeds.");
    apply(SettingsChanged { settings->seeds });
}

AdminHandler::Operations Instance::adminOperations()
{
    return {
        [this] { return m_reducer.status(steadyNow()); },
        [this](const std::string& subject) { return m_reducer.explain(subject, MAX_EXPLAINED_DECISIONS); },
        [this] { return renderMetrics(m_reducer.status(steadyNow()), m_reducer.counters(), ioStats(), m_requestLog.metrics()); },
        [this] { apply(StopRequested {}); },
        [] { return steadyNow(); },
    };
}

IoStats Instance::ioStats() const
{
    IoStats ioStats = m_ioStats;
    ioStats.connections = m_callerServer.connections();
    ioStats.peerBytesSent = m_peerMessenger.transport().bytesSent();
    ioStats.peerBytesReceived = m_peerMessenger.transport().bytesReceived();
    ioStats.controlBytesSent = m_peerMessenger.controlBytes();
    ioStats.platformCalls = m_platform ? m_platform->calls() : 0;
    ioStats.spansDropped = m_tracer.dropped();
    ioStats.responseBytes = m_memory->used(MemoryKind::Response) + m_memory->used(MemoryKind::WritingResponse);
    for (std::size_t i = 0; i < MEMORY_KINDS; ++i)
        ioStats.bodyBytes.at(i) = m_memory->used(static_cast<MemoryKind>(i));
    for (std::size_t i = 0; i < TRANSFERS; ++i)
        ioStats.endedForMemory.at(i) = m_memory->ended(static_cast<Transfer>(i));
    ioStats.responsesOverMemory = m_client.callsOverMemory();
    ioStats.logLinesDropped = droppedLogLines();
    return ioStats;
}

} // namespace cornelwind
