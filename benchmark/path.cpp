// Measures how many requests per second and core one entry instance passes on, and how much latency it adds compared with a
// request that goes directly to the stand-in.
#include "support/fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int CONNECTIONS = 16;
constexpr auto ROUND_TIME = std::chrono::milliseconds(1500);
constexpr int ROUNDS = 3;

struct LatencySample {
    /// Completed requests per second.
    double perSecond = 0;
    std::vector<double> micros;

    double quantile(double share)
    {
        std::sort(micros.begin(), micros.end());
        return micros.empty() ? 0 : micros[static_cast<std::size_t>(share * static_cast<double>(micros.size() - 1))];
    }
};

/// Sends requests over persistent connections.
///
/// @param perSecond rate of all connections together; 0 sends each request as soon as the one before it on the same connection
///     has its response
LatencySample sendLoad(const std::string& address, double perSecond)
{
    LatencySample load;
    std::mutex mutex;
    std::vector<std::thread> threads;
    threads.reserve(CONNECTIONS);
    const auto start = Clock::now();
    for (int i = 0; i < CONNECTIONS; ++i) {
        threads.emplace_back([&, i] {
            const auto [host, port] = splitAddress(address);
            const Socket socket = connectTo(host, port);
            const std::string request = "GET /catalogue/x HTTP/1.1\r\nHost: t\r\n\r\n";
            const auto gap = perSecond > 0 ? std::chrono::nanoseconds(static_cast<long long>(1e9 * CONNECTIONS / perSecond)) : std::chrono::nanoseconds(0);
            auto due = start + gap * i / CONNECTIONS;
            std::vector<double> micros;
            std::string unreadBytes;
            while (due < start + ROUND_TIME) {
                std::this_thread::sleep_until(due);
                const auto sent = Clock::now();
                if (!writeAll(socket, request) || !readMessage(socket, unreadBytes))
                    break;
                micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sent).count());
                due = std::max(due + gap, perSecond > 0 ? due : Clock::now());
            }
            const std::lock_guard lock(mutex);
            load.micros.insert(load.micros.end(), micros.begin(), micros.end());
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    load.perSecond = static_cast<double>(load.micros.size()) / std::chrono::duration<double>(Clock::now() - start).count();
    return load;
}

// Idle time after which the stand-in closes a connection.
constexpr int IDLE_CLOSE_MS = 2;

const char* const RULES = R"([[rule]]
method = "GET"
path = "/catalogue"
service = "catalogue"
kind = "idempotent"
[[rule]]
method = "POST"
path = "/fresh"
service = "catalogue"
kind = "at-most-once"
key = "none"
[[rule]]
method = "POST"
path = "/reuse"
service = "catalogue"
kind = "at-most-once"
key = "none"
connection = "reuse"
)";

/// Sends orders at random times, on average one per `IDLE_CLOSE_MS`, so that some of them meet a connection that the server is
/// closing. Prints the number of unknown outcomes and the latency.
void compareConnections(const std::string& address, const std::string& path)
{
    std::atomic<int> sent = 0;
    std::atomic<int> unknown = 0;
    std::mutex mutex;
    LatencySample load;
    std::vector<std::thread> threads;
    threads.reserve(CONNECTIONS);
    for (unsigned i = 0; i < CONNECTIONS; ++i) {
        threads.emplace_back([&, i] {
            std::mt19937 random(i);
            const auto end = Clock::now() + 2 * ROUND_TIME;
            while (Clock::now() < end) {
                std::this_thread::sleep_for(std::chrono::microseconds(random() % (2 * IDLE_CLOSE_MS * 1000 * CONNECTIONS)));
                const auto start = Clock::now();
                const auto response = call(address, "POST", path, {}, "order");
                ++sent;
                unknown += !response || response->header("cornelwind-outcome") == "unknown";
                const std::lock_guard lock(mutex);
                load.micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    std::printf("%s: %d orders, %d unknown, p50 %.0f p99 %.0f us\n", path.c_str() + 1, sent.load(), unknown.load(), load.quantile(0.5), load.quantile(0.99));
}

} // namespace

int main()
{
    Fleet fleet;
    fleet.addServer({ "cat-1", "catalogue", 64, 0 });
    fleet.publishSheet(fleet.sheet(1, "", RULES));
    fleet.addInstance("a");
    fleet.startAll();
    const std::string direct = fleet.serverAddress("cat-1");
    const std::string viaInstance = fleet.callerAddress("a");

    sendLoad(viaInstance, 0);
    const double before = fleet.instance("a").cpuSeconds();
    LatencySample saturated = sendLoad(viaInstance, 0);
    const double cpu = fleet.instance("a").cpuSeconds() - before;
    const double targetRate = saturated.perSecond / 2;
    std::printf("saturated: %.0f requests/s with %.2f s of processor time in %.2f s\n", saturated.perSecond, cpu, std::chrono::duration<double>(ROUND_TIME).count());

    LatencySample directSum;
    LatencySample viaInstanceSum;
    for (int round = 0; round < ROUNDS; ++round) {
        const LatencySample directRound = sendLoad(direct, targetRate);
        const LatencySample viaInstanceRound = sendLoad(viaInstance, targetRate);
        directSum.micros.insert(directSum.micros.end(), directRound.micros.begin(), directRound.micros.end());
        viaInstanceSum.micros.insert(viaInstanceSum.micros.end(), viaInstanceRound.micros.begin(), viaInstanceRound.micros.end());
    }
    std::printf("at %.0f requests/s: direct p50 %.0f p99 %.0f us, through p50 %.0f p99 %.0f us\n", targetRate, directSum.quantile(0.5), directSum.quantile(0.99),
        viaInstanceSum.quantile(0.5), viaInstanceSum.quantile(0.99));
    fleet.controlServer("cat-1", "idle_close_ms=" + std::to_string(IDLE_CLOSE_MS));
    compareConnections(viaInstance, "/fresh");
    compareConnections(viaInstance, "/reuse");
    std::printf("path: per_core=%.0f added_p50_ms=%.3f added_p99_ms=%.3f\n", static_cast<double>(saturated.micros.size()) / cpu,
        (viaInstanceSum.quantile(0.5) - directSum.quantile(0.5)) / 1000, (viaInstanceSum.quantile(0.99) - directSum.quantile(0.99)) / 1000);
    return 0;
}
