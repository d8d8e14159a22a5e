// Stand-ins of the review: the platform's store, backend servers, callers, and processes of the project.
#pragma once

#include "../../tests/support/net.h"

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using cornelwind::test::Message;
using cornelwind::test::Socket;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case. A case ends its process without destroying what its threads use.
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/// Writes lines with the time since the start to `record.txt`. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void add(const std::string& line);
    /// @return seconds since the start
    double seconds() const;

private:
    const Clock::time_point m_start = Clock::now();
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// The platform's metadata store: keys with revisions, a history, and watches. Thread-safe.
class Store {
public:
    Store();

    std::string address() const { return m_address; }
    /// Writes a key and thereby acknowledges it.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Without service, calls get no response and the connection is closed; waiting watches are cut.
    void setServing(bool serving);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    void serve(Socket socket);
    /// @return the response, or nothing if the connection has to be closed without one
    std::optional<std::string> handle(const Message& request);
    std::optional<std::string> watch(const std::string& target, std::unique_lock<std::mutex>& lock);
    std::string itemJson(const std::string& key, const Item& item, bool withAsOf) const;

    Socket m_listener;
    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<std::pair<std::string, Item>> m_history;
    std::uint64_t m_revision = 1;
    bool m_serving = true;
};

/// What a backend server does with a request that it runs.
struct Work {
    std::chrono::milliseconds time { 0 };
    int status = 200;
    std::string body = "done\n";
    /// Further header lines, each with its line end.
    std::string headers;
    /// Writes instead of a body, after the head, until the caller closes. Null for an ordinary response.
    std::function<void(const Socket&)> endless;
};

/// A backend server with slots, as the platform's pages describe it. Records what it runs. Thread-safe.
class Server {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 4;
    };
    /// Decides what the server does with a request; called when it begins to run it.
    using Plan = std::function<Work(const Message& request)>;
    /// Told of each request that reaches the server, and whether it runs.
    using Observer = std::function<void(const Server& server, const Message& request, bool runs)>;

    Server(Options options, Record& record, Plan plan, Observer observer);

    const Options& options() const { return m_options; }
    /// @return the entry of the server in the platform's store
    std::string entry(const std::string& state) const;
    /// Header lines in all answers from now on.
    void setNotice(const std::string& headers);

private:
    void serve(const Socket& socket);
    /// @return whether the connection stays open
    bool handle(const Socket& socket, const Message& request);
    bool respond(const Socket& socket, const Message& request, const Work& work, const std::string& notice) const;

    Options m_options;
    Record& m_record;
    Plan m_plan;
    Observer m_observer;
    Socket m_listener;
    std::string m_address;
    std::mutex m_mutex;
    std::string m_notice;
    std::atomic<unsigned> m_running = 0;
};

/// An entry instance of the project, started with the command and the template of the deploy folder.
class Instance {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string store;
        std::vector<std::string> seeds;
        /// Folder for settings and logs.
        std::string folder;
    };

    explicit Instance(Options options);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    bool start();
    /// Waits until the readiness check answers 200.
    bool waitForReady(std::chrono::milliseconds limit) const;
    std::string callers() const { return m_callers; }
    std::string peers() const { return m_peers; }
    pid_t pid() const { return m_pid; }
    /// @return memory in use, in bytes
    std::uint64_t memory() const;
    void signal(int number) const;
    /// @return whether the process has ended
    bool ended();

private:
    Options m_options;
    std::string m_callers;
    std::string m_readiness;
    std::string m_peers;
    std::string m_admin;
    pid_t m_pid = -1;
    bool m_ended = false;
};

/// A request of a caller.
struct Request {
    std::string method;
    std::string host;
    std::string target;
    std::string id;
    std::chrono::milliseconds deadline { 2000 };
    std::string body;
};

/// A connection of a caller that is kept for several requests. Records what is sent and answered.
class CallerConnection {
public:
    CallerConnection(const std::string& address, Record& record);

    /// @return the response; nothing if the connection ends before it is complete
    std::optional<Message> send(const Request& request);

private:
    Record& m_record;
    Socket m_socket;
    std::string m_buffered;
};

/// @return the bytes sent for a request
std::string serialize(const Request& request);
/// @return a loopback address with a port that is free now
std::string freeAddress();
/// @return a new request id
std::string nextRequestId();
/// @return a configuration of the platform with the given members `routes` and `services` as JSON
std::string configuration(unsigned version, const std::string& routes, const std::string& services);
/// @return a route as a JSON member
std::string route(const std::string& name, const std::string& host, const std::string& prefix, const std::string& kind,
    const std::string& service, double timeoutSeconds);
/// @return whether the disruption is to be made: `TROUBLE` is not 0
bool hasTrouble();

} // namespace review
