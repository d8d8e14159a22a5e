#pragma once

#include "fleet.h"

#include <string>

namespace cornelwind::test {

/// Publishes servers and routes through the stand-in of the platform, in the manner of the users' store.
///
/// Two routes lead to the service `service`: `/safe/` for requests that may be repeated, `/unsafe/` for those that must not.
class PlatformStore {
public:
    explicit PlatformStore(Fleet& fleet)
        : m_fleet(fleet)
    {
    }

    /// Adds an entry for a backend server of the fleet, in state `ready`.
    void add(const std::string& server, const std::string& service, int slots);
    /// Writes configuration and entries to the store. Instances that start from now on read them.
    void publish();

    /// @return settings that make an entry instance use the store, for `Fleet::addInstance`
    static std::string settings();

private:
    Fleet& m_fleet;
    std::string m_items;
};

} // namespace cornelwind::test
