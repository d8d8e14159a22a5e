#include "plan.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cornelwind::soak {
namespace {

    // Shorter than a fault lasts, so that those of a series overlap.
    constexpr int LONGEST_GAP_MS = 250;
    // Longer than detection and a restart take, so that some series meet a settled fleet.
    constexpr int LONGEST_CALM_MS = 1500;
    constexpr int LONGEST_SERIES = 5;
    constexpr int SHORTEST_FAULT_MS = 50;
    // Beyond the time limit of a request.
    constexpr int LONGEST_FAULT_MS = 2500;
    constexpr int MOST_TARGETS = 1 << 16;

} // namespace

std::vector<Fault> makePlan(std::uint64_t seed, Millis length)
{
    // Distributions of the standard library differ between implementations; these do not.
    boost::random::mt19937_64 random(seed);
    const auto draw = [&random](int from, int to) { return boost::random::uniform_int_distribution<int>(from, to)(random); };
    std::vector<Fault> plan;
    Millis at { draw(0, LONGEST_GAP_MS) };
    while (at < length) {
        const int series = draw(1, LONGEST_SERIES);
        for (int i = 0; i < series; ++i) {
            Fault fault {};
            fault.kind = static_cast<FaultKind>(draw(0, static_cast<int>(FAULT_KINDS) - 1));
            fault.target = static_cast<std::size_t>(draw(0, MOST_TARGETS));
            fault.form = static_cast<std::size_t>(draw(0, MOST_TARGETS));
            fault.at = at;
            fault.length = Millis { draw(SHORTEST_FAULT_MS, LONGEST_FAULT_MS) };
            plan.push_back(fault);
            at += Millis { draw(0, LONGEST_GAP_MS) };
        }
        at += Millis { draw(0, LONGEST_CALM_MS) };
    }
    return plan;
}

} // namespace cornelwind::soak
