#include "http_message.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace cornelwind {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

std::string serializeResponse(const Response& response, bool includeBody, bool keepAlive)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reason) + "\r\n";
    for (const Header& header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    const bool bodiless = response.status == 204 || response.status == 304;
    if (!bodiless)
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    if (includeBody && !bodiless)
        text += response.body;
    return text;
}

bool isAmbiguous(const RequestParser::value_type& request)
{
    const auto encodings = request.count(http::field::transfer_encoding);
    const auto length = request[http::field::content_length];
    if (length.find_first_not_of("0123456789") != length.npos)
        return true;
    if (encodings > 1 || request.count(http::field::content_length) > 1 || request.count(http::field::host) > 1)
        return true;
    if (!encodings)
        return false;
    const bool chunked = beast::iequals(request[http::field::transfer_encoding], "chunked");
    return !chunked || request.version() < 11 || request.count(http::field::content_length);
}

bool isConnectionError(boost::system::error_code error)
{
    return error && (error == http::error::partial_message || error.category() == asio::error::get_system_category());
}

ErrorKind errorKindOf(boost::system::error_code error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ErrorKind::HeadTooLarge;
    if (error == http::error::body_limit)
        return ErrorKind::BodyTooLarge;
    return ErrorKind::MalformedRequest;
}

} // namespace cornelwind
