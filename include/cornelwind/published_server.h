#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <optional>

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

/// The addition, update or removal of one published backend server.
struct ServerChange {
    ServerName name;
    /// The new entry; empty if the entry was removed or could not be parsed.
    std::optional<PublishedServer> server;
    /// Revision of the platform's store at which the change happened.
    StoreRevision revision;
};

} // namespace cornelwind
