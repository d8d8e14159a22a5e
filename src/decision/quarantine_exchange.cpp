#include "quarantine_exchange.h"

#include "peer.pb.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cornelwind {
namespace {

    std::uint64_t ageInUs(Time time, Time now)
    {
        return static_cast<std::uint64_t>(std::max<Duration::rep>((now - time).count(), 0));
    }

    // An older time counts as forgotten anyway.
    Time timeFromAge(std::uint64_t ageUs, Time now)
    {
        return now - std::min<Duration>(Duration { static_cast<Duration::rep>(std::min<std::uint64_t>(ageUs, Duration::max().count())) }, Quarantine::LIFETIME);
    }

    void writeRecord(const QuarantineRecord& record, Time now, peer::QuarantineNews& news)
    {
        peer::QuarantineRow& row = *news.add_rows();
        row.set_fingerprint(record.fingerprint.value());
        for (const ServerCrash& crash : record.crashes) {
            peer::ServerCrashRow& out = *row.add_crashes();
            out.set_server(crash.server.value());
            out.set_incarnation(crash.incarnation);
            out.set_ago_us(ageInUs(crash.at, now));
            out.set_refuted(crash.refuted);
            out.set_trial(crash.trial);
        }
        if (record.answeredAt)
            row.set_answered_ago_us(ageInUs(*record.answeredAt, now));
        row.set_trial(record.trial.number);
        row.set_trial_ago_us(record.trial.number ? ageInUs(record.trial.at, now) : 0);
        row.set_seen_ago_us(ageInUs(record.lastSeen, now));
    }

    QuarantineRecord readRecord(const peer::QuarantineRow& row, Time now)
    {
        QuarantineRecord record { Fingerprint { row.fingerprint() }, {} };
        for (const peer::ServerCrashRow& crash : row.crashes())
            record.crashes.push_back({ ServerId { crash.server() }, crash.incarnation(), timeFromAge(crash.ago_us(), now), crash.refuted(), crash.trial() });
        if (row.has_answered_ago_us())
            record.answeredAt = timeFromAge(row.answered_ago_us(), now);
        if (row.trial())
            record.trial = { row.trial(), timeFromAge(row.trial_ago_us(), now) };
        record.lastSeen = timeFromAge(row.seen_ago_us(), now);
        return record;
    }

} // namespace

QuarantineExchange::QuarantineExchange(Dependencies dependencies)
    : m_dependencies(dependencies)
    , m_broadcast(dependencies.members, dependencies.gossip)
{
}

void QuarantineExchange::onTick(Context& context)
{
    m_broadcast.expire(context.now());
    if (m_dependencies.quarantine.size())
        m_dependencies.quarantine.setPosition(m_dependencies.members.rank(), 1 + m_dependencies.members.liveCount());
    refuteCrashes(context);
    sendChanges(context);
    repair(context);
}

// The first responses of a new start may arrive before the news of it.
void QuarantineExchange::refuteCrashes(Context& context)
{
    for (QuarantineRecord& reached : m_dependencies.quarantine.takeReached(context.now())) {
        ServerCrash& crash = reached.crashes.front();
        const Server* server = m_dependencies.pool.find(crash.server);
        if (!server || server->config.incarnation != crash.incarnation)
            continue;
        crash.refuted = true;
        if (merge(reached, "its server was reached again soon after", context))
            m_unsent.insert(reached.fingerprint);
    }
}

void QuarantineExchange::sendChanges(Context& context)
{
    if (m_unsent.empty())
        return;
    peer::Envelope message;
    std::size_t rows = 0;
    while (!m_unsent.empty() && rows < MAX_ROWS) {
        const Fingerprint fingerprint = *m_unsent.begin();
        m_unsent.erase(m_unsent.begin());
        if (const QuarantineRecord* record = m_dependencies.quarantine.find(fingerprint, context.now())) {
            writeRecord(*record, context.now(), *message.mutable_quarantine_news());
            ++rows;
        }
    }
    if (rows)
        m_broadcast.send(message, context);
}

