#pragma once

#include "net.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelwind::test {

/// A child process. The destructor kills it with SIGKILL and reaps it.
class Process {
public:
    /// Starts `program` with `arguments`.
    ///
    /// @param log file to which standard output and standard error are appended
    /// @throws std::runtime_error if the program cannot be started
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Sends the signal `number` to the process, if it has not been reaped.
    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Waits at most `timeLimitMs` for the process to end by itself.
    ///
    /// @return the exit code, 128 + the number of the signal that ended the process, or nothing if it still runs
    std::optional<int> wait(int timeLimitMs);
    pid_t pid() const { return m_pid; }
    /// @return the user and system CPU time that the process has used, in seconds
    double cpuSeconds() const;

private:
    pid_t m_pid = -1;
};

/// Polls `condition` until it returns true or `timeLimitMs` has passed. Checks it at least once.
///
/// @return whether the condition became true
bool waitFor(const std::function<bool()>& condition, int timeLimitMs = 10000);

/// Options of a stand-in backend server.
struct ServerOptions {
    std::string name;
    /// Service of the sheet to which the server belongs.
    std::string service;
    /// Number of requests that the server executes at the same time. It sheds any further request.
    int slots = 4;
    /// Service time of one request.
    int serviceMs = 5;
};

/// A platform stand-in, backend servers, relays and entry instances as child processes.
///
/// All processes listen on one loopback address that no other `Fleet` is likely to use, so that tests can run in parallel.
/// Settings and logs are kept in a temporary directory, which the destructor removes unless CORNELWIND_TEST_KEEP is set.
class Fleet {
public:
    /// Starts the platform stand-in and waits until it answers, for at most 10 s.
    Fleet();
    ~Fleet();

    /// Starts a backend server and waits until it answers, for at most 10 s. Sheets built from now on list it.
    void addServer(const ServerOptions& options);
    /// Builds a sheet that lists the backend servers added so far.
    ///
    /// @param serviceSettings TOML lines that are added to every service
    /// @param rules TOML of the rules; if empty, every service gets an idempotent rule for GET and an at-most-once rule for POST
    ///     with the path `/` + service name
    /// @return the sheet as TOML
    std::string sheet(int version, const std::string& serviceSettings = {}, const std::string& rules = {}) const;
    /// Makes the platform stand-in serve `text` as the sheet.
    void publishSheet(const std::string& text);
    /// Publishes an instance list in which all instances are live and the backend server is leaving.
    void publishServerAsLeaving(const std::string& server);
    /// Builds the instance list in the JSON format of the platform.
    ///
    /// @param states state by instance name; an instance without an entry is "live", and one that is "absent" is omitted
    /// @param leavingServer backend server that is marked as leaving, or empty
    std::string instanceListJson(const std::map<std::string, std::string>& states = {}, const std::string& leavingServer = {}) const;
    /// Publishes the list that `instanceListJson` builds.
    void publishInstances(const std::map<std::string, std::string>& states = {}, const std::string& leavingServer = {});

    /// Adds an entry instance without starting it.
    ///
    /// @param zone availability zone
    /// @param extraSettings TOML that is appended to the settings
    void addInstance(const std::string& name, const std::string& zone = "leon", const std::string& extraSettings = {});
    /// Writes the settings file and starts the process. Does not wait until the instance is ready.
    void start(const std::string& name);
    /// Calls `setPlatformAddress` with an address on which nothing listens.
    void disconnectFromPlatform(const std::string& name);
    /// Configures the address of another platform. Takes effect at the next `start`. The address of an instance can be changed
    /// only once.
    void setPlatformAddress(const std::string& name, const std::string& address);
    /// Configures the peer address `peer` as the only seed. Takes effect at the next `start`. Must be called at most once for each
    /// instance.
    void addSeed(const std::string& name, const std::string& peer);
    /// Publishes the instance list, starts all instances and waits until each is ready and sees all others as alive.
    ///
    /// @throws std::runtime_error if an instance is not ready within 10 s or does not see all others within 10 s after that
    void startAll();
    /// @return whether the instance reported that it is ready within `timeLimitMs`
    bool waitForReady(const std::string& name, int timeLimitMs = 10000);
    /// @return whether the instance saw exactly `aliveCount` other members as alive within `timeLimitMs`
    bool waitForMembers(const std::string& name, std::size_t aliveCount, int timeLimitMs = 10000);

