#pragma once

#include "cornelwind/recovery_model.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// What one send told about a backend server.
enum class Observation : std::uint8_t {
    /// An answer in time.
    Success,
    /// The server answered with an error sooner than it could have done the work.
    Failure,
    /// The connection ended, or the answer was not whole: the server or the path to it.
    Broken,
    /// No connection could be made: more often the path than the server.
    Unreachable,
    /// No answer for far longer than is usual.
    Slow,
    /// An error after the usual time of the work: most often of this request alone.
    LateFailure,
};
constexpr std::size_t OBSERVATIONS = static_cast<std::size_t>(Observation::LateFailure) + 1;

/// @return the name used in logs
const char* toString(Observation);

/// Who saw what a send told.
enum class Witness : std::uint8_t {
    Self,
    /// Another entry instance, whose path may be at fault instead of the server.
    Peer,
};

/// What this entry instance believes of one backend server.
struct Belief {
    /// Probability that the server is sick, when it was last updated.
    double sick = 0;
    Time at;
    /// Accused, and not answered in time since.
    bool suspected = false;
    /// Until then no request tries it.
    Time heldUntil;
    /// When the first send that accused the server was made.
    Time failedFrom;
    /// When the latest send that accused the server was made.
    Time failedAt;
    /// When the latest send that it answered in time was made.
    Time answeredAt;
    /// Its latest observation was a slow answer.
    bool slow = false;
    /// A request is finding out whether it has recovered.
    bool trial = false;
    /// Share of time that a server of its service is sick: what the belief returns to.
    double prevalence = 0;
};

/// What one entry instance tells another of a server that it suspects.
struct Suspicion {
    ServerId server;
    /// Probability that it was sick when the latest send failed.
    double sick = 0;
    /// When the first and the latest send that accused it were made.
    Time failedFrom;
    Time failedAt;
};

/// Probability that each backend server is sick: a hidden Markov model with two states.
///
/// Between observations a belief returns to the share of time that a server is
/// sick; an observation changes it by Bayes' rule. A single error is strong
/// evidence, since errors of well servers are rare, and an order that fails
/// cannot be sent again.
/// Memory: one entry for each server that was observed.
class BeliefTable {
public:
    /// Takes in an observation of this entry instance.
    ///
    /// @param sentAt when the request was sent
    /// @return whether peers should know: it accuses a server, or clears one that was suspected
    bool observe(ServerId server, Observation observation, Time sentAt, Time now);

    /// Takes in an observation of a peer.
    void hear(ServerId server, Observation observation, Time sentAt, Time now);

    /// @return whether a request sent then says nothing of the server as it is now, because a later one failed
    bool outdated(ServerId server, Time sentAt) const;

    /// @return probability that the server is sick now
    double sick(ServerId server, Time now) const;

    /// @return whether the server is suspected, its hold is over, and no request tries it yet
    bool dueForTrial(ServerId server, Time now) const;
    bool held(ServerId server, Time now) const;
    /// @return whether it was accused and has not answered in time since
    bool suspected(ServerId server) const;

    /// @return at most `most` of the servers that are suspected
    std::vector<Suspicion> suspicions(std::size_t most) const;
    /// Takes over a suspicion of a peer unless more is known here.
    ///
    /// @return whether it was taken over
    bool adopt(const Suspicion& suspicion, Time now);

    const RecoveryModel& recovery() const { return m_recovery; }
    /// Takes over how long failures last, as a peer has learnt it, if that is more.
    void adoptRecovery(std::span<const RecoveryModel::Interval> intervals) { m_recovery.adopt(intervals); }

    /// Notes that a request tries a suspected server; peers wait for its outcome likewise.
    void beginTrial(ServerId server, Time now);

    /// @param share of the time that servers like this one are sick
    void setPrevalence(ServerId server, double share, Time now);

    /// Forgets a server, because it left or its process is a new one.
    void forget(ServerId server) { m_beliefs.erase(server); }

    std::size_t size() const { return m_beliefs.size(); }

private:
    bool take(ServerId server, Observation observation, Witness witness, Time sentAt, Time now);
    void update(Belief& belief, Observation observation, Witness witness, Time now);
    void accuse(Belief& belief, Time sentAt, Time now);
    void clear(Belief& belief, Time sentAt);
    double sickNow(const Belief& belief, Time now) const;
    double recoveredBy(const Belief& belief, Time at) const;

    std::unordered_map<ServerId, Belief> m_beliefs;
    RecoveryModel m_recovery;
};

/// Usual duration of an answer of one service, and what is far beyond it.
///
/// Exponentially weighted mean and variance of the logarithm of the duration.
class UsualTime {
public:
    void add(Duration elapsed);

    /// @return duration that hardly any answer of a well server exceeds, or zero while too little is known
    Duration bound() const;
    /// @return geometric mean, or zero while too little is known
    Duration typical() const;
    /// @return whether an error after this time came too soon for the work to have been done; true while too little is known
    bool isEarly(Duration elapsed) const;

private:
    double m_mean = 0;
    double m_variance = 0;
    std::uint32_t m_samples = 0;
};

} // namespace cornelwind
