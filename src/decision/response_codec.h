#pragma once

#include "cornelwind/error.h"
#include "cornelwind/response.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cornelwind {

/// @return the outcome with this number; Unknown for a number that only a later version knows
Outcome readOutcome(std::uint32_t number);

/// @return the kind with this name; OwnerUnreachable for a name that only a later version knows
ErrorKind readErrorKind(std::string_view name);

/// Writes a response into a message that has the fields status, headers and body.
///
/// @tparam Message a Protocol Buffers message with these fields
template <typename Message>
void writeResponse(const Response& response, Message& message)
{
    message.set_status(response.status);
    for (const Header& header : response.headers) {
        auto* field = message.add_headers();
        field->set_name(header.name);
        field->set_value(header.value);
    }
    message.set_body(response.body);
}

/// Reads a response from a message that has the fields status, headers and body.
///
/// @tparam Message a Protocol Buffers message with these fields
/// @return the response
template <typename Message>
ResponsePtr readResponse(const Message& message)
{
    auto response = std::make_shared<Response>();
    response->status = static_cast<std::uint16_t>(message.status());
    for (const auto& field : message.headers())
        response->headers.push_back({ field.name(), field.value() });
    response->body = message.body();
    return response;
}

} // namespace cornelwind
