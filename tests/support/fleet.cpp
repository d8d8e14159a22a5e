#include "fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace cornelwind::test {
namespace {

    constexpr int POLL_MS = 10;
    // As in a shell, a process that signal N ended has exit code 128 + N. This tells a crash from a process that still runs.
    constexpr int SIGNAL_EXIT_BASE = 128;

    std::size_t countOccurrences(const std::string& text, const std::string& substring)
    {
        std::size_t count = 0;
        for (std::size_t at = text.find(substring); at != std::string::npos; at = text.find(substring, at + substring.size()))
            ++count;
        return count;
    }

    // Derives a loopback address from the process id and a counter, so that parallel test processes do not share ports.
    std::string uniqueLoopbackHost()
    {
        static std::atomic<unsigned> fleets = 0;
        const auto pid = static_cast<unsigned>(getpid());
        return "127." + std::to_string(1 + (pid >> 8) % 250) + "." + std::to_string(pid % 256) + "." + std::to_string(1 + fleets++ % 250);
    }

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log)
{
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ))
        throw std::runtime_error("cannot start " + program);
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void Process::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

std::optional<int> Process::wait(int timeLimitMs)
{
    int state = 0;
    const bool ended = waitFor([&] { return waitpid(m_pid, &state, WNOHANG) == m_pid; }, timeLimitMs);
    if (!ended)
        return std::nullopt;
    m_pid = -1;
    return WIFEXITED(state) ? WEXITSTATUS(state) : SIGNAL_EXIT_BASE + WTERMSIG(state);
}

double Process::cpuSeconds() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    // User and system time are the 12th and 13th fields after the process name, in clock ticks (see proc(5)).
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

bool waitFor(const std::function<bool()>& condition, int timeLimitMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeLimitMs);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return condition();
        std::this_thread::sleep_for(std::chrono::milliseconds(POLL_MS));
    }
    return true;
}

Fleet::Fleet()
    : m_host(uniqueLoopbackHost())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "cornelwind-test-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_platformAddress = freeAddress();
    m_platform = std::make_unique<Process>(STANDIN_PROGRAM, std::vector<std::string> { "platform", "--listen", m_platformAddress }, m_directory + "/platform.log");
    waitFor([&] { return call(m_platformAddress, "GET", "/calls").has_value(); });
}

Fleet::~Fleet()
{
    m_instances.clear();
    m_servers.clear();
    m_relays.clear();
    m_platform.reset();
    if (!std::getenv("CORNELWIND_TEST_KEEP"))
        std::filesystem::remove_all(m_directory);
}

std::string Fleet::freeAddress()
{
    // The kernel may choose the same port again before the process that gets this address listens on it.
    for (;;) {
        const Socket socket = listenOn(m_host, 0);
        const std::uint16_t port = portOf(socket);
        if (m_ports.insert(port).second)
            return m_host + ":" + std::to_string(port);
    }
}

void Fleet::addServer(const ServerOptions& options)
{
    Server& server = m_servers[options.name];
    server.options = options;
    server.address = freeAddress();
    startServer(server);
    waitFor([&] { return call(server.address, "GET", "/standin/record").has_value(); });
}

void Fleet::startServer(Server& server)
{
    const ServerOptions& options = server.options;
    server.process = std::make_unique<Process>(STANDIN_PROGRAM,
        std::vector<std::string> { "server", "--listen", server.address, "--name", options.name, "--slots", std::to_string(options.slots), "--service-ms", std::to_string(options.serviceMs) },
        logFile(options.name));
}

void Fleet::restartServer(const std::string& name)
{
    startServer(m_servers.at(name));
}

std::string Fleet::sheet(int version, const std::string& serviceSettings, const std::string& rules) const
{
    std::map<std::string, std::string> services;
    for (const auto& [name, server] : m_servers) {
        services[server.options.service] += "[[service.server]]\nname = \"" + name + "\"\naddress = \"" + server.address
            + "\"\nzone = \"leon\"\nslots = " + std::to_string(server.options.slots) + "\n";
    }
    std::string text = "version = " + std::to_string(version) + "\n";
    for (const auto& [name, servers] : services)
        text.append("[[service]]\nname = \"").append(name).append("\"\n").append(serviceSettings).append(servers);
    if (!rules.empty())
        return text + rules;
    for (const auto& [name, servers] : services) {
        text += "[[rule]]\nmethod = \"GET\"\npath = \"/" + name + "\"\nservice = \"" + name + "\"\nkind = \"idempotent\"\ntime_limit_ms = 3000\n";
        text += "[[rule]]\nmethod = \"POST\"\npath = \"/" + name + "\"\nservice = \"" + name + "\"\nkind = \"at-most-once\"\ntime_limit_ms = 3000\n";
    }
    return text;
}

void Fleet::publishSheet(const std::string& text)
{
    call(m_platformAddress, "PUT", "/sheet", {}, text);
}

void Fleet::publishServerAsLeaving(const std::string& server)
{
    publishInstances({}, server);
}

void Fleet::disconnectFromPlatform(const std::string& name)
{
    setPlatformAddress(name, m_host + ":1");
}

void Fleet::setPlatformAddress(const std::string& name, const std::string& address)
{
    std::string& settings = m_instances.at(name).settings;
    settings.replace(settings.find(m_platformAddress), m_platformAddress.size(), address);
}

void Fleet::addSeed(const std::string& name, const std::string& peer)
{
    std::string& settings = m_instances.at(name).settings;
    settings.insert(settings.find("admin = "), "seeds = [\"" + peer + "\"]\n");
}

