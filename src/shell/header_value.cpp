#include "header_value.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cornelwind {
namespace {

    constexpr std::string_view SPACES = " \t";

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(SPACES);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(SPACES) - first + 1);
    }

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    text = trimmed(text);
    if (text.starts_with('+') && !text.starts_with("+-"))
        text.remove_prefix(1);
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<double> smallestNumber(const std::vector<Header>& headers, std::string_view name)
{
    std::optional<double> smallest;
    for (const Header& header : headers) {
        if (!boost::algorithm::iequals(header.name, name))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            if (const auto value = parseDecimal(rest.substr(0, comma)))
                smallest = std::min(smallest.value_or(*value), *value);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return smallest;
}

std::optional<std::string_view> findOnly(const std::vector<Header>& headers, std::string_view name)
{
    std::optional<std::string_view> value;
    for (const Header& header : headers) {
        if (!boost::algorithm::iequals(header.name, name))
            continue;
        if (value)
            return std::nullopt;
        value = header.value;
    }
    return value;
}

} // namespace cornelwind
