#pragma once

#include "admission/expected_work.h"
#include "admission/request_queue.h"
#include "context.h"
#include "cornelwind/counters.h"
#include "cornelwind/event.h"
#include "cornelwind/quarantine.h"
#include "cornelwind/retry_after.h"
#include "cornelwind/retry_budget.h"
#include "cornelwind/router.h"
#include "cornelwind/server_pool.h"
#include "key_registry.h"
#include "loss_table.h"
#include "peer_directory.h"
#include "quarantine_exchange.h"
#include "send_observer.h"
#include "workspaces/configuration_confirmation.h"
#include "workspaces/workspace_quotas.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelwind {

/// Processes each request from its head to its response: routing, idempotency keys, admission, tries and retries.
///
/// A try is one send of the request to one backend server.
/// Memory: one entry for each request in progress; the shell bounds their number.
class RequestFlow {
public:
    /// Modules that the request flow uses; they must outlive it.
    struct Dependencies {
        ServerPool& pool;
        LossTable& losses;
        KeyRegistry& keys;
        Quarantine& quarantine;
        SendObserver& sendObserver;
        const PeerDirectory& peers;
        const ConfigurationConfirmation& sheetConfirmation;
        WorkspaceQuotas& quotas;
        /// Called with what the response of one incarnation of a backend server says of it.
        std::function<void(ServerId, std::uint64_t incarnation, const ServerNotice&, Context&)> onNotice;
        /// Called when a backend server closed the connection of a request without a response.
        std::function<void(Fingerprint id, Fingerprint fingerprint, const ServerCrash&, Context&)> onServerCrash;
        QuarantineExchange& quarantineExchange;
    };

    explicit RequestFlow(Dependencies dependencies);

    /// Routes later requests by `sheet`. Requests in progress keep the sheet they started with.
    ///
    /// @param sheet the sheet in force; the server pool must have adopted it before
    void adopt(SheetPtr sheet);

    /// Sets the retry burst of the whole fleet; each instance uses its part of it.
    ///
    /// @param retries retries that the fleet may make beyond the retry share of each service; 0 keeps the default burst
    void setRetryAllowance(std::uint32_t retries) { m_retryAllowance = retries; }
    /// Divides the retry allowance by the size of the fleet. Only a larger size than before has an effect.
    ///
    /// @param instances number of live entry instances, including this one
    void setFleetSize(std::uint32_t instances);

    /// Refuses new requests from now on, so that callers connect to another entry instance during the shutdown.
    void stopAccepting() { m_refusesNew = true; }
    /// Refuses new requests without keys from now on. Those with keys are still passed on to the new owner of their keys.
    void stopAcceptingWithoutKeys() { m_refusesNewWithoutKeys = true; }

    /// Accepts requests from now on. Until the first call, all are refused.
    void startAccepting() { m_accepting = true; }

    /// Routes a new request, checks its key and has its body read, or refuses it.
    void onHead(const HeadReceived& event, Context& context);
    /// Sends, queues, joins, forwards or refuses a request that was completely received.
    void onBody(const BodyReceived& event, Context& context);
    /// Refuses a request that could not be read.
    void onReceiveFailed(const ReceiveFailed& event, Context& context);
    /// Stops the work for a caller that disconnected; see `abandon`.
    void onCallerDisconnected(const CallerDisconnected& event, Context& context);
    /// Responds to the request or retries it, then sends queued requests. Unknown tries are ignored.
    void onTryFinished(const TryFinished& event, Context& context);
    /// Passes the reply of the owner on to the caller.
    void onOwnerReplied(const OwnerReplied& event, Context& context);
    /// Runs expired timers and sends queued requests.
    void onTick(Context& context);
    /// Continues or refuses the requests that waited for a token of the quota of their workspace.
    void onQuotaDecisions(Context& context);
    /// Sends queued requests, after servers have opened.
    void dispatchQueues(Context& context);

