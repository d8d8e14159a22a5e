#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind {

struct Header {
    std::string name;
    std::string value;
};

/// A whole answer of a backend server, without hop-by-hop headers.
struct Answer {
    std::uint16_t status = 0;
    std::vector<Header> headers;
    std::string body;
};

using AnswerPtr = std::shared_ptr<const Answer>;

/// @return bytes counted against the limit on stored answers
std::size_t storedSize(const Answer&);

} // namespace cornelwind
