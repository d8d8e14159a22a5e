#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cornelwind {

/// @return the outcome of that number; Unknown for numbers of later versions
Outcome readOutcome(std::uint32_t number);

/// @return the kind of that name; OwnerUnreachable for names of later versions
ErrorKind readErrorKind(std::string_view name);

/// Writes an answer into a message with status, headers and body.
template <typename Message>
void writeAnswer(const Answer& answer, Message& message)
{
    message.set_status(answer.status);
    for (const Header& header : answer.headers) {
        auto* field = message.add_headers();
        field->set_name(header.name);
        field->set_value(header.value);
    }
    message.set_body(answer.body);
}

/// @return the answer in a message with status, headers and body
template <typename Message>
AnswerPtr readAnswer(const Message& message)
{
    auto answer = std::make_shared<Answer>();
    answer->status = static_cast<std::uint16_t>(message.status());
    for (const auto& field : message.headers())
        answer->headers.push_back({ field.name(), field.value() });
    answer->body = message.body();
    return answer;
}

} // namespace cornelwind