    /// @return whether no request is in progress
    bool idle() const { return m_requests.empty(); }
    /// @return whether no request with a key is queued, sent, or waiting for the result of an earlier request
    bool keyedRequestsIdle() const;
    /// Holds back new requests with keys until `resumeKeyedRequests`, while those in progress end.
    void pauseKeyedRequests() { m_keyedPaused = true; }
    /// Continues the requests held back. Those whose keys were handed over meanwhile are forwarded to the new owner.
    void resumeKeyedRequests(Context& context);
    /// Responds to every completely received request as if its deadline had passed, because the time for the shutdown is over.
    void expireAll(Context& context);

    /// @return totals since the start
    const Counters& counters() const { return m_counters; }
    /// @return number of requests in progress
    std::size_t size() const { return m_requests.size(); }

private:
    /// Retry time sent to callers after a refusal.
    static constexpr Millis RETRY_AFTER { 1000 };
    /// Retry time while this entry instance stops. It is shorter, because another one can serve the retry at once.
    static constexpr Millis DRAINING_RETRY_AFTER { 20 };
    /// Maximum number of concurrent tries of one request: one and its hedge.
    static constexpr std::size_t MAX_ACTIVE = 2;
    /// Maximum number of tries of one request in total.
    static constexpr std::size_t MAX_TRIED = 8;

    /// State of one service of the sheet. Requests in progress keep it alive after the service left the sheet.
    struct Service {
        ServiceName name;
        ServiceId id;
        /// Its entry in the sheet, without servers.
        SheetService config;
        /// Index in the sheet in force; nothing if the sheet no longer contains the service.
        std::optional<std::uint32_t> index;
        /// Never null.
        std::unique_ptr<RequestQueue> queue = makeArrivalQueue();
        /// Work of the requests of each rule, by name; empty unless the queue orders by value.
        std::unordered_map<std::string, WorkEstimate> works;
        RetryBudget budget;
        /// Usual time of a response.
        LatencyEstimate latency;
        /// Tries in the current and in the previous window of one second, for the expected wait.
        std::uint32_t tries = 0;
        std::uint32_t previousTries = 0;
        /// Start of the current window.
        Time windowStart;
        /// Token bucket for trials: requests that test whether a suspected server has recovered.
        double trialTokens = 1;
        /// Moving average of the share of idempotent requests, from 0 to 1.
        double idempotentShare = 0;
    };
    using ServicePtr = std::shared_ptr<Service>;

    enum class Phase : std::uint8_t {
        /// Its body is being received.
        Receiving,
        /// Held back while keys are handed over.
        Paused,
        /// Waits for a token of the quota of its workspace.
        AwaitingQuota,
        /// Waits in the queue of its service.
        Queued,
        /// At least one try was started.
        Sent,
        /// Waits for the result of an earlier request with the same key.
        Joined,
        /// Forwarded to the owner of its key.
        Forwarded,
    };

    /// A try in progress.
    struct ActiveTry {
        TryId id;
        ServerId server;
        /// Incarnation of the server that it was sent to.
        std::uint64_t incarnation = 0;
        Time sentAt;
        /// Took longer than the latency bound of the service.
        bool slow = false;
        /// The server had no free slot, so that a slow response is no evidence against its health.
        bool atCapacity = false;
        /// Number of the trial of a quarantined request; 0 if it is none.
        std::uint32_t quarantineTrial = 0;
    };

