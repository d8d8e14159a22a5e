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

/// The component that logs. Its name is the value of `part` in the log line.
enum class LogComponent {
    Main,
    Caller,
    Server,
    Peer,
    Platform,
    Decision,
    Admin,
    Request,
};

/// Starts logging to standard output, one line per event in logfmt format.
///
/// Lines are queued in memory and written by `flushLog`. The queue holds at most
/// `MAX_QUEUED_LOG_BYTES`; lines that do not fit are dropped and counted.
///
/// @param instance name of this entry instance, written in each line
/// @param level lowest level that is logged: debug, info, warn or error; any other text means info
void configureLog(const std::string& instance, const std::string& level);

/// Logs a sentence for people to read, in the field `msg`.
///
/// @param message the sentence to log; text that comes from outside must be escaped with `escapeForLog`
void logMessage(LogLevel level, LogComponent component, const std::string& message);

/// Logs an event, in the field `event`, with structured fields.
///
/// @param event constant name of the event
/// @param fields `key=value` pairs, each preceded by a space; text that comes from outside must be
///        escaped with `escapeForLog`
void logEvent(LogLevel level, LogComponent component, const char* event, const std::string& fields);

/// Writes queued lines to standard output until it accepts no more without blocking. Never blocks.
void flushLog();

/// @return number of lines dropped because standard output was read too slowly
std::uint64_t droppedLogLines();

/// Size limit of the queue of unwritten log lines, in bytes.
inline constexpr std::size_t MAX_QUEUED_LOG_BYTES = 1024 * 1024;

/// Makes text safe to put into a log line.
///
/// @param maxLength once the result has this many characters, the rest of `text` is replaced by "..."; an escape is never cut
/// @return `text` with control characters, quotes, backslashes and non-ASCII bytes written as `\xNN`
std::string escapeForLog(std::string_view text, std::size_t maxLength = 200);

} // namespace cornelwind
