#include "active_sheet.h"

#include <xxhash.h>

#include <memory>
#include <utility>

namespace cornelwind {

bool ActiveSheet::adoptIfNewer(std::string_view text, const std::string& source, Context& context)
{
    const SheetHash hash { XXH3_64bits(text.data(), text.size()) };
    if (isKnown(hash))
        return false;
    Reasons reasons;
    auto sheet = m_reader(text, reasons);
    if (!sheet) {
        m_lastRejected = hash;
        context.report(DecisionKind::SheetRefused, "sheet", "from " + source, format(reasons.front(), "sheet"));
        return false;
    }
    if (sheet->text.empty())
        sheet->text = std::string(text);
    sheet->hash = SheetHash { XXH3_64bits(sheet->text.data(), sheet->text.size()) };
    if (m_current && sheet->hash == m_current->hash) {
        m_offered = hash;
        return false;
    }
    if (m_current && sheet->version <= m_current->version) {
        m_lastRejected = hash;
        const bool older = sheet->version < m_current->version;
        reportRejection(older ? ErrorKind::OlderSheet : ErrorKind::ConflictingSheet, source, std::to_string(sheet->version.value()), context);
        return false;
    }
    m_offered = hash;
    m_current = std::make_shared<const Sheet>(std::move(*sheet));
    m_adoptedAt = context.now();
    context.report(DecisionKind::SheetAdopted, "sheet", "version " + std::to_string(m_current->version.value()) + " from " + source);
    return true;
}

bool ActiveSheet::isKnown(SheetHash hash) const
{
    return (m_current && (m_current->hash == hash || m_offered == hash)) || m_lastRejected == hash;
}

bool ActiveSheet::shouldRequest(SheetVersion version, SheetHash hash, const std::string& source, Context& context)
{
    if (!version.value() || hash == m_lastRejected)
        return false;
    if (!m_current || version > m_current->version)
        return true;
    if (version == m_current->version && hash != m_current->hash) {
        m_lastRejected = hash;
        reportRejection(ErrorKind::ConflictingSheet, source, std::to_string(version.value()), context);
    }
    return false;
}

void ActiveSheet::reportRejection(ErrorKind kind, const std::string& source, const std::string& detail, Context& context)
{
    context.report(DecisionKind::SheetRefused, "sheet", "from " + source, format(Reason { kind, 0, "version " + detail }, "sheet"));
}

} // namespace cornelwind
