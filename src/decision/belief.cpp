#include "cornelwind/belief.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cornelwind {
namespace {

    // Share of time that a server is unhealthy, until the service has learned its own.
    constexpr double DEFAULT_PREVALENCE = 0.05;
    constexpr double MIN_PREVALENCE = 0.02;
    constexpr double MAX_PREVALENCE = 0.35;
    // Probability for a server without observations.
    constexpr double INITIAL_PROBABILITY = 0.02;
    // Upper limit after the first success of a suspected server.
    constexpr double RECOVERED_PROBABILITY = 0.1;
    constexpr double MIN_PROBABILITY = 0.005;
    constexpr double MAX_PROBABILITY = 0.99;
    // Time constant of the decay to the prevalence: gray failures last a few seconds.
    constexpr double DECAY_TIME_S = 4;
    // A server above this probability is suspected.
    constexpr double SUSPICION_THRESHOLD = 0.2;
    // Time from a failure to the next trial request. All instances have been notified of the failure by then.
    constexpr Duration TRIAL_DELAY = std::chrono::milliseconds(500);
    // After this time a trial without an outcome no longer blocks the next one.
    constexpr Duration TRIAL_TIMEOUT = std::chrono::seconds(2);

    // Likelihood ratios P(observation | unhealthy) / P(observation | healthy), indexed by Observation.
    // 94% of the requests that followed an early error failed, and 1 to 3% of those that followed a late one.
    constexpr std::array<double, OBSERVATIONS> OWN_LIKELIHOOD_RATIOS { 0.3, 800, 35, 35, 12, 6 };
    // The ratios are lower where the path of the peer may be at fault instead of the server.
    constexpr std::array<double, OBSERVATIONS> PEER_LIKELIHOOD_RATIOS { 0.3, 800, 5, 1, 3, 6 };

    // Likelihood ratios of a slow response that directly follows another slow one. Nearly all responses of a slow
    // server are slow, but only 1 to 2 in 100 of a healthy one. An observation of a peer counts a quarter.
    constexpr double OWN_REPEATED_SLOW_RATIO = 60;
    constexpr double PEER_REPEATED_SLOW_RATIO = 15;

    double likelihoodRatio(Observation observation, ObservationSource source, bool previousWasSlow)
    {
        const bool own = source == ObservationSource::Self;
        if (observation == Observation::Slow && previousWasSlow)
            return own ? OWN_REPEATED_SLOW_RATIO : PEER_REPEATED_SLOW_RATIO;
        return (own ? OWN_LIKELIHOOD_RATIOS : PEER_LIKELIHOOD_RATIOS).at(static_cast<std::size_t>(observation));
    }

    // Upper bound of response times, in standard deviations of their logarithm above its mean. 6 in 1000 values of a
    // log-normal distribution exceed it.
    constexpr double BOUND_DEVIATIONS = 2.5;
    constexpr double MIN_DEVIATION = 0.25;
    // An error within a quarter of the typical time came before the work can have been done.
    constexpr int EARLY_DIVISOR = 4;
    // Weight of a new sample once many are known, so that the estimate follows changes.
    constexpr double MIN_SAMPLE_WEIGHT = 0.03;
    constexpr std::uint32_t MIN_SAMPLES = 10;

    double decayToPrevalence(const Belief& belief, Time now)
    {
        const double seconds = std::chrono::duration<double>(now - belief.updatedAt).count();
        return belief.prevalence + (belief.unhealthyProbability - belief.prevalence) * std::exp(-std::max(seconds, 0.0) / DECAY_TIME_S);
    }

    double bayes(double prior, double ratio)
    {
        const double odds = prior / (1 - prior) * ratio;
        return std::clamp(odds / (1 + odds), MIN_PROBABILITY, MAX_PROBABILITY);
    }

    Belief initialBelief(Time now)
    {
        Belief belief;
        belief.unhealthyProbability = INITIAL_PROBABILITY;
        belief.updatedAt = now;
        belief.prevalence = DEFAULT_PREVALENCE;
        return belief;
    }

} // namespace

const char* toString(Observation observation)
{
    static constexpr std::array<const char*, OBSERVATIONS> names { "success", "failure", "broken", "unreachable", "slow", "late-failure" };
    return names.at(static_cast<std::size_t>(observation));
}

bool BeliefTable::observe(ServerId server, Observation observation, Time sentAt, Time now)
{
    return addObservation(server, observation, ObservationSource::Self, sentAt, now);
}

void BeliefTable::observeFromPeer(ServerId server, Observation observation, Time sentAt, Time now)
{
    addObservation(server, observation, ObservationSource::Peer, sentAt, now);
}

bool BeliefTable::addObservation(ServerId server, Observation observation, ObservationSource source, Time sentAt, Time now)
{
    const bool success = observation == Observation::Success;
    if (success && isStale(server, sentAt))
        return false;
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    const bool wasSuspected = belief.suspected;
    update(belief, observation, source, now);
    if (!success) {
        if (belief.unhealthyProbability > SUSPICION_THRESHOLD)
            markSuspected(belief, sentAt, now);
        return true;
    }
    belief.lastSuccessSentAt = std::max(belief.lastSuccessSentAt, sentAt);
    if (wasSuspected)
        markRecovered(belief, sentAt);
    return wasSuspected;
}

void BeliefTable::update(Belief& belief, Observation observation, ObservationSource source, Time now)
{
    belief.unhealthyProbability = bayes(currentProbability(belief, now), likelihoodRatio(observation, source, belief.lastWasSlow));
    belief.lastWasSlow = observation == Observation::Slow;
    belief.updatedAt = now;
}

