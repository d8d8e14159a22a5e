#pragma once

#include "context.h"
#include "cornelwind/idempotency_store.h"
#include "cornelwind/key.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

namespace peer {
    class Handover;
    class HandoverAck;
}

/// The keys of one incarnation together with their results.
struct KeySpace {
    KeyIssuer issuer;
    IdempotencyStore idempotencyStore;
};

/// The entry instance that owns a key, as far as this one knows.
struct KeyOwner {
    /// Set if this entry instance owns the key.
    KeySpace* keySpace = nullptr;
    /// Otherwise the entry instance to forward to.
    InstanceName instance;
    /// Incarnation of `instance` that issued the key; 0 if `instance` is the successor of the owner.
    Incarnation incarnation;
};

/// Result of receiving one part of a handover.
enum class HandoverResult : std::uint8_t {
    /// Malformed, or too many handovers at once: the part is dropped and must not be acknowledged.
    Refused,
    /// Stored; other parts are missing.
    Partial,
    /// All parts have arrived: this entry instance owns the keys.
    Complete,
};

/// The keys that this entry instance owns: those it issued and those received in a handover.
///
/// The owner of a key decides whether a request with the key runs. In a graceful shutdown the owner
/// hands all keys over to one successor, which owns them from then on.
///
/// Memory: one `IdempotencyStore` for each incarnation; a received one is deleted once all of its keys
/// have expired.
class KeyRegistry {
public:
    struct Limits {
        /// Limits of each incarnation.
        IdempotencyStore::Limits idempotencyStore;
        /// Age at which a key expires: an unused key is refused, a finished record is dropped.
        Duration lifetime {};
    };

    KeyRegistry(KeyIssuer issuer, Limits limits);

    /// @return a new key of this incarnation; empty after the handover
    std::string issueKey(Time now);

    /// @return the owner of the key
    KeyOwner ownerOf(const ParsedKey& key);

    /// @return the keys of an incarnation; null if they are not owned here or were handed over
    KeySpace* find(Incarnation incarnation);

    /// Drops what has expired: keys older than the lifetime, received incarnations without valid keys,
    /// incomplete handovers and records of successors.
    void expire(Time now);

    /// Gives up the ownership of all keys and prepares the parts for `sendHandover`.
    ///
    /// Irrevocable: from now on this entry instance runs no request with a key.
    /// Precondition: no request with a key is in progress.
    ///
    /// @param successor the entry instance that takes over the keys
    void handOver(const InstanceName& successor, Time now);

    /// Calls `send` for each part that is not yet acknowledged.
    ///
    /// @param send takes a `const peer::Handover&`
    template <typename Send>
    void sendHandover(Send send) const
    {
        for (const auto& part : m_unacknowledgedParts)
            send(*part.second);
    }

    /// @return the incarnations whose keys the successor owns after the handover
    std::vector<Incarnation> handedOverIncarnations() const;
    bool handedOver() const { return m_handedOver; }
    const InstanceName& successor() const { return m_successor; }
    /// @return whether the successor has acknowledged every part
    bool handoverAcknowledged() const { return m_handedOver && m_unacknowledgedParts.empty(); }
    /// Records that the successor has received a part.
    void onAck(const peer::HandoverAck& ack);

    /// Receives one part of the keys of a stopping entry instance. Receiving a part again has no effect.
    ///
    /// @return Complete once all parts have arrived and this entry instance owns the keys
    HandoverResult acceptPart(const peer::Handover& part, Time now);

    /// Records which entry instance owns the keys of an incarnation that was handed over.
    void recordSuccessor(Incarnation incarnation, const InstanceName& successor, Time now);

    /// @return whether any key was issued here or received in a handover, complete or not
    bool used() const { return m_hasIssued || m_keySpaces.size() > 1 || !m_incoming.empty(); }
    /// @return whether a request with any key is in progress
    bool busy() const;
    /// @return number of used keys
    std::size_t size() const;
    /// @return number of incarnations
    std::size_t keySpaceCount() const { return m_keySpaces.size(); }

private:
    struct IncomingHandover {
        std::unique_ptr<KeySpace> keySpace;
        std::set<std::uint32_t> parts;
        Time startedAt;
    };
    struct Successor {
        InstanceName name;
        Time expires;
    };
    using PartId = std::pair<Incarnation, std::uint32_t>;

    void splitIntoParts(const KeySpace& keySpace, Time now);

    Incarnation m_ownIncarnation;
    Limits m_limits;
    std::map<Incarnation, std::unique_ptr<KeySpace>> m_keySpaces;
    std::map<Incarnation, Time> m_inheritedAt;
    std::map<Incarnation, IncomingHandover> m_incoming;
    std::map<Incarnation, Successor> m_successors;
    std::map<PartId, std::shared_ptr<peer::Handover>> m_unacknowledgedParts;
    InstanceName m_successor;
    bool m_handedOver = false;
    bool m_hasIssued = false;
};

} // namespace cornelwind
