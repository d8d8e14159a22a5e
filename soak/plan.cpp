#include "plan.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cornelwind::soak {
namespace {

    // Shorter than most faults last, so that the faults of a burst overlap.
    constexpr int MAX_GAP_MS = 250;
    // Longer than detection and a restart take, so that some bursts begin when the fleet is stable.
    constexpr int MAX_QUIET_MS = 1500;
    constexpr int MAX_BURST_FAULTS = 5;
    constexpr int MIN_FAULT_MS = 50;
    // Longer than the stop time of an entry instance (2 s), shorter than the time limit of a request (3 s).
    constexpr int MAX_FAULT_MS = 2500;
    // Upper bound of `Fault::target` and `Fault::variant`.
    constexpr int MAX_INDEX = 1 << 16;

} // namespace

std::vector<Fault> makePlan(std::uint64_t seed, Millis duration)
{
    // The distributions of the standard library differ between implementations. Those of Boost give the same plan everywhere.
    boost::random::mt19937_64 random(seed);
    const auto draw = [&random](int from, int to) { return boost::random::uniform_int_distribution<int>(from, to)(random); };
    std::vector<Fault> plan;
    Millis at { draw(0, MAX_GAP_MS) };
    while (at < duration) {
        const int burstSize = draw(1, MAX_BURST_FAULTS);
        for (int i = 0; i < burstSize; ++i) {
            Fault fault {};
            fault.kind = static_cast<FaultKind>(draw(0, static_cast<int>(FAULT_KINDS) - 1));
            fault.target = static_cast<std::size_t>(draw(0, MAX_INDEX));
            fault.variant = static_cast<std::size_t>(draw(0, MAX_INDEX));
            fault.at = at;
            fault.duration = Millis { draw(MIN_FAULT_MS, MAX_FAULT_MS) };
            plan.push_back(fault);
            at += Millis { draw(0, MAX_GAP_MS) };
        }
        at += Millis { draw(0, MAX_QUIET_MS) };
    }
    return plan;
}

} // namespace cornelwind::soak
