#include "platform_store.h"

namespace cornelwind::test {
namespace {

    std::string encodeBase64(const std::string& bytes)
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

    std::string item(const std::string& key, const std::string& value)
    {
        return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","rev":1,"createRev":1,"lease":0,"asOf":1})";
    }

    std::string route(const std::string& kind)
    {
        return "\"" + kind + R"(":{"host":"test","prefix":"/)" + kind + R"(/","kind":")" + kind + R"(","timeoutS":2,"targetLatencyS":1,"attempts":2,"service":"service"})";
    }

} // namespace

void PlatformStore::add(const std::string& server, const std::string& service, int slots)
{
    const std::string entry = R"({"service":")" + service + R"(","address":")" + m_fleet.serverAddress(server) + R"(","zone":"leon","version":"v1","slots":)"
        + std::to_string(slots) + R"(,"state":"ready","warmupLeftS":0,"seq":1,"born":1})";
    m_items += (m_items.empty() ? "" : ",") + item("servers/" + server, entry);
}

void PlatformStore::publish()
{
    const std::string configuration = R"({"version":"00000001","services":{"service":{"maxConnections":330}},"routes":{)" + route("safe") + "," + route("unsafe") + "}}";
    call(m_fleet.platformAddress(), "PUT", "/api/kv-key", {}, item("op/config", configuration));
    call(m_fleet.platformAddress(), "PUT", "/api/kv-range", {}, R"({"items":[)" + m_items + R"(],"hasMore":false,"asOf":1})");
}

std::string PlatformStore::settings()
{
    return "form = \"store\"\nlimits = [\"graceS=6\", \"retryBudgetRatio=0.2\", \"budgetSlack=58\"]\n[limits]\nstop_notice_ms = 3000\n";
}

} // namespace cornelwind::test
