#include "key_registry.h"

#include "peer.pb.h"
#include "response_codec.h"

#include <algorithm>

namespace cornelwind {
namespace {

    // Once the rows of a part exceed this size, the next row begins a new part.
    constexpr std::size_t MAX_PART_BYTES = 256 * 1024;
    constexpr std::size_t MAX_SUCCESSORS = 4096;
    constexpr std::size_t MAX_INCOMING_HANDOVERS = 16;
    // A handover whose parts have not all arrived within this time is dropped.
    constexpr Duration HANDOVER_TIMEOUT = std::chrono::minutes(2);

    peer::Handover makeEmptyPart(const KeySpace& keySpace, Time now)
    {
        peer::Handover part;
        part.set_owner(keySpace.issuer.owner().value());
        part.set_incarnation(keySpace.issuer.incarnation().value());
        part.set_secret(keySpace.issuer.secret().data(), keySpace.issuer.secret().size());
        part.set_floor(keySpace.idempotencyStore.floor().value());
        part.set_age_ms(static_cast<std::uint64_t>(keySpace.issuer.age(now).count()));
        return part;
    }

    void writeRow(const KeyRecord& record, peer::LedgerRow& row)
    {
        row.set_id(record.id.value());
        row.set_fingerprint(record.fingerprint.value());
        row.set_outcome(static_cast<std::uint32_t>(record.result.outcome));
        row.set_error(describe(record.result.error).name);
        if (!record.result.response)
            return;
        row.set_has_answer(true);
        writeResponse(*record.result.response, row);
    }

    KeyRecord readRow(const peer::LedgerRow& row)
    {
        KeyRecord record;
        record.id = KeyId { row.id() };
        record.fingerprint = Fingerprint { row.fingerprint() };
        record.done = true;
        record.result.outcome = readOutcome(row.outcome());
        record.result.error = readErrorKind(row.error());
        if (row.has_answer())
            record.result.response = readResponse(row);
        return record;
    }

} // namespace

KeyRegistry::KeyRegistry(KeyIssuer issuer, Limits limits)
    : m_ownIncarnation(issuer.incarnation())
    , m_limits(limits)
{
    const Incarnation incarnation = issuer.incarnation();
    m_keySpaces.emplace(incarnation, std::make_unique<KeySpace>(KeySpace { std::move(issuer), IdempotencyStore(limits.idempotencyStore) }));
}

std::string KeyRegistry::issueKey(Time now)
{
    KeySpace* own = find(m_ownIncarnation);
    m_hasIssued = true;
    return own && !m_handedOver ? own->issuer.issueKey(now) : std::string {};
}

KeyOwner KeyRegistry::ownerOf(const ParsedKey& key)
{
    KeyOwner owner;
    owner.keySpace = find(key.incarnation);
    owner.instance = key.owner;
    owner.incarnation = key.incarnation;
    const auto successor = m_successors.find(key.incarnation);
    if (!owner.keySpace && successor != m_successors.end()) {
        owner.instance = successor->second.name;
        owner.incarnation = Incarnation {};
    }
    return owner;
}

KeySpace* KeyRegistry::find(Incarnation incarnation)
{
    if (m_handedOver)
        return nullptr;
    const auto found = m_keySpaces.find(incarnation);
    return found == m_keySpaces.end() ? nullptr : found->second.get();
}

void KeyRegistry::expire(Time now)
{
    for (auto& [incarnation, keySpace] : m_keySpaces)
        keySpace->idempotencyStore.raiseFloor(keySpace->issuer.firstIdAt(now - m_limits.lifetime));
    std::erase_if(m_successors, [now](const auto& row) { return row.second.expires <= now; });
    std::erase_if(m_incoming, [now](const auto& row) { return now - row.second.startedAt > HANDOVER_TIMEOUT; });
    for (auto inherited = m_inheritedAt.begin(); inherited != m_inheritedAt.end();) {
        const KeySpace& keySpace = *m_keySpaces.at(inherited->first);
        if (inherited->second + m_limits.lifetime > now || keySpace.idempotencyStore.busy()) {
            ++inherited;
            continue;
        }
        m_keySpaces.erase(inherited->first);
        inherited = m_inheritedAt.erase(inherited);
    }
}

void KeyRegistry::handOver(const InstanceName& successor, Time now)
{
    if (m_handedOver)
        return;
    m_handedOver = true;
    m_successor = successor;
    for (const auto& [incarnation, keySpace] : m_keySpaces) {
        splitIntoParts(*keySpace, now);
        recordSuccessor(incarnation, successor, now);
    }
}

void KeyRegistry::splitIntoParts(const KeySpace& keySpace, Time now)
{
    std::vector<std::shared_ptr<peer::Handover>> parts { std::make_shared<peer::Handover>(makeEmptyPart(keySpace, now)) };
    std::size_t bytes = 0;
    for (const KeyRecord& record : keySpace.idempotencyStore.finishedRecords()) {
        if (bytes > MAX_PART_BYTES) {
            parts.push_back(std::make_shared<peer::Handover>(makeEmptyPart(keySpace, now)));
            bytes = 0;
        }
        peer::LedgerRow& row = *parts.back()->add_rows();
        writeRow(record, row);
        bytes += row.ByteSizeLong();
    }
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        parts[i]->set_part(i);
        parts[i]->set_parts(static_cast<std::uint32_t>(parts.size()));
        m_unacknowledgedParts.emplace(PartId { keySpace.issuer.incarnation(), i }, parts[i]);
    }
}

