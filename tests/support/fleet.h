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

/// A child process; killed when the object ends.
class Process {
public:
    /// @param log file that receives its output
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /// Kills it at once.
    void kill();
    /// @return its exit code, 128 + the number of the signal that ended it, or nothing after the time limit
    std::optional<int> wait(int timeLimitMs);
    pid_t pid() const { return m_pid; }
    /// @return processor time that it has used
    double cpuSeconds() const;

private:
    pid_t m_pid = -1;
};

/// Calls `condition` until it holds.
///
/// @return whether it held within the time limit
bool waitFor(const std::function<bool()>& condition, int timeLimitMs = 10000);

struct ServerOptions {
    std::string name;
    std::string service;
    int slots = 4;
    int serviceMs = 5;
};

/// Stand-ins and entry instances as processes on loopback, on addresses of their own.
class Fleet {
public:
    Fleet();
    ~Fleet();

    /// Starts a backend server, which the next sheet lists.
    void addServer(const ServerOptions& options);
    /// Services, rules and servers as TOML; the servers added so far are filled in.
    std::string sheet(int version, const std::string& serviceSettings = {}, const std::string& rules = {}) const;
    void publishSheet(const std::string& text);
    /// Shows a backend server as leaving in the instance list.
    void publishLeavingServer(const std::string& server);
    /// @return the instance list as the platform serves it
    std::string instanceList(const std::map<std::string, std::string>& states = {}, const std::string& leavingServer = {}) const;
    void publishInstances(const std::map<std::string, std::string>& states = {}, const std::string& leavingServer = {});

    /// Prepares an entry instance without starting it.
    void addInstance(const std::string& name, const std::string& zone = "leon", const std::string& moreSettings = {});
    void start(const std::string& name);
    /// Leads the settings to a platform that does not answer. Call before `start`.
    void cutFromPlatform(const std::string& name);
    /// Leads the settings to another platform. Call before `start`.
    void usePlatform(const std::string& name, const std::string& address);
    /// Names a peer in the settings. Call before `start`.
    void addSeed(const std::string& name, const std::string& peer);
    /// Starts all instances and waits until they are ready and know each other.
    void startAll();
    bool waitReady(const std::string& name, int timeLimitMs = 10000);
    bool waitMembers(const std::string& name, std::size_t alive, int timeLimitMs = 10000);

    Process& instance(const std::string& name) { return *m_instances.at(name).process; }
    std::string callers(const std::string& name) const { return m_instances.at(name).callers; }
    std::string admin(const std::string& name) const { return m_instances.at(name).admin; }
    std::string peers(const std::string& name) const { return m_instances.at(name).peers; }
    std::string settingsFile(const std::string& name) const;
    std::string logFile(const std::string& name) const { return m_folder + "/" + name + ".log"; }
    Process& server(const std::string& name) { return *m_servers.at(name).process; }
    /// Starts the process of a killed backend server again, at the same address and without its memory.
    void restartServer(const std::string& name);
    std::string serverAddress(const std::string& name) const { return m_servers.at(name).address; }
    std::string platform() const { return m_platformAddress; }

    /// Makes `from` reach the peer listener of `to` through a relay. Call before `start`.
    ///
    /// @return the control address of the relay
    std::string relayPeers(const std::string& from, const std::string& to);
    /// Puts a relay before a backend server.
    ///
    /// @param address receives where the relay listens
    /// @return the control address of the relay
    std::string relayServer(const std::string& name, std::string& address);

    void controlServer(const std::string& name, const std::string& pairs);
    void controlPlatform(const std::string& mode);
    static void controlRelay(const std::string& address, const std::string& pairs);

    /// @return one fetched key of an instance
    std::string fetchKey(const std::string& name) const;
    /// @return what the backend servers ran whose record line contains `mark`
    int runs(const std::string& mark) const;
    int runs(const std::string& server, const std::string& mark) const;
    std::string status(const std::string& name) const;
    std::string freeAddress();

private:
    struct Server;
    void startServer(Server& server);
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

    std::string m_folder;
    std::string m_host;
    std::set<std::uint16_t> m_ports;
    std::string m_platformAddress;
    std::unique_ptr<Process> m_platform;
    std::map<std::string, Instance> m_instances;
    std::map<std::string, Server> m_servers;
    std::vector<std::unique_ptr<Process>> m_relays;
};

} // namespace cornelwind::test
