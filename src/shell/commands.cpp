#include "commands.h"

#include "cornelwind/error.h"
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"
#include "file_watch.h"
#include "http_client.h"
#include "instance.h"
#include "log.h"
#include "metadata_store_watcher.h"
#include "platform/adapter.h"
#include "platform/store_client.h"
#include "platform/values.h"
#include "platform_poller.h"
#include "random_bits.h"
#include "request_timeline.h"

#include <malloc.h>

#include <array>
#include <boost/json.hpp>
#include <boost/url.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr Duration ADMIN_TIMEOUT = std::chrono::seconds(5);

    ExitCode reportFailure(ExitCode code, const Reason& reason)
    {
        std::cerr << format(reason, "cornelwind") << "\n";
        return code;
    }

    std::optional<std::string> readFile(const std::string& path, Reasons& reasons)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        if (file && text << file.rdbuf())
            return text.str();
        reasons.push_back({ ErrorKind::FileUnreadable, 0, path });
        return std::nullopt;
    }

    void print(const Reasons& reasons, const std::string& path)
    {
        for (const Reason& reason : reasons)
            std::cerr << format(reason, path) << "\n";
    }

    // Reads a settings file. Prints its errors to standard error.
    std::optional<Settings> loadSettings(const std::string& path)
    {
        Reasons reasons;
        const auto text = readFile(path, reasons);
        auto settings = text ? readSettings(*text, reasons) : std::nullopt;
        if (settings && !platform::applyLimits(*settings, reasons))
            settings.reset();
        print(reasons, path);
        return settings;
    }

    // Prints a summary of a valid sheet, else its errors. Returns whether it is valid.
    bool checkSheet(const std::string& path)
    {
        Reasons reasons;
        const auto text = readFile(path, reasons);
        const auto sheet = text ? readSheet(*text, reasons) : std::nullopt;
        print(reasons, path);
        if (sheet)
            std::cout << path << ": version " << sheet->version.value() << ", " << sheet->services.size() << " services, " << sheet->rules.size() << " rules\n";
        return sheet.has_value();
    }

    std::unique_ptr<PlatformSource> makePlatformPoller(boost::asio::io_context& io, HttpClient& client, const Endpoint& address, PlatformSource::Handler handler)
    {
        return std::make_unique<PlatformPoller>(io, client, address, std::move(handler));
    }

    std::unique_ptr<PlatformSource> makeMetadataStoreWatcher(boost::asio::io_context& io, HttpClient& client, const Endpoint& address, PlatformSource::Handler handler)
    {
        return std::make_unique<MetadataStoreWatcher>(std::make_unique<AsioTimer>(io), std::make_unique<platform::StoreClient>(client, address), std::move(handler), randomBits);
    }

    PlatformAdapter makePlatformAdapter(const Settings& settings, const std::string& path)
    {
        PlatformAdapter adapter;
        adapter.reload = [path] { return loadSettings(path); };
        adapter.settingsChanged = [watch = std::make_shared<FileWatch>(path)] { return watch->changed(); };
        adapter.makeSource = makePlatformPoller;
        if (settings.platformForm == PlatformForm::Sheet)
            return adapter;
        adapter.makeSource = makeMetadataStoreWatcher;
        adapter.conventions = platform::makeConventions();
        adapter.sheetReader = [percent = settings.retryPercent](std::string_view text, Reasons& reasons) { return platform::readConfiguration(text, percent, reasons); };
        return adapter;
    }

    // Makes the C library return the memory of large messages to the system at once. Otherwise it keeps freed blocks for later
    // use, and a process that has held large messages may need twice their size.
    void returnLargeBlocks()
    {
        constexpr int largeBlockBytes = 128 * 1024;
        mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    }

    ExitCode serve(const Arguments& arguments)
    {
        if (!arguments.settings)
            return reportFailure(ExitCode::Usage, { ErrorKind::Usage, 0, "serve needs --settings" });
        auto settings = loadSettings(*arguments.settings);
        if (!settings)
            return ExitCode::InvalidInput;
        returnLargeBlocks();
        configureLog(settings->name.value(), settings->logLevel);
        PlatformAdapter adapter = makePlatformAdapter(*settings, *arguments.settings);
        Instance instance(std::move(*settings), std::move(adapter));
        Reason reason;
        if (!instance.start(reason))
            return reportFailure(ExitCode::ListenFailed, reason);
        instance.run();
        return ExitCode::Ok;
    }

    ExitCode check(const Arguments& arguments)
    {
        if (!arguments.settings && !arguments.sheet)
            return reportFailure(ExitCode::Usage, { ErrorKind::Usage, 0, "check needs --settings or --sheet" });
        bool allValid = true;
        if (arguments.settings) {
            const bool valid = loadSettings(*arguments.settings).has_value();
            if (valid)
                std::cout << *arguments.settings << ": ok\n";
            allValid = valid;
        }
        if (arguments.sheet)
            allValid = checkSheet(*arguments.sheet) && allValid;
        return allValid ? ExitCode::Ok : ExitCode::InvalidInput;
    }

    // Returns the admin address from the command line, else the one in the settings.
    std::optional<Endpoint> adminAddress(const Arguments& arguments)
    {
        if (arguments.admin)
            return parseEndpoint(*arguments.admin);
        if (!arguments.settings)
            return std::nullopt;
        const auto settings = loadSettings(*arguments.settings);
        return settings ? std::optional(settings->admin) : std::nullopt;
    }

    // Sends a request to the admin listener and waits for the response; null if none arrives within ADMIN_TIMEOUT.
    ResponsePtr callAdmin(const Endpoint& admin, const std::string& method, const std::string& target)
    {
        boost::asio::io_context io;
        HttpClient client(io);
        HttpCall call;
        call.address = admin;
        call.method = method;
        call.target = target;
        call.deadline = steadyNow() + ADMIN_TIMEOUT;
        call.maxResponse = 16 * 1024 * 1024;
        ResponsePtr response;
        client.start(std::move(call), [&](const HttpResult& result) {
            response = result.response;
            io.stop();
        });
        io.run();
        return response;
    }

    std::string textOf(const json::object& object, const char* key)
    {
        const json::value& value = object.at(key);
        if (value.is_double()) {
            std::ostringstream text;
            text << std::fixed << std::setprecision(1) << value.get_double();
            return text.str();
        }
        return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
    }

    void printServers(const json::object& body)
    {
        for (const json::value& entry : body.at("servers").as_array()) {
            const json::object& server = entry.as_object();
            std::cout << "server " << textOf(server, "name") << " of " << textOf(server, "service") << ": " << textOf(server, "standing")
                      << ", " << textOf(server, "in_flight") << " of " << textOf(server, "slots") << " slots here, score "
                      << textOf(server, "score") << " of " << textOf(server, "threshold") << "\n";
        }
    }

    void printStatus(const json::object& body)
    {
        for (const auto& [key, value] : body) {
            if (!value.is_array())
                std::cout << key << ": " << textOf(body, std::string(key).c_str()) << "\n";
        }
        printServers(body);
        for (const json::value& entry : body.at("members").as_array()) {
            const json::object& member = entry.as_object();
            std::cout << "member " << textOf(member, "name") << " in " << textOf(member, "zone") << ": " << textOf(member, "state") << "\n";
        }
    }

    void printExplanation(const json::object& body)
    {
        for (const json::value& entry : body.at("decisions").as_array()) {
            const json::object& decision = entry.as_object();
            std::cout << textOf(decision, "age_ms") << " ms ago: " << textOf(decision, "decision") << " " << textOf(decision, "subject") << ": "
                      << textOf(decision, "evidence");
            if (!decision.at("bound").as_string().empty())
                std::cout << "; " << textOf(decision, "bound");
            std::cout << "\n";
        }
        printServers(body);
    }

    void printText(const std::string& body)
    {
        std::cout << body;
    }

    // Prints a JSON object with `printObject`, and any other body unchanged.
    template <void (*printObject)(const json::object&)>
    void printJson(const std::string& body)
    {
        json::error_code error;
        const json::value value = json::parse(body, error);
        if (!error && value.is_object())
            printObject(value.get_object());
        else
            printText(body);
    }

    struct AdminCommand {
        const char* name;
        const char* method;
        const char* path;
        void (*print)(const std::string& body);
    };

    constexpr std::array ADMIN_COMMANDS {
        AdminCommand { "status", "GET", "/status", &printJson<&printStatus> },
        AdminCommand { "explain", "GET", "/explain", &printJson<&printExplanation> },
        AdminCommand { "metrics", "GET", "/metrics", &printText },
        AdminCommand { "drain", "POST", "/drain", &printText },
    };

    ExitCode runAdminCommand(const AdminCommand& command, const Arguments& arguments)
    {
        const auto admin = adminAddress(arguments);
        if (!admin)
            return reportFailure(ExitCode::Usage, { ErrorKind::Usage, 0, std::string(command.name) + " needs --admin HOST:PORT or --settings" });
        boost::urls::url target;
        target.set_path(command.path);
        if (!arguments.subject.empty())
            target.params().append({ "subject", arguments.subject });
        const ResponsePtr response = callAdmin(*admin, command.method, std::string(target.buffer()));
        if (!response)
            return reportFailure(ExitCode::Unreachable, { ErrorKind::AdminUnreachable, 0, toString(*admin) });
        command.print(response->body);
        return ExitCode::Ok;
    }

    // Prints the events of a request found in the logs on standard input.
    ExitCode explainRequest(const std::string& request)
    {
        const std::vector<std::string> lines = buildRequestTimeline(std::cin, request);
        for (const std::string& line : lines)
            std::cout << line << "\n";
        if (lines.empty())
            return reportFailure(ExitCode::InvalidInput, { ErrorKind::RequestNotLogged, 0, escapeForLog(request) });
        return ExitCode::Ok;
    }

} // namespace

ExitCode runCommand(const Arguments& arguments)
{
    if (arguments.command == "serve")
        return serve(arguments);
    if (arguments.command == "check")
        return check(arguments);
    if (arguments.command == "explain" && arguments.request)
        return explainRequest(*arguments.request);
    for (const AdminCommand& command : ADMIN_COMMANDS) {
        if (arguments.command == command.name)
            return runAdminCommand(command, arguments);
    }
    return reportFailure(ExitCode::Usage, { ErrorKind::Usage, 0, "unknown command '" + escapeForLog(arguments.command) + "'" });
}

} // namespace cornelwind
