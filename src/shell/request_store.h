#pragma once

#include "cornelwind/event.h"
#include "cornelwind/types.h"
#include "dialect.h"
#include "http_server.h"
#include "trace.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace cornelwind {

/// Hands an event to the reducer and carries out the effects.
using EventSink = std::function<void(EventBody)>;

/// Where a forwarded request came from.
struct PeerOrigin {
    Endpoint address;
    std::uint64_t correlation = 0;
};

/// The content of a request in progress. Set is either `exchange` or `origin`.
struct ActiveRequest {
    RequestId id;
    HttpHead head;
    std::string body;
    HttpExchangePtr exchange;
    std::optional<PeerOrigin> origin;
    Span span;
};

/// The requests in progress by id.
class RequestStore {
public:
    ActiveRequest& create();
    ActiveRequest* find(RequestId id);
    void erase(RequestId id) { m_requests.erase(id); }
    std::size_t size() const { return m_requests.size(); }

private:
    std::unordered_map<RequestId, ActiveRequest> m_requests;
    std::uint64_t m_last = 0;
};

/// @return the hash of method, target and body by which requests are told apart
Fingerprint fingerprintOf(const HttpHead& head, const std::string& body);

/// @return the event for the head of a request; its views refer to `request`
HeadReceived makeHeadReceived(const ActiveRequest& request, const Dialect& dialect);

/// @return an answer of the fleet, with a problem body (RFC 9457)
Answer makeRefusal(ErrorKind error, Outcome outcome, std::optional<Millis> retryAfter, const std::string& nextKey, const Dialect& dialect = {});

inline constexpr const char* OUTCOME_HEADER = "Cornelwind-Outcome";
inline constexpr const char* NEXT_KEY_HEADER = "Cornelwind-Next-Key";
inline constexpr const char* KEY_HEADER = "Idempotency-Key";
/// Number of the send; a backend server that repeats it lets mismatched answers be found.
inline constexpr const char* TRY_HEADER = "Cornelwind-Try";

} // namespace cornelwind
