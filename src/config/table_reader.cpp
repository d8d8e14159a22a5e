#include "table_reader.h"

#include <algorithm>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_NAME_LENGTH = 64;

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    }

} // namespace

TableReader::TableReader(const toml::table& table, Reasons& reasons)
    : m_table(table)
    , m_reasons(reasons)
{
}

void TableReader::text(const char* key, std::string& out, bool required)
{
    const toml::node* node = find(key, required);
    if (!node)
        return;
    if (const auto* value = node->as_string())
        out = value->get();
    else
        reportErrorAt(ErrorKind::WrongType, *node, key);
}

void TableReader::endpoint(const char* key, Endpoint& out, bool required)
{
    std::string literal;
    text(key, literal, required);
    if (literal.empty())
        return;
    if (auto parsed = parseEndpoint(literal))
        out = *parsed;
    else
        reportError(ErrorKind::InvalidAddress, key, literal);
}

void TableReader::endpoint(const char* key, std::optional<Endpoint>& out)
{
    Endpoint parsed;
    endpoint(key, parsed);
    if (!parsed.host.empty())
        out = parsed;
}

void TableReader::endpoints(const char* key, std::vector<Endpoint>& out)
{
    const toml::array* entries = array(key);
    if (!entries)
        return;
    for (const toml::node& entry : *entries) {
        const auto* literal = entry.as_string();
        const auto parsed = literal ? parseEndpoint(literal->get()) : std::nullopt;
        if (parsed)
            out.push_back(*parsed);
        else
            reportErrorAt(ErrorKind::InvalidAddress, entry, key);
    }
}

void TableReader::flag(const char* key, bool& out)
{
    const toml::node* node = find(key, false);
    if (!node)
        return;
    if (const auto* value = node->as_boolean())
        out = value->get();
    else
        reportErrorAt(ErrorKind::WrongType, *node, key);
}

void TableReader::decimal(const char* key, double& out, double high)
{
    const toml::node* node = find(key, false);
    if (!node)
        return;
    const auto value = node->value<double>();
    if (!node->is_number() || !value)
        return reportErrorAt(ErrorKind::WrongType, *node, key);
    // Not a number fails both comparisons.
    if (*value >= 0 && *value <= high)
        out = *value;
    else
        reportError(ErrorKind::OutOfRange, key, std::to_string(*value));
}

void TableReader::texts(const char* key, std::vector<std::string>& out)
{
    const toml::array* entries = array(key);
    if (!entries)
        return;
    for (const toml::node& entry : *entries) {
        if (const auto* literal = entry.as_string())
            out.push_back(literal->get());
        else
            reportErrorAt(ErrorKind::WrongType, entry, key);
    }
}

void TableReader::millis(const char* key, Millis& out, std::uint64_t low, std::uint64_t high)
{
    if (auto value = integer(key, low, high, false))
        out = Millis { *value };
}

void TableReader::millis(const char* key, std::optional<Millis>& out, std::uint64_t low, std::uint64_t high)
{
    if (auto value = integer(key, low, high, false))
        out = Millis { *value };
}

const toml::table* TableReader::table(const char* key)
{
    const toml::node* node = find(key, false);
    if (!node)
        return nullptr;
    if (!node->is_table())
        reportErrorAt(ErrorKind::WrongType, *node, key);
    return node->as_table();
}

const toml::array* TableReader::array(const char* key)
{
    const toml::node* node = find(key, false);
    if (!node)
        return nullptr;
    if (!node->is_array())
        reportErrorAt(ErrorKind::WrongType, *node, key);
    return node->as_array();
}

void TableReader::rejectUnknownKeys()
{
    for (const auto& [key, node] : m_table) {
        if (!m_readKeys.contains(key.str()))
            reportErrorAt(ErrorKind::UnknownKey, node, std::string(key.str()));
    }
}

void TableReader::reportError(ErrorKind kind, const char* key, std::string_view value)
{
    const toml::node* node = m_table.get(key);
    std::string detail = key;
    if (!value.empty())
        detail += " = " + std::string(value);
    reportErrorAt(kind, node ? *node : static_cast<const toml::node&>(m_table), std::move(detail));
}

const toml::node* TableReader::find(const char* key, bool required)
{
    m_readKeys.insert(key);
    const toml::node* node = m_table.get(key);
    if (!node && required)
        reportError(ErrorKind::MissingValue, key);
    return node;
}

std::optional<std::uint64_t> TableReader::integer(const char* key, std::uint64_t low, std::uint64_t high, bool required)
{
    const toml::node* node = find(key, required);
    if (!node)
        return std::nullopt;
    const auto* value = node->as_integer();
    if (!value) {
        reportErrorAt(ErrorKind::WrongType, *node, key);
        return std::nullopt;
    }
    const std::int64_t number = value->get();
    if (number < 0 || static_cast<std::uint64_t>(number) < low || static_cast<std::uint64_t>(number) > high) {
        reportError(ErrorKind::OutOfRange, key, std::to_string(number) + ", allowed " + std::to_string(low) + " to " + std::to_string(high));
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(number);
}

std::optional<std::string> TableReader::identifier(const char* key)
{
    if (!find(key, true))
        return std::nullopt;
    std::string value;
    const std::size_t errorsBefore = m_reasons.size();
    text(key, value);
    if (m_reasons.size() != errorsBefore)
        return std::nullopt;
    if (value.empty() || value.size() > MAX_NAME_LENGTH || !std::all_of(value.begin(), value.end(), isNameCharacter)) {
        reportError(ErrorKind::OutOfRange, key, value);
        return std::nullopt;
    }
    return value;
}

void TableReader::reportErrorAt(ErrorKind kind, const toml::node& node, std::string detail)
{
    m_reasons.push_back(Reason { kind, node.source().begin.line, std::move(detail) });
}

std::optional<toml::table> parseToml(std::string_view text, Reasons& reasons)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        reasons.push_back(Reason { ErrorKind::SyntaxError, error.source().begin.line, std::string(error.description()) });
        return std::nullopt;
    } catch (const TomlAssertionError&) {
        reasons.push_back(Reason { ErrorKind::SyntaxError, 1, "malformed key" });
        return std::nullopt;
    }
}

} // namespace cornelwind
