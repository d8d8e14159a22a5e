#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// What an entry instance knows of another one.
enum class MemberState : std::uint8_t {
    /// Listed by the platform, not heard of yet.
    Listed,
    Alive,
    /// Did not answer; counts as alive until the suspicion ends.
    Suspect,
    Dead,
    /// Stopping: still answers, takes nothing new.
    Leaving,
};

/// @return the name shown to operators
const char* toString(MemberState);

/// Time between two rounds of pings.
inline constexpr Millis PROBE_INTERVAL { 300 };
/// Time after which a member that did not answer is asked through others.
inline constexpr Millis PROBE_TIMEOUT { 150 };
/// Time that a suspected member has to refute.
inline constexpr Millis SUSPICION_TIME { 1500 };
/// Members pinged in one round.
inline constexpr std::size_t PROBES_PER_ROUND = 3;
/// Members asked to ping on behalf of another.
inline constexpr std::size_t INDIRECT_PROBES = 2;
/// Entry instances of one zone that watch the platform.
inline constexpr std::size_t WATCHERS_PER_ZONE = 2;

} // namespace cornelwind