    struct Request {
        RequestId id;
        /// Request name for the logs.
        std::string label;
        /// The sheet that the request is routed by; keeps `rule` valid.
        SheetPtr sheet;
        const SheetRule* rule = nullptr;
        /// Null if the request belongs to no workspace, or to one that the sheet of the instance which forwarded it lists, but not
        /// the sheet here.
        const Workspace* workspace = nullptr;
        /// Name that the instance stated which forwarded the request.
        WorkspaceName forwardedWorkspace;
        ServicePtr service;
        Phase phase = Phase::Receiving;
        /// When the request was completely received.
        Time admittedAt;
        /// The caller gets a response by this time.
        Time deadline;
        /// Time until which its tries may run on after `deadline`, for a later request with its key. Empty if they end with it.
        std::optional<Time> runsOnUntil;
        /// Whether another entry instance forwarded it to this one.
        bool forwarded = false;
        /// Whether the caller got its response or no longer waits for one.
        bool answered = false;
        /// Whether a try was the trial of a suspected server.
        bool usedAsTrial = false;
        /// Whether it has a token of the quota of its workspace, which it gives back if it never reaches a backend server.
        bool holdsQuotaToken = false;
        /// Whether any byte of it may have reached a backend server.
        bool wasSent = false;
        Fingerprint fingerprint;
        /// See `quarantineIdOf`.
        Fingerprint quarantineId;
        ByteCount bodySize {};
        std::optional<ParsedKey> key;
        /// The servers tried, of which the first `triedServerCount` are set.
        std::array<ServerId, MAX_TRIED> tried;
        std::uint8_t triedServerCount = 0;
        /// Why the queue of its service refused it, for the log; empty if it did not.
        const char* queueReason = "";
        /// Number of tries started.
        std::uint8_t tryCount = 0;
        /// Tries that may have run the request: all but those known not to have done so.
        std::uint8_t possiblyRunCount = 0;
        /// The tries in progress, of which the first `activeCount` are set.
        std::array<ActiveTry, MAX_ACTIVE> active;
        std::uint8_t activeCount = 0;
    };

    enum class TimerKind : std::uint8_t {
        /// The deadline of the request passes.
        Deadline,
        /// A hedge of the request is due.
        Hedge,
        /// A try reaches the latency bound of its service.
        Slow,
    };

    struct Timer {
        Time at;
        RequestId request;
        TimerKind kind;

        /// Orders the priority queue by the earliest time first.
        friend bool operator>(const Timer& a, const Timer& b) { return a.at > b.at; }
    };

    /// Error sent to the caller; see `Refuse`.
    struct Refusal {
        ErrorKind error;
        Outcome outcome;
        std::optional<Millis> retryAfter;
    };

    using ResultHandler = void (RequestFlow::*)(Request&, const ActiveTry&, const TryFinished&, Context&);

    /// @return the handler for a result of a try
    static ResultHandler handlerFor(TryResult result);

    /// Finds the workspace of a request, and checks its API key unless another entry instance has done so.
    ///
    /// @return a refusal if the key does not allow the request
    std::optional<Refusal> checkWorkspace(Request& request, const HeadReceived& event, Context& context);
    /// @return the priority of its workspace, or of its rule if that has none; 0 is the highest
    static std::uint32_t priorityOf(const Request& request);
    static WorkspaceLabel labelOf(const Request& request);

    // Idempotency keys.
    /// Parses and verifies the key where the rule requires one.
    ///
    /// @return a refusal if the key is missing or invalid
    std::optional<Refusal> checkKey(Request& request, const HeadReceived& event);
    /// Runs, joins, repeats, refuses or forwards a request by the state of its key.
    void beginKeyed(Request& request, Context& context);
    void forward(Request& request, const KeyOwner& owner, Context& context);
    bool needsKey(const Request& request) const;

    // Quotas of workspaces.
    /// Admits a request with a token of the quota of its workspace, if that has one; lets it wait for one, or refuses it.
    void takeQuotaToken(Request& request, Context& context);
    void refuseOverQuota(Request& request, Duration untilToken, Context& context);
    /// Gives the token of a request back that ends without having been sent.
    void returnQuotaToken(const Request& request, Context& context);

