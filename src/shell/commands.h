#pragma once

#include <optional>
#include <string>

namespace cornelwind {

/// Exit codes of the program, as documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Ok = 0,
    /// Settings or sheet have faults.
    Faulty = 1,
    /// The command line is not valid.
    Usage = 2,
    /// A listener could not be opened.
    ListenFailed = 3,
    /// The admin listener did not answer.
    Unreachable = 4,
};

/// Values of the command line.
struct Arguments {
    std::string command;
    std::optional<std::string> settings;
    std::optional<std::string> sheet;
    std::optional<std::string> admin;
    /// Name of a request whose story is read from standard input.
    std::optional<std::string> request;
    std::string subject;
};

/// Runs a command.
///
/// @return the code to exit with
ExitCode runCommand(const Arguments& arguments);

} // namespace cornelwind
