#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelwind {

/// A limit that a backend server named.
struct Limit {
    /// Lower limits count as this one, so that a server which names none at all, or zero, is asked again within seconds.
    static constexpr double MIN_PER_SECOND = 0.5;
    static constexpr double MAX_PER_SECOND = 1e6;

    /// Requests a second that it takes from all entry instances together, within the bounds above. 0 if the limit is over.
    double perSecond = 0;
    /// When this entry instance first learned of it.
    Time since;
    /// When the latest response that says so arrived, here or at another entry instance.
    Time statedAt;
    /// Who said so: a request of this entry instance, or another instance.
    std::string source;

    bool holds() const { return perSecond > 0; }
};

/// How a statement about the limit of a backend server changed what this entry instance believes.
enum class LimitChange : std::uint8_t { None,
    Begun,
    Changed,
    Ended };

/// The backend servers that limit their rate, and what this entry instance may send to them.
///
/// A limited server takes a request only against a grant, the right to send one request within `GRANT_LIFETIME`. The
/// coordinator of the server hands grants out, see `ServerLimitExchange`. Servers without a limit need none.
///
/// Memory: one row for each server that names a limit, or did so within `ENDED_LIFETIME`.
class ServerLimitTable {
public:
    /// Time within which a grant has to be used. Requests that wait use it at once, so one that is left over is given back soon.
    static constexpr Duration GRANT_LIFETIME = std::chrono::milliseconds(30);
    /// A request that waits states what it lacks with each tick; after this time without, none waits any more.
    static constexpr Duration WANT_LIFETIME = std::chrono::milliseconds(50);
    /// Time for which the end of a limit is remembered, so that older statements of peers do not bring it back.
    static constexpr Duration ENDED_LIFETIME = std::chrono::seconds(30);

    /// Records what a response, or another entry instance, says of a server. A statement older than the latest is ignored.
    ///
    /// @param perSecond requests a second, not negative; nothing if the server names no limit
    /// @param statedAt when the response arrived
    /// @param source for logs and operators
    LimitChange state(ServerId server, std::optional<double> perSecond, Time statedAt, const std::string& source, Time now);
    /// Drops all that is known of a server.
    void forget(ServerId server) { m_rows.erase(server); }
    /// Drops limits that ended long ago.
    void expire(Time now);

    /// @return the latest statement about the server, also if it says that the limit is over; null if there is none
    const Limit* find(ServerId server) const;
    bool isLimited(ServerId server) const;

    /// @return whether a request may go to the server now: it has no limit, or there is a grant for it
    bool maySend(ServerId server, Time now) const;
    /// Uses up a grant, if the server is limited.
    void use(ServerId server, Time now);

    /// Records that a request would go to the server if there were a grant.
    ///
    /// @param patience time for which the request waits
    void want(ServerId server, Duration patience, Time now);
    /// @return the servers at which grants are wanted now and there are none, with the longest time that a request waits
    std::vector<std::pair<ServerId, Duration>> wanted(Time now) const;

    /// Adds a grant that arrives now.
    void addGrant(ServerId server, const InstanceName& coordinator, Time now);
    /// Removes the grants that were not used in time.
    ///
    /// @return their servers and who granted them
    std::vector<std::pair<ServerId, InstanceName>> takeUnused(Time now);
    /// Records when the next grant is expected.
    void expectGrant(ServerId server, Time at);
    /// @return when a request may go to the server, as far as known: `now` if it may at once or if nothing is known
    Time expectedOpening(ServerId server, Time now) const;

private:
    struct Grant {
        Time expiresAt;
        InstanceName coordinator;
    };

    struct Row {
        Limit limit;
        /// Earliest first.
        std::vector<Grant> grants {};
        /// When a request last lacked a grant, and until when it waits.
        Time wantedAt {};
        Time wantedUntil {};
        Time expectedAt {};
    };

    const Row* findLimited(ServerId server) const;

    std::unordered_map<ServerId, Row> m_rows;
};

} // namespace cornelwind
