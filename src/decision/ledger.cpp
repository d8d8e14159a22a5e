#include "cornelwind/ledger.h"

#include <algorithm>
#include <utility>

namespace cornelwind {

std::size_t storedSize(const Answer& answer)
{
    std::size_t size = sizeof(Answer) + answer.body.size();
    for (const Header& header : answer.headers)
        size += sizeof(Header) + header.name.size() + header.value.size();
    return size;
}

Ledger::Ledger(Limits limits)
    : m_limits(limits)
{
}

KeyVerdict Ledger::begin(KeyId id, Fingerprint fingerprint, RequestId request)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        if (id < m_floor)
            return { KeyAction::Refuse, ErrorKind::KeyExpired, {} };
        m_entries.emplace(id, LedgerEntry { id, fingerprint, false, {}, { request } });
        ++m_inProgress;
        trim();
        return { KeyAction::Run, ErrorKind::None, {} };
    }
    LedgerEntry& entry = found->second;
    if (entry.fingerprint != fingerprint)
        return { KeyAction::Refuse, ErrorKind::KeyMismatch, {} };
    if (entry.done)
        return { KeyAction::Repeat, ErrorKind::None, entry.result };
    entry.waiters.push_back(request);
    return { KeyAction::Join, ErrorKind::None, {} };
}

std::vector<RequestId> Ledger::finish(KeyId id, KeyResult result)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.done)
        return {};
    LedgerEntry& entry = found->second;
    entry.done = true;
    entry.result = std::move(result);
    --m_inProgress;
    std::vector<RequestId> waiters = std::exchange(entry.waiters, {});
    hold(id, entry);
    trim();
    return waiters;
}

void Ledger::leave(KeyId id, RequestId request)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        std::erase(found->second.waiters, request);
}

void Ledger::raiseFloor(KeyId floor)
{
    if (floor <= m_floor)
        return;
    m_floor = floor;
    for (auto entry = m_entries.begin(); entry != m_entries.end() && entry->first < m_floor;) {
        if (!entry->second.done) {
            ++entry;
            continue;
        }
        dropAnswer(entry->second);
        entry = m_entries.erase(entry);
    }
}

std::vector<LedgerEntry> Ledger::finished() const
{
    std::vector<LedgerEntry> entries;
    for (const auto& [id, entry] : m_entries) {
        if (entry.done)
            entries.push_back(entry);
    }
    return entries;
}

void Ledger::restore(LedgerEntry entry)
{
    const KeyId id = entry.id;
    entry.done = true;
    const auto [position, inserted] = m_entries.emplace(id, std::move(entry));
    if (inserted)
        hold(id, position->second);
    trim();
}

void Ledger::hold(KeyId id, LedgerEntry& entry)
{
    if (!entry.result.answer)
        return;
    const std::size_t size = storedSize(*entry.result.answer);
    if (size > m_limits.answerBytes) {
        entry.result.answer = nullptr;
        entry.result.error = ErrorKind::AnswerNotHeld;
        return;
    }
    m_answerBytes += size;
    m_answerOrder.push_back(id);
}

void Ledger::dropAnswer(LedgerEntry& entry)
{
    if (!entry.result.answer)
        return;
    m_answerBytes -= storedSize(*entry.result.answer);
    entry.result.answer = nullptr;
    entry.result.error = ErrorKind::AnswerNotHeld;
}

void Ledger::trim()
{
    while (m_answerBytes > m_limits.answerBytes && !m_answerOrder.empty()) {
        const auto oldest = m_entries.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (oldest != m_entries.end())
            dropAnswer(oldest->second);
    }
    while (!m_answerOrder.empty() && !m_entries.contains(m_answerOrder.front()))
        m_answerOrder.pop_front();
    if (m_entries.size() - m_inProgress > m_limits.entries) {
        const auto oldest = std::find_if(m_entries.begin(), m_entries.end(), [](const auto& row) { return row.second.done; });
        raiseFloor(KeyId { oldest->first.value() + 1 });
    }
}

} // namespace cornelwind
