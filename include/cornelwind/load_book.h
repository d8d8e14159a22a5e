#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Requests at one backend server.
struct ServerLoad {
    ServerId server;
    std::uint32_t inFlight = 0;

    friend bool operator==(const ServerLoad&, const ServerLoad&) = default;
};

/// What the other entry instances of the availability zone have at each backend server.
///
/// Each report replaces the one before of the same instance and ends with `LIFETIME`.
/// Memory: one row for each instance of the zone and each server that it uses.
class LoadBook {
public:
    static constexpr Duration LIFETIME = std::chrono::milliseconds(1500);

    /// Takes in all that one instance has in flight now.
    void report(const InstanceName& from, std::vector<ServerLoad> loads, Time now);

    /// Drops the reports of instances that fell silent.
    void expire(Time now);

    /// @return requests of the others at a server
    std::uint32_t others(ServerId server) const;

private:
    struct Report {
        std::vector<ServerLoad> loads;
        Time at;
    };

    void subtract(const Report& report);

    std::unordered_map<InstanceName, Report> m_reports;
    std::unordered_map<ServerId, std::uint32_t> m_sums;
};

} // namespace cornelwind
