#pragma once

#include <string>
#include <string_view>

namespace cornelwind {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// The parts of the program, each with a fixed prefix in its log lines.
enum class LogPart {
    Main,
    Caller,
    Server,
    Peer,
    Platform,
    Decision,
    Admin,
};

/// Starts logging to standard error.
///
/// @param instance shown on each line
/// @param level one of debug, info, warn, error
void startLog(const std::string& instance, const std::string& level);

/// Writes one line. Text from callers must be escaped before.
void logLine(LogLevel level, LogPart part, const std::string& sentence);

/// @return `text` with control characters, quotes and non-ASCII bytes as \xNN, cut to `most` characters
std::string escapeForLog(std::string_view text, std::size_t most = 200);

} // namespace cornelwind
