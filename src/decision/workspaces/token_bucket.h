#pragma once

#include "cornelwind/types.h"

#include <cstdint>

namespace cornelwind {

/// Counts the tokens of a rate limit: each is the right to run one request.
///
/// The level falls below 0 when tokens are granted before they come. A bucket with a capacity below 1 holds one token for
/// `SINGLE_TOKEN_LIFETIME` and then loses it, so that many such buckets, whose levels start at random, never give out all their
/// tokens at once.
class TokenBucket {
public:
    /// Time for which a bucket with a capacity below 1 keeps its token.
    static constexpr Duration SINGLE_TOKEN_LIFETIME = std::chrono::seconds(1);

    struct Limits {
        /// Tokens that come each second.
        double perSecond = 0;
        /// Tokens up to which the bucket fills.
        double capacity = 0;
    };

    TokenBucket(double level, Time now)
        : m_level(level)
        , m_filledAt(now)
    {
    }

    /// Adds the tokens since the last call, and drops those beyond the capacity.
    void refill(const Limits& limits, Time now);
    /// Takes tokens.
    ///
    /// @param wanted largest number to take
    /// @param floor level below which the bucket is not emptied; may be below 0
    /// @return number of tokens taken
    std::uint32_t take(std::uint32_t wanted, double floor);
    void giveBack(std::uint32_t tokens) { m_level += tokens; }
    /// @return time until the level is `level`, at the earliest now
    Duration timeUntil(double level, double perSecond) const;

    double level() const { return m_level; }
    void setLevel(double level) { m_level = level; }

private:
    double m_level;
    Time m_filledAt;
};

/// @return a level from 0 to 1 for a bucket with a capacity below 1
double randomLevel(std::uint64_t random);

} // namespace cornelwind
