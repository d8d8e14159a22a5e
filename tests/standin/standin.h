#pragma once

#include "../support/net.h"

#include <map>
#include <string>

namespace cornelwind::test {

/// Options of the command line, `--name value` each.
using Options = std::map<std::string, std::string>;

/// Reads `key=value` lines.
std::map<std::string, std::string> readPairs(const std::string& text);

/// @return the text of an answer
std::string makeAnswer(int status, const std::string& body, const std::map<std::string, std::string>& headers = {});

/// The configuration service: `GET` and `PUT` of /sheet and /instances, `PUT /control` with mode=ok, down or stale.
int runPlatform(const Options& options);
/// A backend server: any path is work; /control, /record and /health below /standin.
int runServer(const Options& options);
/// Passes TCP on; `PUT /control` with forward and backward = pass, cut, reset or a delay in ms.
int runRelay(const Options& options);

} // namespace cornelwind::test
