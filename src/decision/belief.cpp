#include "cornelwind/belief.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cornelwind {
namespace {

    // Share of time that a server is sick, as far as nothing is known of it.
    constexpr double PREVALENCE = 0.05;
    constexpr double MIN_PREVALENCE = 0.02;
    constexpr double MAX_PREVALENCE = 0.35;
    // A server of which nothing was heard yet.
    constexpr double INITIAL = 0.02;
    // After the first success of a suspected server.
    constexpr double RECOVERED = 0.1;
    constexpr double MIN_SICK = 0.005;
    constexpr double MAX_SICK = 0.99;
    // Mean length of a gray failure, in seconds: a few of them.
    constexpr double RELAXATION_S = 4;
    // Above it a server is suspected.
    constexpr double SUSPICION = 0.2;
    // Between a failure and the next request that tries the server, so that all instances have heard of it.
    constexpr Duration HOLD = std::chrono::milliseconds(500);
    // A trial whose outcome never came is over after this time.
    constexpr Duration TRIAL_TIME = std::chrono::seconds(2);

    // P(observation | sick) / P(observation | well), by Observation: after an error that comes early
    // 94% of the next requests failed, after a late one 1 to 3%.
    constexpr std::array<double, OBSERVATIONS> OWN_RATIOS { 0.3, 800, 35, 35, 12, 6 };
    // A peer's path may be at fault instead of the server.
    constexpr std::array<double, OBSERVATIONS> HEARD_RATIOS { 0.3, 800, 5, 1, 3, 6 };

    // The same for a second slow answer in a row. The first one told that the server may be of the slow kind,
    // where nearly all answers are slow; of a well one 1 to 2 in 100 are. A peer's word counts a quarter of it.
    constexpr double OWN_SLOW_AGAIN = 60;
    constexpr double HEARD_SLOW_AGAIN = 15;

    double ratioOf(Observation observation, Witness witness, bool slowBefore)
    {
        const bool own = witness == Witness::Self;
        if (observation == Observation::Slow && slowBefore)
            return own ? OWN_SLOW_AGAIN : HEARD_SLOW_AGAIN;
        return (own ? OWN_RATIOS : HEARD_RATIOS).at(static_cast<std::size_t>(observation));
    }

    // An answer time beyond mean + 2.5 deviations: 6 in 1000 of a log-normal distribution.
    constexpr double BOUND_DEVIATIONS = 2.5;
    constexpr double MIN_DEVIATION = 0.25;
    // A quarter of the typical time: hardly any of the work.
    constexpr int EARLY_PART = 4;
    constexpr double WEIGHT = 0.03;
    constexpr std::uint32_t MIN_SAMPLES = 10;

    double relaxed(const Belief& belief, Time now)
    {
        const double seconds = std::chrono::duration<double>(now - belief.at).count();
        return belief.prevalence + (belief.sick - belief.prevalence) * std::exp(-std::max(seconds, 0.0) / RELAXATION_S);
    }

    double bayes(double prior, double ratio)
    {
        const double odds = prior / (1 - prior) * ratio;
        return std::clamp(odds / (1 + odds), MIN_SICK, MAX_SICK);
    }

    Belief initialBelief(Time now)
    {
        Belief belief;
        belief.sick = INITIAL;
        belief.at = now;
        belief.prevalence = PREVALENCE;
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
    return take(server, observation, Witness::Self, sentAt, now);
}

void BeliefTable::hear(ServerId server, Observation observation, Time sentAt, Time now)
{
    take(server, observation, Witness::Peer, sentAt, now);
}

bool BeliefTable::take(ServerId server, Observation observation, Witness witness, Time sentAt, Time now)
{
    const bool success = observation == Observation::Success;
    if (success && outdated(server, sentAt))
        return false;
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    const bool wasSuspected = belief.suspected;
    update(belief, observation, witness, now);
    if (!success) {
        if (belief.sick > SUSPICION)
            accuse(belief, sentAt, now);
        return true;
    }
    belief.answeredAt = std::max(belief.answeredAt, sentAt);
    if (wasSuspected)
        clear(belief, sentAt);
    return wasSuspected;
}

void BeliefTable::update(Belief& belief, Observation observation, Witness witness, Time now)
{
    belief.sick = bayes(sickNow(belief, now), ratioOf(observation, witness, belief.slow));
    belief.slow = observation == Observation::Slow;
    belief.at = now;
}

bool BeliefTable::outdated(ServerId server, Time sentAt) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.suspected && sentAt <= found->second.failedAt;
}

