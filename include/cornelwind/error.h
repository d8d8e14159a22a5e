#pragma once

#include "cornelwind/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cornelwind {

/// Every error that the product reports. The table in error.cpp holds one row for each.
enum class ErrorKind : std::uint8_t {
    None,
    // Refusals towards callers.
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
    DeadlinePassed,
    ServerShed,
    ServerUnreachable,
    ServerFailed,
    AnswerTooLarge,
    RequestQuarantined,
    Draining,
    // Settings and sheet.
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
    // Command line and admin listener.
    Usage,
    ListenFailed,
    AdminUnreachable,
    UnknownCommand,
    RequestNotLogged,
};

/// One row of the message table.
struct ErrorInfo {
    ErrorKind kind;
    /// Stable name, used in logs, metrics and problem types.
    const char* name;
    /// What happened, in one sentence.
    const char* title;
    /// What the reader can do about it.
    const char* remedy;
    /// HTTP status of a refusal; 0 where the error never reaches a caller.
    std::uint16_t status;
};

/// @param kind any kind
/// @return its row; lives as long as the program
const ErrorInfo& describe(ErrorKind kind);

/// @return all rows in the order of the enumeration
std::span<const ErrorInfo> allErrors();

/// The last reason why a function returned an empty optional.
struct Reason {
    ErrorKind kind = ErrorKind::None;
    /// Line of the file at fault, from 1; 0 where no line applies.
    std::uint32_t line = 0;
    /// The name or value at fault.
    std::string detail;
};

using Reasons = std::vector<Reason>;

/// @param file name shown before the line number; may be empty
/// @return `file:line: kind: title (detail). remedy`
std::string format(const Reason&, const std::string& file);

} // namespace cornelwind
