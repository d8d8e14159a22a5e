#pragma once

#include "cornelwind/published_server.h"
#include "http_client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

/// One change in a store with a history, decoded.
struct PublishedChange {
    StoreRevision revision;
    /// Set where the sheet changed: its text.
    std::optional<std::string> sheet;
    /// Set where the entry of a backend server changed.
    std::optional<ServerChange> server;
};

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
    Ok,
    /// The store no longer holds the history asked for.
    HistoryGone,
    /// The store refused the call, or its answer makes no sense.
    Refused,
    /// No answer.
    Lost,
};

/// @return the name used in logs
const char* toString(StoreStatus);

struct StoreReply {
    StoreStatus status = StoreStatus::Lost;
    std::vector<PublishedChange> changes;
    /// The store's revision when it answered.
    StoreRevision revision;
    /// Where the next page begins; empty after the last one.
    std::string nextPage;
};

/// The calls of a store with a history that the fleet needs. Decides nothing.
class PublishedStore {
public:
    using Handler = std::function<void(StoreReply)>;

    virtual ~PublishedStore() = default;

    virtual CallId readSheet(Handler handler) = 0;
    /// @param page `nextPage` of the reply before, or empty
    virtual CallId readServers(const std::string& page, Handler handler) = 0;
    /// Waits for changes after a revision.
    virtual CallId watch(StoreRevision after, Millis wait, Handler handler) = 0;
    /// Ends a call; its handler learns that it was lost.
    virtual void cancel(CallId id) = 0;
};

} // namespace cornelwind