    /// @return the process of an instance that has been started
    Process& instance(const std::string& name) { return *m_instances.at(name).process; }
    /// @return the address of the caller listener
    std::string callerAddress(const std::string& name) const { return m_instances.at(name).callers; }
    /// @return the address of the admin listener
    std::string adminAddress(const std::string& name) const { return m_instances.at(name).admin; }
    /// @return the address of the peer listener
    std::string peerAddress(const std::string& name) const { return m_instances.at(name).peers; }
    /// @return the path of the settings file of an instance
    std::string settingsFile(const std::string& name) const;
    /// @return the path of the log of an instance or a backend server
    std::string logFile(const std::string& name) const { return m_directory + "/" + name + ".log"; }
    /// @return the process of a backend server
    Process& server(const std::string& name) { return *m_servers.at(name).process; }
    /// Starts a killed backend server again at the same address. Its record is empty and no fault is set.
    void restartServer(const std::string& name);
    /// @return the address of a backend server
    std::string serverAddress(const std::string& name) const { return m_servers.at(name).address; }
    /// @return the address of the platform stand-in
    std::string platformAddress() const { return m_platformAddress; }

    /// Starts a relay through which the instance `from` reaches the peer listener of `to`. Takes effect at the next `start`.
    ///
    /// @return the control address of the relay, for `controlRelay`
    std::string addPeerRelay(const std::string& from, const std::string& to);
    /// Starts a relay that forwards connections to a backend server. `sheet` still lists the address of the server itself.
    ///
    /// @param[out] address address on which the relay listens
    /// @return the control address of the relay, for `controlRelay`
    std::string addServerRelay(const std::string& name, std::string& address);

    /// Starts a relay through which an instance reaches the platform stand-in. Takes effect at the next `start`. Must be called at
    /// most once for each instance.
    ///
    /// @return the control address of the relay, for `controlRelay`
    std::string addPlatformRelay(const std::string& instance);

    /// Sets faults of a backend server.
    ///
    /// @param pairs `key=value` lines, such as `fail_percent=50`; `runServer` lists the keys
    void controlServer(const std::string& name, const std::string& pairs);
    /// Sets the mode of the platform stand-in.
    ///
    /// @param mode `ok`, `down` (closes the connection instead of sending a value) or `stale` (keeps serving present values)
    void controlPlatform(const std::string& mode);
    /// Sets what a relay does with the bytes of each direction. Retries for at most 10 s until the relay answers.
    ///
    /// @param address control address of the relay
    /// @param pairs lines `forward=` and `backward=` with `pass`, `cut`, `reset` or a delay in ms
    static void controlRelay(const std::string& address, const std::string& pairs);

    /// Fetches a new idempotency key from an instance.
    ///
    /// @return the key, or an empty string if the instance does not answer
    std::string fetchIdempotencyKey(const std::string& name) const;
    /// @return the number of executed requests that the records of all backend servers show and whose line contains `marker`
    int countRuns(const std::string& marker) const;
    /// @return the same number for one backend server, or 0 if it does not answer
    int countRuns(const std::string& server, const std::string& marker) const;
    /// @return the JSON of the instance's `/status`, or an empty string if the instance does not answer
    std::string statusJson(const std::string& name) const;
    /// @return an address on which nothing listens and whose port this fleet has not returned before
    std::string freeAddress();

private:
    struct Server;
    void startServer(Server& server);
    std::string startRelay(const std::string& address, const std::string& target);
    struct Instance {
        std::string callers;
        std::string admin;
        std::string peers;
        std::string zone;
        std::string settings;
        std::unique_ptr<Process> process;
    };
    struct Server {
        ServerOptions options;
        std::string address;
        std::unique_ptr<Process> process;
    };

    std::string m_directory;
    std::string m_host;
    std::set<std::uint16_t> m_ports;
    std::string m_platformAddress;
    std::unique_ptr<Process> m_platform;
    std::map<std::string, Instance> m_instances;
    std::map<std::string, Server> m_servers;
    std::vector<std::unique_ptr<Process>> m_relays;
};

} // namespace cornelwind::test
