#pragma once

#include "cornelwind/recovery_model.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Result of one try at a backend server, as evidence about the health of the server.
///
/// The numeric values are sent to peers.
enum class Observation : std::uint8_t {
    /// The server responded in time.
    Success,
    /// The server responded with an error sooner than it could have done the work.
    Failure,
    /// The connection was lost, or the response was incomplete. Either the server or the path to it is at fault.
    Broken,
    /// No connection could be established. The path is more often at fault than the server.
    Unreachable,
    /// The response was still missing long after the usual time.
    Slow,
    /// The server responded with an error, but late enough to have done the work. Most such errors concern this
    /// request alone.
    LateFailure,
};
constexpr std::size_t OBSERVATIONS = static_cast<std::size_t>(Observation::LateFailure) + 1;

/// @return the name used in logs
const char* toString(Observation);

/// Entry instance that made an observation.
enum class ObservationSource : std::uint8_t {
    Self,
    /// Another entry instance. Its path to the server may be at fault instead of the server.
    Peer,
};

/// Health of one backend server as estimated by this entry instance.
struct Belief {
    /// Probability that the server is unhealthy, as of `updatedAt`.
    double unhealthyProbability = 0;
    Time updatedAt;
    /// A failure raised the probability above 20%, and no later request has been answered in time since.
    bool suspected = false;
    /// Before this time the suspected server gets no trial request, and successes in load reports of peers are ignored.
    Time heldUntil;
    /// Send time of the request whose failure caused the suspicion.
    Time firstFailureSentAt;
    /// Send time of the latest request whose failure caused or confirmed the suspicion.
    Time lastFailureSentAt;
    /// Send time of the latest request that was answered in time.
    Time lastSuccessSentAt;
    /// Whether the latest observation was `Observation::Slow`.
    bool lastWasSlow = false;
    /// A trial request is in flight to find out whether the server has recovered.
    bool trial = false;
    /// Share of time that a server of this service is unhealthy. Without observations the probability decays to it.
    double prevalence = 0;
};

/// A suspected backend server as reported to another entry instance.
struct Suspicion {
    ServerId server;
    /// Probability that the server was unhealthy when the latest request failed.
    double unhealthyProbability = 0;
    /// Send times of the first and the latest request that failed.
    Time firstFailureSentAt;
    Time lastFailureSentAt;
};

/// Probability that each backend server is unhealthy, by a hidden Markov model with two states.
///
/// Each observation updates the probability by Bayes' rule. Between observations the
/// probability of a suspected server falls as the recovery model predicts; that of any other
/// server decays to the share of time that a server is unhealthy. A single early error
/// is strong evidence: healthy servers rarely return one, and a request that is not
/// idempotent cannot be retried after it.
/// Memory: one entry for each server.
class BeliefTable {
public:
    /// Updates a server with an observation of this entry instance.
    ///
    /// A stale success is ignored, see `isStale`.
    ///
    /// @param sentAt when the request was sent
    /// @return whether peers have to be notified: the observation is a failure, or clears a suspected server
    bool observe(ServerId server, Observation observation, Time sentAt, Time now);

    /// Updates a server with an observation of a peer, which counts less where the path of the peer may be at fault.
    ///
    /// A stale success is ignored.
    ///
    /// @param sentAt when the peer sent the request
    void observeFromPeer(ServerId server, Observation observation, Time sentAt, Time now);

    /// @return whether a success of a request sent at `sentAt` is stale: the server is suspected, and
    ///     a request sent at the same time or later failed
    bool isStale(ServerId server, Time sentAt) const;

    /// @return the belief about a server, or null without any observation
    const Belief* find(ServerId server) const;

    /// @return probability that the server is unhealthy now
    double unhealthyProbability(ServerId server, Time now) const;

    /// @return whether the server is suspected and its hold has ended. A trial in flight prolongs the hold, see
    ///     `beginTrial`
    bool dueForTrial(ServerId server, Time now) const;
    /// @return whether the hold of the server has not ended yet, see `Belief::heldUntil`
    bool isOnHold(ServerId server, Time now) const;
    /// @return whether the server is suspected, see `Belief::suspected`
    bool suspected(ServerId server) const;

    /// @return at most `most` of the suspected servers, in no particular order
    std::vector<Suspicion> suspicions(std::size_t most) const;
    /// Adopts a suspicion of a peer, unless this entry instance suspects the server already or knows that it has
    /// answered a request sent since the failure.
    ///
    /// @return whether it was adopted
    bool adopt(const Suspicion& suspicion, Time now);

    const RecoveryModel& recovery() const { return m_recovery; }
    /// Replaces the recovery model by that of a peer if the peer has observed more. See `RecoveryModel::adopt`.
    void adoptRecovery(std::span<const RecoveryModel::Interval> intervals) { m_recovery.adopt(intervals); }

    /// Records that a trial request is sent to a suspected server. Further trials wait for its outcome, for 2 s at most.
    void beginTrial(ServerId server, Time now);

    /// Sets the probability to which a server decays without observations.
    ///
    /// @param share fraction of the time for which servers of the service are unhealthy; limited to 0.02 to 0.35
    void setPrevalence(ServerId server, double share, Time now);

    /// Removes a server that left or whose process was restarted.
    void forget(ServerId server) { m_beliefs.erase(server); }

    std::size_t size() const { return m_beliefs.size(); }

private:
    bool addObservation(ServerId server, Observation observation, ObservationSource source, Time sentAt, Time now);
    void update(Belief& belief, Observation observation, ObservationSource source, Time now);
    void markSuspected(Belief& belief, Time sentAt, Time now);
    void markRecovered(Belief& belief, Time sentAt);
    double currentProbability(const Belief& belief, Time now) const;
    double recoveryProbability(const Belief& belief, Time at) const;

    std::unordered_map<ServerId, Belief> m_beliefs;
    RecoveryModel m_recovery;
};

/// Estimate of the usual response time of one service.
///
/// Keeps the exponentially weighted mean and variance of the logarithm of the duration.
class LatencyEstimate {
public:
    /// Adds the duration of one response.
    void add(Duration elapsed);

    /// @return duration that about 6 in 1000 responses of a healthy server exceed, or zero with fewer than 10 samples
    Duration upperBound() const;
    /// @return geometric mean, or zero with fewer than 10 samples
    Duration geometricMean() const;
    /// @return whether an error after `elapsed` came before the work can have been done; true with fewer than 10 samples
    bool isEarly(Duration elapsed) const;

private:
    double m_mean = 0;
    double m_variance = 0;
    std::uint32_t m_samples = 0;
};

} // namespace cornelwind
