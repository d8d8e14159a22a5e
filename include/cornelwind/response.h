#pragma once

#include <cstdint>
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

/// Responses are immutable and shared between the requests that receive them.
using ResponsePtr = std::shared_ptr<const Response>;

/// @return bytes that the response counts against `IdempotencyStore::Limits::responseBytes`
std::size_t storedSize(const Response&);

} // namespace cornelwind
