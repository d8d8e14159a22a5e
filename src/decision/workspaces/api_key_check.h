#pragma once

#include "cornelwind/error.h"
#include "cornelwind/sheet.h"

#include <optional>
#include <string_view>

namespace cornelwind {

/// Result of the check of the API key of a request.
struct ApiKeyVerdict {
    /// The workspace of the request; null if it belongs to none.
    const Workspace* workspace = nullptr;
    /// Why the request is refused; `ErrorKind::None` if it may run.
    ErrorKind error = ErrorKind::None;
};

/// Decides to which workspace a request belongs, and whether its API key allows it.
///
/// A public rule needs no key; a valid one still tells the workspace. Without workspaces in the sheet every request may run.
///
/// @param rule the rule that the request matches
/// @param apiKey key that the caller sent; nothing if the request has none, or more than one
/// @param sheetConfirmed whether the sheet is known to be recent enough; see `ConfigurationConfirmation`
ApiKeyVerdict checkApiKey(const Sheet& sheet, const SheetRule& rule, std::optional<std::string_view> apiKey, bool sheetConfirmed);

} // namespace cornelwind
