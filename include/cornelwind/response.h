#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

/// One HTTP header field.
struct Header {
    std::string name;
    std::string value;
};

/// A complete response of a backend server, without hop-by-hop headers.
struct Response {
    std::uint16_t status = 0;
    std::vector<Header> headers;
    std::string body;
};

/// @return whether the status states that the server failed
inline bool isServerError(const Response& response)
{
    constexpr std::uint16_t firstServerError = 500;
    return response.status >= firstServerError;
}

/// @return whether the status says that the request was refused and has not run: 408, 421, 429 or 503
inline bool isRefusalStatus(std::uint16_t status)
{
    constexpr std::uint16_t refusals[] = { 408, 421, 429, 503 };
    return std::find(std::begin(refusals), std::end(refusals), status) != std::end(refusals);
}

/// A response does not change, and all requests that receive it share it.
using ResponsePtr = std::shared_ptr<const Response>;

/// @return size in bytes that counts against `IdempotencyStore::Limits::responseBytes`
std::size_t storedSize(const Response&);

} // namespace cornelwind
