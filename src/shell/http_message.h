#pragma once

#include "cornelwind/error.h"
#include "cornelwind/response.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <string>

namespace cornelwind {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Serializes an HTTP/1.1 response with Content-Length.
///
/// Responses with status 204 or 304 get neither Content-Length nor body.
///
/// @param response status, headers and body
/// @param includeBody false for the response to a HEAD request
/// @param keepAlive whether the connection stays open afterwards; else `Connection: close` is added
/// @return the bytes to send
std::string serializeResponse(const Response& response, bool includeBody, bool keepAlive);

/// Detects request heads whose framing other implementations may read differently, which allows request smuggling.
///
/// @param request head that the parser accepted
/// @return whether the request must be rejected
bool isAmbiguous(const RequestParser::value_type& request);

/// @return whether the error means that the connection ended or failed, rather than that the message is malformed
bool isConnectionError(boost::system::error_code error);

/// @return the error to report to a client whose request could not be read
ErrorKind errorKindOf(boost::system::error_code error);

} // namespace cornelwind
