#pragma once

#include <istream>
#include <string>
#include <vector>

namespace cornelwind {

/// Extracts the timeline of one request from the logs of several entry instances.
///
/// @param logs lines written by `logEvent`, in any order; text before `time=` is ignored, as are lines without it
/// @param request id of the request, as in the `request` field
/// @return the request's log lines sorted by time; a line that names a backend server is preceded by the latest
///         earlier line, if any, in which the same entry instance logged a change of that server's state
std::vector<std::string> buildRequestTimeline(std::istream& logs, const std::string& request);

} // namespace cornelwind
