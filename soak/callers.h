#pragma once

#include "observations.h"
#include "support/fleet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cornelwind::soak {

using Clock = std::chrono::steady_clock;

/// A request that got no complete response: its connection closed or the response timed out.
struct UnansweredRequest {
    std::string instance;
    /// Method, target and body.
    std::string request;
    /// Time at which the connection was opened.
    Clock::time_point openedAt;
    Clock::time_point sentAt;
    /// Time at which the connection closed or the response timed out.
    Clock::time_point failedAt;
};

/// A persistent HTTP connection from a caller to an entry instance.
class Connection {
public:
    /// @param address host and port of the caller listener of an entry instance
    explicit Connection(std::string address)
        : m_address(std::move(address))
    {
    }

    /// Opens the connection if it is not open.
    ///
    /// @return whether the connection is open
    bool open();

    /// Sends a request and reads its response. The connection must be open.
    ///
    /// @param request complete HTTP request
    /// @return the response, or `std::nullopt` if the connection closed before the response was complete or no data
    ///     arrived for 6 s; the connection is then closed
    std::optional<test::Message> exchange(const std::string& request);

    Clock::time_point openedAt() const { return m_openedAt; }

private:
    std::string m_address;
    test::Socket m_socket;
    Clock::time_point m_openedAt;
    /// Bytes received after the end of the last response.
    std::string m_unreadBytes;
};

/// Callers that send orders and look-ups to all entry instances until stopped. Each runs on a thread of its own.
///
/// A look-up is an idempotent GET request. An order is a POST request with an idempotency key.
class Callers {
public:
    /// Starts the threads.
    ///
    /// @param fleet must outlive this object
    /// @param instances names of the entry instances
    /// @param count number of concurrent callers
    /// @param seed seed of the random choices; each caller adds its own number to it
    /// @param observations receives the result of each request; must outlive this object
    Callers(const test::Fleet& fleet, std::vector<std::string> instances, std::size_t count, std::uint64_t seed, Observations& observations);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    /// Stops the callers and waits for their threads. Requests in progress are completed first.
    void stop();

    /// @return the requests without a complete response. Must be called only after `stop`, because access is not locked.
    const std::vector<UnansweredRequest>& unansweredRequests() const { return m_unansweredRequests; }

private:
    struct Caller;

    void run(std::size_t number, std::uint64_t seed);
    void lookUp(Caller& caller);
    /// Sends an order, and 30 % of the orders a second time with the same idempotency key.
    void order(Caller& caller);
    std::optional<test::Message> send(Caller& caller, const std::string& method, const std::string& target, const std::string& key, const std::string& body);
    /// @return a new idempotency key from the entry instance, or an empty string if none was issued
    std::string fetchIdempotencyKey(Caller& caller);

    const test::Fleet& m_fleet;
    const std::vector<std::string> m_instances;
    Observations& m_observations;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<UnansweredRequest> m_unansweredRequests;
};

} // namespace cornelwind::soak
