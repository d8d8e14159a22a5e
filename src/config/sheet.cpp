#include "cornelwind/sheet.h"

#include "table_reader.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

namespace cornelwind {
namespace {

    constexpr std::uint64_t MAX_VERSION = std::numeric_limits<std::int64_t>::max();
    constexpr std::uint64_t MAX_SLOTS = 1000000;
    constexpr std::uint64_t MAX_CONNECTIONS = 100000;
    constexpr std::uint64_t MAX_MILLIS = 3600 * 1000;
    constexpr std::uint64_t MAX_TRIES = 5;
    constexpr std::uint64_t LOWEST_PRIORITY = 9;
    // Highest rate and burst of a workspace that is accepted, in requests a second and requests.
    constexpr double MAX_RATE = 1e9;
    // A smaller burst would never let a request pass.
    constexpr double MIN_BURST = 1;
    constexpr std::uint64_t MIN_HEAD_BYTES = 1024;
    constexpr std::uint64_t MAX_HEAD_BYTES = 1024 * 1024;
    constexpr std::uint64_t MAX_MESSAGE_BYTES = 16ULL * 1024 * 1024;

    constexpr Choice<Weighting> weightings[] = {
        { "detection-time", Weighting::DetectionTime },
        { "balanced", Weighting::Balanced },
        { "false-ejections", Weighting::FalseEjections },
    };
    constexpr Choice<RequestKind> requestKinds[] = {
        { "idempotent", RequestKind::Idempotent },
        { "at-most-once", RequestKind::AtMostOnce },
    };
    constexpr Choice<KeyMode> keyModes[] = { { "owner", KeyMode::Owner }, { "none", KeyMode::None } };
    constexpr Choice<RunLimit> runLimits[] = {
        { "caller-deadline", RunLimit::CallerDeadline },
        { "time-limit", RunLimit::TimeLimit },
    };
    constexpr Choice<ConnectionUse> connectionUses[] = {
        { "reuse", ConnectionUse::Reuse },
        { "fresh", ConnectionUse::Fresh },
    };

    class TomlSheetReader {
    public:
        explicit TomlSheetReader(Reasons& reasons)
            : m_reasons(reasons)
        {
        }

        void read(const toml::table& root)
        {
            TableReader reader(root, m_reasons);
            reader.strong("version", m_sheet.version, 1, MAX_VERSION, true);
            readCallerLimits(reader);
            reader.tables("service", [this](const toml::table& row) { readService(row); });
            reader.tables("rule", [this](const toml::table& row) { readRule(row); });
            readWorkspaces(reader, root);
            reader.rejectUnknownKeys();
        }

        Sheet take() { return std::move(m_sheet); }

    private:
        void readCallerLimits(TableReader& reader)
        {
            CallerLimits limits;
            reader.strong("max_head_bytes", limits.maxHeadBytes, MIN_HEAD_BYTES, MAX_HEAD_BYTES);
            reader.millis("head_time_ms", limits.headTimeout, 1, MAX_MILLIS);
            reader.millis("idle_time_ms", limits.idleTimeout, 1, MAX_MILLIS);
            if (limits != CallerLimits {})
                m_sheet.callers = limits;
        }

        void readService(const toml::table& row)
        {
            TableReader reader(row, m_reasons);
            SheetService service;
            reader.name("name", service.name);
            reader.strong("floor_slots", service.floorSlots, 0, MAX_SLOTS);
            reader.choice("weighting", weightings, service.weighting);
            reader.number("shed_status", service.shedStatus, 400, 599);
            reader.text("shed_header", service.shedHeader);
            reader.text("drain_header", service.drainHeader);
            reader.text("health_path", service.healthPath);
            reader.number("retry_percent", service.retryPercent, 0, 100);
            reader.number("queue_limit", service.queueLimit, 0, 100000);
            reader.millis("queue_ms", service.maxQueueTime, 0, MAX_MILLIS);
            reader.millis("cold_start_ms", service.coldStart, 0, MAX_MILLIS);
            reader.tables("server", [&](const toml::table& server) { readServer(server, service); });
            reader.rejectUnknownKeys();
            checkFloor(reader, service);
            if (!m_serviceIndex.emplace(service.name, m_sheet.services.size()).second)
                reader.reportError(ErrorKind::DuplicateName, "name", service.name.value());
            m_sheet.services.push_back(std::move(service));
        }

