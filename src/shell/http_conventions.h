#pragma once

#include "cornelwind/response.h"
#include "cornelwind/server_notice.h"

#include <cstdint>
#include <string>

namespace cornelwind {

/// Reads what a backend server says of itself in a complete response.
using NoticeReader = ServerNotice (*)(const Response&);

/// Conventions between callers, the fleet and backend servers that HTTP itself does not define.
struct HttpConventions {
    /// Header with the time remaining until the deadline, in milliseconds; read from callers and sent to backend servers.
    std::string deadlineHeader = "Cornelwind-Deadline-Ms";
    /// Header with the caller's request id, which backend servers repeat in the response. Empty if there is none;
    /// then the fleet sends an id of its own with each try.
    std::string requestIdHeader;
    /// Header with the API key of a caller, where the sheet lists workspaces.
    std::string apiKeyHeader = "Cornelwind-Api-Key";
    /// Header that tells a backend server the workspace of a request.
    std::string workspaceHeader = "Cornelwind-Workspace";
    /// Header with the name of the backend server that a request is meant for; empty if servers do not check it.
    std::string expectedServerHeader;
    /// Status with which a server rejects a request meant for another server; 0 if there is none.
    std::uint16_t misdirectedStatus = 0;
    /// Header without which a 2xx response counts as incomplete; empty if no header is required.
    std::string completionHeader;
    /// Whether a response of unstated length, which ends with its connection, is accepted.
    bool closeDelimitedResponses = false;
    /// Whether the status of a refusal alone must tell callers whether the request may have run.
    bool outcomeInStatus = false;
    /// Whether `Retry-After` is sent with fractions of a second instead of whole seconds.
    bool fractionalRetryAfter = false;
    /// Whether the fleet adds its own headers: outcome and next key to responses, trace context to tries.
    bool addFleetHeaders = true;
    /// Null if backend servers announce only that they are leaving, by the `SheetService::drainHeader` of their service.
    NoticeReader readNotice = nullptr;
};

} // namespace cornelwind