void Fleet::publishInstances(const std::map<std::string, std::string>& states, const std::string& leavingServer)
{
    call(m_platformAddress, "PUT", "/instances", {}, instanceListJson(states, leavingServer));
}

std::string Fleet::instanceListJson(const std::map<std::string, std::string>& states, const std::string& leavingServer) const
{
    std::string list;
    for (const auto& [name, instance] : m_instances) {
        const auto state = states.find(name);
        if (state != states.end() && state->second == "absent")
            continue;
        list += list.empty() ? "" : ",";
        list += R"({"name":")" + name + R"(","zone":")" + instance.zone + R"(","address":")" + instance.peers + R"(","state":")"
            + (state == states.end() ? "live" : state->second) + R"("})";
    }
    const std::string servers = leavingServer.empty() ? "" : R"({"name":")" + leavingServer + R"(","state":"leaving"})";
    return "{\"instances\":[" + list + "],\"servers\":[" + servers + "]}";
}

void Fleet::addInstance(const std::string& name, const std::string& zone, const std::string& extraSettings)
{
    Instance& instance = m_instances[name];
    instance.callers = freeAddress();
    instance.admin = freeAddress();
    instance.peers = freeAddress();
    instance.zone = zone;
    instance.settings = "[instance]\nname = \"" + name + "\"\nzone = \"" + zone + "\"\n[listen]\ncallers = \"" + instance.callers + "\"\npeers = \""
        + instance.peers + "\"\nadmin = \"" + instance.admin + "\"\n[platform]\naddress = \"" + m_platformAddress + "\"\n" + extraSettings;
}

std::string Fleet::settingsFile(const std::string& name) const
{
    return m_directory + "/" + name + ".toml";
}

void Fleet::start(const std::string& name)
{
    Instance& instance = m_instances.at(name);
    std::ofstream(settingsFile(name)) << instance.settings;
    instance.process = std::make_unique<Process>(CORNELWIND_PROGRAM, std::vector<std::string> { "serve", "--settings", settingsFile(name) }, m_directory + "/" + name + ".log");
}

void Fleet::startAll()
{
    publishInstances();
    for (const auto& [name, instance] : m_instances)
        start(name);
    for (const auto& [name, instance] : m_instances) {
        if (!waitForReady(name) || !waitForMembers(name, m_instances.size() - 1))
            throw std::runtime_error("entry instance " + name + " did not become ready or did not see all other members as alive within the time limit");
    }
}

bool Fleet::waitForReady(const std::string& name, int timeLimitMs)
{
    return waitFor([&] {
        const auto response = call(adminAddress(name), "GET", "/ready");
        return response && response->status() == 200;
    },
        timeLimitMs);
}

bool Fleet::waitForMembers(const std::string& name, std::size_t aliveCount, int timeLimitMs)
{
    return waitFor([&] { return countOccurrences(statusJson(name), R"("state":"alive")") == aliveCount; }, timeLimitMs);
}

std::string Fleet::addPeerRelay(const std::string& from, const std::string& to)
{
    const std::string address = freeAddress();
    const std::string control = startRelay(address, peerAddress(to));
    m_instances.at(from).settings += "[[peer_route]]\ninstance = \"" + to + "\"\nvia = \"" + address + "\"\n";
    return control;
}

std::string Fleet::addServerRelay(const std::string& name, std::string& address)
{
    address = freeAddress();
    return startRelay(address, serverAddress(name));
}

std::string Fleet::addPlatformRelay(const std::string& instance)
{
    const std::string address = freeAddress();
    const std::string control = startRelay(address, m_platformAddress);
    setPlatformAddress(instance, address);
    return control;
}

std::string Fleet::startRelay(const std::string& address, const std::string& target)
{
    const std::string control = freeAddress();
    m_relays.push_back(std::make_unique<Process>(STANDIN_PROGRAM,
        std::vector<std::string> { "relay", "--listen", address, "--control", control, "--to", target }, m_directory + "/relay.log"));
    return control;
}

void Fleet::controlServer(const std::string& name, const std::string& pairs)
{
    call(serverAddress(name), "PUT", "/standin/control", {}, pairs);
}

void Fleet::controlPlatform(const std::string& mode)
{
    call(m_platformAddress, "PUT", "/control", {}, "mode=" + mode);
}

void Fleet::controlRelay(const std::string& address, const std::string& pairs)
{
    waitFor([&] { return call(address, "PUT", "/control", {}, pairs).has_value(); });
}

std::string Fleet::fetchIdempotencyKey(const std::string& name) const
{
    const auto response = call(callerAddress(name), "POST", "/.cornelwind/keys?count=1");
    if (!response)
        return {};
    const std::size_t start = response->body.find("cw1.");
    return response->body.substr(start, response->body.find('"', start) - start);
}

int Fleet::countRuns(const std::string& server, const std::string& marker) const
{
    const auto record = call(serverAddress(server), "GET", "/standin/record");
    std::istringstream lines(record ? record->body : "");
    int count = 0;
    for (std::string line; std::getline(lines, line);)
        count += line.starts_with("run ") && line.find(marker) != std::string::npos;
    return count;
}

int Fleet::countRuns(const std::string& marker) const
{
    int count = 0;
    for (const auto& [name, server] : m_servers)
        count += countRuns(name, marker);
    return count;
}

std::string Fleet::statusJson(const std::string& name) const
{
    const auto response = call(adminAddress(name), "GET", "/status");
    return response ? response->body : "";
}

} // namespace cornelwind::test