std::vector<Incarnation> KeyRegistry::handedOverIncarnations() const
{
    std::vector<Incarnation> incarnations;
    for (const auto& [incarnation, keySpace] : m_keySpaces)
        incarnations.push_back(incarnation);
    return incarnations;
}

void KeyRegistry::onAck(const peer::HandoverAck& ack)
{
    m_unacknowledgedParts.erase(PartId { Incarnation { ack.incarnation() }, ack.part() });
}

HandoverResult KeyRegistry::acceptPart(const peer::Handover& part, Time now)
{
    const Incarnation incarnation { part.incarnation() };
    if (m_keySpaces.contains(incarnation))
        return HandoverResult::Complete;
    KeySecret secret {};
    const bool wellFormed = part.secret().size() == secret.size() && part.part() < part.parts();
    if (!wellFormed || (!m_incoming.contains(incarnation) && m_incoming.size() == MAX_INCOMING_HANDOVERS))
        return HandoverResult::Refused;
    std::copy(part.secret().begin(), part.secret().end(), secret.begin());
    IncomingHandover& incoming = m_incoming[incarnation];
    if (!incoming.keySpace) {
        incoming.startedAt = now;
        KeyIssuer issuer(InstanceName { part.owner() }, incarnation, secret, now - Millis { part.age_ms() });
        incoming.keySpace = std::make_unique<KeySpace>(KeySpace { std::move(issuer), IdempotencyStore(m_limits.idempotencyStore) });
    }
    if (!incoming.parts.insert(part.part()).second)
        return HandoverResult::Partial;
    for (const peer::LedgerRow& row : part.rows())
        incoming.keySpace->idempotencyStore.restore(readRow(row));
    if (incoming.parts.size() < part.parts())
        return HandoverResult::Partial;
    incoming.keySpace->idempotencyStore.raiseFloor(KeyId { part.floor() });
    m_keySpaces[incarnation] = std::move(incoming.keySpace);
    m_inheritedAt[incarnation] = now;
    m_incoming.erase(incarnation);
    return HandoverResult::Complete;
}

void KeyRegistry::recordSuccessor(Incarnation incarnation, const InstanceName& successor, Time now)
{
    if (m_successors.size() < MAX_SUCCESSORS || m_successors.contains(incarnation))
        m_successors[incarnation] = Successor { successor, now + m_limits.lifetime };
}

bool KeyRegistry::busy() const
{
    return std::any_of(m_keySpaces.begin(), m_keySpaces.end(), [](const auto& row) { return row.second->idempotencyStore.busy(); });
}

std::size_t KeyRegistry::size() const
{
    std::size_t sum = 0;
    for (const auto& [incarnation, keySpace] : m_keySpaces)
        sum += keySpace->idempotencyStore.size();
    return sum;
}

} // namespace cornelwind
