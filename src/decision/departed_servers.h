#pragma once

#include "cornelwind/published_server.h"

#include <map>
#include <optional>

namespace cornelwind {

/// The backend servers that went out of use lately.
///
/// A store that is restored from an older copy may hold entries of them. Memory: one record for each server that went out of use in
/// the last two `KEEP_TIME`; none while the store states no era.
class DepartedServers {
public:
    /// The platform's store is restored from copies that are some seconds old.
    static constexpr Duration KEEP_TIME = std::chrono::seconds(60);

    struct Departure {
        /// Position of the change that removed the entry.
        StorePosition position;
        std::uint64_t incarnation = 0;
        /// Whether the server said that it was leaving.
        bool leaving = false;
        Time at;
    };

    /// Records that a server went out of use.
    void add(const PublishedServer& server, StorePosition position, Time now);
    /// Forgets a server that is in use again.
    void remove(const ServerName& name) { m_departures.erase(name); }
    /// @return the departure of a server, or nothing if it is not known
    std::optional<Departure> find(const ServerName& name) const;
    /// Forgets the departures that are too old. Looks for them once in `KEEP_TIME`, so that a record is kept up to twice as long.
    void expire(Time now);

private:
    std::map<ServerName, Departure> m_departures;
    Time m_nextExpiry;
};

} // namespace cornelwind
