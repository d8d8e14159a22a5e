// Tests with real sockets that peers which read or send slowly do not take the memory of an entry instance, nor the responses of
// the callers beside them.
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t MEGABYTE = 1024 * 1024;
// Three large responses leave no room for a medium one in the budget, and a single one is more than the kernel buffers.
constexpr std::size_t RESPONSE_BYTES = 5 * MEGABYTE;
constexpr std::size_t MEDIUM_BYTES = 2 * MEGABYTE;
constexpr std::size_t REQUEST_BYTES = 8 * MEGABYTE;
// Memory that the process may use; a quarter of it is the budget of bodies. The rest is the tolerance: the process itself, blocks
// being read, and copies made while a response is passed on.
constexpr long MEMORY_MEGABYTES = 64;
constexpr int PEERS = 24;
// Time between two requests of one peer. Without it the peers take the processors that the instance needs.
constexpr auto PAUSE = 100ms;
constexpr int SMALL_BUFFER = 16 * 1024;

/// @return the memory of a process that is resident, in KiB
long residentKilobytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

void setReceiveBuffer(const Socket& socket)
{
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &SMALL_BUFFER, sizeof SMALL_BUFFER);
}

/// A backend server: it answers `/big` and `/sound/medium` with large bodies, reads only the head of a request to `/deaf`, and answers others with `ok`.
class Server {
public:
    Server()
        : m_listener(listenOn("127.0.0.1", 0))
    {
        setReceiveBuffer(m_listener);
        m_accepting = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_stop = true;
        m_listener.shutdown();
        m_accepting.join();
        for (std::thread& thread : m_threads)
            thread.join();
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(portOf(m_listener)); }
    /// @return whether the head of a request to `target` has arrived
    bool hasSeen(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        return m_seen.contains(target);
    }

private:
    void accept()
    {
        for (int fd = acceptOn(m_listener); fd >= 0; fd = acceptOn(m_listener))
            m_threads.emplace_back([this, fd] { serve(Socket(fd)); });
    }

    void serve(const Socket& socket)
    {
        setTimeLimit(socket, 100);
        std::string buffered;
        while (!m_stop) {
            char byte = 0;
            const ssize_t peeked = ::recv(socket.fd(), &byte, 1, MSG_PEEK);
            if (!peeked || (peeked < 0 && errno != EAGAIN))
                return;
            if (peeked > 0 && !answer(socket, buffered))
                return;
        }
    }

    bool answer(const Socket& socket, std::string& buffered)
    {
        char head[4096];
        const ssize_t length = ::recv(socket.fd(), head, sizeof head, MSG_PEEK);
        const std::string line(head, static_cast<std::size_t>(std::max<ssize_t>(length, 0)));
        const std::size_t begin = line.find(' ') + 1;
        const std::string target = line.substr(begin, line.find(' ', begin) - begin);
        {
            const std::lock_guard lock(m_mutex);
            m_seen.insert(target);
        }
        while (target.starts_with("/deaf") && !m_stop)
            std::this_thread::sleep_for(20ms);
        setTimeLimit(socket, 5000);
        if (target.starts_with("/deaf") || !readMessage(socket, buffered))
            return false;
        std::string body = "ok";
        if (target.starts_with("/big") || target == "/sound/medium")
            body.assign(target.starts_with("/big") ? RESPONSE_BYTES : MEDIUM_BYTES, 'x');
        const bool written = writeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        setTimeLimit(socket, 100);
        return written;
    }

    Socket m_listener;
    std::atomic<bool> m_stop = false;
    std::mutex m_mutex;
    std::set<std::string> m_seen;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

struct Scenario {
    Server server;
    Server soundServer;
    Fleet fleet;