        static void checkFloor(TableReader& reader, const SheetService& service)
        {
            const auto add = [](std::uint64_t sum, const SheetServer& server) { return sum + server.slots.value(); };
            const std::uint64_t total = std::accumulate(service.servers.begin(), service.servers.end(), std::uint64_t { 0 }, add);
            if (service.floorSlots.value() > total)
                reader.reportError(ErrorKind::OutOfRange, "floor_slots", "more than the total slots of its servers");
        }

        void readServer(const toml::table& row, SheetService& service)
        {
            TableReader reader(row, m_reasons);
            SheetServer server;
            reader.name("name", server.name);
            reader.endpoint("address", server.address, true);
            reader.name("zone", server.zone);
            reader.strong("slots", server.slots, 1, MAX_SLOTS, true);
            reader.number("connections", server.connections, 1, MAX_CONNECTIONS);
            reader.rejectUnknownKeys();
            if (!m_serverNames.insert(server.name).second)
                reader.reportError(ErrorKind::DuplicateName, "name", server.name.value());
            service.servers.push_back(std::move(server));
        }

        void readRule(const toml::table& row)
        {
            TableReader reader(row, m_reasons);
            SheetRule rule;
            reader.text("method", rule.method, true);
            reader.text("path", rule.path, true);
            if (!rule.path.empty() && rule.path.front() != '/')
                reader.reportError(ErrorKind::OutOfRange, "path", rule.path);
            readServiceOfRule(reader, rule);
            reader.choice("kind", requestKinds, rule.kind, true);
            // Defaults of idempotent requests, which the keys read below override.
            if (rule.kind == RequestKind::Idempotent) {
                rule.connection = ConnectionUse::Reuse;
                rule.tries = 2;
            }
            reader.choice("key", keyModes, rule.key);
            reader.choice("connection", connectionUses, rule.connection);
            reader.number("priority", rule.priority, 0, LOWEST_PRIORITY);
            reader.flag("public", rule.isPublic);
            reader.millis("time_limit_ms", rule.timeLimit, 1, MAX_MILLIS);
            reader.choice("run_limit", runLimits, rule.runLimit);
            reader.number("tries", rule.tries, 1, MAX_TRIES);
            reader.strong("max_body_bytes", rule.maxBody, 0, MAX_MESSAGE_BYTES);
            reader.strong("max_answer_bytes", rule.maxResponse, 0, MAX_MESSAGE_BYTES);
            reader.millis("hedge_after_ms", rule.hedgeAfter, 1, MAX_MILLIS);
            reader.rejectUnknownKeys();
            checkAtMostOnce(reader, rule);
            checkRunLimit(reader, rule);
            if (!m_rulePaths.insert(rule.method + " " + rule.path).second)
                reader.reportError(ErrorKind::DuplicateName, "path", rule.method + " " + rule.path);
            m_sheet.rules.push_back(std::move(rule));
        }

        void readWorkspaces(TableReader& reader, const toml::table& root)
        {
            if (!root.contains("workspace"))
                return;
            WorkspaceDirectory::Builder builder;
            reader.tables("workspace", [&](const toml::table& row) { readWorkspace(row, builder); });
            m_sheet.workspaces = std::make_shared<const WorkspaceDirectory>(builder.build());
        }

