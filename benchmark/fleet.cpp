// Runs 15 entry instances as processes. Measures how long sheets and member changes take to reach all of them, how many
// requests fail during a rolling restart, and what the control traffic costs.
#include "support/fleet.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int INSTANCES = 15;
constexpr int ISOLATED_INSTANCES = 5;
constexpr int MEASUREMENT_SECONDS = 5;
constexpr int LOAD_THREADS = 4;

/// @return seconds until the condition holds, or 999 if it does not hold within 20 s
double secondsUntil(const std::function<bool()>& condition)
{
    const auto start = Clock::now();
    return waitFor(condition, 20000) ? std::chrono::duration<double>(Clock::now() - start).count() : 999;
}

bool adoptedEverywhere(const Fleet& fleet, const std::vector<std::string>& names, int version)
{
    for (const std::string& name : names) {
        if (fleet.statusJson(name).find("\"sheet_version\":" + std::to_string(version) + ",") == std::string::npos)
            return false;
    }
    return true;
}

double readMetric(const Fleet& fleet, const std::string& name, const std::string& metricName)
{
    const auto response = call(fleet.adminAddress(name), "GET", "/metrics");
    const std::size_t at = response ? response->body.find("\n" + metricName + " ") : std::string::npos;
    return at == std::string::npos ? 0 : std::atof(response->body.c_str() + at + metricName.size() + 2);
}

double sumMetric(const Fleet& fleet, const std::vector<std::string>& names, const std::string& metricName)
{
    double total = 0;
    for (const std::string& name : names)
        total += readMetric(fleet, name, metricName);
    return total;
}

/// Counters of the load of look-ups and orders.
struct LoadCounters {
    std::atomic<bool> stop = false;
    /// Started rounds. Each consists of a look-up and an order.
    std::atomic<int> sent = 0;
    /// Look-ups without a 200 response and orders without any response.
    std::atomic<int> failed = 0;
    /// Orders that were executed more than once.
    std::atomic<int> duplicated = 0;
};

/// Sends look-ups and orders through each instance in turn until `load.stop` is set. Skips instances that are not ready.
void sendLoad(const Fleet& fleet, const std::vector<std::string>& names, LoadCounters& load, int thread)
{
    for (std::size_t round = static_cast<std::size_t>(thread); !load.stop; ++round) {
        const std::string address = fleet.callerAddress(names[round % names.size()]);
        const auto ready = call(address, "GET", "/.cornelwind/ready", {}, "", 500);
        if (!ready || ready->status() != 200)
            continue;
        ++load.sent;
        const auto lookup = call(address, "GET", "/catalogue");
        load.failed += !lookup || lookup->status() != 200;
        const std::string tag = "o" + std::to_string(thread) + "-" + std::to_string(round) + ".";
        const auto responseWithoutKey = call(address, "POST", "/orders", {}, tag);
        const std::string key = responseWithoutKey ? responseWithoutKey->header("cornelwind-next-key") : "";
        const auto order = key.empty() ? std::nullopt : call(address, "POST", "/orders", { { "Idempotency-Key", key } }, tag);
        load.failed += !key.empty() && !order;
        call(fleet.callerAddress(names[(round + 1) % names.size()]), "POST", "/orders", { { "Idempotency-Key", key } }, tag, 500);
        load.duplicated += fleet.countRuns("ord-1", tag) > 1;
    }
}

} // namespace

