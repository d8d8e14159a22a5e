#pragma once

#include "cornelwind/sheet.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cornelwind {

/// Finds the rule of a request. Cost: one hash look-up per path segment; no allocation.
class Router {
public:
    Router() = default;

    /// @param sheet must outlive the router
    explicit Router(const Sheet& sheet);

    /// @param target the request target; a query is ignored
    /// @return index of the rule with the longest matching prefix, or nothing
    std::optional<std::uint32_t> match(std::string_view method, std::string_view target) const;

private:
    struct RouteKey {
        std::string_view method;
        std::string_view path;

        friend bool operator==(const RouteKey&, const RouteKey&) = default;
    };
    struct RouteHash {
        std::size_t operator()(const RouteKey&) const noexcept;
    };

    std::unordered_map<RouteKey, std::uint32_t, RouteHash> m_rules;
};

} // namespace cornelwind