        void readWorkspace(const toml::table& row, WorkspaceDirectory::Builder& builder)
        {
            TableReader reader(row, m_reasons);
            Workspace workspace;
            std::vector<std::string> keys;
            double rate = 0;
            double burst = 0;
            std::uint32_t priority = 0;
            reader.name("name", workspace.name);
            reader.texts("keys", keys);
            reader.number("priority", priority, 0, LOWEST_PRIORITY);
            reader.decimal("rate", rate, MAX_RATE);
            reader.decimal("burst", burst, MAX_RATE);
            reader.rejectUnknownKeys();
            if (row.contains("priority"))
                workspace.priority = priority;
            if (rate > 0)
                workspace.quota = WorkspaceQuota { rate, std::max(burst, MIN_BURST) };
            const std::string name = workspace.name.value();
            if (!builder.addWorkspace(std::move(workspace)))
                return reader.reportError(ErrorKind::DuplicateName, "name", name);
            // What is reported gets into logs, so it names no key.
            if (!std::all_of(keys.begin(), keys.end(), [&](const std::string& key) { return builder.addKey(key); }))
                reader.reportError(ErrorKind::OutOfRange, "keys", "a key of workspace " + name + " is empty, too long, has white space or control bytes, or is also a key of another workspace");
        }

        void readServiceOfRule(TableReader& reader, SheetRule& rule)
        {
            ServiceName service;
            reader.name("service", service);
            const auto found = m_serviceIndex.find(service);
            if (found != m_serviceIndex.end())
                rule.service = static_cast<std::uint32_t>(found->second);
            else if (!service.value().empty())
                reader.reportError(ErrorKind::UnknownService, "service", service.value());
        }

        static void checkAtMostOnce(TableReader& reader, const SheetRule& rule)
        {
            if (rule.kind != RequestKind::AtMostOnce)
                return;
            if (rule.tries != 1)
                reader.reportError(ErrorKind::OutOfRange, "tries", "more than the 1 allowed for an at-most-once request");
            if (rule.hedgeAfter)
                reader.reportError(ErrorKind::OutOfRange, "hedge_after_ms", "set for an at-most-once request, which must not be hedged");
        }

        static void checkRunLimit(TableReader& reader, const SheetRule& rule)
        {
            const bool hasKey = rule.kind == RequestKind::AtMostOnce && rule.key == KeyMode::Owner;
            if (rule.runLimit == RunLimit::TimeLimit && !hasKey)
                reader.reportError(ErrorKind::OutOfRange, "run_limit", "time-limit for a request without a key, whose result no later request can get");
        }

        Sheet m_sheet;
        Reasons& m_reasons;
        std::unordered_map<ServiceName, std::size_t> m_serviceIndex;
        std::unordered_set<ServerName> m_serverNames;
        std::set<std::string> m_rulePaths;
    };

    /// @return the text of the sheet with a digest in place of each API key; the same text if it holds no key
    std::string withoutApiKeys(std::string_view text, toml::table root)
    {
        bool isChanged = false;
        toml::array* workspaces = root["workspace"].as_array();
        for (std::size_t i = 0; workspaces && i < workspaces->size(); ++i) {
            toml::array* keys = workspaces->get(i)->as_table()->get_as<toml::array>("keys");
            for (std::size_t j = 0; keys && j < keys->size(); ++j) {
                std::string& key = keys->get(j)->as_string()->get();
                std::string digest = WorkspaceDirectory::digestText(key);
                isChanged = isChanged || digest != key;
                key = std::move(digest);
            }
        }
        if (!isChanged)
            return std::string(text);
        std::ostringstream out;
        out << root;
        return out.str();
    }

} // namespace

std::optional<Sheet> readSheet(std::string_view text, Reasons& reasons)
{
    const std::size_t errorsBefore = reasons.size();
    if (text.size() > MAX_SHEET_BYTES) {
        reasons.push_back(Reason { ErrorKind::SheetTooLarge, 0, std::to_string(text.size()) + " bytes" });
        return std::nullopt;
    }
    const auto root = parseToml(text, reasons);
    if (!root)
        return std::nullopt;
    TomlSheetReader reader(reasons);
    reader.read(*root);
    if (reasons.size() != errorsBefore)
        return std::nullopt;
    Sheet sheet = reader.take();
    sheet.text = withoutApiKeys(text, *root);
    sheet.hash = SheetHash { XXH3_64bits(sheet.text.data(), sheet.text.size()) };
    if (sheet.text.size() > MAX_SHEET_BYTES) {
        reasons.push_back(Reason { ErrorKind::SheetTooLarge, 0, std::to_string(sheet.text.size()) + " bytes with digests of the API keys" });
        return std::nullopt;
    }
    return sheet;
}

} // namespace cornelwind
