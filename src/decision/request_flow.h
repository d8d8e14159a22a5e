#pragma once

#include "context.h"
#include "cornelwind/admission.h"
#include "cornelwind/counters.h"
#include "cornelwind/event.h"
#include "cornelwind/quarantine.h"
#include "cornelwind/retry_advice.h"
#include "cornelwind/retry_budget.h"
#include "cornelwind/router.h"
#include "cornelwind/server_pool.h"
#include "evidence_sink.h"
#include "key_book.h"
#include "peer_directory.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Takes each request from its head to its answer: routing, keys, admission, sends and retries.
///
/// Memory: one entry for each request in progress; the shell bounds their number.
class RequestFlow {
public:
    struct Parts {
        ServerPool& pool;
        KeyBook& keys;
        Quarantine& quarantine;
        EvidenceSink& evidence;
        const PeerDirectory& peers;
        /// Called when a backend server says that it is leaving.
        std::function<void(ServerId, Context&)> onServerLeaving;
        /// Called when a fingerprint crashed a backend server.
        std::function<void(Fingerprint, Context&)> onServerCrash;
    };

    explicit RequestFlow(Parts parts);

    /// Routes later requests by `sheet`, which the pool has adopted. Requests in progress keep theirs.
    void adopt(SheetPtr sheet);

    /// @param retries that the whole fleet may add to the share of each service
    void setRetryAllowance(std::uint32_t retries) { m_retryAllowance = retries; }
    void setFleetSize(std::uint32_t instances);

    /// Refuses new requests from now on: a stop leaves them too little time.
    void refuseNew() { m_refusesNew = true; }

    /// Accepts requests from now on.
    void startAccepting() { m_accepting = true; }

    void onHead(const HeadReceived& event, Context& context);
    void onBody(const BodyReceived& event, Context& context);
    void onReceiveFailed(const ReceiveFailed& event, Context& context);
    void onCallerGone(const CallerGone& event, Context& context);
    void onTryFinished(const TryFinished& event, Context& context);
    void onOwnerReplied(const OwnerReplied& event, Context& context);
    void onTick(Context& context);

    /// @return whether no request is in progress
    bool idle() const { return m_requests.empty(); }
    /// @return whether no keyed request is being received, waits or runs here
    bool keyedIdle() const;
    /// Holds back new keyed requests until `resumeKeyed`, so that the running ones come to an end.
    void pauseKeyed() { m_keyedPaused = true; }
    /// Takes up the requests held back, by then with the heir of their keys.
    void resumeKeyed(Context& context);
    /// Ends what still waits on another entry instance or on a slot, because time is up.
    void abandonAll(Context& context);

    const Counters& counters() const { return m_counters; }
    std::size_t size() const { return m_requests.size(); }

private:
    /// What callers are told to wait after a refusal.
    static constexpr Millis RETRY_AFTER { 1000 };
    /// Another entry instance serves at once.
    static constexpr Millis DRAINING_RETRY_AFTER { 20 };
    static constexpr std::size_t MAX_ACTIVE = 2;
    static constexpr std::size_t MAX_TRIED = 8;

    struct Service {
        ServiceName name;
        SheetService config;
        /// Index in the sheet in force; nothing once the service has left it.
        std::optional<std::uint32_t> index;
        AdmissionQueue queue;
        RetryBudget budget;
        UsualTime latency;
        /// Sends in the current and in the previous second, for the expected wait.
        std::uint32_t sends = 0;
        std::uint32_t previousSends = 0;
        Time windowStart;
        /// Trials of suspected servers that are allowed now.
        double trialTokens = 1;
        /// Share of its latest requests that may be sent twice.
        double idempotentShare = 0;
    };
    using ServicePtr = std::shared_ptr<Service>;

    enum class Phase : std::uint8_t {
        Receiving,
        /// Held back while keys are handed over.
        Paused,
        Queued,
        Sent,
        /// Waits for the result of another send of its key.
        Joined,
        /// Waits for the owner of its key.
        Forwarded,
    };

    struct ActiveTry {
        TryId id;
        ServerId server;
        Time sentAt;
        bool slow = false;
        /// The server had no free slot, so that a late answer says nothing about its health.
        bool atCapacity = false;
    };

