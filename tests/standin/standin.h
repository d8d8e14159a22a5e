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
/// - `GET` and `PUT` of any other path than those below, such as /sheet and /instances, read and write a value. `GET`
///   supports `If-None-Match`, and long polling with the query `wait_ms`.
/// - `PUT /control` takes `mode=ok`, `mode=down` (closes the connection instead of sending a value) or `mode=stale`
///   (keeps serving the values that are present when it is set).
/// - `GET /api/kv-watch` waits for `waitMs` until the value of this path states an `asOf` later than `after`, and returns it, or a
///   list without events.
/// - `GET /api/kv-range` with `after` returns the value of /api/kv-range/next.
/// - `PUT /api/kv-list` with the query fields `asOf` and `pageItems` sets a list of items, one line `KEY ITEM` each, with the key
///   percent-encoded. From then on `GET /api/kv-range` returns its pages, sorted by key. The query field `after` is decoded as a
///   form field: `+` is a space.
/// - `PUT /control` with `history_from=N` answers watches after a revision below N with 410.
/// - `GET /calls` returns the number of `GET` requests for values.
///
/// @param options `listen`
/// @return 1 if it cannot listen; otherwise it does not return
int runPlatform(const Options& options);
/// Runs a stand-in for a backend server. A request with `Request-Id` is answered in the manner of the users' platform: with that
/// header, with `Server-Stamp` if it was run, and with `Not-Executed` if it was shed. A request takes a slot for the service time, or is shed if no slot is free.
/// A request with `crash` in its target or body shuts down all connections. These paths are exceptions:
///
/// - `PUT /standin/control` sets faults as `key=value` lines. Keys that end in `_percent` give the share of the requests
///   that have the fault: `shed_percent`, `fail_percent` (status 500, or that of `fail_status`), `stall_percent` (service time of 60 s),
///   `truncate_percent`, `mismatch_percent` (wrong `Cornelwind-Try` in the response) and `close_before_answer_percent`.
///   Requests with the text `endless_target` in their target get bytes without end until the caller closes.
///   `service_ms` is the service time, `slow_factor` a factor on it in percent, and `cold_factor` a further one that applies
///   until `cold_ms` after the start. `draining=1` adds `X-Draining` to responses, and `extra_headers` others, as `NAME: VALUE`
///   separated by `|`. `repeat_refusal=1` writes the last refusal once more before each response, 2 without its request id;
///   `repeat_answer` does the same with the last answer.
///   `close_in_head_bytes` closes the connection after so many bytes of the head of a response, or before its last ones if
///   negative. The other keys are `connection_limit`,
///   `idle_close_ms`, `health_status`, `health_silent` and `shown_load`.
/// - `GET /standin/record` returns a line `run METHOD TARGET BODY` for each request that starts to execute, a line
///   `cancelled METHOD TARGET BODY` for each whose client closes the connection before its end, and a line `crash` for
///   each crash.
/// - `GET /standin/deadlines` returns a line `TARGET DEADLINE` for each request received, with the time that it has, in ms.
/// - `GET /standin/health` returns `health_status`, by default 200, or closes the connection if `health_silent=1`.
/// - `GET /standin/load` returns `shown_load`, by default the number of running requests.
///
/// @param options `listen`, `name`, `slots` and `service-ms`
/// @return 1 if it cannot listen; otherwise it does not return
int runServer(const Options& options);
/// Runs a TCP relay. `PUT /control` on the control address sets `forward` and `backward`, one for each direction:
/// `pass` forwards bytes, `cut` discards them, `reset` ends the connection at the next bytes, and a number delays bytes by
/// that many ms. A connection that lost bytes to `cut` ends at the first bytes after the cut. Does not return.
///
/// @param options `listen`, `control` and `to`, the address that it forwards to
int runRelay(const Options& options);

} // namespace cornelwind::test
