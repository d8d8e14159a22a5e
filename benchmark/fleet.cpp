// 15 entry instances as processes: how fast news is everywhere, what a rolling restart cuts, what control costs.
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
constexpr int CUT_OFF = 5;
constexpr int QUIET_SECONDS = 5;
constexpr int LOAD_THREADS = 4;

double secondsUntil(const std::function<bool()>& condition)
{
    const auto start = Clock::now();
    return waitFor(condition, 20000) ? std::chrono::duration<double>(Clock::now() - start).count() : 999;
}

bool inForceEverywhere(const Fleet& fleet, const std::vector<std::string>& names, int version)
{
    for (const std::string& name : names) {
        if (fleet.status(name).find("\"sheet_version\":" + std::to_string(version) + ",") == std::string::npos)
            return false;
    }
    return true;
}

double metric(const Fleet& fleet, const std::string& name, const std::string& metricName)
{
    const auto answer = call(fleet.admin(name), "GET", "/metrics");
    const std::size_t at = answer ? answer->body.find("\n" + metricName + " ") : std::string::npos;
    return at == std::string::npos ? 0 : std::atof(answer->body.c_str() + at + metricName.size() + 2);
}

double sum(const Fleet& fleet, const std::vector<std::string>& names, const std::string& metricName)
{
    double total = 0;
    for (const std::string& name : names)
        total += metric(fleet, name, metricName);
    return total;
}

/// Look-ups and orders, each through the next instance that says that it is ready.
struct Load {
    std::atomic<bool> stop = false;
    std::atomic<int> sent = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> doubled = 0;
};

void drive(const Fleet& fleet, const std::vector<std::string>& names, Load& load, int thread)
{
    for (std::size_t turn = static_cast<std::size_t>(thread); !load.stop; ++turn) {
        const std::string address = fleet.callers(names[turn % names.size()]);
        const auto ready = call(address, "GET", "/.cornelwind/ready", {}, "", 500);
        if (!ready || ready->status() != 200)
            continue;
        ++load.sent;
        const auto lookup = call(address, "GET", "/catalogue");
        load.cut += !lookup || lookup->status() != 200;
        const std::string mark = "o" + std::to_string(thread) + "-" + std::to_string(turn) + ".";
        const auto without = call(address, "POST", "/orders", {}, mark);
        const std::string key = without ? without->header("cornelwind-next-key") : "";
        const auto order = key.empty() ? std::nullopt : call(address, "POST", "/orders", { { "Idempotency-Key", key } }, mark);
        load.cut += !key.empty() && !order;
        call(fleet.callers(names[(turn + 1) % names.size()]), "POST", "/orders", { { "Idempotency-Key", key } }, mark, 500);
        load.doubled += fleet.runs("ord-1", mark) > 1;
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
    // A third cannot reach the platform and knows one peer.
    for (int i = 0; i < CUT_OFF; ++i) {
        fleet.cutFromPlatform(names[static_cast<std::size_t>(i)]);
        fleet.addSeed(names[static_cast<std::size_t>(i)], fleet.peers(names.back()));
    }
    fleet.startAll();

    fleet.publishSheet(fleet.sheet(2));
    const double sheetTime = secondsUntil([&] { return inForceEverywhere(fleet, names, 2); });
    std::printf("sheet in force on all %d, %d of them cut off from the platform: %.2f s\n", INSTANCES, CUT_OFF, sheetTime);

    std::this_thread::sleep_for(std::chrono::seconds(2));
    const double calls = sum(fleet, names, "cornelwind_platform_calls_total");
    const double bytes = sum(fleet, names, "cornelwind_control_sent_bytes_total");
    double cpu = 0;
    for (const std::string& name : names)
        cpu -= fleet.instance(name).cpuSeconds();
    std::this_thread::sleep_for(std::chrono::seconds(QUIET_SECONDS));
    for (const std::string& name : names)
        cpu += fleet.instance(name).cpuSeconds();
    std::printf("control without traffic: %.1f platform calls/s in all, %.0f B/s sent and %.2f%% of a core for each daemon\n",
        (sum(fleet, names, "cornelwind_platform_calls_total") - calls) / QUIET_SECONDS,
        (sum(fleet, names, "cornelwind_control_sent_bytes_total") - bytes) / QUIET_SECONDS / INSTANCES, 100 * cpu / QUIET_SECONDS / INSTANCES);

    fleet.instance(names[7]).kill();
    const auto deadKnown = [&] {
        for (const std::string& name : names) {
            if (name != names[7] && fleet.status(name).find("\"name\":\"" + names[7] + "\",\"zone\":\"celaya\",\"state\":\"dead\"") == std::string::npos)
                return false;
        }
        return true;
    };
    std::printf("dead instance known everywhere: %.2f s\n", secondsUntil(deadKnown));
    fleet.start(names[7]);
    fleet.waitReady(names[7]);

    fleet.instance(names[8]).signal(SIGTERM);
    const auto leaveKnown = [&] {
        for (const std::string& name : names) {
            if (name != names[8] && fleet.status(name).find("\"name\":\"" + names[8] + "\",\"zone\":\"irapuato\",\"state\":\"alive\"") != std::string::npos)
                return false;
        }
        return true;
    };
    std::printf("leaving instance known everywhere: %.2f s\n", secondsUntil(leaveKnown));
    fleet.instance(names[8]).wait(15000);
    fleet.start(names[8]);
    fleet.waitReady(names[8]);

    Load load;
    std::vector<std::thread> threads;
    threads.reserve(LOAD_THREADS);
    for (int i = 0; i < LOAD_THREADS; ++i)
        threads.emplace_back([&, i] { drive(fleet, names, load, i); });
    const auto start = Clock::now();
    for (const std::string& name : names) {
        fleet.instance(name).signal(SIGTERM);
        fleet.instance(name).wait(15000);
        fleet.start(name);
        fleet.waitReady(name);
    }
    const double restart = std::chrono::duration<double>(Clock::now() - start).count();
    const double loadedBytes = sum(fleet, names, "cornelwind_control_sent_bytes_total");
    std::this_thread::sleep_for(std::chrono::seconds(QUIET_SECONDS));
    std::printf("control under load: %.0f B/s sent for each daemon\n", (sum(fleet, names, "cornelwind_control_sent_bytes_total") - loadedBytes) / QUIET_SECONDS / INSTANCES);
    load.stop = true;
    for (std::thread& thread : threads)
        thread.join();
    std::printf("rolling restart of %d in %.1f s under %d rounds of load\n", INSTANCES, restart, load.sent.load());
    std::printf("fleet: sheet_p100_s=%.2f restart_cut=%d doubled=%d\n", sheetTime, load.cut.load(), load.doubled.load());
    return 0;
}
