#include "commands.h"

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

constexpr const char* VERSION = "cornelwind 0.1.0";

constexpr const char* COMMAND_HELP = R"(
Commands:
  serve    run an entry instance             --settings FILE
  check    check settings or a sheet         --settings FILE | --sheet FILE
  status   show the state of an instance     --admin HOST:PORT | --settings FILE
  explain  show the reasons for decisions    [SUBJECT]
           show the events of a request      --request ID < LOGS
  metrics  show the metrics of an instance
  drain    stop an instance without aborting requests

Exit codes: 0 ok, 1 invalid settings or sheet, 2 invalid command line,
3 listener cannot be opened, 4 admin listener does not respond.
)";

struct PoptDeleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

// Copies a string that popt allocated, then frees it.
std::optional<std::string> takeString(char* value)
{
    if (!value)
        return std::nullopt;
    std::string text = value;
    std::free(value);
    return text;
}

} // namespace

int main(int argc, const char** argv)
{
    // SIGHUP requests a reload of the settings. Before they are loaded it is ignored, because its default action
    // ends the process.
    std::signal(SIGHUP, SIG_IGN);
    char* settings = nullptr;
    char* sheet = nullptr;
    char* admin = nullptr;
    char* request = nullptr;
    int help = 0;
    int version = 0;
    const poptOption options[] = {
        { "settings", 's', POPT_ARG_STRING, &settings, 0, "settings of the entry instance", "FILE" },
        { "sheet", 0, POPT_ARG_STRING, &sheet, 0, "sheet to check", "FILE" },
        { "admin", 'a', POPT_ARG_STRING, &admin, 0, "admin listener of the entry instance", "HOST:PORT" },
        { "request", 'r', POPT_ARG_STRING, &request, 0, "request to explain from logs on standard input", "ID" },
        { "help", 'h', POPT_ARG_NONE, &help, 0, "show this help", nullptr },
        { "version", 'v', POPT_ARG_NONE, &version, 0, "show the version", nullptr },
        POPT_TABLEEND
    };
    const std::unique_ptr<poptContext_s, PoptDeleter> context(poptGetContext("cornelwind", argc, argv, options, 0));
    poptSetOtherOptionHelp(context.get(), "COMMAND [OPTION...]");
    const int parsed = poptGetNextOpt(context.get());
    if (parsed < -1) {
        std::cerr << "cornelwind: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(parsed) << ". Run cornelwind --help.\n";
        return static_cast<int>(cornelwind::ExitCode::Usage);
    }
    if (version) {
        std::cout << VERSION << "\n";
        return static_cast<int>(cornelwind::ExitCode::Ok);
    }
    const char* command = poptGetArg(context.get());
    if (help || !command) {
        poptPrintHelp(context.get(), help ? stdout : stderr, 0);
        (help ? std::cout : std::cerr) << COMMAND_HELP;
        return static_cast<int>(help ? cornelwind::ExitCode::Ok : cornelwind::ExitCode::Usage);
    }
    cornelwind::Arguments arguments;
    arguments.command = command;
    arguments.settings = takeString(settings);
    arguments.sheet = takeString(sheet);
    arguments.admin = takeString(admin);
    arguments.request = takeString(request);
    if (const char* subject = poptGetArg(context.get()))
        arguments.subject = subject;
    return static_cast<int>(cornelwind::runCommand(arguments));
}