    Scenario()
    {
        // The floor keeps the only server of each service in use: large responses count as slow ones beside small ones.
        std::string sheet = "version = 1\n";
        for (const auto& [name, address] : { std::pair { "s", server.address() }, std::pair { "t", soundServer.address() } }) {
            const std::string text(name);
            sheet += "[[service]]\nname = \"" + text + "\"\nfloor_slots = 200\n[[service.server]]\nname = \"" + text + "1\"\naddress = \"" + address + "\"\nzone = \"leon\"\nslots = 200\n";
        }
        const auto addRule = [&](const std::string& method, const std::string& path, const std::string& service, const std::string& kind) {
            sheet += "[[rule]]\nmethod = \"" + method + "\"\npath = \"" + path + "\"\nservice = \"" + service + "\"\nkind = \"" + kind
                + "\"\nkey = \"none\"\ntime_limit_ms = 6000\nmax_body_bytes = 16777216\nmax_answer_bytes = 16777216\ntries = 1\n";
        };
        addRule("GET", "/", "s", "idempotent");
        addRule("POST", "/", "s", "at-most-once");
        addRule("GET", "/sound", "t", "idempotent");
        fleet.publishSheet(sheet);
        fleet.addInstance("a", "leon", "[limits]\nmemory_mb = " + std::to_string(MEMORY_MEGABYTES) + "\n");
        fleet.startAll();
    }

    /// Records a false response that a peer got, from its thread.
    void addFault(const std::string& fault)
    {
        const std::lock_guard lock(m_mutex);
        m_faults += fault + "\n";
    }
    std::string faults()
    {
        const std::lock_guard lock(m_mutex);
        return m_faults;
    }

    Socket connect() const
    {
        const auto [host, port] = splitAddress(fleet.callerAddress("a"));
        return connectTo(host, port);
    }

