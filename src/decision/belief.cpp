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
    constexpr Duration FIRST_HOLD = std::chrono::milliseconds(1500);
    constexpr Duration LONGEST_HOLD = std::chrono::seconds(3);
    // A trial whose outcome never came is over after this time.
    constexpr Duration TRIAL_TIME = std::chrono::seconds(2);

    // P(observation | sick) / P(observation | well), by Observation: after an error that comes early
    // 94% of the next requests failed, after a late one 1 to 3%.
    constexpr std::array<double, OBSERVATIONS> OWN_RATIOS { 0.3, 300, 35, 35, 12, 6 };
    // A peer's path may be at fault instead of the server.
    constexpr std::array<double, OBSERVATIONS> HEARD_RATIOS { 0.3, 300, 5, 1, 3, 6 };

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
        return { INITIAL, now, {}, {}, false, PREVALENCE };
    }

} // namespace

const char* toString(Observation observation)
{
    static constexpr std::array<const char*, OBSERVATIONS> names { "success", "failure", "broken", "unreachable", "slow", "late-failure" };
    return names.at(static_cast<std::size_t>(observation));
}

bool BeliefTable::observe(ServerId server, Observation observation, Time now)
{
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    const bool suspected = belief.hold > Duration {};
    update(belief, OWN_RATIOS.at(static_cast<std::size_t>(observation)), now);
    if (observation == Observation::Success) {
        if (suspected)
            clear(belief);
        return suspected;
    }
    if (belief.sick > SUSPICION)
        accuse(belief, now);
    return true;
}

void BeliefTable::hear(ServerId server, Observation observation, Time now)
{
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    update(belief, HEARD_RATIOS.at(static_cast<std::size_t>(observation)), now);
    if (observation == Observation::Success)
        return clear(belief);
    if (belief.sick > SUSPICION)
        accuse(belief, now);
}

void BeliefTable::update(Belief& belief, double ratio, Time now)
{
    belief.sick = bayes(relaxed(belief, now), ratio);
    belief.at = now;
}

void BeliefTable::accuse(Belief& belief, Time now)
{
    // Further failures of requests that were sent before the hold say nothing new.
    if (now < belief.heldUntil && !belief.trial)
        return;
    belief.hold = belief.hold > Duration {} ? std::min(2 * belief.hold, LONGEST_HOLD) : FIRST_HOLD;
    belief.heldUntil = now + belief.hold;
    belief.trial = false;
}

void BeliefTable::clear(Belief& belief) const
{
    belief.hold = {};
    belief.heldUntil = {};
    belief.trial = false;
    belief.sick = std::min(belief.sick, RECOVERED);
}

void BeliefTable::setPrevalence(ServerId server, double share, Time now)
{
    Belief& belief = m_beliefs.try_emplace(server, initialBelief(now)).first->second;
    belief.sick = relaxed(belief, now);
    belief.at = now;
    belief.prevalence = std::clamp(share, MIN_PREVALENCE, MAX_PREVALENCE);
}

double BeliefTable::sick(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found == m_beliefs.end() ? INITIAL : relaxed(found->second, now);
}

bool BeliefTable::dueForTrial(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.hold > Duration {} && now >= found->second.heldUntil;
}

bool BeliefTable::held(ServerId server, Time now) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && now < found->second.heldUntil;
}

bool BeliefTable::suspected(ServerId server) const
{
    const auto found = m_beliefs.find(server);
    return found != m_beliefs.end() && found->second.hold > Duration {};
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