    // Admission and tries.
    /// Sends a request at once, queues it or refuses it.
    void admit(Request& request, Context& context);
    /// @return a refusal if the request can no longer be sent to any server
    std::optional<Refusal> refusalBeforeSend(const Request& request, Context& context);
    /// @return whether the quarantine allows the request
    QuarantineState quarantineState(const Request& request, Time now) const;
    /// Begins a trial with the request if the quarantine wants one.
    ///
    /// @return number of the trial; 0 if it is none
    std::uint32_t beginQuarantineTrial(const Request& request, Context& context);
    /// Records what the end of a try says against a crash of its server, or of servers by its request.
    void clearQuarantine(const Request& request, const ActiveTry& ended, const TryFinished& event, Context& context);
    /// @return a refusal if no server opens before the request would be too late
    std::optional<Refusal> refusalOfWait(const Request& request, Context& context) const;
    /// Lets a request wait for a slot, or refuses it.
    void enqueue(Request& request, Context& context);
    /// Refuses a request that waits, or that the queue did not admit.
    void refuseQueued(Request& request, ErrorKind error, Millis retryAfter, const char* reason, Context& context);
    /// Refuses the requests that waited until they could no longer be done in time.
    void expireQueued(Service& service, Context& context);
    /// @return the request as the queue of its service sees it
    QueuedRequest queuedRequestOf(const Request& request, Time now) const;
    /// @return the work of the request, unknown unless the queue of its service orders by value
    static ExpectedWork expectedWork(const Request& request);
    static bool ordersByValue(const Request& request) { return request.service->queue->ordersByValue(); }
    /// @return whether a request of higher value waits for the slot that another try of this one would take
    bool isOutranked(const Request& request, Time now) const;
    /// Orders the queue by value or by arrival from now on; the requests that wait are kept.
    void setQueueOrder(Service& service, bool byValue);
    /// Sets the orders of all queues by the sheet.
    void adoptQueueOrders();
    /// Forgets the works of rules that the sheet no longer has.
    void forgetWorks();
    /// @return the target latency of the rule, or half its time limit if it has none
    static Millis targetLatencyOf(const Request& request);
    /// Chooses a server and sends the request to it.
    ///
    /// @return false if no server may take the request now
    bool trySend(Request& request, Context& context);
    /// @return whether the request may use a slot that is reserved for another entry instance
    bool mayBorrowSlot(const Request& request, Time now) const;
    void send(Request& request, Server& server, Context& context);
    /// @return when its tries end: when its caller no longer waits, unless it may run on
    static Time endOfTries(const Request& request) { return request.runsOnUntil.value_or(request.deadline); }
    /// @return whether a try that starts now is of use to its caller, or to a later request with its key
    static bool maySend(const Request& request, Time now) { return now < endOfTries(request) && (!request.answered || request.runsOnUntil); }
    /// @return when a try that starts now ends at the latest; never after `endOfTries`
    Time tryDeadline(const Request& request, Time now) const;
    /// Counts a try in the current window of one second.
    static void countTry(Service& service, Time now);
    /// Sends queued requests in order until no server has capacity.
    void dispatchQueue(Service& service, Context& context);
    /// Sends a request again after a failed try, if its kind, tries, time and retry budget allow it.
    ///
    /// @return whether it was sent
    bool retry(Request& request, Context& context);
    /// As `retry`, for requests placed by expected cost.
    ///
    /// @param reachedServer whether the failed try reached its server, so that the retry costs budget
    /// @return whether it was sent
    bool resend(Request& request, bool reachedServer, Context& context);
    /// Takes a retry token if there is no other reason against a retry.
    ///
    /// @return why the request must not be sent again, for the log; null if it may
    const char* reasonAgainstResend(Request& request, bool reachedServer, Context& context) const;
    static bool placedByCost(const Request& request) { return request.service->config.placement == Placement::ExpectedCost; }
    /// @return highest acceptable probability, from 0 to 1, that the chosen server is unhealthy
    double acceptableRisk(const Request& request, Time now) const;
    /// @return number of requests that the chosen server may have in flight beyond its slots
    std::uint32_t allowedOvercommit(const Request& request, Time now) const;
    /// @return time in which so many requests start at the recent rate of tries; zero if unknown
    static Duration timeForStarts(const Service& service, std::size_t starts, Time now);
    /// @return expected time in the queue, computed from its length and the recent rate of tries; zero if unknown
    static Duration expectedWait(const Service& service, Time now);
    /// @param possibleAfter TooLate: time after which a request like this one can be done before its deadline
    /// @return retry time for the caller of a refused request
    Millis retryAfterOf(const Request& request, RefusalCause cause, Context& context, Duration possibleAfter = {}) const;
    /// @return time until which a request may wait in the queue
    Time queueDeadline(const Request& request, Time now) const;
    /// Records tries beyond the latency bound and hedges an idempotent request.
    void onSlow(Request& request, Context& context);
    void observeSlow(Request& request, const ActiveTry& active, Context& context);
    /// @return whether the request may test if a suspected server has recovered
    bool mayRunTrial(const Request& request) const;
    /// @return whether callers read the status of a response as a statement that the request has not run
    static bool isRefusal(const Request& request, const Response& response);
    /// @return whether a response is a failure of the backend server, also if its status is none of a server error
    static bool isFailure(const Request& request, const Response& response);
    /// Sends nothing to a backend server for a time.
    void holdBack(ServerId id, Duration time, Context& context);
    /// Updates the latency estimate of the service and the health of the server from a complete response.
    void observeResponse(Request& request, const ActiveTry& ended, bool failed, Context& context);
    void observe(Request& request, const ActiveTry& ended, Observation observation, Context& context);
    /// @return index of the service to which the traffic split of the rule assigns the next request
    std::uint32_t chooseService(const SheetRule& rule, Context& context);
    /// Sets the retry burst of a service to this entry instance's part of the retry allowance.
    void setBurst(Service& service) const;
    /// Starts a second try if the first is still in progress and the retry budget allows it.
    void hedge(Request& request, Context& context);

