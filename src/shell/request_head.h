#pragma once

#include "http_client.h"

#include <optional>
#include <string>

namespace cornelwind {

/// Finds the first part of the head of a request that a server would read back as something else.
///
/// A line end in a header, for example, ends the head there, and the server reads the rest as a body or as another request.
///
/// @return what is invalid, with its text unescaped; nothing if the head can be written
std::optional<std::string> findInvalidPart(const HttpCall& call);

/// Serializes the request line and the headers of a request whose parts are all valid.
///
/// @param now start of the time until the deadline that `HttpCall::deadlineHeader` states
/// @return the bytes to send before the body
std::string serializeHead(const HttpCall& call, Time now);

} // namespace cornelwind
