#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include "toml_fault.h"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wterminate"
#include <toml++/toml.h>
#pragma GCC diagnostic pop

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cornelwind {

/// A spelling of an enumerated value.
template <typename Value>
struct Choice {
    const char* name;
    Value value;
};

/// Reads typed values from one TOML table and reports each fault with its line.
class TableReader {
public:
    /// @param table must outlive the reader
    /// @param reasons receives faults; must outlive the reader
    TableReader(const toml::table& table, Reasons& reasons);

    /// Each reader leaves `out` as it is where the key is absent or at fault.
    void text(const char* key, std::string& out, bool required = false);
    void endpoint(const char* key, Endpoint& out, bool required = false);
    void endpoint(const char* key, std::optional<Endpoint>& out);
    void endpoints(const char* key, std::vector<Endpoint>& out);
    void texts(const char* key, std::vector<std::string>& out);

    /// Reads a whole number from `low` to `high`.
    template <typename Number>
    void number(const char* key, Number& out, std::uint64_t low, std::uint64_t high, bool required = false)
    {
        if (auto value = integer(key, low, high, required))
            out = static_cast<Number>(*value);
    }

    template <typename Tag, typename Rep>
    void strong(const char* key, Strong<Tag, Rep>& out, std::uint64_t low, std::uint64_t high, bool required = false)
    {
        if (auto value = integer(key, low, high, required))
            out = Strong<Tag, Rep> { static_cast<Rep>(*value) };
    }

    /// Reads a name: 1 to 64 letters, digits, `-` or `_`.
    template <typename Tag>
    void name(const char* key, Strong<Tag, std::string>& out)
    {
        if (auto value = identifier(key))
            out = Strong<Tag, std::string> { *value };
    }

    void millis(const char* key, Millis& out, std::uint64_t low, std::uint64_t high);
    void millis(const char* key, std::optional<Millis>& out, std::uint64_t low, std::uint64_t high);

    template <typename Value, std::size_t count>
    void choice(const char* key, const Choice<Value> (&choices)[count], Value& out, bool required = false)
    {
        std::string spelling;
        text(key, spelling, required);
        if (spelling.empty())
            return;
        for (const auto& candidate : choices) {
            if (spelling == candidate.name) {
                out = candidate.value;
                return;
            }
        }
        fault(ErrorKind::OutOfRange, key, spelling);
    }

    /// @return the table under `key`, or nothing
    const toml::table* table(const char* key);

    /// Calls `visit` with each table of the array under `key`.
    template <typename Visit>
    void tables(const char* key, Visit visit)
    {
        const toml::array* entries = array(key);
        if (!entries)
            return;
        for (const toml::node& entry : *entries) {
            if (const toml::table* row = entry.as_table())
                visit(*row);
            else
                faultAt(ErrorKind::WrongType, entry, key);
        }
    }

    /// Reports every key that no reader asked for. Call it last.
    void rejectUnknownKeys();

    /// Reports a fault of the value under `key`, or of the table if it is absent.
    void fault(ErrorKind kind, const char* key, std::string_view value = {});

private:
    const toml::node* find(const char* key, bool required);
    const toml::array* array(const char* key);
    std::optional<std::uint64_t> integer(const char* key, std::uint64_t low, std::uint64_t high, bool required);
    std::optional<std::string> identifier(const char* key);
    void faultAt(ErrorKind kind, const toml::node& node, std::string detail);

    const toml::table& m_table;
    Reasons& m_reasons;
    std::set<std::string, std::less<>> m_known;
};

/// Parses TOML text.
///
/// @return the root table, or nothing with a SyntaxError in `reasons`
std::optional<toml::table> parseToml(std::string_view text, Reasons& reasons);

} // namespace cornelwind