    // Handlers of the results of tries.
    void onAnswered(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onShed(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onNotSent(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onCrashed(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onBroken(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onTooLarge(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onTimedOut(Request&, const ActiveTry&, const TryFinished&, Context&);
    void onCancelled(Request&, const ActiveTry&, const TryFinished&, Context&);

    // Log records.
    RequestRecord makeRecord(const Request& request, RequestStep step, Time now) const;
    void recordPlaced(const Request& request, const Server& server, Time tryDeadline, Context& context) const;
    void recordSendFailed(const Request& request, const ActiveTry& ended, const TryFinished& event, Context& context) const;
    void recordNotSentAgain(const Request& request, const char* reason, Context& context) const;

    // Responses.
    /// Ends a request with its final result: cancels its tries, and responds to it and to all requests that wait for
    /// the result of its key.
    void completeRequest(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context);
    void refuse(Request& request, const Refusal& refusal, Context& context);
    /// Responds to the caller once; later calls for the same request have no effect.
    void respond(Request& request, const KeyResult& result, std::optional<Millis> retryAfter, Context& context);
    /// Ends the work for a request whose caller no longer waits. A try of an at-most-once request is not broken off, since the
    /// server may have run it; it ends by its deadline. A request that may run on stays in the queue.
    void abandon(Request& request, Context& context);
    /// Removes a queued request that has not been sent, so that it never runs.
    void leaveQueue(Request& request, Context& context);
    /// Counts how a request ended for the share of lost requests. Trials do not count.
    void countResult(const Request& request, const KeyResult& result, Time now);
    /// Erases a request that is answered and has no try in progress.
    void eraseIfDone(RequestId id, Context& context);
    /// Responds to a request whose deadline passed, with the outcome known in its phase.
    void expireDeadline(Request& request, Context& context);

    /// @return the request, or null if it is not in progress
    Request* find(RequestId id);
    /// @param index index into the services of `sheet`
    /// @return the state of the service, created if it does not exist yet
    ServicePtr findOrCreateService(const Sheet& sheet, std::uint32_t index);

    Dependencies m_dependencies;
    SheetPtr m_sheet;
    Router m_router;
    std::unordered_map<ServiceName, ServicePtr> m_services;
    std::unordered_map<RequestId, Request> m_requests;
    std::unordered_map<TryId, RequestId> m_tries;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastTry = 0;
    /// Keyed requests held back by `pauseKeyedRequests`.
    std::vector<RequestId> m_pausedRequests;
    bool m_keyedPaused = false;
    bool m_accepting = false;
    bool m_refusesNew = false;
    bool m_refusesNewWithoutKeys = false;
    Time m_lastTick;
    /// When this process last resumed after it had been suspended or starved of CPU.
    Time m_resumedAt;
    /// Mean quota of the workspaces of the sheet that have one, in requests a second; 1 if none has.
    double m_meanQuota = 1;
    std::uint32_t m_retryAllowance = 0;
    std::uint32_t m_fleetSize = 1;
    /// Current point, from 0 to 1, of the sequence that splits the requests of a rule, by rule name.
    std::unordered_map<std::string, double> m_splitPositions;
    Counters m_counters;
};

} // namespace cornelwind
