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

/// A request whose connection ended, or that waited too long, without a whole answer.
struct Cut {
    std::string instance;
    std::string request;
    Clock::time_point openedAt;
    Clock::time_point sentAt;
    Clock::time_point cutAt;
};

/// A caller's connection, kept open until the process behind it is gone.
class Connection {
public:
    /// @param address caller listener of an entry instance
    explicit Connection(std::string address)
        : m_address(std::move(address))
    {
    }

    /// Opens the connection if it is not open.
    ///
    /// @return whether it is open
    bool open();
    /// Sends a request and reads its answer.
    ///
    /// @return nothing if no whole answer came within the time limit; the connection is closed then
    std::optional<test::Message> exchange(const std::string& request);
    Clock::time_point openedAt() const { return m_openedAt; }

private:
    std::string m_address;
    test::Socket m_socket;
    Clock::time_point m_openedAt;
    std::string m_rest;
};

/// Callers that send orders and look-ups to all instances until stopped.
class Callers {
public:
    /// @param instances names of the entry instances
    Callers(const test::Fleet& fleet, std::vector<std::string> instances, std::size_t count, std::uint64_t seed, Observations& observations);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void stop();
    /// Call after `stop`.
    const std::vector<Cut>& cuts() const { return m_cuts; }

private:
    struct Caller;

    void run(std::size_t number, std::uint64_t seed);
    void lookUp(Caller& caller);
    void order(Caller& caller);
    std::optional<test::Message> send(Caller& caller, const std::string& method, const std::string& target, const std::string& key, const std::string& body);
    std::string fetchKey(Caller& caller);

    const test::Fleet& m_fleet;
    const std::vector<std::string> m_instances;
    Observations& m_observations;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<Cut> m_cuts;
};

} // namespace cornelwind::soak
