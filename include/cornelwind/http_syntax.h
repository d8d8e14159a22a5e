#pragma once

#include <string_view>

namespace cornelwind {

/// Checks whether a text can be written into a message as a method or as the name of a header field (RFC 9110, `token`).
bool isToken(std::string_view text);

/// Checks whether a text can be written into a request line as its target: it is not empty and has no spaces or control
/// characters.
bool isRequestTarget(std::string_view text);

/// Checks whether a receiver reads a text back unchanged if it is written as the value of a header field: it has no control
/// characters but tabs, and neither begins nor ends with a space or a tab. The empty text is valid.
bool isFieldValue(std::string_view text);

/// Checks whether a text consists of characters that have no meaning of their own in a URL (RFC 3986, `unreserved`): letters, digits
/// and `-._~`. The empty text does.
bool isUnreserved(std::string_view text);

/// @return whether a status announces that a final response follows. 101 does not: it ends HTTP on the connection.
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    return status >= 100 && status < 200 && status != switchingProtocols;
}

/// @return whether a status is one of a final response
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

} // namespace cornelwind
