#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <utility>

namespace cornelwind {

/// Time, random bits and list of effects with which one event is handled.
class Context {
public:
    /// @param random uniformly distributed bits of the event
    /// @param effects receives the emitted effects; must outlive the context
    Context(Time now, std::uint64_t random, EffectList& effects)
        : m_now(now)
        , m_random(random)
        , m_effects(effects)
    {
    }

    /// @return the time of the event
    Time now() const { return m_now; }

    /// @return uniformly distributed bits derived from those of the event (SplitMix64, Steele et al. 2014)
    std::uint64_t random()
    {
        m_random += 0x9e3779b97f4a7c15;
        std::uint64_t bits = m_random;
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
        return bits ^ (bits >> 31);
    }

    /// Appends an effect.
    template <typename Body>
    void emit(Body effect)
    {
        m_effects.emplace_back(std::move(effect));
    }

    /// Emits a decision; see `Decision` for the parameters.
    void report(DecisionKind kind, std::string subject, std::string evidence, std::string bound = {}, Duration lasts = {})
    {
        emit(ReportDecision { Decision { m_now, kind, std::move(subject), std::move(evidence), std::move(bound), lasts } });
    }

private:
    Time m_now;
    std::uint64_t m_random;
    EffectList& m_effects;
};

} // namespace cornelwind
