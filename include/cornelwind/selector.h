#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace cornelwind {

/// A backend server that may take one more request.
struct Candidate {
    ServerId server;
    /// Requests of this entry instance that it runs now.
    std::uint32_t inFlight = 0;
    /// Slots reserved for this entry instance by `SlotShares`.
    std::uint32_t ownSlots = 0;
    std::uint32_t slots = 1;
};

/// What the expected cost of sending a request to a backend server depends on.
struct PlacementInput {
    /// Probability that the server is sick.
    double risk = 0;
    bool sameZone = true;
    /// Requests that it is known to have, of this entry instance and of others.
    std::uint32_t total = 0;
    /// Those of this entry instance.
    std::uint32_t own = 0;
    std::uint32_t ownSlots = 0;
    std::uint32_t slots = 1;
    /// Time since an instance of the zone last sent it a request; zero for requests that are not to find out about it.
    Duration idle {};
    /// What the request loses on a sick server.
    double riskWeight = 1;
};

/// @param random uniformly distributed bits, to tell equal servers apart
/// @return expected loss in parts of what an answer in time is worth
double expectedCost(const PlacementInput& input, std::uint64_t random);

/// Chooses among the candidates. Cost: linear in their number; no allocation.
class Selector {
public:
    virtual ~Selector() = default;

    /// @param random uniformly distributed bits
    /// @return position of the chosen candidate, or nothing if there are none
    virtual std::optional<std::size_t> select(std::span<const Candidate> candidates, std::uint64_t random) = 0;
};

/// Uniformly random.
std::unique_ptr<Selector> makeRandomSelector();
/// Each candidate in turn.
std::unique_ptr<Selector> makeRoundRobinSelector();
/// Reserved slots first, then the less loaded of two random candidates.
std::unique_ptr<Selector> makeSlotShareSelector();

/// Divides the slots of a service evenly over the live entry instances.
///
/// All slots stand in an order that depends only on the backend servers; the
/// entry instance with rank `r` of `n` prefers every `n`-th slot from `r` on.
/// The slots of one server fall to as many instances as there can be.
/// Instances that agree on `n` prefer disjoint slots. Preferences bind nobody,
/// so a disagreement costs collisions, never capacity.
///
/// @param candidates all backend servers of a service; receives `ownSlots`
/// @param rank position among the live entry instances, sorted by name
/// @param instances number of live entry instances, at least 1
void shareSlots(std::span<Candidate> candidates, std::uint32_t rank, std::uint32_t instances);

} // namespace cornelwind
