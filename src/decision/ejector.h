#pragma once

#include "context.h"
#include "cornelwind/detector.h"
#include "cornelwind/server_pool.h"
#include "cornelwind/sheet.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// How much of the fleet this entry instance can reach.
struct FleetView {
    /// Position of this entry instance among the live ones.
    std::uint32_t rank = 0;
    /// Number of live entry instances, including this one.
    std::uint32_t live = 1;
    /// Number of entry instances listed by the platform, including this one.
    std::uint32_t listed = 1;
    /// Number of entry instances that are both listed and live, including this one.
    std::uint32_t listedLive = 1;
};

/// A backend server that an entry instance has ejected or on trial, as reported to its peers.
struct PeerEjection {
    ServerId server;
    /// Remaining time of the ejection; zero if the server is on trial.
    Duration remaining {};
    /// Number of ejections of the server; reset to 0 after 10 min in service.
    std::uint32_t ejectionCount = 0;
};

/// A start of a backend server that is leaving.
struct LeavingServer {
    ServerId server;
    std::uint64_t incarnation = 0;
};

/// Ejects unhealthy backend servers and returns them to service (outlier ejection).
///
/// Bound: a server is ejected only if the ejected slots of its service then stay
/// within (slots - floor) * listedLive / listed. Servers avoided here, and those
/// ejected or on trial here or at a peer, all count as ejected. If that limit falls
/// below the ejected slots, the servers with the lowest scores are returned to
/// service. Disjoint parts of a partitioned fleet reach disjoint sets of listed
/// instances, so the sum over the parts stays within slots - floor.
class Ejector {
public:
    Ejector(ServerPool& pool, Detector& detector);

    /// Ejects, avoids and returns servers according to the present scores of the detector.
    void evaluate(const Sheet& sheet, const FleetView& fleet, Context& context);

    /// Replaces the ejections reported by one peer. They expire after 3 s.
    ///
    /// @param source id of the peer, as for `Detector::merge`
    void onPeerEjections(std::uint64_t source, std::vector<PeerEjection> ejections, Time now);

    /// Marks a server as leaving. Without a further notice it returns to service after 60 s.
    ///
    /// @param direct whether the notice came from the server or the platform; false if it came from a peer
    void onLeaving(ServerId server, bool direct, Context& context);

    /// @return servers that this entry instance has ejected or on trial
    std::vector<PeerEjection> ejections(const Sheet& sheet, Time now) const;
    /// @return the notices that servers are leaving that arrived directly within the last 5 s
    std::vector<LeavingServer> leavingToAnnounce(Time now);

    /// @param slots number of slots of all servers of the service that are not leaving
    /// @param floor number of slots that have to stay in service
    /// @return number of slots of the service that may be ejected
    static std::uint32_t budget(std::uint32_t slots, Slots floor, const FleetView& view);

private:
    struct PeerEjections {
        std::vector<PeerEjection> rows;
        Time at;
    };

    struct EjectionCount {
        /// Number of peers that have the server ejected or on trial.
        std::uint32_t unavailable = 0;
        /// Number of peers that have ejected the server.
        std::uint32_t ejected = 0;
    };

    /// A service during one evaluation.
    struct ServiceView {
        const SheetService& config;
        std::uint32_t index;
        /// Score from which a server is ejected.
        double threshold;
        /// Slots that may be ejected.
        std::uint32_t budget;
        /// Slots that are ejected, on trial or avoided, here or at a peer.
        std::uint32_t unavailable;
    };

    void countPeerEjections();
    void evaluateService(ServiceView& view, const FleetView& fleet, Context& context);
    /// Ends ejections, avoidances, trials and leaving notices whose time is over. A trial that fails ends at once.
    void endExpiredStates(const ServiceView& view, Context& context);
    void endTrial(Server& server, const ServiceView& view, Context& context);
    void returnLowestScores(ServiceView& view, Context& context);
    void ejectUnhealthy(ServiceView& view, const FleetView& fleet, Context& context);
    void eject(Server& server, ServiceView& view, const ServerAssessment& assessment, Context& context);
    /// Takes a server out of use at this entry instance only, because no other one observes its faults.
    void avoid(Server& server, ServiceView& view, const ServerAssessment& assessment, Context& context);
    /// Reports, at most once in 10 s for each server, that a server is not ejected because of the bound.
    void withhold(const Server& server, const ServiceView& view, const ServerAssessment& assessment, Context& context);
    void returnToService(Server& server, const SheetService& config, const char* why, Context& context);
    bool isUnhealthy(const Server& server, const ServiceView& view, const FleetView& fleet, const ServerAssessment& assessment) const;
    /// @return number of peers that have ejected the server
    std::uint32_t peersEjecting(ServerId server) const;
    std::uint32_t unavailableSlots(std::uint32_t service) const;

    ServerPool& m_pool;
    Detector& m_detector;
    std::map<std::uint64_t, PeerEjections> m_peerEjections;
    std::unordered_map<ServerId, EjectionCount> m_ejectionCounts;
    struct LeavingNotice {
        std::uint64_t incarnation = 0;
        Time at;
    };

    /// The latest direct notice of each server that it is leaving.
    std::unordered_map<ServerId, LeavingNotice> m_leavingNotices;
    /// When a withheld ejection of a server may be reported again.
    std::unordered_map<ServerId, Time> m_withheldUntil;
};

} // namespace cornelwind
