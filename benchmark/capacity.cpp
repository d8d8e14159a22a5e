// Measures how memory and processing time grow with the number of services, backend servers, rules, keys and peers, at four
// sizes each. Uses only the public headers, the messages between entry instances and the reader of the platform's configuration.
#include "cornelwind/detector.h"
#include "cornelwind/idempotency_store.h"
#include "cornelwind/reducer.h"
#include "cornelwind/router.h"
#include "cornelwind/sheet.h"
#include "peer.pb.h"
#include "platform/values.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

using Clock = std::chrono::steady_clock;

struct Cost {
    double bytes = 0;
    double micros = 0;
};

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

/// Builds a data structure of the given size. The returned pointer keeps it alive during the measurement.
using Build = std::function<std::shared_ptr<void>(std::size_t size)>;

Cost measure(const Build& build, std::size_t size)
{
    const double before = heapBytes();
    const auto start = Clock::now();
    const auto object = build(size);
    const double micros = std::chrono::duration<double, std::micro>(Clock::now() - start).count();
    return { heapBytes() - before, micros };
}

void printSlope(const char* label, const std::vector<std::size_t>& sizes, const Build& build)
{
    std::printf("%-22s", label);
    Cost first;
    Cost last;
    for (const std::size_t size : sizes) {
        last = measure(build, size);
        if (size == sizes.front())
            first = last;
        std::printf(" %7zu: %8.0f KB %8.1f ms", size, last.bytes / 1024, last.micros / 1000);
    }
    const auto span = static_cast<double>(sizes.back() - sizes.front());
    std::printf("  slope %.0f B, %.2f us\n", (last.bytes - first.bytes) / span, (last.micros - first.micros) / span);
}

std::string sheetText(std::uint64_t version, std::size_t services, std::size_t serversEach, std::size_t rules)
{
    std::string text = "version = " + std::to_string(version) + "\n";
    for (std::size_t s = 0; s < services; ++s) {
        text += "[[service]]\nname = \"s" + std::to_string(s) + "\"\n";
        for (std::size_t i = 0; i < serversEach; ++i)
            text += "[[service.server]]\nname = \"s" + std::to_string(s) + "-" + std::to_string(i) + "\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\nslots = 4\n";
    }
    for (std::size_t r = 0; r < rules; ++r)
        text += "[[rule]]\nmethod = \"GET\"\npath = \"/r" + std::to_string(r) + "\"\nservice = \"s0\"\nkind = \"idempotent\"\n";
    return text;
}

std::shared_ptr<Reducer> makeReducer()
{
    Settings settings;
    settings.name = InstanceName { "a" };
    settings.zone = ZoneName { "z" };
    settings.peers = { "10.0.0.1", 1 };
    return std::make_shared<Reducer>(Reducer::Builder().settings(settings).build());
}

std::shared_ptr<Reducer> makeReducerWithSheet(const std::string& text)
{
    auto reducer = makeReducer();
    EffectList effects;
    reducer->apply({ Time { std::chrono::seconds(1) }, 1, SheetFetched { text } }, effects);
    return reducer;
}

std::shared_ptr<peer::Envelope> makePeerMessage(std::size_t number)
{
    auto message = std::make_shared<peer::Envelope>();
    message->mutable_from()->set_name("p" + std::to_string(number));
    message->mutable_from()->set_zone("z");
    message->mutable_from()->set_address("10.1.0.1:9000");
    message->mutable_from()->set_incarnation(number + 1);
    message->mutable_from()->set_state(1);
    return message;
}

InstancesListed makeInstanceList(std::size_t count)
{
    InstancesListed list;
    for (std::size_t i = 0; i < count; ++i)
        list.instances.push_back({ InstanceName { "p" + std::to_string(i) }, ZoneName { "z" }, { "10.1.0.1", 9000 }, false });
    return list;
}

