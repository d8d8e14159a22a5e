#pragma once

#include "context.h"
#include "cornelwind/sheet.h"

#include <string>
#include <string_view>
#include <utility>

namespace cornelwind {

/// Holds the active sheet and decides whether a new one replaces it.
///
/// The version of the active sheet never decreases.
/// Memory: the active sheet and the hash of the last rejected text.
class ActiveSheet {
public:
    /// @param reader parses the format in which sheets are published
    explicit ActiveSheet(SheetReader reader = readSheet)
        : m_reader(std::move(reader))
    {
    }

    /// Parses a text and adopts it if its version is higher than that of the active sheet.
    ///
    /// A text that cannot be parsed, or whose version is not higher, is rejected with a report. The text of the
    /// active sheet and the text rejected last are ignored without a report, since they are offered repeatedly.
    ///
    /// @param text text of a sheet as published
    /// @param source sender of the text, for the decision record
    /// @return whether the active sheet was replaced
    bool adoptIfNewer(std::string_view text, const std::string& source, Context& context);

    /// Decides whether to request the sheet of a member: its version has to be higher than that of the active sheet.
    ///
    /// Rejects and reports the sheet if it has the version of the active sheet but another hash. The sheet
    /// rejected last is neither requested nor reported again.
    ///
    /// @param version version of the member's sheet; 0 if it has none
    /// @param hash hash of the text of that sheet
    /// @param source the member, for the decision record
    /// @return whether the sheet should be requested
    bool shouldRequest(SheetVersion version, SheetHash hash, const std::string& source, Context& context);

    /// @return the active sheet, or null if there is none yet
    const SheetPtr& current() const { return m_current; }
    /// @return when the active sheet was adopted
    Time adoptedAt() const { return m_adoptedAt; }

private:
    /// @return whether a sheet of that hash, as published or as sent between members, is active or was rejected last
    bool isKnown(SheetHash hash) const;
    void reportRejection(ErrorKind kind, const std::string& source, const std::string& detail, Context& context);

    SheetReader m_reader;
    SheetPtr m_current;
    Time m_adoptedAt;
    /// Hash of the text from which the active sheet was parsed; `Sheet::hash` is that of the text sent to members.
    SheetHash m_offered;
    SheetHash m_lastRejected;
};

} // namespace cornelwind
