#pragma once

#include "context.h"
#include "cornelwind/key.h"
#include "cornelwind/ledger.h"

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
struct KeyHolding {
    KeyMint mint;
    Ledger ledger;
};

/// Whom a key belongs to, as far as this entry instance knows.
struct KeyOwner {
    /// Set if this entry instance decides about the key.
    KeyHolding* holding = nullptr;
    /// Else the entry instance to ask.
    InstanceName instance;
    Incarnation incarnation;
};

/// What became of a part of a handover.
enum class InheritResult : std::uint8_t {
    /// Malformed, or too many handovers at once: not held, not to be acknowledged.
    Refused,
    Partial,
    Complete,
};

/// The keys that this entry instance answers for: its own and inherited ones.
///
/// Memory: as `Ledger` for each incarnation held; inherited ones are dropped
/// once all of their keys have expired.
class KeyBook {
public:
    struct Limits {
        Ledger::Limits ledger;
        Duration lifetime {};
    };

    KeyBook(KeyMint mint, Limits limits);

    /// @return a fresh key of this incarnation, or nothing once it was handed over
    std::string mint(Time now);

    /// @return who decides about the key
    KeyOwner ownerOf(const ParsedKey& key);

    /// @return the holding of an incarnation, or null
    KeyHolding* find(Incarnation incarnation);

    /// Raises floors by age and drops inherited incarnations that have expired.
    void expire(Time now);

    /// Stops deciding about every key held and sends the results to `heir`.
    ///
    /// Irrevocable: from here on this entry instance runs no keyed request.
    /// Precondition: no keyed request is in progress.
    void handOver(const InstanceName& heir, Time now);

    /// Sends the parts that are not yet acknowledged.
    template <typename Send>
    void sendHandover(Send send) const
    {
        for (const auto& part : m_unacknowledged)
            send(*part.second);
    }

    /// @return the incarnations whose keys the heir answers for
    std::vector<Incarnation> handedOverIncarnations() const;
    bool handedOver() const { return m_handedOver; }
    const InstanceName& heir() const { return m_heir; }
    bool handoverAcknowledged() const { return m_handedOver && m_unacknowledged.empty(); }
    void onAck(const peer::HandoverAck& ack);

    /// Takes over one part of the keys of a stopping entry instance. Idempotent.
    ///
    /// @return Complete once all parts have arrived, so that its keys are decided here now
    InheritResult inherit(const peer::Handover& part, Time now);

    /// Remembers who answers for an incarnation.
    void noteHeir(Incarnation incarnation, const InstanceName& heir, Time now);

    /// @return whether any key was ever made or taken over here
    bool used() const { return m_minted || m_holdings.size() > 1 || !m_arriving.empty(); }
    bool busy() const;
    std::size_t size() const;
    std::size_t holdings() const { return m_holdings.size(); }

private:
    struct Arrival {
        std::unique_ptr<KeyHolding> holding;
        std::set<std::uint32_t> parts;
        Time since;
    };
    struct Heir {
        InstanceName name;
        Time expires;
    };
    using PartKey = std::pair<Incarnation, std::uint32_t>;

    void cut(const KeyHolding& holding, Time now);

    Incarnation m_own;
    Limits m_limits;
    std::map<Incarnation, std::unique_ptr<KeyHolding>> m_holdings;
    std::map<Incarnation, Time> m_inheritedAt;
    std::map<Incarnation, Arrival> m_arriving;
    std::map<Incarnation, Heir> m_heirs;
    std::map<PartKey, std::shared_ptr<peer::Handover>> m_unacknowledged;
    InstanceName m_heir;
    bool m_handedOver = false;
    bool m_minted = false;
};

} // namespace cornelwind
