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
    Slots slots { 1 };
    /// Shutting down: takes no new work.
    bool leaving = false;
    /// Time that it stays slow after its start.
    Millis warmup { 0 };
    /// Start of its process; the same name may start anew.
    std::uint64_t incarnation = 0;

    friend bool operator==(const PublishedServer&, const PublishedServer&) = default;
};

/// A new entry of a backend server, or its removal.
struct ServerChange {
    ServerName name;
    /// Nothing if the entry was removed or cannot be used.
    std::optional<PublishedServer> server;
    /// Position of the change in the platform's history.
    StoreRevision revision;
};

} // namespace cornelwind
