// Process tests of the interfaces for operators, the trace collector and the platform.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

/// Trace collector that records the requests it receives.
class Collector {
public:
    Collector()
        : m_listener(listenOn("127.0.0.1", 0))
    {
        m_thread = std::thread([this] { run(); });
    }
    ~Collector()
    {
        m_listener.shutdown();
        m_thread.join();
    }
    Collector(const Collector&) = delete;
    Collector& operator=(const Collector&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(portOf(m_listener)); }
    std::string received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    void run()
    {
        for (int fd = accept(); fd >= 0; fd = accept()) {
            const Socket socket(fd);
            std::string rest;
            const auto request = readMessage(socket, rest);
            if (!request)
                continue;
            writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            const std::lock_guard lock(m_mutex);
            m_received += request->startLine + "\n" + request->body + "\n";
        }
    }

    int accept() const { return acceptOn(m_listener); }

    Socket m_listener;
    std::thread m_thread;
    std::mutex m_mutex;
    std::string m_received;
};

void startSingleInstance(Fleet& fleet, const std::string& moreSettings = {})
{
    fleet.addServer({ "cat-1", "catalogue" });
    fleet.publishSheet(fleet.sheet(1));
    fleet.addInstance("a", "leon", moreSettings);
    fleet.startAll();
}

} // namespace

TEST_CASE("Each command returns its documented exit code and message")
{
    Fleet fleet;
    startSingleInstance(fleet);
    const std::string validSettings = fleet.settingsFile("a");
    const std::string invalidSettings = validSettings + ".bad";
    std::ofstream(invalidSettings) << "[instance]\nname = \"a\"\nzne = \"z\"\n";
    const std::string sheet = validSettings + ".sheet";
    std::ofstream(sheet) << fleet.sheet(1);
    struct Row {
        std::vector<std::string> arguments;
        int code;
        const char* output;
    };
    const std::vector<Row> rows {
        { {}, 2, "Commands:" },
        { { "--help" }, 0, "Exit codes:" },
        { { "--version" }, 0, "cornelwind 0." },
        { { "dance" }, 2, "Run cornelwind --help." },
        { { "--no-such-option" }, 2, "unknown option" },
        { { "serve" }, 2, "serve needs --settings" },
        { { "serve", "--settings", validSettings + ".absent" }, 1, "file-unreadable" },
        { { "serve", "--settings", validSettings }, 3, "listen-failed" },
        { { "check", "--settings", validSettings }, 0, "ok" },
        { { "check", "--settings", invalidSettings }, 1, ":3: unknown-key" },
        { { "check", "--sheet", sheet }, 0, "version 1, 1 services, 2 rules" },
        { { "check", "--sheet", validSettings }, 1, "missing-value" },
        { { "status", "--admin", fleet.adminAddress("a") }, 0, "server cat-1 of catalogue: serving" },
        { { "explain", "sheet", "--settings", validSettings }, 0, "sheet-adopted" },
        { { "metrics", "--settings", validSettings }, 0, "cornelwind_requests_total" },
        { { "status", "--admin", "127.0.0.1:1" }, 4, "admin-unreachable" },
        { { "status", "--admin", "nowhere" }, 2, "needs --admin" },
        { { "drain", "--settings", validSettings }, 0, "draining" },
    };
    for (const Row& row : rows) {
        INFO((row.arguments.empty() ? "" : row.arguments.front()));
        const std::string log = validSettings + ".log";
        std::ofstream(log, std::ios::trunc).close();
        Process process(CORNELWIND_PROGRAM, row.arguments, log);
        CHECK(process.wait(8000) == row.code);
        std::ifstream file(log);
        const std::string output((std::istreambuf_iterator<char>(file)), {});
        INFO(output);
        CHECK(output.find(row.output) != std::string::npos);
    }
    CHECK(fleet.instance("a").wait(10000) == 0);
}

TEST_CASE("The admin listener rejects unknown paths, wrong methods and malformed targets")
{
    Fleet fleet;
    startSingleInstance(fleet);
    struct Row {
        const char* method;
        const char* target;
        int status;
    };
    for (const Row& row : { Row { "GET", "/status", 200 }, Row { "GET", "/explain", 200 }, Row { "GET", "/explain?subject=%zz", 400 },
             Row { "GET", "/metrics", 200 }, Row { "GET", "/ready", 200 }, Row { "GET", "/nothing", 404 }, Row { "GET", "/drain", 404 },
             Row { "POST", "/status", 404 } }) {
        INFO(row.method << " " << row.target);
        const auto response = call(fleet.adminAddress("a"), row.method, row.target);
        REQUIRE(response);
        CHECK(response->status() == row.status);
    }
}

