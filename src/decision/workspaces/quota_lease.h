#pragma once

#include "cornelwind/types.h"
#include "cornelwind/workspace.h"
#include "workspaces/quota_coordinator.h"
#include "workspaces/token_bucket.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cornelwind {

/// What became of a request that waited for a token.
struct QuotaDecision {
    RequestId request;
    bool granted = false;
    /// Not granted: time until a token is available.
    Duration next {};
};

/// The tokens of one workspace that one entry instance holds, and its requests that wait for one.
class QuotaLease {
public:
    /// A token that is not used within this time after it was asked for is returned.
    static constexpr Duration TOKEN_LIFETIME = std::chrono::seconds(1);

    /// Tokens asked of a coordinator, which has not replied.
    struct PendingAsk {
        std::uint64_t sequence = 0;
        InstanceName coordinator;
        Time sentAt;
        QuotaCoordinator::Ask tokens;
    };

    /// Tokens to give back.
    struct Unused {
        InstanceName coordinator;
        std::uint32_t tokens = 0;
    };

    explicit QuotaLease(std::uint64_t subject)
        : m_subject(subject)
    {
    }

    /// @return hash of the workspace
    std::uint64_t subject() const { return m_subject; }

    /// Counts a request, for the number that is expected.
    void countRequest(Time now);
    /// Takes a token that is held.
    ///
    /// @return false if there is none
    bool takeHeld(Time now);
    void addWaiting(RequestId request, Time now) { m_waiting.push_back({ request, now }); }
    bool hasWaiting() const { return !m_waiting.empty(); }
    /// @return time until a token is available, if the coordinator said that there is none; zero otherwise
    Duration blockedFor(Time now) const { return now < m_blockedUntil ? m_nextTokenAt - now : Duration {}; }

    /// @param remote whether another instance is the coordinator; only then are tokens asked for ahead
    /// @return what to ask for now; empty if nothing
    std::optional<QuotaCoordinator::Ask> nextAsk(bool remote, Time now) const;
    void beginAsk(PendingAsk ask) { m_ask = std::move(ask); }
    /// @return the ask without a reply; null if there is none
    const PendingAsk* currentAsk() const { return m_ask ? &*m_ask : nullptr; }
    void dropAsk() { m_ask.reset(); }

    /// Hands out the tokens that answer the current ask.
    ///
    /// @return tokens for which no request waits any more, to be given back
    std::uint32_t receive(const QuotaCoordinator::Grant& grant, Time now, std::vector<QuotaDecision>& decisions);
    /// Hands a token that another request did not use to one that waits.
    ///
    /// @return false if none waits
    bool passOn(std::vector<QuotaDecision>& decisions);
    /// Grants all requests that wait, since the workspace has no quota any more.
    void grantAll(std::vector<QuotaDecision>& decisions);
    /// Hands out the tokens that have become usable.
    void grantDue(Time now, std::vector<QuotaDecision>& decisions);
    /// @return the requests that have waited for a reply since `before` or longer, which no longer wait
    std::vector<RequestId> takeWaitingSince(Time before);
    /// Forgets a request.
    ///
    /// @return the token that it would have got, if it would
    std::optional<Unused> cancel(RequestId request);
    /// @return the tokens whose lifetime is over
    std::vector<Unused> takeExpired(Time now);
    /// Forgets when the next token is available, and drops the local bucket, since the quota has changed.
    ///
    /// @param dropTokens whether the tokens that are held are dropped too
    void reset(bool dropTokens);

    /// @return whether it may be forgotten
    bool isIdle(Time now) const;

    TokenBucket& localBucket(const TokenBucket::Limits& limits, double start, Time now);

    InstanceName coordinator;
    /// `CoordinatorChoice::version` at which `coordinator` was chosen.
    std::optional<std::uint64_t> chosenAt;

private:
    struct Batch {
        Unused unused;
        Time expiresAt;
    };

    struct Waiting {
        RequestId request;
        Time since;
    };

    struct Due {
        RequestId request;
        InstanceName coordinator;
        Time at;
    };

    std::uint32_t heldCount() const;
    /// @return tokens to hold for the requests that are expected soon
    std::uint32_t expectedCount(Time now) const;

    std::uint64_t m_subject;
    std::deque<Batch> m_held;
    std::deque<Waiting> m_waiting;
    std::vector<Due> m_due;
    std::optional<PendingAsk> m_ask;
    Time m_blockedUntil;
    Time m_nextTokenAt;
    Time m_nextAheadAt;
    std::optional<TokenBucket> m_local;
    /// Requests in the current and in the previous window of one second.
    std::uint32_t m_requests = 0;
    std::uint32_t m_previousRequests = 0;
    Time m_windowStart;
};

} // namespace cornelwind
