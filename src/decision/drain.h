#pragma once

#include "context.h"
#include "gossip.h"
#include "key_registry.h"
#include "member_table.h"
#include "request_flow.h"

#include <cstdint>
#include <optional>

namespace cornelwind {

namespace peer {
    class Envelope;
    class Handover;
}

/// Graceful shutdown of an entry instance: lets requests finish and hands its keys over to a successor.
///
/// Steps:
/// 1. Report not ready to the balancer and announce the stop to the peers.
/// 2. Refuse new requests without keys, and hold back those with keys until the running ones end.
/// 3. Find a successor that accepts the keys.
/// 4. Hand the keys over. From now on no request with a key runs here.
/// 5. Resend the parts until each is acknowledged, then forward the held-back requests to the successor.
/// 6. Refuse all new requests, and stop once no request is left.
///
/// Steps 3 to 5 are skipped if this entry instance has issued and received no keys. If no peer is alive or none has accepted the keys after 10 offers, the held-back
/// requests run here. At the time limit the remaining requests end as if their deadlines had passed.
/// A lost acknowledgement may leave the outcome of a request `unknown`, but never makes a request
/// run twice.
class Drain {
public:
    struct Dependencies {
        Gossip& gossip;
        MemberTable& members;
        KeyRegistry& keys;
        RequestFlow& flow;
    };

    /// @param timeLimit time from the stop request until the remaining requests are ended
    /// @param noticeTime time within which the balancer notices that this entry instance is not ready
    Drain(Dependencies dependencies, Duration timeLimit, Duration noticeTime);

    /// Starts the shutdown. Does nothing if it has started already.
    void onStopRequested(Context& context);
    /// Continues the shutdown; called periodically.
    void onTick(Context& context);
    /// Handles the peer messages of a handover, as sender and as successor. Ignores all others.
    void onMessage(const peer::Envelope& message, MemberRecord& sender, Context& context);

    /// @return whether the shutdown has started
    bool stopping() const { return m_phase != Phase::None; }

private:
    enum class Phase : std::uint8_t {
        None,
        /// Waits for the balancer to notice and for running requests with keys to end.
        Quiesce,
        /// Waits for an entry instance that accepts the keys.
        FindSuccessor,
        /// Waits for acknowledgements.
        Handover,
        /// Waits for the remaining requests.
        Finish,
        Stopped,
    };
    using PhaseHandler = void (Drain::*)(Context&);

    void quiesce(Context& context);
    void findSuccessor(Context& context);
    void offerKeys(Context& context);
    void handOver(const InstanceName& successor, Context& context);
    void awaitAck(Context& context);
    /// Refuses all new requests from now on.
    void beginFinish();
    void finish(Context& context);
    void announceSuccessor(Context& context);
    void onHandover(const peer::Handover& part, const MemberRecord& sender, Context& context);
    void onOfferAccepted(const MemberRecord& sender, Context& context);

    Dependencies m_dependencies;
    Duration m_timeLimit;
    Duration m_noticeTime;
    Phase m_phase = Phase::None;
    Time m_requestedAt;
    Time m_nextRetry;
    std::optional<InstanceName> m_offeredTo;
    std::uint32_t m_offerCount = 0;
    /// Until this time a peer whose offer this entry instance accepted may still send its keys.
    Time m_incomingUntil;
};

} // namespace cornelwind