TEST_CASE("A request adds a span for each hop to the trace of its caller")
{
    Collector collector;
    Fleet fleet;
    fleet.addServer({ "ord-1", "orders" });
    fleet.publishSheet(fleet.sheet(1));
    for (const char* name : { "a", "b" })
        fleet.addInstance(name, "leon", "[trace]\ncollector = \"" + collector.address() + "\"\n");
    fleet.startAll();
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const auto response = call(fleet.callerAddress("b"), "POST", "/orders",
        { { "Idempotency-Key", fleet.fetchIdempotencyKey("a") }, { "traceparent", "00-" + trace + "-b7ad6b7169203331-01" } }, "order-1");
    REQUIRE(response);
    CHECK(response->status() == 200);
    for (const char* name : { "caller", "owner", "try" }) {
        INFO(name);
        const std::string span = std::string("\"name\":\"") + name + "\"";
        CHECK(waitFor([&] { return collector.received().find(span) != std::string::npos; }));
    }
    CHECK(collector.received().find("POST /v1/traces") != std::string::npos);
    CHECK(collector.received().find("\"traceId\":\"" + trace + "\",\"spanId\"") != std::string::npos);
    CHECK(collector.received().find("\"parentSpanId\":\"b7ad6b7169203331\"") != std::string::npos);
}

TEST_CASE("Metrics count requests and decisions, and text from callers is escaped in the log")
{
    Fleet fleet;
    startSingleInstance(fleet, "[log]\nlevel = \"debug\"\n");
    call(fleet.callerAddress("a"), "GET", "/catalogue");
    call(fleet.callerAddress("a"), "GET", "/nothing");
    const auto metrics = call(fleet.adminAddress("a"), "GET", "/metrics");
    REQUIRE(metrics);
    for (const char* line : { "cornelwind_requests_total 2", "cornelwind_relayed_total 1", "cornelwind_refused_total 1", "cornelwind_ready 1",
             "cornelwind_decisions_total{kind=\"refused\"} 1", "cornelwind_sheet_version 1" }) {
        INFO(line);
        CHECK(metrics->body.find(line) != std::string::npos);
    }
    const std::string subject = "x%22%0aforged%20line";
    CHECK(call(fleet.adminAddress("a"), "GET", "/explain?subject=" + subject));
    std::ifstream file(fleet.logFile("a"));
    for (std::string line; std::getline(file, line);)
        CHECK(line.starts_with("time="));
}

TEST_CASE("A malformed instance list is ignored and the previous one stays in use")
{
    Fleet fleet;
    startSingleInstance(fleet);
    for (const char* text : { "", "{", "[]", "{\"instances\":{}}", R"({"instances":[{"name":"x"}]})", R"({"instances":[{"name":"x","address":"host:1"}]})" }) {
        INFO(text);
        call(fleet.platformAddress(), "PUT", "/instances", {}, text);
        const auto response = call(fleet.callerAddress("a"), "GET", "/catalogue");
        REQUIRE(response);
        CHECK(response->status() == 200);
    }
}

// By default SIGHUP ends the process. The settings come from a pipe, so that the signal arrives before they are read.
TEST_CASE("A reload signal before the settings are read does not end the process")
{
    Fleet fleet;
    const std::string admin = fleet.freeAddress();
    const std::string pipe = fleet.settingsFile("early");
    REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
    Process process(CORNELWIND_PROGRAM, { "serve", "--settings", pipe }, fleet.logFile("early"));
    int fd = -1;
    // The open succeeds once the process has opened the pipe for reading.
    REQUIRE(waitFor([&] { return (fd = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }));
    process.signal(SIGHUP);
    const std::string text = "[instance]\nname = \"early\"\nzone = \"leon\"\n[listen]\ncallers = \"" + fleet.freeAddress() + "\"\npeers = \""
        + fleet.freeAddress() + "\"\nadmin = \"" + admin + "\"\n";
    REQUIRE(::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(fd);
    CHECK(waitFor([&] { return call(admin, "GET", "/status").has_value(); }, 3000));
}

TEST_CASE("Changed settings are reloaded without a signal, invalid ones are not applied")
{
    Fleet fleet;
    startSingleInstance(fleet);
    const auto settings = readFile(fleet.settingsFile("a"));
    const auto logged = [&](const char* text) { return readFile(fleet.logFile("a")).find(text) != std::string::npos; };
    REQUIRE_FALSE(logged("Settings reloaded"));
    std::ofstream(fleet.settingsFile("a")) << settings << "[nonsense\n";
    CHECK(waitFor([&] { return logged("Settings reload failed"); }, 5000));
    std::ofstream(fleet.settingsFile("a")) << settings << "# changed\n";
    CHECK(waitFor([&] { return logged("Settings reloaded"); }, 5000));
    const auto response = call(fleet.callerAddress("a"), "GET", "/catalogue");
    REQUIRE(response);
    CHECK(response->status() == 200);
}
