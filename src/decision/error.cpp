#include "cornelwind/error.h"

#include <array>
#include <cstddef>

namespace cornelwind {
namespace {

    // Title and remedy are sent to callers as `title` and `detail` of a problem body; each ends with a
    // full stop.
    constexpr std::array errorTable {
        ErrorInfo { ErrorKind::None, "none", "No error.", "Nothing to do.", 0 },
        ErrorInfo { ErrorKind::MalformedRequest, "malformed-request", "The request is not well-formed HTTP/1.1.", "Send one Content-Length or one chunked Transfer-Encoding, and well-formed header fields.", 400 },
        ErrorInfo { ErrorKind::HeadTooLarge, "head-too-large", "The request head exceeds the limit.", "Send fewer or shorter header fields.", 431 },
        ErrorInfo { ErrorKind::BodyTooLarge, "body-too-large", "The request body exceeds the limit of its rule.", "Send a smaller body or raise max_body_bytes of the rule.", 413 },
        ErrorInfo { ErrorKind::SlowSender, "slow-sender", "The request did not arrive in time.", "Send the whole request within the receive time limit.", 408 },
        ErrorInfo { ErrorKind::TooManyConnections, "too-many-connections", "The entry instance has no connection left.", "Reuse connections, or try again after the time in Retry-After; resend with the same key if an earlier send may have arrived.", 503 },
        ErrorInfo { ErrorKind::NoSheet, "no-sheet", "No sheet is in force yet.", "Try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::NoRoute, "no-route", "No rule of the sheet matches the method and path.", "Correct the target, or add a rule to the sheet.", 404 },
        ErrorInfo { ErrorKind::KeyRequired, "key-required", "This request runs at most once and needs an idempotency key.", "Resend with the key in Cornelwind-Next-Key as Idempotency-Key.", 428 },
        ErrorInfo { ErrorKind::KeyInvalid, "key-invalid", "The idempotency key was not made by this fleet.", "Resend with the key in Cornelwind-Next-Key as Idempotency-Key.", 400 },
        ErrorInfo { ErrorKind::KeyExpired, "key-expired", "The idempotency key has expired.", "If this request was never sent before, resend it with the key in Cornelwind-Next-Key; otherwise look its result up first.", 410 },
        ErrorInfo { ErrorKind::KeyMismatch, "key-mismatch", "The idempotency key belongs to a different request.", "Use one key for one request only; resend with the key in Cornelwind-Next-Key.", 422 },
        ErrorInfo { ErrorKind::OwnerUnreachable, "owner-unreachable", "The entry instance that owns the key did not answer.", "Resend with the same key after the time in Retry-After; if the owner is gone, look the result up.", 503 },
        ErrorInfo { ErrorKind::AnswerNotHeld, "answer-not-held", "The request ran; its answer is no longer held.", "Look the result up; do not send the request again.", 410 },
        ErrorInfo { ErrorKind::QueueFull, "queue-full", "The service is at capacity.", "Try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::QueueTimeout, "queue-timeout", "No backend server became free in time.", "Try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::NoServer, "no-server", "The service has no backend server that accepts work.", "Try again after the time in Retry-After; operators see explain for each backend server.", 503 },
        ErrorInfo { ErrorKind::ServersLimited, "servers-limited", "The backend servers of the service take no further request in time.", "Try again after the time in Retry-After; operators see the limits of the backend servers in status.", 503 },
        ErrorInfo { ErrorKind::DeadlinePassed, "deadline-passed", "The time limit of the request has passed.", "Allow more time, or resend with the same key to learn the result.", 504 },
        ErrorInfo { ErrorKind::ServerShed, "server-shed", "The backend server refused the request under load.", "Try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::ServerUnreachable, "server-unreachable", "No connection to a backend server could be made.", "Try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::ServerFailed, "server-failed", "The backend server did not give a whole answer.", "Look the result up before sending the request again.", 502 },
        ErrorInfo { ErrorKind::AnswerTooLarge, "answer-too-large", "The answer exceeds the limit of its rule.", "Ask for less, or raise max_answer_bytes of the rule.", 502 },
        ErrorInfo { ErrorKind::RequestQuarantined, "request-quarantined", "This request crashed backend servers and is stopped.", "Do not resend it; report it to the operators of the service.", 422 },
        ErrorInfo { ErrorKind::Draining, "draining", "The entry instance is stopping.", "Connect again to reach another entry instance.", 503 },
        ErrorInfo { ErrorKind::ApiKeyRejected, "api-key-rejected", "The request has no valid API key.", "Send one key of the workspace, in one header.", 401 },
        ErrorInfo { ErrorKind::ApiKeysUnconfirmed, "api-keys-unconfirmed", "The entry instance cannot confirm that the API keys it knows are still valid.", "Try again after the time in Retry-After; another entry instance may serve the request at once.", 503 },
        ErrorInfo { ErrorKind::QuotaExceeded, "quota-exceeded", "The workspace has used up its quota.", "Send fewer requests, or try again after the time in Retry-After.", 429 },
        ErrorInfo { ErrorKind::MemoryShort, "memory-short", "The entry instance has too little memory for the request body at the moment.", "Send the body without pauses, or try again after the time in Retry-After.", 503 },
        ErrorInfo { ErrorKind::FileUnreadable, "file-unreadable", "The file cannot be read.", "Check the path and its permissions.", 0 },
        ErrorInfo { ErrorKind::SyntaxError, "syntax-error", "The text is not valid TOML.", "Correct the syntax at this line.", 0 },
        ErrorInfo { ErrorKind::UnknownKey, "unknown-key", "The key is not known here.", "Remove the key or correct its spelling.", 0 },
        ErrorInfo { ErrorKind::WrongType, "wrong-type", "The value has the wrong type.", "Give a value of the type that docs/OPERATIONS.md states.", 0 },
        ErrorInfo { ErrorKind::MissingValue, "missing-value", "A required key is missing.", "Add the key.", 0 },
        ErrorInfo { ErrorKind::OutOfRange, "out-of-range", "The value is out of range.", "Give a value within the range that docs/OPERATIONS.md states.", 0 },
        ErrorInfo { ErrorKind::DuplicateName, "duplicate-name", "The name is used twice.", "Give each entry its own name.", 0 },
        ErrorInfo { ErrorKind::UnknownService, "unknown-service", "The rule names a service that the sheet does not list.", "Add the service or correct the name.", 0 },
        ErrorInfo { ErrorKind::InvalidAddress, "invalid-address", "The address is not a numeric host and port.", "Write it as 10.0.0.1:8080.", 0 },
        ErrorInfo { ErrorKind::SheetTooLarge, "sheet-too-large", "The sheet exceeds one megabyte.", "Split the services over several fleets.", 0 },
        ErrorInfo { ErrorKind::OlderSheet, "older-sheet", "The sheet is older than the one in force.", "Export the sheet again with a higher version.", 0 },
        ErrorInfo { ErrorKind::ConflictingSheet, "conflicting-sheet", "The sheet has the version of the one in force and other content.", "Export the sheet again with a higher version.", 0 },
        ErrorInfo { ErrorKind::Usage, "usage", "The command line is not valid.", "Run cornelwind --help.", 0 },
        ErrorInfo { ErrorKind::ListenFailed, "listen-failed", "The address cannot be listened on.", "Check that the address is local and the port is free.", 0 },
        ErrorInfo { ErrorKind::AdminUnreachable, "admin-unreachable", "The admin listener does not answer.", "Check the address and that the entry instance runs.", 0 },
        ErrorInfo { ErrorKind::UnknownCommand, "unknown-command", "The admin listener does not know the command.", "Use status, explain, drain or metrics.", 404 },
        ErrorInfo { ErrorKind::RequestNotLogged, "request-not-logged", "No line of these logs names the request.", "Give the logs of all entry instances; look for lines with event=suppressed.", 0 },
    };

    constexpr bool rowsMatchEnumeration()
    {
        for (std::size_t i = 0; i < errorTable.size(); ++i) {
            if (static_cast<std::size_t>(errorTable[i].kind) != i)
                return false;
        }
        return true;
    }
    static_assert(rowsMatchEnumeration());

} // namespace

const ErrorInfo& describe(ErrorKind kind)
{
    return errorTable[static_cast<std::size_t>(kind)];
}

std::span<const ErrorInfo> allErrors()
{
    return errorTable;
}

std::string format(const Reason& reason, const std::string& file)
{
    const ErrorInfo& info = describe(reason.kind);
    std::string text = file;
    if (reason.line)
        text += ":" + std::to_string(reason.line);
    if (!text.empty())
        text += ": ";
    text += info.name;
    text += ": ";
    text += info.title;
    if (!reason.detail.empty())
        text += " (" + reason.detail + ")";
    text += " ";
    text += info.remedy;
    return text;
}

} // namespace cornelwind
