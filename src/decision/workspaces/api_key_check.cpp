#include "workspaces/api_key_check.h"

namespace cornelwind {

ApiKeyVerdict checkApiKey(const Sheet& sheet, const SheetRule& rule, std::optional<std::string_view> apiKey, bool sheetConfirmed)
{
    if (!sheet.workspaces)
        return {};
    // A key may have been removed by a sheet that is not known here yet, or added by one.
    if (!sheetConfirmed)
        return { nullptr, rule.isPublic ? ErrorKind::None : ErrorKind::ApiKeysUnconfirmed };
    const Workspace* workspace = apiKey ? sheet.workspaces->findByKey(*apiKey) : nullptr;
    return { workspace, workspace || rule.isPublic ? ErrorKind::None : ErrorKind::ApiKeyRejected };
}

} // namespace cornelwind
