#pragma once

#include <optional>
#include <string>

namespace cornelwind {

/// Exit codes of the program, documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Ok = 0,
    /// The settings or the sheet are unreadable or invalid, or the logs do not contain the request.
    InvalidInput = 1,
    /// The command line is not valid.
    Usage = 2,
    /// A listener cannot be opened.
    ListenFailed = 3,
    /// The admin listener does not respond.
    Unreachable = 4,
};

/// Parsed command line.
struct Arguments {
    std::string command;
    /// Path of the settings file.
    std::optional<std::string> settings;
    /// Path of the sheet that `check` reads.
    std::optional<std::string> sheet;
    /// Address of the admin listener, `HOST:PORT`.
    std::optional<std::string> admin;
    /// Id of the request that `explain` looks up in the logs on standard input.
    std::optional<std::string> request;
    /// Backend server, service or entry instance about which `explain` shows the decisions; empty for all.
    std::string subject;
};

/// Runs a command. Writes results to standard output and errors to standard error.
///
/// @param arguments parsed command line
/// @return exit code of the program
ExitCode runCommand(const Arguments& arguments);

} // namespace cornelwind
