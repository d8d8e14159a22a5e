#include "cornelwind/selector.h"

#include <algorithm>
#include <numeric>

namespace cornelwind {
namespace {

    // Two random positions are taken from the two halves of one 64-bit value.
    constexpr unsigned HALF_BITS = 32;

    class RandomSelector final : public Selector {
    public:
        std::optional<std::size_t> select(std::span<const Candidate> candidates, std::uint64_t random) override
        {
            if (candidates.empty())
                return std::nullopt;
            return random % candidates.size();
        }
    };

    class RoundRobinSelector final : public Selector {
    public:
        std::optional<std::size_t> select(std::span<const Candidate> candidates, std::uint64_t) override
        {
            if (candidates.empty())
                return std::nullopt;
            return m_next++ % candidates.size();
        }

    private:
        std::size_t m_next = 0;
    };

    // Compares inFlight / slots without a division.
    bool lessLoaded(const Candidate& a, const Candidate& b)
    {
        return std::uint64_t { a.inFlight } * b.slots < std::uint64_t { b.inFlight } * a.slots;
    }

    class SlotShareSelector final : public Selector {
    public:
        std::optional<std::size_t> select(std::span<const Candidate> candidates, std::uint64_t random) override
        {
            if (candidates.empty())
                return std::nullopt;
            if (auto reserved = selectReserved(candidates, random))
                return reserved;
            const std::size_t first = (random & 0xffffffff) % candidates.size();
            const std::size_t second = (random >> HALF_BITS) % candidates.size();
            return lessLoaded(candidates[second], candidates[first]) ? second : first;
        }

    private:
        static std::optional<std::size_t> selectReserved(std::span<const Candidate> candidates, std::uint64_t random)
        {
            const std::size_t offset = random % candidates.size();
            std::optional<std::size_t> best;
            std::uint32_t bestFree = 0;
            for (std::size_t i = 0; i < candidates.size(); ++i) {
                const std::size_t position = (offset + i) % candidates.size();
                const Candidate& candidate = candidates[position];
                if (candidate.ownSlots <= candidate.inFlight)
                    continue;
                const std::uint32_t free = candidate.ownSlots - candidate.inFlight;
                if (free > bestFree) {
                    best = position;
                    bestFree = free;
                }
            }
            return best;
        }
    };

    // Costs are relative to the value of a response in time, which is 1.
    // Cost of traffic between zones and of its latency.
    constexpr double OTHER_ZONE_COST = 0.03;
    // Another instance may be using the slot, so the request may have to wait at the server.
    constexpr double BORROWED_SLOT_COST = 0.04;
    // Cost of a server whose slots are all in use; otherwise proportional to the share in use.
    constexpr double FULL_SERVER_COST = 0.1;
    // Random cost between 0 and this value that breaks ties.
    constexpr double TIE_BREAK_RANGE = 0.01;
    // A server that is not suspected and has a free reserved slot is preferred after this time without a request.
    constexpr Duration MAX_IDLE_TIME = std::chrono::seconds(1);
    constexpr double EXPLORATION_BONUS = 0.05;

} // namespace

double expectedCost(const PlacementInput& input, std::uint64_t random)
{
    // A server without recent requests may have become unhealthy unnoticed, and a healthy server must
    // not stay unused.
    const bool explores = input.ownInFlight < input.ownSlots && input.idleTime > MAX_IDLE_TIME;
    double cost = explores ? -EXPLORATION_BONUS : input.risk * input.riskWeight;
    if (!input.sameZone)
        cost += OTHER_ZONE_COST;
    if (input.ownInFlight >= input.ownSlots)
        cost += BORROWED_SLOT_COST;
    cost += FULL_SERVER_COST * input.totalInFlight / std::max<std::uint32_t>(input.slots, 1);
    return cost + TIE_BREAK_RANGE * static_cast<double>(random >> HALF_BITS) / 4294967296.0;
}

std::unique_ptr<Selector> makeRandomSelector()
{
    return std::make_unique<RandomSelector>();
}

std::unique_ptr<Selector> makeRoundRobinSelector()
{
    return std::make_unique<RoundRobinSelector>();
}

std::unique_ptr<Selector> makeSlotShareSelector()
{
    return std::make_unique<SlotShareSelector>();
}

void shareSlots(std::span<Candidate> candidates, std::uint32_t rank, std::uint32_t instances)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return candidates[a].server < candidates[b].server; });
    std::uint32_t maxSlots = 0;
    for (Candidate& candidate : candidates) {
        candidate.ownSlots = 0;
        maxSlots = std::max(maxSlots, candidate.slots);
    }
    // Assigns slot by slot rather than server by server, so that the slots of an instance are on
    // different servers. After `period` rounds the slots of each server would go to the same instances
    // again, so the order is then shifted by one server.
    const auto servers = static_cast<std::uint32_t>(std::count_if(candidates.begin(), candidates.end(), [](const Candidate& candidate) { return candidate.slots > 0; }));
    const std::uint32_t period = instances / std::gcd(servers, instances);
    std::uint64_t position = 0;
    for (std::uint32_t slot = 0; slot < maxSlots; ++slot) {
        const std::size_t shift = slot / period;
        for (std::size_t i = 0; i < order.size(); ++i) {
            Candidate& candidate = candidates[order[(i + shift) % order.size()]];
            if (candidate.slots <= slot)
                continue;
            if (position++ % instances == rank)
                ++candidate.ownSlots;
        }
    }
}

} // namespace cornelwind
