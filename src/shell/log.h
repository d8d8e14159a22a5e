#pragma once

#include <cstdint>
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
    Request,
};

/// Starts logging to standard output, one line an event (logfmt).
///
/// Lines are queued and written by `flushLog`; at most `MAX_QUEUED_LOG_BYTES`
/// are held. What does not fit is dropped and counted.
///
/// @param instance shown on each line
/// @param level one of debug, info, warn, error
void startLog(const std::string& instance, const std::string& level);

/// Writes one sentence. Text from callers must be escaped before.
void logLine(LogLevel level, LogPart part, const std::string& sentence);

/// Writes one event with its fields.
///
/// @param event fixed name of the event
/// @param fields `key=value` pairs, each preceded by a space; texts escaped
void logEvent(LogLevel level, LogPart part, const char* event, const std::string& fields);

/// Writes queued lines as far as standard output takes them at once. Never blocks.
void flushLog();

/// @return lines dropped because the reader of standard output was too slow
std::uint64_t droppedLogLines();

inline constexpr std::size_t MAX_QUEUED_LOG_BYTES = 1024 * 1024;

/// @return `text` with control characters, quotes and non-ASCII bytes as \xNN, cut to `most` characters
std::string escapeForLog(std::string_view text, std::size_t most = 200);

} // namespace cornelwind