/// @return an API key of 32 bytes; a configuration of 1 MB holds about 30,000 of them
std::string apiKey(std::size_t number)
{
    char text[33];
    std::snprintf(text, sizeof text, "key-%028zu", number);
    return text;
}

std::shared_ptr<WorkspaceDirectory> makeWorkspaces(std::size_t count, std::size_t keysEach)
{
    WorkspaceDirectory::Builder builder;
    for (std::size_t i = 0; i < count; ++i) {
        builder.addWorkspace({ WorkspaceName { "workspace-" + std::to_string(i) }, 1, WorkspaceQuota { 10, 20 } });
        for (std::size_t k = 0; k < keysEach; ++k)
            builder.addKey(apiKey(i * keysEach + k));
    }
    return std::make_shared<WorkspaceDirectory>(builder.build());
}

std::string workspacesJson(std::size_t count, std::size_t keysEach)
{
    std::string text = R"({"version":"1","services":{"s":{}},"routes":{"r":{"host":"a","prefix":"/","kind":"safe","service":"s"}},"tenants":{)";
    for (std::size_t i = 0; i < count; ++i) {
        text += std::string(i ? "," : "") + "\"workspace-" + std::to_string(i) + R"(":{"ratePerS":10,"burst":20,"apiKeys":[)";
        for (std::size_t k = 0; k < keysEach; ++k)
            text += std::string(k ? "," : "") + "\"" + apiKey(i * keysEach + k) + "\"";
        text += "]}";
    }
    return text + "}}";
}

double microsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

void printApiKeys()
{
    constexpr std::size_t workspaces = 86;
    constexpr std::size_t keys = 30000;
    const auto directory = makeWorkspaces(workspaces, keys / workspaces);
    std::size_t found = 0;
    const auto start = Clock::now();
    for (std::size_t i = 0; i < 2 * keys; ++i)
        found += directory->findByKey(apiKey(i)) != nullptr;
    const double lookup = microsSince(start) / (2 * keys);
    std::printf("API key look-up        %.2f us each, %zu of %zu found\n", lookup, found, 2 * keys);
    const std::string text = workspacesJson(workspaces, keys / workspaces);
    const double before = heapBytes();
    const auto readStart = Clock::now();
    Reasons reasons;
    const auto sheet = platform::readConfiguration(text, 10, reasons);
    const double read = microsSince(readStart);
    std::printf("configuration          %.0f KB with %zu keys: read in %.1f ms, %.0f KB in memory, of which %.0f KB text for members\n",
        static_cast<double>(text.size()) / 1024, sheet->workspaces->keyCount(), read / 1000, (heapBytes() - before) / 1024, static_cast<double>(sheet->text.size()) / 1024);
}

void printMessageSizes()
{
    peer::Envelope digest = *makePeerMessage(1);
    digest.mutable_evidence()->set_sequence(1000);
    const std::size_t empty = digest.ByteSizeLong();
    for (std::uint64_t i = 0; i < 100; ++i) {
        peer::EvidenceRow& row = *digest.mutable_evidence()->add_rows();
        row.set_server(i * 0x9e3779b97f4a7c15);
        row.set_samples(12);
        row.set_slow(1);
    }
    std::printf("evidence message       %zu B and %.1f B for each server with new samples\n", empty, static_cast<double>(digest.ByteSizeLong() - empty) / 100);
    peer::Envelope ping = *makePeerMessage(1);
    ping.mutable_ping()->set_sequence(1000);
    ping.mutable_ping()->mutable_sheet()->set_version(43000);
    ping.mutable_ping()->mutable_sheet()->set_hash(1);
    const std::size_t bare = ping.ByteSizeLong();
    *ping.mutable_ping()->add_updates() = makePeerMessage(2)->from();
    std::printf("ping or ack            %zu B and %zu B for each member change, at most 6\n", bare, ping.ByteSizeLong() - bare);
}

void printTick(std::size_t servers)
{
    auto reducer = makeReducerWithSheet(sheetText(1, std::max<std::size_t>(servers / 50, 1), std::min<std::size_t>(servers, 50), 10));
    EffectList effects;
    Time now { std::chrono::seconds(2) };
    const int ticks = 500;
    const auto start = Clock::now();
    for (int i = 0; i < ticks; ++i) {
        now += Millis { 10 };
        effects.clear();
        reducer->apply({ now, 1, Tick {} }, effects);
    }
    const double micros = std::chrono::duration<double, std::micro>(Clock::now() - start).count() / ticks;
    std::printf("tick                   %7zu servers: %.1f us each, %.2f%% of a core at 100 a second\n", servers, micros, micros / 100);
}

} // namespace

