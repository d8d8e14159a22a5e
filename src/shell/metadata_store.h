#pragma once

#include "cornelwind/published_server.h"
#include "http_client.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

/// A decoded change in the metadata store. Its revision belongs to the era that the reply states, which the user of the reply adds.
struct StoreChange {
    StoreRevision revision;
    /// Text of the new sheet, if the sheet changed.
    std::optional<std::string> sheet;
    /// New or removed entry of a backend server, if one changed.
    std::optional<ServerChange> server;
};

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
    Ok,
    /// The store no longer holds the revision from which a watch should start.
    HistoryGone,
    /// The store returned an error or a malformed response.
    Refused,
    /// No response arrived, or the call was cancelled.
    Lost,
};

/// @return the name used in logs
const char* toString(StoreStatus);

/// Result of a call to the store.
struct StoreReply {
    StoreStatus status = StoreStatus::Lost;
    std::vector<StoreChange> changes;
    /// The store's revision at the time of the response.
    StoreRevision revision;
    /// Where the next page begins; empty after the last one.
    std::string nextPage;
    /// Last server that the page covers; empty after the last page.
    std::optional<ServerName> lastServer;
    /// What is wrong with the items that name no server and no sheet, one text each.
    std::vector<std::string> unreadable {};
    /// Era that the response states; empty if it states none, or none that can be read.
    std::optional<StoreEra> era {};
    /// Text that the response states as its era and that is not a number; empty if there is none.
    std::string unreadableEra {};
};

/// Interface to the metadata store, which keeps a history of revisions. Makes single calls and does not retry.
///
/// Each call returns at once, with an id for `cancel`; its handler receives the reply later, exactly once.
class MetadataStore {
public:
    using Handler = std::function<void(StoreReply)>;

    virtual ~MetadataStore() = default;

    /// Reads the sheet.
    virtual CallId readSheet(Handler handler) = 0;
    /// Reads a page of the entries of backend servers.
    ///
    /// @param page `nextPage` of the previous reply; empty for the first page
    virtual CallId readServers(const std::string& page, Handler handler) = 0;
    /// Waits for changes after a revision.
    ///
    /// @param wait longest time that the store waits for a change before it responds without one
    virtual CallId watch(StoreRevision after, Millis wait, Handler handler) = 0;
    /// Cancels a call; its handler receives status `Lost`.
    virtual void cancel(CallId id) = 0;
};

} // namespace cornelwind
