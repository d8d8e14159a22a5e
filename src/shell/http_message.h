#pragma once

#include "cornelwind/answer.h"
#include "cornelwind/error.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <string>

namespace cornelwind {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// @param withBody false for an answer to HEAD
/// @param keepAlive whether the connection stays open
/// @return the bytes of an answer with a stated length
std::string serializeAnswer(const Answer& answer, bool withBody, bool keepAlive);

/// @return whether the parser accepts a head that another implementation could read in another way
bool isAmbiguous(const RequestParser::value_type& request);

/// @return whether the connection ended or failed, rather than the message being wrong
bool isLost(boost::system::error_code error);

/// @return what to tell a client whose message could not be read
ErrorKind errorKindOf(boost::system::error_code error);

} // namespace cornelwind
