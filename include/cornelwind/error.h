#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cornelwind {

/// Every error that cornelwind reports. The table in error.cpp has one row for each, in this order.
enum class ErrorKind : std::uint8_t {
    None,
    // Errors returned to callers.
    MalformedRequest,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    TooManyConnections,
    NoSheet,
    NoRoute,
    KeyRequired,
    KeyInvalid,
    KeyExpired,
    KeyMismatch,
    OwnerUnreachable,
    AnswerNotHeld,
    QueueFull,
    QueueTimeout,
    NoServer,
    ServersLimited,
    DeadlinePassed,
    ServerShed,
    ServerUnreachable,
    ServerFailed,
    AnswerTooLarge,
    RequestQuarantined,
    Draining,
    ApiKeyRejected,
    ApiKeysUnconfirmed,
    QuotaExceeded,
    MemoryShort,
    // Errors in settings and sheet.
    FileUnreadable,
    SyntaxError,
    UnknownKey,
    WrongType,
    MissingValue,
    OutOfRange,
    DuplicateName,
    UnknownService,
    InvalidAddress,
    SheetTooLarge,
    OlderSheet,
    ConflictingSheet,
    // Errors of the command line and the admin listener.
    Usage,
    ListenFailed,
    AdminUnreachable,
    UnknownCommand,
    RequestNotLogged,
};

/// Texts and status of one error.
struct ErrorInfo {
    ErrorKind kind;
    /// Stable name, used in logs, metrics and problem types (RFC 9457).
    const char* name;
    /// What happened, in one sentence.
    const char* title;
    /// What the reader can do about it.
    const char* remedy;
    /// HTTP status of the response to a caller or operator; 0 if no response reports the error.
    std::uint16_t status;
};

/// @return the texts and status of `kind`, valid for the lifetime of the program
const ErrorInfo& describe(ErrorKind kind);

/// @return one row for each `ErrorKind`, in the order of the enumeration
std::span<const ErrorInfo> allErrors();

/// An error in settings, a sheet or a file, and where it is.
struct Reason {
    ErrorKind kind = ErrorKind::None;
    /// Line of the file with the error, counted from 1; 0 if no line applies.
    std::uint32_t line = 0;
    /// The name or value that was not accepted; may be empty.
    std::string detail;
};

using Reasons = std::vector<Reason>;

/// Formats an error for the terminal or the log.
///
/// @param file name shown before the line number; may be empty
/// @return `file:line: name: title (detail) remedy`; parts that do not apply are left out
std::string format(const Reason&, const std::string& file);

} // namespace cornelwind
