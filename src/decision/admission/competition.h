#pragma once

#include "cornelwind/sheet.h"

#include <vector>

namespace cornelwind {

/// Finds the services at which the sheet lets requests compete: rules with different priorities or target latencies lead to
/// the service, also by a traffic split, or a rule leads to it and the sheet lists workspaces.
///
/// @return by index in `Sheet::services`, whether the requests of the service compete
std::vector<bool> competingServices(const Sheet& sheet);

} // namespace cornelwind
