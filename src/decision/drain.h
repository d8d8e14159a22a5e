#pragma once

#include "context.h"
#include "gossip.h"
#include "key_book.h"
#include "member_table.h"
#include "request_flow.h"

#include <cstdint>
#include <optional>

namespace cornelwind {

namespace peer {
    class Envelope;
    class Handover;
}

/// Stops an entry instance without cutting off a request, and hands its keys to an heir.
///
/// Order: not ready and announced; keyed requests held back until the running
/// ones end; heir found; keys handed over, from then on never run here; held
/// back requests forwarded to the heir; parts repeated until acknowledged;
/// stopped once no request is left. A lost acknowledgement costs certainty
/// (`unknown`), never a second run.
class Drain {
public:
    struct Parts {
        Gossip& gossip;
        MemberTable& members;
        KeyBook& keys;
        RequestFlow& flow;
    };

    /// @param noticeTime time in which the balancer notices that this entry instance is not ready
    Drain(Parts parts, Duration timeLimit, Duration noticeTime);

    void onStopRequested(Context& context);
    void onTick(Context& context);
    /// Handles messages of this module.
    void onMessage(const peer::Envelope& message, MemberRecord& sender, Context& context);

    bool stopping() const { return m_phase != Phase::None; }

private:
    enum class Phase : std::uint8_t {
        None,
        /// Waits for the balancer to notice and for running keyed requests to end.
        Quiesce,
        /// Waits for an entry instance that accepts the keys.
        FindHeir,
        /// Waits for acknowledgements.
        Handover,
        /// Waits for the remaining requests.
        Finish,
        Stopped,
    };
    using PhaseHandler = void (Drain::*)(Context&);

    void quiesce(Context& context);
    void findHeir(Context& context);
    void offer(Context& context);
    void handOver(const InstanceName& heir, Context& context);
    void awaitAck(Context& context);
    void finish(Context& context);
    void notifyHeir(Context& context);
    void onHandover(const peer::Handover& part, const MemberRecord& sender, Context& context);
    void onAccept(const MemberRecord& sender, Context& context);

    Parts m_parts;
    Duration m_timeLimit;
    Duration m_noticeTime;
    Phase m_phase = Phase::None;
    Time m_requestedAt;
    Time m_nextStep;
    std::optional<InstanceName> m_offered;
    std::uint32_t m_offers = 0;
    /// Until then keys that were promised to this entry instance may still arrive.
    Time m_expectsUntil;
};

} // namespace cornelwind
