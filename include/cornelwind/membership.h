#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>

namespace cornelwind {

/// State of an entry instance as seen by another one.
///
/// If two updates have the same refutation number, the state that is later in this order prevails.
enum class MemberState : std::uint8_t {
    /// Listed by the platform; no message received from it yet.
    Listed,
    /// Answers pings.
    Alive,
    /// Did not answer a ping. It still counts as alive until `SUSPICION_TIME` ends.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Shutting down: it still answers messages but takes no new requests.
    Leaving,
};

/// @return the lower-case name of the state, as logs and the admin interface show it
const char* toString(MemberState);

/// Time between two rounds of pings.
inline constexpr Millis PROBE_INTERVAL { 300 };
/// Time without an answer after which other members are asked to ping the member.
inline constexpr Millis PROBE_TIMEOUT { 150 };
/// Time within which a member can refute that it is suspect before it is declared dead.
inline constexpr Millis SUSPICION_TIME { 1500 };
/// Maximum number of members pinged in one round.
inline constexpr std::size_t PROBES_PER_ROUND = 3;
/// Maximum number of members asked to ping a member that did not answer.
inline constexpr std::size_t INDIRECT_PROBES = 2;
/// Number of entry instances of each availability zone that watch the platform.
inline constexpr std::size_t WATCHERS_PER_ZONE = 2;

} // namespace cornelwind
