#include "cornelwind/settings.h"

#include "table_reader.h"

namespace cornelwind {
namespace {

    constexpr std::uint64_t MAX_CONNECTIONS = 100000;
    constexpr std::uint64_t MAX_HEAD_BYTES = 1024 * 1024;
    constexpr std::uint64_t MAX_MILLIS = 24ULL * 3600 * 1000;
    constexpr std::uint64_t MAX_KEYS = 1000000;
    constexpr std::uint64_t MAX_STORED_BYTES = 64ULL * 1024 * 1024;
    constexpr std::uint64_t BYTES_PER_MEGABYTE = 1024 * 1024;
    constexpr std::uint64_t MAX_SERVER_BODY_BYTES = 1024ULL * 1024 * 1024;
    constexpr std::uint64_t MIN_MEMORY_MEGABYTES = 64;
    constexpr std::uint64_t MAX_MEMORY_MEGABYTES = 1024 * 1024;

    constexpr Choice<const char*> logLevels[] = {
        { "debug", "debug" }, { "info", "info" }, { "warn", "warn" }, { "error", "error" }
    };

    constexpr Choice<PlatformForm> platformForms[] = { { "sheet", PlatformForm::Sheet }, { "store", PlatformForm::Store } };

    class SettingsReader {
    public:
        explicit SettingsReader(Reasons& reasons)
            : m_reasons(reasons)
        {
        }

        void read(const toml::table& root)
        {
            TableReader reader(root, m_reasons);
            section(reader, "instance", &SettingsReader::readInstance);
            section(reader, "listen", &SettingsReader::readListen);
            section(reader, "platform", &SettingsReader::readPlatform);
            section(reader, "trace", &SettingsReader::readTrace);
            section(reader, "limits", &SettingsReader::readLimits);
            section(reader, "log", &SettingsReader::readLog);
            reader.tables("peer_route", [this](const toml::table& row) { readRoute(row); });
            reader.rejectUnknownKeys();
        }

        Settings take() { return std::move(m_settings); }

    private:
        using Section = void (SettingsReader::*)(TableReader&);

        // An absent section is read as an empty table, so that its missing required keys are reported.
        void section(TableReader& root, const char* name, Section readSection)
        {
            static const toml::table empty;
            const toml::table* table = root.table(name);
            TableReader reader(table ? *table : empty, m_reasons);
            (this->*readSection)(reader);
            reader.rejectUnknownKeys();
        }

        void readInstance(TableReader& reader)
        {
            reader.name("name", m_settings.name);
            reader.name("zone", m_settings.zone);
        }

        void readListen(TableReader& reader)
        {
            reader.endpoint("callers", m_settings.callers, true);
            reader.endpoint("peers", m_settings.peers, true);
            reader.endpoint("admin", m_settings.admin, true);
            reader.endpoint("advertised", m_settings.advertised);
            reader.endpoint("readiness", m_settings.readiness);
            reader.endpoints("seeds", m_settings.seeds);
        }

        void readPlatform(TableReader& reader)
        {
            reader.endpoint("address", m_settings.platform);
            reader.choice("form", platformForms, m_settings.platformForm);
            reader.texts("limits", m_settings.platformLimits);
        }

        void readTrace(TableReader& reader) { reader.endpoint("collector", m_settings.traceCollector); }

        void readLimits(TableReader& reader)
        {
            reader.number("connections", m_settings.maxConnections, 1, MAX_CONNECTIONS);
            reader.strong("head_bytes", m_settings.maxHead, 256, MAX_HEAD_BYTES);
            ByteCount memoryMegabytes { m_settings.memory.value() / BYTES_PER_MEGABYTE };
            reader.strong("memory_mb", memoryMegabytes, MIN_MEMORY_MEGABYTES, MAX_MEMORY_MEGABYTES);
            m_settings.memory = ByteCount { memoryMegabytes.value() * BYTES_PER_MEGABYTE };
            reader.strong("server_body_bytes", m_settings.serverBodyBytes, 1, MAX_SERVER_BODY_BYTES);
            reader.millis("receive_ms", m_settings.receiveTimeout, 1, MAX_MILLIS);
            reader.millis("stop_ms", m_settings.shutdownTimeout, 1, MAX_MILLIS);
            reader.millis("stop_notice_ms", m_settings.stopNotice, 1, MAX_MILLIS);
            reader.number("retry_allowance", m_settings.fleetRetryAllowance, 0, MAX_CONNECTIONS);
            reader.number("retry_percent", m_settings.retryPercent, 0, 100);
            reader.millis("key_lifetime_ms", m_settings.keyLifetime, 1, MAX_MILLIS);
            reader.number("keys", m_settings.maxKeys, 1, MAX_KEYS);
            reader.strong("stored_answer_bytes", m_settings.maxStoredResponses, 0, MAX_STORED_BYTES);
        }

        void readLog(TableReader& reader)
        {
            // `choice` changes `level` only if it reads a valid value, so a changed pointer means that there is one.
            const char* level = m_settings.logLevel.c_str();
            reader.choice("level", logLevels, level);
            if (level != m_settings.logLevel.c_str())
                m_settings.logLevel = level;
        }

        void readRoute(const toml::table& row)
        {
            TableReader reader(row, m_reasons);
            PeerRoute route;
            reader.name("instance", route.instance);
            reader.endpoint("via", route.via, true);
            reader.rejectUnknownKeys();
            m_settings.peerRoutes.push_back(std::move(route));
        }

        Settings m_settings;
        Reasons& m_reasons;
    };

} // namespace

std::optional<Settings> readSettings(std::string_view text, Reasons& reasons)
{
    const std::size_t errorsBefore = reasons.size();
    const auto root = parseToml(text, reasons);
    if (!root)
        return std::nullopt;
    SettingsReader reader(reasons);
    reader.read(*root);
    if (reasons.size() != errorsBefore)
        return std::nullopt;
    return reader.take();
}

} // namespace cornelwind
