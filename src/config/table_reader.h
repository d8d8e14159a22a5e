#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include "toml_assertion.h"

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

/// An enumerated value and its text in TOML.
template <typename Value>
struct Choice {
    const char* name;
    Value value;
};

/// Reads typed values from one TOML table and reports each error with its line.
///
/// Each read function leaves `out` unchanged if the key is absent or its value is
/// invalid. An invalid value is reported, and so is an absent key that is required.
class TableReader {
public:
    /// @param table must outlive the reader
    /// @param reasons receives the errors; must outlive the reader
    TableReader(const toml::table& table, Reasons& reasons);

    /// Reads a string.
    void text(const char* key, std::string& out, bool required = false);
    /// Reads an endpoint of the form `address:port`. An empty string counts as absent.
    void endpoint(const char* key, Endpoint& out, bool required = false);
    /// @copydoc endpoint
    void endpoint(const char* key, std::optional<Endpoint>& out);
    /// Appends the valid endpoints of an array to `out`; reports the others.
    void endpoints(const char* key, std::vector<Endpoint>& out);
    /// Reads a boolean.
    void flag(const char* key, bool& out);
    /// Reads a number from 0 to `high`, both included, which may have a fraction.
    void decimal(const char* key, double& out, double high);
    /// Appends the strings of an array to `out`; reports elements of other types.
    void texts(const char* key, std::vector<std::string>& out);

    /// Reads an integer from `low` to `high`, both included.
    template <typename Number>
    void number(const char* key, Number& out, std::uint64_t low, std::uint64_t high, bool required = false)
    {
        if (auto value = integer(key, low, high, required))
            out = static_cast<Number>(*value);
    }

    /// Reads an integer from `low` to `high`, both included, into a strong type.
    template <typename Tag, typename Rep>
    void strong(const char* key, StrongType<Tag, Rep>& out, std::uint64_t low, std::uint64_t high, bool required = false)
    {
        if (auto value = integer(key, low, high, required))
            out = StrongType<Tag, Rep> { static_cast<Rep>(*value) };
    }

    /// Reads a required name: 1 to 64 ASCII letters, digits, `-` or `_`.
    template <typename Tag>
    void name(const char* key, StrongType<Tag, std::string>& out)
    {
        if (auto value = identifier(key))
            out = StrongType<Tag, std::string> { *value };
    }

    /// Reads a time of `low` to `high` milliseconds, both included.
    void millis(const char* key, Millis& out, std::uint64_t low, std::uint64_t high);
    /// @copydoc millis
    void millis(const char* key, std::optional<Millis>& out, std::uint64_t low, std::uint64_t high);

    /// Reads one of the texts in `choices`. An empty string counts as absent.
    template <typename Value, std::size_t count>
    void choice(const char* key, const Choice<Value> (&choices)[count], Value& out, bool required = false)
    {
        std::string literal;
        text(key, literal, required);
        if (literal.empty())
            return;
        for (const auto& candidate : choices) {
            if (literal == candidate.name) {
                out = candidate.value;
                return;
            }
        }
        reportError(ErrorKind::OutOfRange, key, literal);
    }

    /// @return the table under `key`; null if the key is absent or, with an error reported, not a table
    const toml::table* table(const char* key);

    /// Calls `visit` with each table of the array under `key`; reports elements of other types.
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
                reportErrorAt(ErrorKind::WrongType, entry, key);
        }
    }

    /// Reports every key of the table that was not read. Call this after all reads.
    void rejectUnknownKeys();

    /// Reports an error at the line of `key`, or at the line of the table if the key is absent.
    ///
    /// @param value the invalid value or what is wrong with it; appended to the message unless empty
    void reportError(ErrorKind kind, const char* key, std::string_view value = {});

private:
    const toml::node* find(const char* key, bool required);
    const toml::array* array(const char* key);
    std::optional<std::uint64_t> integer(const char* key, std::uint64_t low, std::uint64_t high, bool required);
    std::optional<std::string> identifier(const char* key);
    void reportErrorAt(ErrorKind kind, const toml::node& node, std::string detail);

    const toml::table& m_table;
    Reasons& m_reasons;
    std::set<std::string, std::less<>> m_readKeys;
};

/// Parses TOML text.
///
/// @param reasons receives a `SyntaxError` if the text is malformed
/// @return the root table, or nothing if the text is malformed
std::optional<toml::table> parseToml(std::string_view text, Reasons& reasons);

} // namespace cornelwind
