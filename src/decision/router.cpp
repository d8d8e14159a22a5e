#include "cornelwind/router.h"

#include <xxhash.h>

namespace cornelwind {
namespace {

    std::string_view withoutTrailingSlash(std::string_view path)
    {
        while (!path.empty() && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

} // namespace

std::size_t Router::RouteHash::operator()(const RouteKey& key) const noexcept
{
    const auto method = XXH3_64bits(key.method.data(), key.method.size());
    return XXH3_64bits_withSeed(key.path.data(), key.path.size(), method);
}

Router::Router(const Sheet& sheet)
{
    for (std::uint32_t i = 0; i < sheet.rules.size(); ++i) {
        const SheetRule& rule = sheet.rules[i];
        m_rules.emplace(RouteKey { rule.method, withoutTrailingSlash(rule.path) }, i);
    }
}

std::optional<std::uint32_t> Router::match(std::string_view method, std::string_view target) const
{
    std::string_view path = withoutTrailingSlash(target.substr(0, target.find('?')));
    for (;;) {
        const auto found = m_rules.find({ method, path });
        if (found != m_rules.end())
            return found->second;
        if (path.empty())
            return std::nullopt;
        path = path.substr(0, path.rfind('/'));
    }
}

} // namespace cornelwind
