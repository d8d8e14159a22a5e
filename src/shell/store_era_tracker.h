#pragma once

#include "metadata_store.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cornelwind {

/// Follows the era that the replies of the metadata store state, and decides which replies count.
///
/// A store that states no era stays in era 0. A later era means that the store was restored, so that all values have to be read
/// again. A header that is missing or not a number is ignored: the reply counts for the known era. A reply with an earlier era may be
/// from an old copy and is not used, unless `MAX_EARLIER` come in a row: then the header is wrong, and ignored. Each kind of problem
/// is logged once in each era. docs/design/store-restore.md compares this with other designs.
class StoreEraTracker {
public:
    /// Number of replies with an earlier era, in a row, from which on the header counts as wrong. With the delays of retries this
    /// takes about 300 ms, a small part of the platform's deadline for changes.
    static constexpr std::uint32_t MAX_EARLIER = 3;

    /// What to do with a reply.
    enum class Verdict : std::uint8_t {
        Use,
        /// Read all values, since those known are of an earlier era. Use the reply if it starts such a read.
        ReadAll,
        /// Repeat the call: the reply is of an earlier era.
        Repeat,
    };

    /// Records the era that a reply states.
    ///
    /// @return what to do with the reply
    Verdict onReply(const StoreReply& reply);
    /// Records an era that is known from a reply or from another entry instance. Earlier ones are ignored.
    void learn(StoreEra era);

    /// @return the era that replies in use belong to
    StoreEra era() const { return m_era; }

private:
    /// Why the era of a reply was ignored.
    enum class Problem : std::uint8_t {
        Missing,
        Unreadable,
        Earlier,
    };
    static constexpr std::size_t PROBLEMS = 3;

    /// @return `Repeat` if the era is earlier than the known one and may be from an old copy, else `Use`
    Verdict onEra(StoreEra era);
    /// Logs a problem for the first time in an era.
    void report(Problem problem, const std::string& detail);

    StoreEra m_era;
    bool m_mustReadAll = false;
    /// Replies with an earlier era in a row, up to `MAX_EARLIER`.
    std::uint32_t m_earlier = 0;
    /// Problems that have been logged in this era, by `Problem`.
    std::bitset<PROBLEMS> m_reported;
};

} // namespace cornelwind
