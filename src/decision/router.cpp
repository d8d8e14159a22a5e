#include "cornelwind/router.h"

#include <xxhash.h>

#include <array>

namespace cornelwind {
namespace {

    // Maximum length of a DNS name.
    constexpr std::size_t MAX_HOST = 255;

    /// A host name in lower case without its port; empty if it is longer than `MAX_HOST`.
    class HostName {
    public:
        explicit HostName(std::string_view host)
        {
            host = host.substr(0, host.find(':'));
            if (host.size() > MAX_HOST)
                return;
            for (const char c : host)
                m_text[m_size++] = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }

        std::string_view view() const { return { m_text.data(), m_size }; }

    private:
        std::array<char, MAX_HOST> m_text {};
        std::size_t m_size = 0;
    };

    std::string_view withoutTrailingSlash(std::string_view path)
    {
        while (!path.empty() && path.back() == '/')
            path.remove_suffix(1);
        return path;
    }

} // namespace

std::size_t Router::RouteHash::operator()(const RouteKey& key) const noexcept
{
    const auto host = XXH3_64bits(key.host.data(), key.host.size());
    const auto method = XXH3_64bits_withSeed(key.method.data(), key.method.size(), host);
    return XXH3_64bits_withSeed(key.path.data(), key.path.size(), method);
}

Router::Router(const Sheet& sheet)
{
    for (std::uint32_t i = 0; i < sheet.rules.size(); ++i) {
        const SheetRule& rule = sheet.rules[i];
        const bool requiresSlash = !rule.host.empty() && rule.path.ends_with('/');
        m_routes.emplace(RouteKey { rule.host, rule.method, withoutTrailingSlash(rule.path) }, Route { i, requiresSlash });
    }
}

const Router::Route* Router::find(const RouteKey& key) const
{
    // The more specific rule wins: a rule for this host over one for any host, then one for this method over one for
    // any method.
    for (const std::string_view host : { key.host, std::string_view {} }) {
        for (const std::string_view method : { key.method, std::string_view {} }) {
            const auto found = m_routes.find({ host, method, key.path });
            if (found != m_routes.end())
                return &found->second;
        }
    }
    return nullptr;
}

std::optional<std::uint32_t> Router::match(std::string_view method, std::string_view target, std::string_view host) const
{
    const HostName name(host);
    const std::string_view fullPath = target.substr(0, target.find('?'));
    bool hasSlash = fullPath.ends_with('/');
    std::string_view path = withoutTrailingSlash(fullPath);
    for (;;) {
        const Route* route = find({ name.view(), method, path });
        if (route && (hasSlash || !route->requiresSlash))
            return route->rule;
        if (path.empty())
            return std::nullopt;
        path = path.substr(0, path.rfind('/'));
        hasSlash = true;
    }
}

} // namespace cornelwind
