#include "platform_store.h"

#include <cstdio>

namespace cornelwind::test {
namespace {

    std::string route(const std::string& kind)
    {
        return "\"" + kind + R"(":{"host":"test","prefix":"/)" + kind + R"(/","kind":")" + kind + R"(","timeoutS":2,"targetLatencyS":1,"attempts":2,"service":"service"})";
    }

} // namespace

std::string PlatformStore::encodeBase64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return text;
}

std::string PlatformStore::escapeJson(const std::string& text)
{
    std::string escaped;
    for (const char c : text) {
        char unicode[7];
        std::snprintf(unicode, sizeof unicode, "\\u%04x", static_cast<unsigned char>(c));
        const bool isControl = static_cast<unsigned char>(c) < 0x20;
        escaped += isControl ? std::string(unicode) : (c == '"' || c == '\\' ? "\\" : "") + std::string(1, c);
    }
    return escaped;
}

std::string PlatformStore::item(const std::string& key, const std::string& value) const
{
    const std::string revision = std::to_string(nextRevision());
    return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","rev":)" + revision + R"(,"createRev":1,"lease":0,"asOf":)" + revision + "}";
}

std::string PlatformStore::entryAt(const std::string& address, const std::string& service, int slots)
{
    return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":"leon","version":"v1","slots":)"
        + std::to_string(slots) + R"(,"state":"ready","warmupLeftS":0,"seq":1,"born":1})";
}

std::string PlatformStore::entry(const std::string& server, const std::string& service, int slots) const
{
    return entryAt(m_fleet.serverAddress(server), service, slots);
}

std::string PlatformStore::configuration(int version, const std::string& extraRoute)
{
    char text[9];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(version));
    return R"({"version":")" + std::string(text) + R"(","services":{"service":{"maxConnections":330}},"routes":{)" + route("safe") + "," + route("unsafe")
        + (extraRoute.empty() ? "" : "," + extraRoute) + "}}";
}

void PlatformStore::add(const std::string& server, const std::string& service, int slots)
{
    addItem(item("servers/" + server, entry(server, service, slots)));
}

void PlatformStore::publish(const std::string& configuration)
{
    const std::string body = R"({"items":[)" + m_items + R"(],"hasMore":false,"asOf":)" + std::to_string(nextRevision()) + "}";
    call(m_fleet.platformAddress(), "PUT", "/api/kv-key", {}, item("op/config", configuration.empty() ? PlatformStore::configuration(1) : configuration));
    call(m_fleet.platformAddress(), "PUT", "/api/kv-range", {}, body);
    ++m_revision;
}

void PlatformStore::publishPages(const std::vector<KeyedItem>& items, int pageItems)
{
    std::string lines;
    for (const KeyedItem& row : items) {
        for (const char c : row.key) {
            char encoded[4];
            std::snprintf(encoded, sizeof encoded, "%%%02x", static_cast<unsigned char>(c));
            lines += encoded;
        }
        lines += " " + item(escapeJson(row.key), row.value) + "\n";
    }
    call(m_fleet.platformAddress(), "PUT", "/api/kv-key", {}, item("op/config", PlatformStore::configuration(1)));
    call(m_fleet.platformAddress(), "PUT", "/api/kv-list?asOf=" + std::to_string(nextRevision()) + "&pageItems=" + std::to_string(pageItems), {}, lines);
    ++m_revision;
}

void PlatformStore::forgetHistory()
{
    call(m_fleet.platformAddress(), "PUT", "/control", {}, "history_from=" + std::to_string(m_revision) + "\n");
}

void PlatformStore::change(const std::vector<std::string>& items)
{
    std::string events;
    for (const std::string& item : items)
        events += (events.empty() ? "" : ",") + item;
    const std::string revision = std::to_string(++m_revision);
    call(m_fleet.platformAddress(), "PUT", "/api/kv-watch", {}, R"({"asOf":)" + revision + R"(,"events":[)" + events + "]}");
}

std::string PlatformStore::settings()
{
    return "form = \"store\"\nlimits = [\"graceS=6\", \"retryBudgetRatio=0.2\", \"budgetSlack=58\"]\n[limits]\nstop_notice_ms = 3000\n";
}

} // namespace cornelwind::test
