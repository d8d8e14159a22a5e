#include "cornelwind/http_syntax.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr char TAB = '\t';
    constexpr char SPACE = ' ';

    bool isControl(char c)
    {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7f;
    }

    bool isLetterOrDigit(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    bool isTokenCharacter(char c)
    {
        constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
        return isLetterOrDigit(c) || symbols.find(c) != std::string_view::npos;
    }

    bool isUnreservedCharacter(char c)
    {
        constexpr std::string_view symbols = "-._~";
        return isLetterOrDigit(c) || symbols.find(c) != std::string_view::npos;
    }

    bool isBlank(char c) { return c == SPACE || c == TAB; }

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isUnreserved(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isUnreservedCharacter);
}

bool isRequestTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) || c == SPACE; });
}

bool isFieldValue(std::string_view text)
{
    if (text.empty())
        return true;
    const bool controls = std::any_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != TAB; });
    return !controls && !isBlank(text.front()) && !isBlank(text.back());
}

} // namespace cornelwind
