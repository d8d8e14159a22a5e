#pragma once

#include "cornelwind/sheet.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cornelwind {

/// Finds the rule of the sheet that applies to a request.
///
/// `match` costs up to four hash look-ups per path segment and allocates no memory.
class Router {
public:
    Router() = default;

    /// @param sheet must outlive the router
    explicit Router(const Sheet& sheet);

    /// @param method the request method
    /// @param target the request target; the query is ignored
    /// @param host value of the Host header; its port and case are ignored
    /// @return index of the rule with the longest matching path prefix, or nothing if no rule
    ///         matches. Of rules with the same prefix, one for the host wins over one for any
    ///         host, then one for the method over one for any method
    std::optional<std::uint32_t> match(std::string_view method, std::string_view target, std::string_view host = {}) const;

private:
    struct RouteKey {
        std::string_view host;
        std::string_view method;
        std::string_view path;

        friend bool operator==(const RouteKey&, const RouteKey&) = default;
    };
    struct RouteHash {
        std::size_t operator()(const RouteKey&) const noexcept;
    };

    struct Route {
        std::uint32_t rule = 0;
        /// The path of the rule ends with a slash, which the target must contain too.
        bool requiresSlash = false;
    };

    const Route* find(const RouteKey& key) const;

    std::unordered_map<RouteKey, Route, RouteHash> m_routes;
};

} // namespace cornelwind
