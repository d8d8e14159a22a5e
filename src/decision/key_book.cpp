#include "key_book.h"

#include "answer_codec.h"
#include "peer.pb.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_PART_BYTES = 256 * 1024;
    constexpr std::size_t MAX_HEIRS = 4096;
    constexpr std::size_t MAX_ARRIVING = 16;
    // A giver that has not sent every part by then never will.
    constexpr Duration ARRIVAL_TIME = std::chrono::minutes(2);

    peer::Handover emptyPart(const KeyHolding& holding, Time now)
    {
        peer::Handover part;
        part.set_owner(holding.mint.owner().value());
        part.set_incarnation(holding.mint.incarnation().value());
        part.set_secret(holding.mint.secret().data(), holding.mint.secret().size());
        part.set_floor(holding.ledger.floor().value());
        part.set_age_ms(static_cast<std::uint64_t>(holding.mint.age(now).count()));
        return part;
    }

    void writeRow(const LedgerEntry& entry, peer::LedgerRow& row)
    {
        row.set_id(entry.id.value());
        row.set_fingerprint(entry.fingerprint.value());
        row.set_outcome(static_cast<std::uint32_t>(entry.result.outcome));
        row.set_error(describe(entry.result.error).name);
        if (!entry.result.answer)
            return;
        row.set_has_answer(true);
        writeAnswer(*entry.result.answer, row);
    }

    LedgerEntry readRow(const peer::LedgerRow& row)
    {
        LedgerEntry entry;
        entry.id = KeyId { row.id() };
        entry.fingerprint = Fingerprint { row.fingerprint() };
        entry.done = true;
        entry.result.outcome = readOutcome(row.outcome());
        entry.result.error = readErrorKind(row.error());
        if (row.has_answer())
            entry.result.answer = readAnswer(row);
        return entry;
    }

} // namespace

KeyBook::KeyBook(KeyMint mint, Limits limits)
    : m_own(mint.incarnation())
    , m_limits(limits)
{
    const Incarnation incarnation = mint.incarnation();
    m_holdings.emplace(incarnation, std::make_unique<KeyHolding>(KeyHolding { std::move(mint), Ledger(limits.ledger) }));
}

std::string KeyBook::mint(Time now)
{
    KeyHolding* own = find(m_own);
    m_minted = true;
    return own && !m_handedOver ? own->mint.mint(now) : std::string {};
}

KeyOwner KeyBook::ownerOf(const ParsedKey& key)
{
    KeyOwner owner;
    owner.holding = find(key.incarnation);
    owner.instance = key.owner;
    owner.incarnation = key.incarnation;
    const auto heir = m_heirs.find(key.incarnation);
    if (!owner.holding && heir != m_heirs.end()) {
        owner.instance = heir->second.name;
        owner.incarnation = Incarnation {};
    }
    return owner;
}

KeyHolding* KeyBook::find(Incarnation incarnation)
{
    if (m_handedOver)
        return nullptr;
    const auto found = m_holdings.find(incarnation);
    return found == m_holdings.end() ? nullptr : found->second.get();
}

void KeyBook::expire(Time now)
{
    for (auto& [incarnation, holding] : m_holdings)
        holding->ledger.raiseFloor(holding->mint.firstIdAt(now - m_limits.lifetime));
    std::erase_if(m_heirs, [now](const auto& row) { return row.second.expires <= now; });
    std::erase_if(m_arriving, [now](const auto& row) { return now - row.second.since > ARRIVAL_TIME; });
    for (auto inherited = m_inheritedAt.begin(); inherited != m_inheritedAt.end();) {
        const KeyHolding& holding = *m_holdings.at(inherited->first);
        if (inherited->second + m_limits.lifetime > now || holding.ledger.busy()) {
            ++inherited;
            continue;
        }
        m_holdings.erase(inherited->first);
        inherited = m_inheritedAt.erase(inherited);
    }
}

void KeyBook::handOver(const InstanceName& heir, Time now)
{
    if (m_handedOver)
        return;
    m_handedOver = true;
    m_heir = heir;
    for (const auto& [incarnation, holding] : m_holdings) {
        cut(*holding, now);
        noteHeir(incarnation, heir, now);
    }
}

void KeyBook::cut(const KeyHolding& holding, Time now)
{
    std::vector<std::shared_ptr<peer::Handover>> parts { std::make_shared<peer::Handover>(emptyPart(holding, now)) };
    std::size_t bytes = 0;
    for (const LedgerEntry& entry : holding.ledger.finished()) {
        if (bytes > MAX_PART_BYTES) {
            parts.push_back(std::make_shared<peer::Handover>(emptyPart(holding, now)));
            bytes = 0;
        }
        peer::LedgerRow& row = *parts.back()->add_rows();
        writeRow(entry, row);
        bytes += row.ByteSizeLong();
    }
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        parts[i]->set_part(i);
        parts[i]->set_parts(static_cast<std::uint32_t>(parts.size()));
        m_unacknowledged.emplace(PartKey { holding.mint.incarnation(), i }, parts[i]);
    }
}

std::vector<Incarnation> KeyBook::handedOverIncarnations() const
{
    std::vector<Incarnation> incarnations;
    for (const auto& [incarnation, holding] : m_holdings)
        incarnations.push_back(incarnation);
    return incarnations;
}

void KeyBook::onAck(const peer::HandoverAck& ack)
{
    m_unacknowledged.erase(PartKey { Incarnation { ack.incarnation() }, ack.part() });
}

InheritResult KeyBook::inherit(const peer::Handover& part, Time now)
{
    const Incarnation incarnation { part.incarnation() };
    if (m_holdings.contains(incarnation))
        return InheritResult::Complete;
    KeySecret secret {};
    const bool wellFormed = part.secret().size() == secret.size() && part.part() < part.parts();
    if (!wellFormed || (!m_arriving.contains(incarnation) && m_arriving.size() == MAX_ARRIVING))
        return InheritResult::Refused;
    std::copy(part.secret().begin(), part.secret().end(), secret.begin());
    Arrival& arriving = m_arriving[incarnation];
    if (!arriving.holding) {
        arriving.since = now;
        KeyMint mint(InstanceName { part.owner() }, incarnation, secret, now - Millis { part.age_ms() });
        arriving.holding = std::make_unique<KeyHolding>(KeyHolding { std::move(mint), Ledger(m_limits.ledger) });
    }
    if (!arriving.parts.insert(part.part()).second)
        return InheritResult::Partial;
    for (const peer::LedgerRow& row : part.rows())
        arriving.holding->ledger.restore(readRow(row));
    if (arriving.parts.size() < part.parts())
        return InheritResult::Partial;
    arriving.holding->ledger.raiseFloor(KeyId { part.floor() });
    m_holdings[incarnation] = std::move(arriving.holding);
    m_inheritedAt[incarnation] = now;
    m_arriving.erase(incarnation);
    return InheritResult::Complete;
}

void KeyBook::noteHeir(Incarnation incarnation, const InstanceName& heir, Time now)
{
    if (m_heirs.size() < MAX_HEIRS || m_heirs.contains(incarnation))
        m_heirs[incarnation] = Heir { heir, now + m_limits.lifetime };
}

bool KeyBook::busy() const
{
    return std::any_of(m_holdings.begin(), m_holdings.end(), [](const auto& row) { return row.second->ledger.busy(); });
}

std::size_t KeyBook::size() const
{
    std::size_t sum = 0;
    for (const auto& [incarnation, holding] : m_holdings)
        sum += holding->ledger.size();
    return sum;
}

} // namespace cornelwind
