#pragma once

#include "cornelwind/published_server.h"

namespace cornelwind {

namespace peer {
    class ServerEntry;
}

/// Reads the entry of a backend server from the message of a member, and checks it as if the platform had published it.
///
/// @param fallback revision of an entry whose sender states none
ServerChange readEntry(const peer::ServerEntry& row, StoreRevision fallback);

/// Writes the entry of a backend server into a message.
///
/// @param revision revision of the platform's store that wrote the entry
void writeEntry(const PublishedServer& server, StoreRevision revision, peer::ServerEntry& row);

} // namespace cornelwind