void BeliefTable::accuse(Belief& belief, Time sentAt, Time now)
{
    if (!belief.suspected)
        belief.failedFrom = sentAt;
    else if (sentAt > belief.failedAt)
        m_recovery.addSick(belief.failedAt - belief.failedFrom, sentAt - belief.failedFrom);
    belief.failedAt = belief.suspected ? std::max(belief.failedAt, sentAt) : sentAt;
    belief.suspected = true;
    belief.heldUntil = now + HOLD;
    belief.trial = false;
}

void BeliefTable::clear(Belief& belief, Time sentAt)
{
    m_recovery.addRecovered(belief.failedAt - belief.failedFrom, sentAt - belief.failedFrom);
    belief.suspected = false;
    belief.heldUntil = {};
    belief.trial = false;
    belief.sick = std::min(belief.sick, RECOVERED);
}

std::vector<Suspicion> BeliefTable::suspicions(std::size_t most) const
{
    std::vector<Suspicion> suspicions;
    for (const auto& [server, belief] : m_beliefs) {
        if (suspicions.size() == most)
            break;
        if (belief.suspected)
            suspicions.push_back({ server, belief.sick, belief.failedFrom, belief.failedAt });
    }
    return suspicions;
}

bool BeliefTable::adopt(const Suspicion& suspicion, Time now)
{
    Belief& belief = m_beliefs.try_emplace(suspicion.server, initialBelief(now)).first->second;
    if (belief.suspected || belief.answeredAt >= suspicion.failedAt)
        return false;
    belief.sick = std::clamp(suspicion.sick, MIN_SICK, MAX_SICK);
    belief.at = now;
    belief.suspected = true;
    belief.failedFrom = std::min(suspicion.failedFrom, suspicion.failedAt);
    belief.failedAt = suspicion.failedAt;
    return true;
}

double BeliefTable::recoveredBy(const Belief& belief, Time at) const
{
    return m_recovery.recovered(belief.failedAt - belief.failedFrom, at - belief.failedFrom);
}

// A suspected server recovers as others did before it.
double BeliefTable::sickNow(const Belief& belief, Time now) const
{
    if (!belief.suspected)
        return relaxed(belief, now);
    const double healthy = (1 - belief.prevalence) * recoveredBy(belief, now);
    return std::max(belief.sick * (1 - healthy), MIN_SICK);
}

void BeliefTable::setPrevalence(ServerId server, double share, Time now)
{
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    if (!belief.suspected) {
        belief.sick = relaxed(belief, now);
        belief.at = now;
    }
    belief.prevalence = std::clamp(share, MIN_PREVALENCE, MAX_PREVALENCE);
}

double BeliefTable::sick(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found == m_beliefs.end() ? INITIAL : sickNow(found->second, now);
}

bool BeliefTable::dueForTrial(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.suspected && now >= found->second.heldUntil;
}

bool BeliefTable::held(ServerId server, Time now) const
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
    found->second.heldUntil = now + TRIAL_TIME;
}

void UsualTime::add(Duration elapsed)
{
    const double value = std::log(std::max<double>(static_cast<double>(elapsed.count()), 1));
    const double weight = std::max(WEIGHT, 1.0 / (++m_samples));
    const double difference = value - m_mean;
    m_mean += weight * difference;
    m_variance = (1 - weight) * (m_variance + weight * difference * difference);
}

Duration UsualTime::bound() const
{
    if (m_samples < MIN_SAMPLES)
        return {};
    const double deviation = std::max(std::sqrt(m_variance), MIN_DEVIATION);
    return Duration { static_cast<std::int64_t>(std::exp(m_mean + BOUND_DEVIATIONS * deviation)) };
}

bool UsualTime::isEarly(Duration elapsed) const
{
    return m_samples < MIN_SAMPLES || elapsed < typical() / EARLY_PART;
}

Duration UsualTime::typical() const
{
    return m_samples < MIN_SAMPLES ? Duration {} : Duration { static_cast<std::int64_t>(std::exp(m_mean)) };
}

} // namespace cornelwind
