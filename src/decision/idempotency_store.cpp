#include "cornelwind/idempotency_store.h"

#include <algorithm>
#include <utility>

namespace cornelwind {

std::size_t storedSize(const Response& response)
{
    std::size_t size = sizeof(Response) + response.body.size();
    for (const Header& header : response.headers)
        size += sizeof(Header) + header.name.size() + header.value.size();
    return size;
}

IdempotencyStore::IdempotencyStore(Limits limits)
    : m_limits(limits)
{
}

KeyDecision IdempotencyStore::begin(KeyId id, Fingerprint fingerprint, RequestId request)
{
    const auto found = m_records.find(id);
    if (found == m_records.end()) {
        if (id < m_floor)
            return { KeyAction::Refuse, ErrorKind::KeyExpired, {} };
        m_records.emplace(id, KeyRecord { id, fingerprint, false, {}, { request } });
        ++m_inProgress;
        enforceLimits();
        return { KeyAction::Run, ErrorKind::None, {} };
    }
    KeyRecord& record = found->second;
    if (record.fingerprint != fingerprint)
        return { KeyAction::Refuse, ErrorKind::KeyMismatch, {} };
    if (record.done)
        return { KeyAction::Repeat, ErrorKind::None, record.result };
    record.waiters.push_back(request);
    return { KeyAction::Join, ErrorKind::None, {} };
}

std::vector<RequestId> IdempotencyStore::finish(KeyId id, KeyResult result)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.done)
        return {};
    KeyRecord& record = found->second;
    record.done = true;
    record.result = std::move(result);
    --m_inProgress;
    std::vector<RequestId> waiters = std::exchange(record.waiters, {});
    storeResponse(id, record);
    enforceLimits();
    return waiters;
}

void IdempotencyStore::removeWaiter(KeyId id, RequestId request)
{
    const auto found = m_records.find(id);
    if (found != m_records.end())
        std::erase(found->second.waiters, request);
}

void IdempotencyStore::raiseFloor(KeyId floor)
{
    if (floor <= m_floor)
        return;
    m_floor = floor;
    for (auto record = m_records.begin(); record != m_records.end() && record->first < m_floor;) {
        if (!record->second.done) {
            ++record;
            continue;
        }
        dropResponse(record->second);
        record = m_records.erase(record);
    }
}

std::vector<KeyRecord> IdempotencyStore::finishedRecords() const
{
    std::vector<KeyRecord> records;
    for (const auto& [id, record] : m_records) {
        if (record.done)
            records.push_back(record);
    }
    return records;
}

void IdempotencyStore::restore(KeyRecord record)
{
    const KeyId id = record.id;
    record.done = true;
    const auto [position, inserted] = m_records.emplace(id, std::move(record));
    if (inserted)
        storeResponse(id, position->second);
    enforceLimits();
}

void IdempotencyStore::storeResponse(KeyId id, KeyRecord& record)
{
    if (!record.result.response)
        return;
    const std::size_t size = storedSize(*record.result.response);
    if (size > m_limits.responseBytes) {
        record.result.response = nullptr;
        record.result.error = ErrorKind::AnswerNotHeld;
        return;
    }
    m_responseBytes += size;
    m_responsesByAge.push_back(id);
}

void IdempotencyStore::dropResponse(KeyRecord& record)
{
    if (!record.result.response)
        return;
    m_responseBytes -= storedSize(*record.result.response);
    record.result.response = nullptr;
    record.result.error = ErrorKind::AnswerNotHeld;
}

void IdempotencyStore::enforceLimits()
{
    while (m_responseBytes > m_limits.responseBytes && !m_responsesByAge.empty()) {
        const auto oldest = m_records.find(m_responsesByAge.front());
        m_responsesByAge.pop_front();
        if (oldest != m_records.end())
            dropResponse(oldest->second);
    }
    while (!m_responsesByAge.empty() && !m_records.contains(m_responsesByAge.front()))
        m_responsesByAge.pop_front();
    if (m_records.size() - m_inProgress > m_limits.entries) {
        const auto oldest = std::find_if(m_records.begin(), m_records.end(), [](const auto& row) { return row.second.done; });
        raiseFloor(KeyId { oldest->first.value() + 1 });
    }
}

} // namespace cornelwind