bool BeliefTable::isStale(ServerId server, Time sentAt) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.suspected && sentAt <= found->second.lastFailureSentAt;
}

void BeliefTable::markSuspected(Belief& belief, Time sentAt, Time now)
{
    if (!belief.suspected)
        belief.firstFailureSentAt = sentAt;
    else if (sentAt > belief.lastFailureSentAt)
        m_recovery.addUnhealthy(belief.lastFailureSentAt - belief.firstFailureSentAt, sentAt - belief.firstFailureSentAt);
    belief.lastFailureSentAt = belief.suspected ? std::max(belief.lastFailureSentAt, sentAt) : sentAt;
    belief.suspected = true;
    belief.heldUntil = now + TRIAL_DELAY;
    belief.trial = false;
}

void BeliefTable::markRecovered(Belief& belief, Time sentAt)
{
    m_recovery.addRecovered(belief.lastFailureSentAt - belief.firstFailureSentAt, sentAt - belief.firstFailureSentAt);
    belief.suspected = false;
    belief.heldUntil = {};
    belief.trial = false;
    belief.unhealthyProbability = std::min(belief.unhealthyProbability, RECOVERED_PROBABILITY);
}

std::vector<Suspicion> BeliefTable::suspicions(std::size_t most) const
{
    std::vector<Suspicion> suspicions;
    for (const auto& [server, belief] : m_beliefs) {
        if (suspicions.size() == most)
            break;
        if (belief.suspected)
            suspicions.push_back({ server, belief.unhealthyProbability, belief.firstFailureSentAt, belief.lastFailureSentAt });
    }
    return suspicions;
}

bool BeliefTable::adopt(const Suspicion& suspicion, Time now)
{
    Belief& belief = m_beliefs.try_emplace(suspicion.server, initialBelief(now)).first->second;
    if (belief.suspected || belief.lastSuccessSentAt >= suspicion.lastFailureSentAt)
        return false;
    belief.unhealthyProbability = std::clamp(suspicion.unhealthyProbability, MIN_PROBABILITY, MAX_PROBABILITY);
    belief.updatedAt = now;
    belief.suspected = true;
    belief.firstFailureSentAt = std::min(suspicion.firstFailureSentAt, suspicion.lastFailureSentAt);
    belief.lastFailureSentAt = suspicion.lastFailureSentAt;
    return true;
}

double BeliefTable::recoveryProbability(const Belief& belief, Time at) const
{
    return m_recovery.recovered(belief.lastFailureSentAt - belief.firstFailureSentAt, at - belief.firstFailureSentAt);
}

// The probability of a suspected server falls as the recovery model predicts, that of any other decays to the prevalence.
double BeliefTable::currentProbability(const Belief& belief, Time now) const
{
    if (!belief.suspected)
        return decayToPrevalence(belief, now);
    const double healthy = (1 - belief.prevalence) * recoveryProbability(belief, now);
    return std::max(belief.unhealthyProbability * (1 - healthy), MIN_PROBABILITY);
}

void BeliefTable::setPrevalence(ServerId server, double share, Time now)
{
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    if (!belief.suspected) {
        belief.unhealthyProbability = decayToPrevalence(belief, now);
        belief.updatedAt = now;
    }
    belief.prevalence = std::clamp(share, MIN_PREVALENCE, MAX_PREVALENCE);
}

const Belief* BeliefTable::find(ServerId server) const
{
    const auto found = m_beliefs.find(server);
    return found == m_beliefs.end() ? nullptr : &found->second;
}

double BeliefTable::unhealthyProbability(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found == m_beliefs.end() ? INITIAL_PROBABILITY : currentProbability(found->second, now);
}

bool BeliefTable::dueForTrial(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.suspected && now >= found->second.heldUntil;
}

bool BeliefTable::isOnHold(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && now < found->second.heldUntil;
}

bool BeliefTable::suspected(ServerId server) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.suspected;
}

void BeliefTable::beginTrial(ServerId server, Time now)
{
    const auto found = m_beliefs.find(server);
    if (found == m_beliefs.end())
        return;
    found->second.trial = true;
    found->second.heldUntil = now + TRIAL_TIMEOUT;
}

void LatencyEstimate::add(Duration elapsed)
{
    const double value = std::log(std::max<double>(static_cast<double>(elapsed.count()), 1));
    const double weight = std::max(MIN_SAMPLE_WEIGHT, 1.0 / (++m_samples));
    const double difference = value - m_mean;
    m_mean += weight * difference;
    m_variance = (1 - weight) * (m_variance + weight * difference * difference);
}

Duration LatencyEstimate::upperBound() const
{
    if (m_samples < MIN_SAMPLES)
        return {};
    const double deviation = std::max(std::sqrt(m_variance), MIN_DEVIATION);
    return Duration { static_cast<std::int64_t>(std::exp(m_mean + BOUND_DEVIATIONS * deviation)) };
}

bool LatencyEstimate::isEarly(Duration elapsed) const
{
    return m_samples < MIN_SAMPLES || elapsed < geometricMean() / EARLY_DIVISOR;
}

Duration LatencyEstimate::geometricMean() const
{
    return m_samples < MIN_SAMPLES ? Duration {} : Duration { static_cast<std::int64_t>(std::exp(m_mean)) };
}

} // namespace cornelwind
