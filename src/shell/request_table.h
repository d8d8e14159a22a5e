#pragma once

#include "cornelwind/effect.h"
#include "cornelwind/event.h"
#include "cornelwind/types.h"
#include "http_conventions.h"
#include "http_server.h"
#include "trace.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace cornelwind {

/// Function that passes an event to the reducer and carries out the resulting effects.
using EventSink = std::function<void(EventBody)>;

/// Address of the entry instance that forwarded a request, and the id by which it matches the reply.
struct PeerOrigin {
    Endpoint address;
    std::uint64_t correlation = 0;
};

/// A request in progress.
///
/// A request from a caller has an `exchange`, until the response is sent or the caller disconnects. A request that a
/// peer forwarded has an `origin`.
struct ActiveRequest {
    RequestId id;
    HttpHead head;
    SharedBody body;
    HttpExchangePtr exchange;
    std::optional<PeerOrigin> origin;
    /// Name of the workspace, as stated by the peer that forwarded the request; empty if there is none.
    std::string workspace;
    Span span;
};

/// The requests in progress, by id.
///
/// Ids increase and are never reused. References stay valid until the request is erased.
class RequestTable {
public:
    /// Adds an empty request with a new id.
    ActiveRequest& create();
    /// @return the request, or null if it is not in progress
    ActiveRequest* find(RequestId id);
    void erase(RequestId id) { m_requests.erase(id); }
    std::size_t size() const { return m_requests.size(); }

private:
    std::unordered_map<RequestId, ActiveRequest> m_requests;
    std::uint64_t m_lastId = 0;
};

/// @return hash of method, target and body, which tells different requests with the same idempotency key apart
Fingerprint requestFingerprint(const HttpHead& head, const std::string& body);

/// Makes the event for a received request head.
///
/// @param request must outlive the event, which refers to its strings
/// @param conventions names the headers for the request id and the deadline; of several deadlines the
///     shortest counts, and what is not a number is ignored
HeadReceived makeHeadReceived(const ActiveRequest& request, const HttpConventions& conventions);

/// @return whether the header is withheld from the receiver of a request, because the sheet lists workspaces: it holds the API key or
///     states a workspace
bool isWorkspaceHeader(const std::string& name, const WorkspaceLabel& label, const HttpConventions& conventions);

/// Makes the response by which the fleet refuses a request. Its body holds problem details (RFC 9457).
///
/// @param outcome whether the request may have run
/// @param retryAfter value of the `Retry-After` header; if absent, the response does not have this header
/// @param nextKey idempotency key for a retry; if empty, the response does not name one
/// @param conventions decides on the status, the fleet's headers and the precision of `Retry-After`
Response makeErrorResponse(ErrorKind error, Outcome outcome, std::optional<Millis> retryAfter, const std::string& nextKey, const HttpConventions& conventions = {});

/// Header that tells whether a request ran, did not run or may have run.
inline constexpr const char* OUTCOME_HEADER = "Cornelwind-Outcome";
/// Header with the idempotency key that the caller may use for its next request.
inline constexpr const char* NEXT_KEY_HEADER = "Cornelwind-Next-Key";
/// Header with the idempotency key of a request.
inline constexpr const char* KEY_HEADER = "Idempotency-Key";
/// Header with the id of a try. If the backend server repeats it, a response to another try is detected.
inline constexpr const char* TRY_HEADER = "Cornelwind-Try";

} // namespace cornelwind