void QuarantineExchange::repair(Context& context)
{
    if (context.now() < m_nextRepair)
        return;
    m_nextRepair = context.now() + REPAIR_INTERVAL;
    peer::Envelope message;
    for (const QuarantineRecord& record : m_dependencies.quarantine.blocked(MAX_ROWS, context.now()))
        writeRecord(record, context.now(), *message.mutable_quarantine_news());
    if (message.has_quarantine_news())
        m_dependencies.gossip.sendToSubset(message, REPAIR_FANOUT, context);
}

void QuarantineExchange::onAnswer(Fingerprint fingerprint, Context& context)
{
    const bool wasBlocked = isBlocked(fingerprint, context.now());
    if (m_dependencies.quarantine.recordAnswer(fingerprint, context.now()))
        publishChange(fingerprint, wasBlocked, "a server answered this request", context);
}

std::uint32_t QuarantineExchange::onSend(Fingerprint fingerprint, Context& context)
{
    const std::uint32_t trial = m_dependencies.quarantine.beginTrial(fingerprint, context.now());
    if (trial) {
        m_unsent.insert(fingerprint);
        context.report(DecisionKind::QuarantineTrial, std::to_string(fingerprint.value()), "trial " + std::to_string(trial) + ": one request is sent to find out whether it still crashes servers");
    }
    return trial;
}

bool QuarantineExchange::onCrash(Fingerprint fingerprint, const ServerCrash& crash, Context& context)
{
    const bool changed = merge({ fingerprint, { crash } }, "reported by this instance", context);
    if (changed)
        m_unsent.insert(fingerprint);
    return changed;
}

// The crashes that one message reports count once, since one crash of a server may have ended several requests.
void QuarantineExchange::onUnattributedCrash(Fingerprint fingerprint, const MemberRecord& sender, std::uint64_t message, Context& context)
{
    const ServerCrash crash { serverIdOf(ServerName { sender.name.value() }), sender.incarnation.value() + message, context.now() };
    merge({ fingerprint, { crash } }, "reported by instance " + sender.name.value(), context);
}

void QuarantineExchange::onNews(const peer::Envelope& message, const MemberRecord& sender, Context& context)
{
    if (!m_broadcast.receive(message, context))
        return;
    auto reply = std::make_shared<peer::Envelope>();
    for (const peer::QuarantineRow& row : message.quarantine_news().rows()) {
        const QuarantineRecord received = readRecord(row, context.now());
        merge(received, "reported by instance " + sender.name.value(), context);
        const QuarantineRecord* known = m_dependencies.quarantine.find(received.fingerprint, context.now());
        if (known && Quarantine::countCrashes(received) && !Quarantine::countCrashes(*known))
            writeRecord(*known, context.now(), *reply->mutable_quarantine_news());
    }
    if (reply->has_quarantine_news())
        m_dependencies.gossip.send(sender, std::move(reply), context);
}

void QuarantineExchange::sendBlocked(const MemberRecord& to, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    for (const QuarantineRecord& record : m_dependencies.quarantine.blocked(MAX_ROWS, context.now()))
        writeRecord(record, context.now(), *message->mutable_quarantine_news());
    if (message->has_quarantine_news())
        m_dependencies.gossip.send(to, std::move(message), context);
}

bool QuarantineExchange::merge(const QuarantineRecord& record, const std::string& evidence, Context& context)
{
    const bool wasBlocked = isBlocked(record.fingerprint, context.now());
    const bool changed = m_dependencies.quarantine.merge(record, context.now());
    reportChange(record.fingerprint, wasBlocked, evidence, context);
    return changed;
}

void QuarantineExchange::publishChange(Fingerprint fingerprint, bool wasBlocked, const std::string& evidence, Context& context)
{
    m_unsent.insert(fingerprint);
    reportChange(fingerprint, wasBlocked, evidence, context);
}

void QuarantineExchange::reportChange(Fingerprint fingerprint, bool wasBlocked, const std::string& evidence, Context& context) const
{
    const bool blocked = isBlocked(fingerprint, context.now());
    const std::string subject = std::to_string(fingerprint.value());
    if (blocked && !wasBlocked)
        context.report(DecisionKind::Quarantined, subject, "backend servers crashed while running this request, " + evidence, "at most " + std::to_string(Quarantine::CRASH_LIMIT) + " crashes", Quarantine::HOLD_TIMES[0]);
    if (wasBlocked && !blocked)
        context.report(DecisionKind::QuarantineEnded, subject, evidence);
}

} // namespace cornelwind
