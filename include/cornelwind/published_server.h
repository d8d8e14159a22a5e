#pragma once

#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelwind {

/// A backend server as it registered itself with the platform.
struct PublishedServer {
    ServerName name;
    ServiceName service;
    Endpoint address;
    ZoneName zone;
    /// Number of requests that it can run at the same time.
    Slots slots { 1 };
    /// Whether it is shutting down and takes no new requests.
    bool leaving = false;
    /// Time after its registration during which it responds slowly because it has just started.
    Millis warmup { 0 };
    /// Identifies one start of the server process. A new value under the same name means a restart.
    std::uint64_t incarnation = 0;

    friend bool operator==(const PublishedServer&, const PublishedServer&) = default;
};

/// Longest accepted name of a backend server; the platform's keys have at most 200 bytes.
inline constexpr std::size_t MAX_SERVER_NAME_BYTES = 200;
/// Highest accepted number of slots: each running request needs a TCP connection, and thus a port of its own.
inline constexpr Slots MAX_SLOTS { 65535 };
/// Longest accepted warm-up.
inline constexpr Millis MAX_WARMUP { std::chrono::hours(1) };

/// Checks the values of an entry against their bounds, and its name against the characters that names of servers have.
///
/// @return what is wrong with it; empty if nothing is
std::string findProblem(const PublishedServer& server);

/// The addition, update or removal of one published backend server.
struct ServerChange {
    ServerName name;
    /// The new entry; empty if the entry was removed or could not be parsed.
    std::optional<PublishedServer> server;
    /// Position in the history of the platform's store at which the change happened.
    StorePosition position;
    /// Why the entry could not be parsed; empty otherwise.
    std::string problem {};
};

/// One page of a complete list of entries, which the store sorts by name.
struct ListedPage {
    /// Last name that the page covers; empty for the last page, which covers all names after the page before.
    std::optional<ServerName> last;
    /// Position in the history of the platform's store when the page was read.
    StorePosition asOf;
};

} // namespace cornelwind
