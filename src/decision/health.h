#pragma once

#include "belief_exchange.h"
#include "context.h"
#include "cornelwind/detector.h"
#include "cornelwind/event.h"
#include "cornelwind/quarantine.h"
#include "ejector.h"
#include "gossip.h"
#include "idle_report.h"
#include "member_table.h"
#include "quarantine_exchange.h"
#include "send_observer.h"

#include <memory>
#include <vector>

namespace cornelwind {

namespace peer {
    class Envelope;
    class Evidence;
}

/// Runs the detector and the ejector, and exchanges evidence, ejections, crashes and leaving notices with the peers.
///
/// Messages: one to each of at most `MAX_EVIDENCE_PEERS` peers every
/// `EVIDENCE_INTERVAL`, and none if there is nothing to report. Probes: the fleet
/// as a whole probes each server at most once every `PROBE_PERIOD`, and only
/// servers that have too little traffic to be judged by it.
class Health final : public SendObserver {
public:
    struct Dependencies {
        ServerPool& pool;
        Quarantine& quarantine;
        MemberTable& members;
        Gossip& gossip;
        LossTable& losses;
    };

    explicit Health(Dependencies dependencies);

    /// Sets the sheet in force.
    void adopt(SheetPtr sheet);
    /// @return the exchange of observations about servers whose requests are placed by expected cost
    BeliefExchange& exchange() { return m_exchange; }
    /// Sends a peer that has started or was paused what it missed.
    void onBeliefsRequest(const MemberRecord& sender, Context& context);
    /// @return the exchange of requests that crash servers
    QuarantineExchange& quarantine() { return m_quarantine; }
    /// Evaluates the evidence, ejects and returns servers, and sends evidence and probes that are due.
    void onTick(Context& context);
    /// Adds the evidence of a peer. Stale and repeated messages are ignored.
    void onEvidence(const peer::Evidence& evidence, const MemberRecord& sender, Context& context);
    /// Handles the result of a probe of a health endpoint.
    void onProbe(const ProbeFinished& event);
    /// Marks servers as leaving that the platform lists as leaving.
    void onServersListed(const ServersListed& event, Context& context);
    /// Handles a notice of a backend server that it is leaving.
    void onLeaving(ServerId server, Context& context) { m_ejector.onLeaving(server, true, context); }
    /// Records that a backend server crashed while it ran a request, and reports it to the peers.
    ///
    /// @param id what identifies that request in the quarantine
    /// @param fingerprint its fingerprint, by which members of an earlier version know it
    void onCrash(Fingerprint id, Fingerprint fingerprint, const ServerCrash& crash, Context& context);

    void trySent(TryId id, ServerId server, Time now) override;
    void tryEnded(TryId id, SendEvidence evidence, Time now) override;
    void observed(ServerId server, Observation observation, Time sentAt, const std::string& request, Context& context) override
    {
        m_exchange.observed(server, observation, sentAt, request, context);
    }
    Duration medianTime(std::uint32_t service) const override { return m_detector.median(service); }

    /// @return the evidence against a server; empty for an unknown server
    ServerAssessment assess(ServerId server) const { return m_detector.assess(server); }
    /// @return how much of the fleet this entry instance can reach
    FleetView fleetView() const;

private:
    void sendEvidence(const Digest& digest, Context& context);
    std::shared_ptr<peer::Envelope> makeEvidence(const Digest& digest, Context& context);
    void probeLowTrafficServers(Context& context);
    /// Divides the slots again if the number of servers in service has changed.
    void redistributeSlotsIfChanged();

    Dependencies m_dependencies;
    Detector m_detector;
    Ejector m_ejector;
    BeliefExchange m_exchange;
    QuarantineExchange m_quarantine;
    IdleReport m_idleReport;
    SheetPtr m_sheet;
    /// Crashes to be sent with the next evidence, for members that do not know `peer::QuarantineNews`.
    std::vector<Fingerprint> m_crashesToAnnounce;
    Time m_nextEvaluation;
    Time m_nextProbe;
    /// Whether any service of the sheet places requests by expected cost.
    bool m_placesByCost = false;
    /// Number of servers in service when the slots were last divided.
    std::size_t m_servingCount = 0;
    /// Whether the previous evidence reported ejections. The next is then sent even if it is empty, to withdraw them.
    bool m_sentEjections = false;
    bool m_selfDistrusted = false;
};

} // namespace cornelwind
