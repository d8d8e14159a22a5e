#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace cornelwind {

/// A backend server that can take one more request.
struct Candidate {
    ServerId server;
    /// Requests that this entry instance has in flight there.
    std::uint32_t inFlight = 0;
    /// Slots reserved for this entry instance; set by `shareSlots`.
    std::uint32_t ownSlots = 0;
    /// Requests that the server runs concurrently.
    std::uint32_t slots = 1;
};

/// What the expected cost of sending a request to a backend server depends on.
struct PlacementInput {
    /// Probability that the server is unhealthy.
    double risk = 0;
    /// Whether the server is in the availability zone of this entry instance.
    bool sameZone = true;
    /// Requests known to be in flight there, from all entry instances of the availability zone.
    std::uint32_t totalInFlight = 0;
    /// Requests that this entry instance has in flight there.
    std::uint32_t ownInFlight = 0;
    /// Slots reserved for this entry instance.
    std::uint32_t ownSlots = 0;
    std::uint32_t slots = 1;
    /// Time since an entry instance of the zone last sent it a request; zero if this request must not be
    /// used to find out whether an idle server is healthy.
    Duration idleTime {};
    /// Cost of sending the request to an unhealthy server; 1 is the value of a response in time.
    double riskWeight = 1;
};

/// Estimates the cost of sending a request to a backend server.
///
/// @param random uniformly distributed bits that break ties between equal servers
/// @return expected loss; 1 is the value of a response in time
double expectedCost(const PlacementInput& input, std::uint64_t random);

/// Chooses one of several candidates in linear time without allocating memory.
class Selector {
public:
    virtual ~Selector() = default;

    /// @param random uniformly distributed bits
    /// @return position of the chosen candidate, or nothing if there are none
    virtual std::optional<std::size_t> select(std::span<const Candidate> candidates, std::uint64_t random) = 0;
};

/// Chooses a candidate uniformly at random.
std::unique_ptr<Selector> makeRandomSelector();
/// Chooses the candidates in turn.
std::unique_ptr<Selector> makeRoundRobinSelector();
/// Chooses the candidate with the most free reserved slots; if no candidate has any, the less loaded of
/// two random candidates.
std::unique_ptr<Selector> makeSlotShareSelector();

/// Divides the slots of a service evenly over the live entry instances.
///
/// All slots are put in an order that depends only on the backend servers. Of `n` entry
/// instances, the one with rank `r` reserves every `n`-th slot starting at `r`. The slots
/// of one server are spread over as many instances as possible.
///
/// Instances that agree on `n` reserve disjoint slots. A reservation is only a preference:
/// instances that disagree may pick the same slot, but no slot is left unused.
///
/// @param candidates all backend servers of a service; receives `ownSlots` of each
/// @param rank position of this instance among the live entry instances, sorted by name
/// @param instances number of live entry instances, at least 1
void shareSlots(std::span<Candidate> candidates, std::uint32_t rank, std::uint32_t instances);

} // namespace cornelwind
