#pragma once

#include <istream>
#include <string>
#include <vector>

namespace cornelwind {

/// What the logs of several entry instances tell about one request.
///
/// @param logs lines as `logEvent` writes them, in any order; text before `time=` is ignored
/// @param request name of the request
/// @return its lines in order of time, each preceded by what its entry instance
///         had last learnt of the backend server that the line names
std::vector<std::string> tellStory(std::istream& logs, const std::string& request);

} // namespace cornelwind