int main()
{
    Fleet fleet;
    for (int i = 1; i <= 4; ++i)
        fleet.addServer({ "cat-" + std::to_string(i), "catalogue", 8, 5 });
    fleet.addServer({ "ord-1", "orders", 16, 5 });
    fleet.publishSheet(fleet.sheet(1));
    const std::vector<std::string> zones { "leon", "celaya", "irapuato" };
    std::vector<std::string> names;
    for (int i = 0; i < INSTANCES; ++i) {
        names.push_back("e" + std::to_string(10 + i));
        fleet.addInstance(names.back(), zones[static_cast<std::size_t>(i) % zones.size()]);
    }
    // A third of the instances cannot reach the platform and have one peer as their only seed.
    for (int i = 0; i < ISOLATED_INSTANCES; ++i) {
        fleet.disconnectFromPlatform(names[static_cast<std::size_t>(i)]);
        fleet.addSeed(names[static_cast<std::size_t>(i)], fleet.peerAddress(names.back()));
    }
    fleet.startAll();

    fleet.publishSheet(fleet.sheet(2));
    const double sheetTime = secondsUntil([&] { return adoptedEverywhere(fleet, names, 2); });
    std::printf("sheet adopted by all %d instances, %d of them isolated from the platform: %.2f s\n", INSTANCES, ISOLATED_INSTANCES, sheetTime);

    std::this_thread::sleep_for(std::chrono::seconds(2));
    const double calls = sumMetric(fleet, names, "cornelwind_platform_calls_total");
    const double bytes = sumMetric(fleet, names, "cornelwind_control_sent_bytes_total");
    double cpu = 0;
    for (const std::string& name : names)
        cpu -= fleet.instance(name).cpuSeconds();
    std::this_thread::sleep_for(std::chrono::seconds(MEASUREMENT_SECONDS));
    for (const std::string& name : names)
        cpu += fleet.instance(name).cpuSeconds();
    std::printf("control without traffic: %.1f platform calls/s in all, %.0f B/s sent and %.2f%% of a core for each daemon\n",
        (sumMetric(fleet, names, "cornelwind_platform_calls_total") - calls) / MEASUREMENT_SECONDS,
        (sumMetric(fleet, names, "cornelwind_control_sent_bytes_total") - bytes) / MEASUREMENT_SECONDS / INSTANCES, 100 * cpu / MEASUREMENT_SECONDS / INSTANCES);

    fleet.instance(names[7]).kill();
    const auto deadKnown = [&] {
        for (const std::string& name : names) {
            if (name != names[7] && fleet.statusJson(name).find("\"name\":\"" + names[7] + "\",\"zone\":\"celaya\",\"state\":\"dead\"") == std::string::npos)
                return false;
        }
        return true;
    };
    std::printf("dead instance known everywhere: %.2f s\n", secondsUntil(deadKnown));
    fleet.start(names[7]);
    fleet.waitForReady(names[7]);

    fleet.instance(names[8]).signal(SIGTERM);
    const auto leaveKnown = [&] {
        for (const std::string& name : names) {
            if (name != names[8] && fleet.statusJson(name).find("\"name\":\"" + names[8] + "\",\"zone\":\"irapuato\",\"state\":\"alive\"") != std::string::npos)
                return false;
        }
        return true;
    };
    std::printf("leaving instance known everywhere: %.2f s\n", secondsUntil(leaveKnown));
    fleet.instance(names[8]).wait(15000);
    fleet.start(names[8]);
    fleet.waitForReady(names[8]);

    LoadCounters load;
    std::vector<std::thread> threads;
    threads.reserve(LOAD_THREADS);
    for (int i = 0; i < LOAD_THREADS; ++i)
        threads.emplace_back([&, i] { sendLoad(fleet, names, load, i); });
    const auto start = Clock::now();
    for (const std::string& name : names) {
        fleet.instance(name).signal(SIGTERM);
        fleet.instance(name).wait(15000);
        fleet.start(name);
        fleet.waitForReady(name);
    }
    const double restart = std::chrono::duration<double>(Clock::now() - start).count();
    const double loadedBytes = sumMetric(fleet, names, "cornelwind_control_sent_bytes_total");
    std::this_thread::sleep_for(std::chrono::seconds(MEASUREMENT_SECONDS));
    std::printf("control under load: %.0f B/s sent for each daemon\n", (sumMetric(fleet, names, "cornelwind_control_sent_bytes_total") - loadedBytes) / MEASUREMENT_SECONDS / INSTANCES);
    load.stop = true;
    for (std::thread& thread : threads)
        thread.join();
    std::printf("rolling restart of %d in %.1f s under %d rounds of load\n", INSTANCES, restart, load.sent.load());
    std::printf("fleet: sheet_p100_s=%.2f restart_cut=%d doubled=%d\n", sheetTime, load.failed.load(), load.duplicated.load());
    return 0;
}
