#pragma once

#include "cornelwind/types.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Hands out the grants of limited backend servers, one request each, to the entry instances that ask for them.
///
/// The grants of a server follow each other at its rate; those of the last second that nobody asked for are saved up. The
/// instance that has waited longest is next.
///
/// Memory: one row for each server coordinated here, with an entry for each instance that waits.
class GrantCoordinator {
public:
    /// The right of an entry instance to send one request to a server.
    struct Grant {
        ServerId server;
        InstanceName instance;
    };

    /// @return requests a second that may be granted for a server; 0 if it is not limited
    using Rate = std::function<double(ServerId)>;

    /// Lets an instance wait for a grant, or keeps its place if it waits already.
    ///
    /// @param patience time after which it no longer waits
    /// @param rate requests a second granted for the server
    /// @return time until its turn. If that is longer than `patience`, it does not wait.
    Duration ask(ServerId server, const InstanceName& instance, Duration patience, double rate, Time now);
    /// Takes back a grant that was not used, so that the next one is due earlier.
    void giveBack(ServerId server, double rate, Time now);

    /// @return the grants that are due now
    std::vector<Grant> takeDue(const Rate& rate, Time now);

    /// @return when the first instance asked for this server; nothing if it is not coordinated here
    std::optional<Time> coordinatedSince(ServerId server) const;

    bool empty() const { return m_rows.empty(); }

private:
    struct Waiting {
        InstanceName instance;
        Time expiresAt;
    };

    struct Row {
        Time since;
        /// When the next grant is due.
        Time dueAt;
        std::deque<Waiting> waiting;
    };

    static void grantDue(ServerId server, Row& row, double rate, Time now, std::vector<Grant>& grants);

    std::unordered_map<ServerId, Row> m_rows;
};

} // namespace cornelwind
