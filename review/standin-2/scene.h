#pragma once

#include "../../tests/support/net.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for the users' platform, backend servers and clients, and entry instances as child processes. All addresses are
/// loopback addresses.
namespace cornelwind::review {

using Clock = std::chrono::steady_clock;
using Headers = std::map<std::string, std::string>;

/// @return seconds since the start of the process
double now();
/// Sleeps until `now()` reaches `time`.
void sleepUntil(double time);
void sleepFor(double seconds);
/// @return the text of a response with `Content-Length`
std::string makeResponse(int status, const Headers& headers, const std::string& body);

/// The record of a run: what was sent, answered and run. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    /// Writes one line with the time.
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// The platform's metadata store: key, range and watch calls, in revision order. Thread-safe.
class Store {
public:
    /// Starts to listen. The store serves until the process ends.
    ///
    /// @return whether the address was free
    bool start(const std::string& host, std::uint16_t port);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::string key;
        std::uint64_t revision = 0;
        std::string json;
    };

    void serve(test::Socket socket);
    std::string handle(const std::string& target);
    std::string handleRange(const std::string& prefix, const std::string& after);
    std::string handleWatch(const std::string& prefix, std::uint64_t after, std::uint64_t waitMs);
    static std::string itemJson(const std::string& key, const Item& item);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 1;
    test::Socket m_listener;
};

/// A request as a backend server gets it.
struct Work {
    std::string id;
    std::string machine;
    std::string target;
    std::string body;
    double arrivedAt = 0;
};

/// What a backend server does with a request.
struct Behaviour {
    int status = 200;
    int workMs = 0;
    Headers headers;
    std::string body;
    /// The server crashes when it begins to run the request.
    bool crashes = false;
};

/// A backend server that follows the users' pages: it publishes its entry, checks `Expect-Instance`, repeats `Request-Id`, stamps its
/// answers and sheds what it has no room for. Thread-safe.
class Server {
public:
    struct Options {
        std::string service;
        std::string host;
        std::uint16_t port = 8080;
        std::string zone;
        int slots = 4;
        /// Time from an end to the next start, in seconds.
        double downTime = 1.5;
        std::function<Behaviour(const Work&)> behave;
    };

    Server(Options options, Store& store, Record& record);
    /// Starts to listen and publishes the entry.
    ///
    /// @return whether the address was free
    bool start();
    /// Crashes at once, whatever it runs.
    void crash();
    /// @return name of the present incarnation
    std::string name() const;

private:
    void accept(int generation);
    void serve(const std::shared_ptr<test::Socket>& socket, int generation);
    bool handle(const test::Message& request, const test::Socket& socket, int generation);
    bool enter();
    void leave();
    /// Ends all connections and the listener, as the end of the process does, and starts again as a new incarnation later.
    void end(int generation);

    Options m_options;
    Store& m_store;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::shared_ptr<test::Socket> m_listener;
    std::set<std::shared_ptr<test::Socket>> m_connections;
    std::string m_name;
    int m_generation = 0;
    int m_running = 0;
    int m_waiting = 0;
};

/// An entry instance: the program with the command of the deploy file, and settings like those that its template gives.
class Instance {
public:
    Instance(std::string name, std::string zone, std::string host);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Writes the settings and starts the process.
    void start(const std::string& program, const std::string& directory, const std::string& store, const std::vector<std::string>& seeds);
    void signal(int number) const;
    /// @return whether the process ended within the time, in seconds
    bool waitForEnd(double seconds);
    /// @return whether the instance said within the time that it is ready
    bool waitForReady(double seconds) const;
    bool isReady() const;
    const std::string& name() const { return m_name; }
    const std::string& host() const { return m_host; }
    std::string callers() const { return m_host + ":8548"; }
    std::string peers() const { return m_host + ":8544"; }
    /// @return when the process was started last
    double startedAt() const { return m_startedAt; }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_host;
    std::atomic<pid_t> m_pid = -1;
    std::atomic<double> m_startedAt = 0;
};

/// A store and entry instances on loopback addresses that nobody else uses.
class Scene {
public:
    /// @param program path of cornelwind
    Scene(std::string program, Record& record);
    Scene(const Scene&) = delete;
    Scene& operator=(const Scene&) = delete;

    /// Starts the store with a configuration. Servers that start later publish themselves.
    ///
    /// @param configuration text of `op/config`
    bool startStore(const std::string& configuration);
    Store& store() { return m_store; }
    /// Starts a backend server at its own address.
    Server* addServer(Server::Options options);
    /// Adds an entry instance without starting it.
    Instance& addInstance(const std::string& name, const std::string& zone);
    /// Starts an instance. The seeds are the first three instances.
    void startInstance(Instance& instance);
    /// @return whether all are ready within 15 s
    bool startInstances();
    std::vector<std::unique_ptr<Instance>>& instances() { return m_instances; }
    /// Ends all instances, removes the temporary folder and ends the process. Threads of stand-ins may still run.
    [[noreturn]] void finish(int exitCode);

private:
    std::string m_program;
    Record& m_record;
    std::string m_directory;
    std::string m_network;
    int m_nextHost = 20;
    Store m_store;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

/// A client attempt and its result.
struct Attempt {
    std::string id;
    std::string machine;
    double sentAt = 0;
    double endedAt = 0;
    /// 0 if the connection ended without a complete answer.
    int status = 0;
    Headers headers;
    std::string body;
};

/// Sends one request for the host `test` to an instance on a new connection, and records it with its answer. Adds `Request-Id`,
/// `Deadline-Ms` and the name of the instance in `X-Machine`.
Attempt sendRequest(const Instance& instance, const std::string& method, const std::string& target, const std::string& body, int deadlineMs, Record& record);
/// @return a new request id
std::string newRequestId();

/// Ends the process with 2 after the time, in seconds, so that a run cannot last longer than it may.
void limitRunTime(double seconds);
/// @return whether the run contains the disruption: TROUBLE is not 0
bool hasTrouble();

} // namespace cornelwind::review
