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
class StrongType {
public:
    constexpr StrongType() = default;
    constexpr explicit StrongType(Rep value)
        : m_value(std::move(value))
    {
    }

    /// @return the wrapped value
    constexpr const Rep& value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongType&, const StrongType&) = default;
    friend constexpr bool operator==(const StrongType&, const StrongType&) = default;

private:
    Rep m_value {};
};

} // namespace cornelwind

template <typename Tag, typename Rep>
struct std::hash<cornelwind::StrongType<Tag, Rep>> {
    std::size_t operator()(const cornelwind::StrongType<Tag, Rep>& strong) const noexcept
    {
        return std::hash<Rep> {}(strong.value());
    }
};
