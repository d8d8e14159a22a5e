#pragma once

#include "cornelwind/response.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// Parses a decimal number: digits with an optional sign, fraction and exponent, and spaces around it.
///
/// @return the number, or nothing if the text is anything else, is not finite or is out of the range of `double`
std::optional<double> parseDecimal(std::string_view text);

/// Reads a header that states one number, also if it comes several times or as a list separated by commas.
///
/// @param name header name, in any case
/// @return the smallest of the numbers stated; values that are not numbers are left out. Nothing if there is none
std::optional<double> smallestNumber(const std::vector<Header>& headers, std::string_view name);

/// @param name header name, in any case
/// @return the value of the only header of that name; nothing if there is none, or more than one
std::optional<std::string_view> findOnly(const std::vector<Header>& headers, std::string_view name);

} // namespace cornelwind
