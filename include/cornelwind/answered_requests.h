#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cornelwind {

/// Remembers when backend servers last answered the requests that come often.
///
/// Each fingerprint has one place, which a later one with the same place takes over. So
/// a request that is answered often is there at most times, at a constant cost.
///
/// Memory: `PLACES` entries of 16 bytes.
class AnsweredRequests {
public:
    static constexpr std::size_t PLACES = 4096;

    void record(Fingerprint fingerprint, Time at) { placeOf(fingerprint) = { fingerprint, at }; }

    /// @return when a request with this fingerprint was last answered, if that is remembered
    std::optional<Time> find(Fingerprint fingerprint) const
    {
        const Place& place = m_places[fingerprint.value() % PLACES];
        return place.fingerprint == fingerprint && place.at > Time {} ? std::optional(place.at) : std::nullopt;
    }

private:
    struct Place {
        Fingerprint fingerprint;
        Time at;
    };

    Place& placeOf(Fingerprint fingerprint) { return m_places[fingerprint.value() % PLACES]; }

    std::vector<Place> m_places = std::vector<Place>(PLACES);
};

} // namespace cornelwind
