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
        }
    }

    QuarantineRecord readRecord(const peer::QuarantineRow& row, Time now)
    {
        QuarantineRecord record { Fingerprint { row.fingerprint() }, {} };
        for (const peer::ServerCrashRow& crash : row.crashes())
            record.crashes.push_back({ ServerId { crash.server() }, crash.incarnation(), timeFromAge(crash.ago_us(), now) });
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
    sendChanges(context);
    repair(context);
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

bool QuarantineExchange::onCrash(Fingerprint fingerprint, const ServerCrash& crash, Context& context)
{
    const bool changed = merge({ fingerprint, { crash } }, "this instance", context);
    if (changed)
        m_unsent.insert(fingerprint);
    return changed;
}

// The crashes that one message reports count once, since one crash of a server may have ended several requests.
void QuarantineExchange::onUnattributedCrash(Fingerprint fingerprint, const MemberRecord& sender, std::uint64_t message, Context& context)
{
    const ServerCrash crash { serverIdOf(ServerName { sender.name.value() }), sender.incarnation.value() + message, context.now() };
    merge({ fingerprint, { crash } }, "instance " + sender.name.value(), context);
}

void QuarantineExchange::onNews(const peer::Envelope& message, const MemberRecord& sender, Context& context)
{
    if (!m_broadcast.receive(message, context))
        return;
    for (const peer::QuarantineRow& row : message.quarantine_news().rows())
        merge(readRecord(row, context.now()), "instance " + sender.name.value(), context);
}

void QuarantineExchange::sendBlocked(const MemberRecord& to, Context& context)
{
    auto message = std::make_shared<peer::Envelope>();
    for (const QuarantineRecord& record : m_dependencies.quarantine.blocked(MAX_ROWS, context.now()))
        writeRecord(record, context.now(), *message->mutable_quarantine_news());
    if (message->has_quarantine_news())
        m_dependencies.gossip.send(to, std::move(message), context);
}

bool QuarantineExchange::merge(const QuarantineRecord& record, const std::string& source, Context& context)
{
    Quarantine& quarantine = m_dependencies.quarantine;
    const bool wasBlocked = quarantine.isBlocked(record.fingerprint, context.now());
    const bool changed = quarantine.merge(record, context.now());
    if (!wasBlocked && quarantine.isBlocked(record.fingerprint, context.now())) {
        context.report(DecisionKind::Quarantined, std::to_string(record.fingerprint.value()), "backend servers crashed while running this request, reported by " + source,
            "at most " + std::to_string(Quarantine::CRASH_LIMIT) + " crashes", Quarantine::LIFETIME);
    }
    return changed;
}

} // namespace cornelwind
