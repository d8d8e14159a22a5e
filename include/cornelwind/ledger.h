#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/error.h"
#include "cornelwind/key.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace cornelwind {

/// How an at-most-once request ended, as told to every send of its key.
struct KeyResult {
    Outcome outcome = Outcome::Unknown;
    /// None where `answer` is the answer of the backend server.
    ErrorKind error = ErrorKind::None;
    /// Null where the fleet made the answer, or where it is no longer held.
    AnswerPtr answer;
};

/// What the ledger says of a request that arrives with a key.
enum class KeyAction : std::uint8_t {
    /// First send of this key: the request may be sent to a backend server once.
    Run,
    /// Another send of the key is under way: wait for its result.
    Join,
    /// The key has a result: repeat it.
    Repeat,
    /// The key is refused; `KeyVerdict::error` says why.
    Refuse,
};

struct KeyVerdict {
    KeyAction action = KeyAction::Refuse;
    ErrorKind error = ErrorKind::None;
    KeyResult result;
};

/// One used key, as handed to an heir.
struct LedgerEntry {
    KeyId id;
    Fingerprint fingerprint;
    bool done = false;
    KeyResult result;
    std::vector<RequestId> waiters;
};

/// The used keys of one incarnation. A key leaves `Run` exactly once, and every
/// id below the floor is refused for ever.
///
/// Memory: at most `Limits::entries` entries and `Limits::answerBytes` of
/// answers, beside those of requests in progress.
class Ledger {
public:
    struct Limits {
        std::uint32_t entries = 20000;
        std::size_t answerBytes = 16 * 1024 * 1024;
    };

    explicit Ledger(Limits limits);

    /// Registers a send of a key whose tag has been verified.
    ///
    /// @param request waits for the result if the action is Run or Join
    KeyVerdict begin(KeyId id, Fingerprint fingerprint, RequestId request);

    /// Ends the request of a key. The result is final: a later `begin` repeats it.
    ///
    /// @return the requests that wait for the result
    std::vector<RequestId> finish(KeyId id, KeyResult result);

    /// Forgets that `request` waits; the request of the key goes on.
    void leave(KeyId id, RequestId request);

    /// Refuses every unused key below `floor` and drops results below it.
    void raiseFloor(KeyId floor);

    /// @return whether a request of some key is in progress
    bool busy() const { return m_inProgress != 0; }

    KeyId floor() const { return m_floor; }
    std::size_t size() const { return m_entries.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

    /// @return the finished entries, oldest first
    std::vector<LedgerEntry> finished() const;

    /// Takes over a finished entry of another owner.
    void restore(LedgerEntry entry);

private:
    void hold(KeyId id, LedgerEntry& entry);
    void dropAnswer(LedgerEntry& entry);
    void trim();

    Limits m_limits;
    std::map<KeyId, LedgerEntry> m_entries;
    std::deque<KeyId> m_answerOrder;
    KeyId m_floor { 0 };
    std::size_t m_answerBytes = 0;
    std::size_t m_inProgress = 0;
};

} // namespace cornelwind
