#pragma once

#include "context.h"
#include "cornelwind/quarantine.h"
#include "cornelwind/server_pool.h"
#include "gossip.h"
#include "member_table.h"
#include "zone_broadcast.h"

#include <cstddef>
#include <set>
#include <string>

namespace cornelwind {

namespace peer {
    class Envelope;
    class QuarantineNews;
}

/// Lets all entry instances know the requests that crash backend servers.
///
/// What an instance observes is sent to all members at the next tick. One that starts, or
/// resumes after a pause of its process, gets the blocked requests together with the
/// suspected servers that it asks for, see `BeliefExchange`. As messages may be lost, each
/// instance also sends the blocked requests that it knows to `REPAIR_FANOUT` random members
/// every `REPAIR_INTERVAL`. A member that receives a crash of a request and knows an answer
/// to it tells the sender.
/// Messages: none while no request is suspected.
class QuarantineExchange {
public:
    static constexpr std::size_t REPAIR_FANOUT = 2;
    static constexpr Duration REPAIR_INTERVAL = std::chrono::seconds(1);
    /// Limits a message to about 16 KB.
    static constexpr std::size_t MAX_ROWS = 64;

    struct Dependencies {
        Quarantine& quarantine;
        const ServerPool& pool;
        MemberTable& members;
        Gossip& gossip;
    };

    explicit QuarantineExchange(Dependencies dependencies);

    /// Sends what is due.
    void onTick(Context& context);
    /// Records that a backend server ran a request and answered it.
    void onAnswer(Fingerprint fingerprint, Context& context);
    /// Records that a request reached a backend server, whatever became of it.
    void onReached(ServerId server, std::uint64_t incarnation, Time sentAt) { m_dependencies.quarantine.recordReached(server, incarnation, sentAt); }
    /// Begins a trial with a request that is being sent, if one is due.
    ///
    /// @return number of the trial; 0 if none is due
    std::uint32_t onSend(Fingerprint fingerprint, Context& context);
    /// Records a crash that this entry instance observed.
    ///
    /// @return whether the crash was unknown
    bool onCrash(Fingerprint fingerprint, const ServerCrash& crash, Context& context);
    /// Records a crash reported by a member of an earlier version, which does not name the server.
    void onUnattributedCrash(Fingerprint fingerprint, const MemberRecord& sender, std::uint64_t message, Context& context);
    /// Records what a peer knows.
    ///
    /// @param message contains news of the quarantine
    void onNews(const peer::Envelope& message, const MemberRecord& sender, Context& context);
    /// Sends the blocked requests, if there are any, to a peer that does not know them.
    void sendBlocked(const MemberRecord& to, Context& context);

private:
    void refuteCrashes(Context& context);
    void sendChanges(Context& context);
    void repair(Context& context);
    bool merge(const QuarantineRecord& record, const std::string& evidence, Context& context);
    /// Reports that a block has begun or ended, and sends the record to all members.
    void publishChange(Fingerprint fingerprint, bool wasBlocked, const std::string& evidence, Context& context);
    void reportChange(Fingerprint fingerprint, bool wasBlocked, const std::string& evidence, Context& context) const;
    bool isBlocked(Fingerprint fingerprint, Time now) const { return m_dependencies.quarantine.state(fingerprint, now) != QuarantineState::Free; }

    Dependencies m_dependencies;
    ZoneBroadcast m_broadcast;
    Time m_nextRepair;
    /// Fingerprints of records that were changed by observations of this instance and not sent yet.
    std::set<Fingerprint> m_unsent;
};

} // namespace cornelwind
