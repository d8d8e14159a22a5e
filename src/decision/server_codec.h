#pragma once

#include "cornelwind/published_server.h"

namespace cornelwind {

namespace peer {
    class ServerEntry;
}

/// Reads the entry of a backend server from the message of a member, and checks it as if the platform had published it.
///
/// @param message position of the message; the entry has its revision if its sender states none
ServerChange readEntry(const peer::ServerEntry& row, StorePosition message);

/// Writes the entry of a backend server into a message.
///
/// @param position position in the history of the platform's store that wrote the entry
/// @param era era of the message, not later than that of the entry
void writeEntry(const PublishedServer& server, StorePosition position, StoreEra era, peer::ServerEntry& row);

} // namespace cornelwind
