#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace cornelwind {

/// Strong type: wraps a value of type `Rep` without implicit conversion to or from other types.
///
/// @tparam Tag an incomplete type that makes the type distinct
/// @tparam Rep type of the wrapped value; must be regular
template <typename Tag, typename Rep>
class Strong {
public:
    constexpr Strong() = default;
    constexpr explicit Strong(Rep value)
        : m_value(std::move(value))
    {
    }

    /// @return the wrapped value
    constexpr const Rep& value() const { return m_value; }

    friend constexpr auto operator<=>(const Strong&, const Strong&) = default;
    friend constexpr bool operator==(const Strong&, const Strong&) = default;

private:
    Rep m_value {};
};

} // namespace cornelwind

template <typename Tag, typename Rep>
struct std::hash<cornelwind::Strong<Tag, Rep>> {
    std::size_t operator()(const cornelwind::Strong<Tag, Rep>& strong) const noexcept
    {
        return std::hash<Rep> {}(strong.value());
    }
};
