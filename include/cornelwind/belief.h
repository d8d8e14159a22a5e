#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

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

/// What this entry instance believes of one backend server.
struct Belief {
    /// Probability that the server is sick, when it was last updated.
    double sick = 0;
    Time at;
    /// Until then it takes work only where the others have no room.
    Time heldUntil;
    Duration hold {};
    /// A request is finding out whether it has recovered.
    bool trial = false;
    /// Share of time that a server of its service is sick: what the belief returns to.
    double prevalence = 0;
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
    /// @return whether peers should know: it accuses a server, or clears one that was suspected
    bool observe(ServerId server, Observation observation, Time now);

    /// Takes in an observation of a peer.
    void hear(ServerId server, Observation observation, Time now);

    /// @return probability that the server is sick now
    double sick(ServerId server, Time now) const;

    /// @return whether the server was suspected, its hold is over, and no request tries it yet
    bool dueForTrial(ServerId server, Time now) const;
    bool held(ServerId server, Time now) const;
    /// @return whether it was accused and has not answered in time since
    bool suspected(ServerId server) const;

    /// Notes that a request tries a suspected server; peers wait for its outcome likewise.
    void beginTrial(ServerId server, Time now);

    /// @param share of the time that servers like this one are sick
    void setPrevalence(ServerId server, double share, Time now);

    /// Forgets a server, because it left or its process is a new one.
    void forget(ServerId server) { m_beliefs.erase(server); }

    std::size_t size() const { return m_beliefs.size(); }

private:
    void update(Belief& belief, double ratio, Time now);
    void accuse(Belief& belief, Time now);
    void clear(Belief& belief) const;

    std::unordered_map<ServerId, Belief> m_beliefs;
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
