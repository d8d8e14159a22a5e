#pragma once

#include "../support/net.h"

#include <map>
#include <string>

namespace cornelwind::test {

/// Command-line options `--name value`, by name without the dashes.
using Options = std::map<std::string, std::string>;

/// Parses `key=value` lines. Lines without `=` are ignored.
std::map<std::string, std::string> parseKeyValuePairs(const std::string& text);

/// @return an HTTP/1.1 response as text, with Content-Length
std::string makeResponse(int status, const std::string& body, const std::map<std::string, std::string>& headers = {});

/// Runs a stand-in for the platform, which serves the sheet and the instance list.
///
/// - `GET` and `PUT` of any path, such as /sheet and /instances, read and write a value. `GET` supports `If-None-Match`
///   and long polling with the query `wait_ms`.
/// - `PUT /control` takes `mode=ok`, `mode=down` (closes the connection of a `GET` for a value) or `mode=stale`
///   (serves the values of that moment).
/// - `GET /calls` returns the number of `GET` requests for values.
///
/// @param options `listen`
/// @return the exit code, 1 if it cannot listen; otherwise it does not return
int runPlatform(const Options& options);
/// Runs a stand-in for a backend server. A request of any path takes a slot for the service time, except these paths:
///
/// - `PUT /standin/control` sets fault settings as `key=value` lines.
/// - `GET /standin/record` returns one line per executed or cancelled request.
/// - `GET /standin/health` and `GET /standin/load` report a configured health status and load.
///
/// @param options `listen`, `name`, `slots` and `service-ms`
/// @return the exit code, 1 if it cannot listen; otherwise it does not return
int runServer(const Options& options);
/// Runs a TCP relay. `PUT /control` on the control address sets `forward` and `backward`, one for each direction:
/// `pass` forwards bytes, `cut` discards them, `reset` ends the connection, and a number delays them by that many ms.
///
/// @param options `listen`, `control` and `to`, the address that it forwards to
/// @return never
int runRelay(const Options& options);

} // namespace cornelwind::test
