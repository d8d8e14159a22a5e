// Measures what requests that crash backend servers cost callers in fleets of different sizes, in simulated time, and what the quarantine
// costs the processor for each request.
#include "cornelwind/quarantine.h"
#include "support/crash_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

constexpr Millis STEP { 50 };
constexpr int STEPS = 1000;
constexpr std::size_t SIZES[] = { 4, 15, 53, 118 };

CrashFleetOptions optionsOf(std::size_t instances)
{
    CrashFleetOptions options;
    options.instances = instances;
    options.zones = instances > 15 ? 5 : 3;
    options.servers = 8;
    return options;
}

// Each instance restarts once, 0.5 s after it was killed, from 4 s to 24 s.
void restartInTurn(CrashFleet& fleet, int step)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const int at = 80 + static_cast<int>(400 * i / fleet.size());
        if (step == at)
            fleet.kill(i);
        if (step == at + 10)
            fleet.start(i);
    }
}

// A request that crashes servers comes every 0.5 s at the next instance, beside an order of another caller every 50 ms.
void measureCrashing(std::size_t instances, bool restarts)
{
    CrashFleet fleet(optionsOf(instances));
    fleet.setCrashes("h", "/order/crash", true);
    std::size_t lost = 0;
    fleet.run(std::chrono::seconds(2));
    for (int step = 0; step < STEPS; ++step) {
        if (restarts)
            restartInTurn(fleet, step);
        fleet.send(static_cast<std::size_t>(step) % instances, "/order/" + std::to_string(step));
        if (step % 10 == 0)
            fleet.send(static_cast<std::size_t>(step / 10) % instances, "/order/crash");
        fleet.run(STEP);
    }
    fleet.run(std::chrono::seconds(3));
    for (int step = 0; step < STEPS; ++step)
        lost += !fleet.record("/order/" + std::to_string(step)).served;
    const TargetRecord& record = fleet.record("/order/crash");
    std::printf("instances=%zu restarts=%d crashes=%zu refused=%zu orders_of_others_not_served=%zu messages=%zu\n", instances, restarts, record.crashes.size(), record.quarantined, lost, fleet.quarantineMessages());
}

// Three servers that run a page crash at once, and the page comes ten times a second.
void measureSound(std::size_t instances)
{
    CrashFleet fleet(optionsOf(instances));
    fleet.run(std::chrono::seconds(2));
    for (int step = 0; step < STEPS; ++step) {
        std::size_t crashed = 0;
        for (std::size_t server = 0; server < 8 && step == 100 && crashed < 3; ++server) {
            if (fleet.runsOf(server, "/page")) {
                fleet.crashServer(server);
                ++crashed;
            }
        }
        if (step % 2 == 0)
            fleet.send(static_cast<std::size_t>(step / 2) % instances, "/page");
        fleet.run(STEP);
    }
    const TargetRecord& record = fleet.record("/page");
    std::printf("instances=%zu page_requests=%zu served=%zu refused_as_quarantined=%zu failed=%zu messages=%zu\n", instances, record.sent, record.served, record.quarantined, record.failed, fleet.quarantineMessages());
}

// Different requests that all pass the quarantine and are answered.
void measureCost(std::size_t records)
{
    constexpr std::uint64_t requests = 1'000'000;
    Quarantine quarantine;
    Time now { std::chrono::hours(1) };
    for (std::uint64_t i = 0; i < records; ++i)
        quarantine.recordCrash(Fingerprint { ~i }, { ServerId { i }, 1, now }, now);
    now += std::chrono::seconds(10);
    std::uint64_t free = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < requests; ++i) {
        const Fingerprint fingerprint { i * 0x9e3779b97f4a7c15 };
        free += quarantine.state(fingerprint, now) == QuarantineState::Free;
        quarantine.recordReached(ServerId { i % 8 }, 1, now);
        quarantine.recordAnswer(fingerprint, now);
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    std::printf("records=%zu requests=%llu free=%llu us_per_request=%.3f\n", records, static_cast<unsigned long long>(requests), static_cast<unsigned long long>(free), spent.count() / static_cast<double>(requests));
}

} // namespace

int main()
{
    for (const std::size_t records : { std::size_t { 0 }, Quarantine::MAX_ENTRIES })
        measureCost(records);
    for (const std::size_t instances : SIZES) {
        for (const bool restarts : { false, true })
            measureCrashing(instances, restarts);
        measureSound(instances);
    }
}
