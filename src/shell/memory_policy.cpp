#include "memory_policy.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace cornelwind {
namespace {

    struct Direction {
        const char* name;
        /// Whether the transfer holds the body of a request.
        bool isRequest;
        /// Whether the transfer is ended for being slow.
        bool endsIfSlow;
        /// Whether the transfer takes more memory as it goes on.
        bool grows;
    };

    constexpr std::array<Direction, TRANSFERS> directions { {
        { "to-caller", false, true, false },
        { "from-caller", true, true, true },
        { "to-server", true, true, false },
        { "from-server", false, false, true },
    } };

    const Direction& directionOf(Transfer transfer)
    {
        return directions.at(static_cast<std::size_t>(transfer));
    }

    /// The order in which transfers are ended; the highest rank comes first.
    struct Rank {
        bool slow;
        /// Higher for directions that come first in `Transfer`; 0 unless slow.
        std::size_t direction;
        /// Bytes; times the seconds since `MemoryStake::slowSince` if slow.
        double weight;

        friend bool operator<(const Rank& a, const Rank& b)
        {
            return std::tie(a.slow, a.direction, a.weight) < std::tie(b.slow, b.direction, b.weight);
        }
    };

    std::optional<Rank> rankOf(const MemoryStake& stake, Shortage shortage, Time resumedAt, Time now)
    {
        const Direction& direction = directionOf(stake.transfer);
        if (stake.bytes <= SMALL_BODY_BYTES || (shortage == Shortage::Requests && !direction.isRequest))
            return std::nullopt;
        const Duration slow = now - std::max(stake.slowSince, resumedAt);
        const bool isSlow = slow >= SLOW_TRANSFER_TIME || now - std::max(stake.stalledSince, resumedAt) >= STALLED_TRANSFER_TIME;
        const auto bytes = static_cast<double>(stake.bytes);
        if (direction.endsIfSlow && isSlow)
            return Rank { true, TRANSFERS - static_cast<std::size_t>(stake.transfer), bytes * std::chrono::duration<double>(slow).count() };
        return direction.grows ? std::optional(Rank { false, 0, bytes }) : std::nullopt;
    }

    std::size_t lastRequestBegun(std::span<const MemoryStake> stakes, std::size_t chosen)
    {
        for (std::size_t i = 0; i < stakes.size(); ++i) {
            const MemoryStake& stake = stakes[i];
            if (stake.transfer == Transfer::FromCaller && stake.bytes > SMALL_BODY_BYTES && stake.startedAt > stakes[chosen].startedAt)
                chosen = i;
        }
        return chosen;
    }

} // namespace

const char* toString(Transfer transfer)
{
    return directionOf(transfer).name;
}

std::optional<std::size_t> chooseTransferToEnd(std::span<const MemoryStake> stakes, Shortage shortage, Time resumedAt, Time now)
{
    std::optional<std::size_t> chosen;
    std::optional<Rank> highest;
    for (std::size_t i = 0; i < stakes.size(); ++i) {
        const auto rank = rankOf(stakes[i], shortage, resumedAt, now);
        if (!rank || (highest && !(*highest < *rank)))
            continue;
        highest = rank;
        chosen = i;
    }
    if (chosen && !highest->slow && stakes[*chosen].transfer == Transfer::FromCaller)
        return lastRequestBegun(stakes, *chosen);
    return chosen;
}

} // namespace cornelwind