int main()
{
    printSlope("service of 10 servers", { 50, 100, 200, 400 }, [](std::size_t size) { return makeReducerWithSheet(sheetText(1, size, 10, 0)); });
    printSlope("backend server", { 500, 1000, 2000, 4000 }, [](std::size_t size) { return makeReducerWithSheet(sheetText(1, size / 50, 50, 0)); });
    printSlope("route", { 1000, 2000, 4000, 8000 }, [](std::size_t size) { return makeReducerWithSheet(sheetText(1, 1, 1, size)); });
    printSlope("used key, 200 B answer", { 2000, 4000, 8000, 16000 }, [](std::size_t size) {
        auto idempotencyStore = std::make_shared<IdempotencyStore>(IdempotencyStore::Limits { 1000000, 1000000000 });
        for (std::uint64_t i = 0; i < size; ++i) {
            idempotencyStore->begin(KeyId { i }, Fingerprint { i }, RequestId { i });
            idempotencyStore->finish(KeyId { i }, { Outcome::Ran, ErrorKind::None, std::make_shared<Response>(Response { 200, {}, std::string(200, 'x') }) });
        }
        return idempotencyStore;
    });
    printSlope("peer", { 100, 400, 1600, 6400 }, [](std::size_t size) {
        auto reducer = makeReducer();
        EffectList effects;
        reducer->apply({ Time { std::chrono::seconds(1) }, 1, makeInstanceList(size) }, effects);
        for (std::size_t i = 0; i < size; ++i) {
            auto message = makePeerMessage(i);
            message->mutable_ack();
            effects.clear();
            reducer->apply({ Time { std::chrono::seconds(1) }, 1, PeerMessageReceived { message } }, effects);
        }
        return reducer;
    });
    printSlope("evidence row merged", { 500, 1000, 2000, 4000 }, [](std::size_t size) {
        auto detector = std::make_shared<Detector>();
        Reasons reasons;
        const auto sheet = readSheet(sheetText(1, size / 50, 50, 0), reasons);
        detector->adopt(*sheet);
        Digest digest { 1, {} };
        for (const SheetService& service : sheet->services) {
            for (const SheetServer& server : service.servers)
                digest.rows.push_back({ serverIdOf(server.name), { 12, 0, 1, 0 } });
        }
        for (std::uint64_t source = 1; source <= 14; ++source)
            detector->merge(source, 1, digest, Time {});
        detector->evaluate(Time {});
        return detector;
    });
    printSlope("change of a server", { 500, 1000, 2000, 4000 }, [](std::size_t size) {
        auto reducer = makeReducerWithSheet(sheetText(1, size / 50, 50, 0));
        EffectList effects;
        reducer->apply({ Time { std::chrono::seconds(2) }, 1, SheetFetched { sheetText(2, size / 50, 50, 1) } }, effects);
        return reducer;
    });
    printSlope("API key, 86 workspaces", { 3698, 7482, 14964, 29928 }, [](std::size_t size) { return makeWorkspaces(86, size / 86); });
    printSlope("workspace with a key", { 10000, 20000, 40000, 80000 }, [](std::size_t size) { return makeWorkspaces(size, 1); });
    printApiKeys();
    printMessageSizes();
    for (const std::size_t servers : { 50, 500, 2000, 5000 })
        printTick(servers);
    return 0;
}
