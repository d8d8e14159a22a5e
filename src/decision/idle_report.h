#pragma once

#include "context.h"
#include "cornelwind/server_pool.h"
#include "member_table.h"

#include <cstdint>
#include <vector>

namespace cornelwind {

/// Reports which backend servers get no requests while others of their service do, and why.
///
/// Only the first live entry instance of each availability zone reports, on the servers of its zone, since the
/// members of a zone tell each other which servers they use. The reasons are those of that entry instance.
/// Volume: at most one decision for each service every `IDLE_TIME`.
class IdleReport {
public:
    /// A server without requests for this time counts as idle.
    static constexpr Duration IDLE_TIME = std::chrono::seconds(2);

    IdleReport(const ServerPool& pool, const MemberTable& members);

    /// Reports idle servers if a report is due.
    void onTick(Context& context);

    /// @return whether no entry instance of the zone has sent the server a request for `IDLE_TIME`, although it
    ///     was known for as long
    static bool isIdle(const Server& server, Time now);

private:
    struct IdleServer {
        const Server* server;
        IdleReason reason;
    };

    void reportService(std::uint32_t service, Context& context) const;
    std::string describe(const std::vector<IdleServer>& idle, std::size_t servers, Time now) const;
    std::string describe(const IdleServer& idle, Time now) const;

    const ServerPool& m_pool;
    const MemberTable& m_members;
    Time m_nextReport;
};

} // namespace cornelwind
