#pragma once

#include "context.h"
#include "cornelwind/sheet.h"

#include <string>
#include <string_view>
#include <utility>

namespace cornelwind {

/// Decides which sheet is in force. The version never falls.
///
/// Memory: the sheet in force and the stamp of the last refused text.
class SheetKeeper {
public:
    /// @param reader reads the form in which sheets are published
    explicit SheetKeeper(SheetReader reader = readSheet)
        : m_reader(std::move(reader))
    {
    }

    /// Checks a text and adopts it if it is newer than the sheet in force.
    ///
    /// @param source named in the decision record
    /// @return whether another sheet is in force now
    bool offer(std::string_view text, const std::string& source, Context& context);

    /// @return whether a sheet of that stamp should be asked for
    bool wants(SheetVersion version, SheetHash hash, const std::string& source, Context& context);

    /// @return the sheet in force, or null
    const SheetPtr& current() const { return m_current; }
    Time adoptedAt() const { return m_adoptedAt; }

private:
    void refuse(ErrorKind kind, const std::string& source, const std::string& detail, Context& context);

    SheetReader m_reader;
    SheetPtr m_current;
    Time m_adoptedAt;
    SheetHash m_lastRefused;
};

} // namespace cornelwind
