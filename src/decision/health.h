#pragma once

#include "belief_exchange.h"
#include "context.h"
#include "cornelwind/detector.h"
#include "cornelwind/event.h"
#include "cornelwind/quarantine.h"
#include "ejector.h"
#include "evidence_sink.h"
#include "gossip.h"
#include "member_table.h"

#include <memory>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
    class Evidence;
}

/// Runs detection and ejection in step, and exchanges evidence, ejections, crashes and leaves with the peers.
///
/// Messages: one to each of at most `MAX_EVIDENCE_PEERS` peers every
/// `EVIDENCE_INTERVAL`, only where there is news. Probes: each server at most
/// once every `PROBE_PERIOD` by the whole fleet, and only where traffic says too little.
class Health final : public EvidenceSink {
public:
    struct Parts {
        ServerPool& pool;
        Quarantine& quarantine;
        MemberTable& members;
        Gossip& gossip;
    };

    explicit Health(Parts parts);

    void adopt(SheetPtr sheet);
    /// What is shared of servers whose requests are placed by expected cost.
    BeliefExchange& exchange() { return m_exchange; }
    void onTick(Context& context);
    void onEvidence(const peer::Evidence& evidence, const MemberRecord& sender, Context& context);
    void onProbe(const ProbeFinished& event, Context& context);
    void onServersListed(const ServersListed& event, Context& context);
    /// A backend server itself says that it is leaving.
    void onLeaving(ServerId server, Context& context) { m_ejector.onLeaving(server, true, context); }
    void onCrash(Fingerprint fingerprint, Context& context);

    void trySent(TryId id, ServerId server, Time now) override;
    void tryEnded(TryId id, Evidence evidence, Time now) override;
    void observed(ServerId server, Observation observation, Time sentAt, const std::string& request, Context& context) override
    {
        m_exchange.observed(server, observation, sentAt, request, context);
    }
    Duration typicalTime(std::uint32_t service) const override { return m_detector.median(service); }

    Judgement judge(ServerId server) const { return m_detector.judge(server); }
    FleetView fleetView() const;

private:
    void sendEvidence(const Digest& digest, Context& context);
    std::shared_ptr<peer::Envelope> makeEvidence(const Digest& digest, Context& context);
    void probeQuietServers(Context& context);
    void recordCrash(Fingerprint fingerprint, Context& context);
    void reshareIfChanged();

    Parts m_parts;
    Detector m_detector;
    Ejector m_ejector;
    BeliefExchange m_exchange;
    SheetPtr m_sheet;
    std::vector<Fingerprint> m_crashesToTell;
    Time m_nextEvaluation;
    Time m_nextProbe;
    bool m_placesByCost = false;
    std::size_t m_servingCount = 0;
    bool m_toldEjections = false;
    bool m_distrusted = false;
};

} // namespace cornelwind
