#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Requests that one entry instance has in flight at one backend server.
struct ServerLoad {
    ServerId server;
    std::uint32_t inFlight = 0;

    friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

/// Requests that the other entry instances of the availability zone have in flight at each backend server.
///
/// A report replaces the previous report of the same instance and expires after `LIFETIME`.
/// Memory: one row for each pair of an instance of the zone and a server that it uses.
class PeerLoadTable {
public:
    static constexpr Duration LIFETIME = std::chrono::milliseconds(1500);

    /// Stores the report of one instance.
    ///
    /// @param from the instance that sent the report
    /// @param loads all requests that it has in flight, by backend server
    /// @param now when the report arrived
    void report(const InstanceName& from, std::vector<ServerLoad> loads, Time now);

    /// Drops reports older than `LIFETIME`.
    void expire(Time now);

    /// @return requests that the other instances have in flight at `server`
    std::uint32_t peerInFlight(ServerId server) const;

private:
    struct Report {
        std::vector<ServerLoad> loads;
        Time receivedAt;
    };

    void subtract(const Report& report);

    std::unordered_map<InstanceName, Report> m_reports;
    std::unordered_map<ServerId, std::uint32_t> m_peerInFlight;
};

} // namespace cornelwind