    long metric(const std::string& line) const
    {
        const auto response = call(fleet.adminAddress("a"), "GET", "/metrics");
        const std::size_t at = response ? response->body.find(line + " ") : std::string::npos;
        return at == std::string::npos ? -1 : std::stol(response->body.substr(at + line.size() + 1));
    }

private:
    std::mutex m_mutex;
    std::string m_faults;
};

using Peer = void (*)(Scenario& scenario, int index, const std::atomic<bool>& stop);

std::string getBig(int index)
{
    return "GET /big/" + std::to_string(index) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Asks for a large response on one connection after the other, and keeps each open.
void readLittle(Scenario& scenario, int index, const std::atomic<bool>& stop, bool reads)
{
    std::this_thread::sleep_for(index * 80ms);
    std::vector<Socket> sockets;
    for (int round = 0; !stop; ++round) {
        if (round % 200 == 0) {
            sockets.push_back(scenario.connect());
            setReceiveBuffer(sockets.back());
            writeAll(sockets.back(), getBig(index));
        }
        char byte = 0;
        for (const Socket& socket : sockets) {
            if (reads)
                ::recv(socket.fd(), &byte, 1, MSG_DONTWAIT);
        }
        std::this_thread::sleep_for(10ms);
    }
}

void readNothing(Scenario& scenario, int index, const std::atomic<bool>& stop)
{
    readLittle(scenario, index, stop, false);
}

void readByteByByte(Scenario& scenario, int index, const std::atomic<bool>& stop)
{
    readLittle(scenario, index, stop, true);
}

/// A request that is refused was not sent, and the response says so.
void sendSlowly(Scenario& scenario, int index, const std::atomic<bool>&)
{
    const Socket socket = scenario.connect();
    const std::string target = "/upload/" + std::to_string(index);
    setTimeLimit(socket, 6000);
    const std::string head = "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(REQUEST_BYTES) + "\r\n\r\n";
    writeAll(socket, head + std::string(REQUEST_BYTES * 3 / 4, 'x'));
    std::string buffered;
    const auto response = readMessage(socket, buffered);
    if (response && response->header("cornelwind-outcome") != "not-run")
        scenario.addFault("outcome " + response->header("cornelwind-outcome"));
    if (scenario.server.hasSeen(target))
        scenario.addFault("a request whose body did not arrive was sent");
}

/// The server has the head of a request and a part of its body, so it may have run.
void sendToDeafServer(Scenario& scenario, int index, const std::atomic<bool>& stop)
{
    for (int i = 0; !stop; ++i) {
        std::this_thread::sleep_for(PAUSE);
        const std::string target = "/deaf/" + std::to_string(index) + "-" + std::to_string(i);
        const auto response = call(scenario.fleet.callerAddress("a"), "POST", target, {}, std::string(REQUEST_BYTES, 'x'), 8000);
        if (response && scenario.server.hasSeen(target) && response->header("cornelwind-outcome") != "unknown")
            scenario.addFault("outcome " + response->header("cornelwind-outcome") + " of a request that may have run");
    }
}

void exchangeLargeBodies(Scenario& scenario, int index, const std::atomic<bool>& stop)
{
    for (int i = 0; !stop; ++i) {
        std::this_thread::sleep_for(PAUSE);
        call(scenario.fleet.callerAddress("a"), "POST", "/big/" + std::to_string(index) + "-" + std::to_string(i), {}, std::string(REQUEST_BYTES / 2, 'x'), 8000);
    }
}

struct PeerCase {
    const char* name;
    Peer peer;
    /// Direction of the transfers that are ended, as the metrics name it.
    const char* ended;
};

} // namespace

// Guards against the kill of the process for its memory while peers are slow, and against the loss of other requests then.
TEST_CASE("Slow peers do not take the memory of the process, nor the responses of other callers")
{
    const PeerCase peerCase = GENERATE(
        PeerCase { "callers that read nothing", readNothing, "to-caller" },
        PeerCase { "callers that read one byte at a time", readByteByByte, "to-caller" },
        PeerCase { "callers that send slowly", sendSlowly, "from-caller" },
        PeerCase { "a server that reads nothing", sendToDeafServer, "to-server" },
        PeerCase { "large bodies both ways", exchangeLargeBodies, nullptr });
    CAPTURE(peerCase.name);
    Scenario scenario;
    std::atomic<bool> stop = false;
    std::vector<std::thread> peers;
    peers.reserve(PEERS);
    for (int i = 0; i < PEERS; ++i)
        peers.emplace_back([&, i] { peerCase.peer(scenario, i, stop); });
    long most = 0;
    long mostBudgeted = 0;
    int served = 0;
    int mediumServed = 0;
    int mediumSent = 0;
    int notServed = 0;
    const auto until = Clock::now() + 4s;
    while (Clock::now() < until) {
        const auto response = call(scenario.fleet.callerAddress("a"), "GET", "/sound");
        const bool ok = response && response->status() == 200 && response->body == "ok";
        ++(ok ? served : notServed);
        if (!ok)
            scenario.addFault("not served: " + (response ? response->startLine + " " + response->body : "no response"));
        if ((served + notServed) % 10 == 0) {
            const auto medium = call(scenario.fleet.callerAddress("a"), "GET", "/sound/medium");
            ++mediumSent;
            mediumServed += medium && medium->body.size() == MEDIUM_BYTES;
        }
        most = std::max(most, residentKilobytes(scenario.fleet.instance("a").pid()));
        mostBudgeted = std::max(mostBudgeted, scenario.metric(R"(cornelwind_body_bytes{kind="request"})") + scenario.metric(R"(cornelwind_body_bytes{kind="writing-response"})"));
        std::this_thread::sleep_for(5ms);
    }
    const long ended = peerCase.ended ? scenario.metric(std::string("cornelwind_ended_for_memory_total{transfer=\"") + peerCase.ended + "\"}") : 1;
    stop = true;
    for (std::thread& peer : peers)
        peer.join();
    WARN(peerCase.name << ": at most " << most << " KiB resident, " << mostBudgeted << " bytes of requests and responses being written, " << ended << " ended, " << served << " served, " << mediumServed << " of " << mediumSent << " of medium size");
    CHECK(most <= MEMORY_MEGABYTES * 1024);
    CHECK(ended > 0);
    CHECK(served > 50);
    CHECK(notServed == 0);
    // Some of these responses are ended before the slow readers count as slow.
    CHECK(4 * mediumServed > mediumSent);
    const std::string faults = scenario.faults();
    CAPTURE(faults);
    CHECK(faults.empty());
    CHECK_FALSE(scenario.fleet.instance("a").wait(0));
}

// Guards against the loss of responses of slow callers for which there is memory.
TEST_CASE("A caller that starts to read late gets its whole response while memory suffices")
{
    Scenario scenario;
    const Socket socket = scenario.connect();
    setReceiveBuffer(socket);
    writeAll(socket, getBig(0));
    std::this_thread::sleep_for(2s);
    std::string buffered;
    const auto response = readMessage(socket, buffered);
    REQUIRE(response);
    CHECK(response->body.size() == RESPONSE_BYTES);
    CHECK(scenario.metric(R"(cornelwind_body_bytes{kind="writing-response"})") <= 0);
}
