#pragma once

#include "cornelwind/error.h"
#include "cornelwind/key.h"
#include "cornelwind/response.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace cornelwind {

/// Final result of an at-most-once request. Every request that carries the same key receives it.
struct KeyResult {
    Outcome outcome = Outcome::Unknown;
    /// `ErrorKind::None` if `response` is the response of the backend server.
    ErrorKind error = ErrorKind::None;
    /// Null if the fleet generated the response, or if the response is no longer stored.
    ResponsePtr response;
};

/// What the caller of `IdempotencyStore::begin` must do with the request.
enum class KeyAction : std::uint8_t {
    /// First request with this key: it may be sent to a backend server once.
    Run,
    /// An earlier request with this key is in progress: wait for its result.
    Join,
    /// The key has a result: return it.
    Repeat,
    /// The request is refused for the reason in `KeyDecision::error`.
    Refuse,
};

/// Result of `IdempotencyStore::begin`.
struct KeyDecision {
    KeyAction action = KeyAction::Refuse;
    /// Set if `action` is Refuse.
    ErrorKind error = ErrorKind::None;
    /// Set if `action` is Repeat.
    KeyResult result;
};

/// One used key. Finished records are transferred to the successor in a handover.
struct KeyRecord {
    KeyId id;
    Fingerprint fingerprint;
    /// Whether `result` is final.
    bool done = false;
    KeyResult result;
    /// Requests that wait for the result.
    std::vector<RequestId> waiters;
};

/// The used keys of one incarnation and their results.
///
/// `begin` returns Run at most once per key. An unused key whose id is below the floor is
/// refused for good, and a finished record is dropped only together with a rise of the floor above
/// its id. So a key that was dropped from memory cannot run again.
///
/// Memory: at most `Limits::entries` finished records and `Limits::responseBytes` of
/// responses, plus the records of requests in progress.
class IdempotencyStore {
public:
    struct Limits {
        /// Maximum number of finished records kept. If there are more, the floor rises above the oldest.
        std::uint32_t entries = 20000;
        /// Maximum size of all stored responses, as counted by `storedSize`. The oldest are dropped first; their
        /// records stay.
        std::size_t responseBytes = 16 * 1024 * 1024;
    };

    explicit IdempotencyStore(Limits limits);

    /// Registers a request with a key. The caller has verified the tag of the key.
    ///
    /// @param id position of the key
    /// @param fingerprint hash of the request; a key belongs to one fingerprint only
    /// @param request is added to the waiters of the key if the action is Run or Join
    /// @return what to do with the request. The error of Refuse is KeyExpired if the key is below the floor
    ///         and has no record, and KeyMismatch if its record has a different fingerprint
    KeyDecision begin(KeyId id, Fingerprint fingerprint, RequestId request);

    /// Stores the final result of a key. Does nothing if the key is unknown or already finished.
    ///
    /// @return the requests that wait for the result
    std::vector<RequestId> finish(KeyId id, KeyResult result);

    /// Removes `request` from the waiters of a key. The request in progress continues.
    void removeWaiter(KeyId id, RequestId request);

    /// Refuses every unused key with an id below `floor` from now on and drops the finished
    /// records below it. Requests in progress keep their records. Never lowers the floor.
    void raiseFloor(KeyId floor);

    /// @return whether a request with any key is in progress
    bool busy() const { return m_inProgress != 0; }

    /// @return the smallest id that an unused key may have
    KeyId floor() const { return m_floor; }
    /// @return number of records, finished and in progress
    std::size_t size() const { return m_records.size(); }
    /// @return bytes of all stored responses
    std::size_t responseBytes() const { return m_responseBytes; }

    /// @return the finished records, oldest key first
    std::vector<KeyRecord> finishedRecords() const;

    /// Adds a finished record received from another owner. A record with the same id stays as it is.
    void restore(KeyRecord record);

private:
    void storeResponse(KeyId id, KeyRecord& record);
    void dropResponse(KeyRecord& record);
    void enforceLimits();

    Limits m_limits;
    std::map<KeyId, KeyRecord> m_records;
    /// Keys with a stored response, first stored first. May name keys whose record is gone.
    std::deque<KeyId> m_responsesByAge;
    KeyId m_floor { 0 };
    std::size_t m_responseBytes = 0;
    std::size_t m_inProgress = 0;
};

} // namespace cornelwind