    struct Request {
        RequestId id;
        /// Name for the logs.
        std::string label;
        SheetPtr sheet;
        const SheetRule* rule = nullptr;
        ServicePtr service;
        Phase phase = Phase::Receiving;
        Time admittedAt;
        /// When the caller is answered at the latest.
        Time deadline;
        /// When the work itself ends at the latest.
        Time runDeadline;
        bool forwarded = false;
        bool answered = false;
        Fingerprint fingerprint;
        std::optional<ParsedKey> key;
        std::array<ServerId, MAX_TRIED> tried;
        std::uint8_t triedCount = 0;
        std::uint8_t sendCount = 0;
        /// Sends that are not proved not to have run.
        std::uint8_t possiblyRunCount = 0;
        std::array<ActiveTry, MAX_ACTIVE> active;
        std::uint8_t activeCount = 0;
    };

    enum class TimerKind : std::uint8_t {
        Deadline,
        Hedge,
        /// A send lasts far longer than is usual.
        Slow,
    };

    struct Timer {
        Time at;
        RequestId request;
        TimerKind kind;

        friend bool operator>(const Timer& a, const Timer& b) { return a.at > b.at; }
    };

    struct Refusal {
        ErrorKind error;
        Outcome outcome;
        std::optional<Millis> retryAfter;
    };

    using ResultHandler = void (RequestFlow::*)(Request&, const ActiveTry&, const TryFinished&, Context&);

    static ResultHandler handlerFor(TryResult result);

    // Keys.
    std::optional<Refusal> checkKey(Request& request, const HeadReceived& event);
    void beginKeyed(Request& request, Context& context);
    void forward(Request& request, const KeyOwner& owner, Context& context);
    bool needsKey(const Request& request) const;

    // Admission and sends.
    void admit(Request& request, Context& context);
    std::optional<Refusal> refusalBeforeSend(const Request& request, Context& context) const;
    bool trySend(Request& request, Context& context);
    bool mayBorrowSlot(const Request& request, Time now) const;
    void send(Request& request, Server& server, Context& context);
    static void countSend(Service& service, Time now);
    void dispatchQueue(Service& service, Context& context);
    bool retry(Request& request, Context& context);
    bool resend(Request& request, bool reachedServer, Context& context);
    const char* reasonAgainstResend(Request& request, bool reachedServer, Context& context) const;
    bool placedByCost(const Request& request) const { return request.service->config.placement == Placement::ExpectedCost; }
    double acceptableRisk(const Request& request, Time now) const;
    std::uint32_t allowedExcess(const Request& request, Time now) const;
    Duration expectedWait(const Service& service, Time now) const;
    Millis retryAfterOf(const Request& request, RefusalCause cause, Context& context) const;
    Time queueDeadline(const Request& request, Time now) const;
    void onSlow(Request& request, Context& context);
    void observeSlow(Request& request, const ActiveTry& active, Context& context);
    bool mayRunTrial(const Request& request) const;
    void observeResponse(Request& request, const ActiveTry& ended, bool failed, Context& context);
    void observe(Request& request, const ActiveTry& ended, Observation observation, Context& context);
    std::uint32_t chooseService(const SheetRule& rule, Context& context);
    void setBurst(Service& service) const;
    void hedge(Request& request, Context& context);

    // Ends of sends.
    void onAnswered(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onShed(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onNotSent(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onCrashed(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onBroken(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onTooLarge(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onTimedOut(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onCancelled(Request&, const ActiveTry&, const TryFinished&, Context&);

    // Records.
    RequestRecord makeRecord(const Request& request, RequestStep step, Time now) const;
    void recordPlaced(const Request& request, const Server& server, Context& context) const;
    void recordSendFailed(const Request& request, const ActiveTry& ended, const TryFinished& event, Context& context) const;
    void recordNotSentAgain(const Request& request, const char* reason, Context& context) const;

    // Results.
    void completeRequest(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context);
    void refuse(Request& request, const Refusal& refusal, Context& context);
    void respond(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context);
    void abandon(Request& request, Context& context);
    void eraseIfDone(RequestId id, Context& context);
    void expireDeadline(Request& request, Context& context);

    Request* find(RequestId id);
    ServicePtr findOrCreateService(const Sheet& sheet, std::uint32_t index);

    Parts m_parts;
    SheetPtr m_sheet;
    Router m_router;
    std::unordered_map<ServiceName, ServicePtr> m_services;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<TryId, RequestId> m_tries;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastTry = 0;
    std::vector<RequestId> m_pausedRequests;
    bool m_keyedPaused = false;
    bool m_accepting = false;
    bool m_refusesNew = false;
    Time m_lastTick;
    /// When this process last went on after it had not run for a while.
    Time m_resumedAt;
    std::uint32_t m_retryAllowance = 0;
    std::uint32_t m_fleetSize = 1;
    /// Position in the sequence that divides the requests of a rule, by rule.
    std::unordered_map<std::string, double> m_splitPositions;
    Counters m_counters;
};

} // namespace cornelwind
