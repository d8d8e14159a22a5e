#include "standin.h"

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace cornelwind::test {
namespace {

    using Clock = std::chrono::steady_clock;

    class Server {
    public:
        explicit Server(const Options& options)
            : m_name(options.at("name"))
            , m_slots(std::atoi(options.at("slots").c_str()))
            , m_random(std::hash<std::string> {}(m_name))
        {
            m_settings["service_ms"] = options.at("service-ms");
        }

        void serve(Socket socket)
        {
            const int fd = socket.fd();
            const auto limit = static_cast<std::size_t>(setting("connection_limit", 330));
            {
                const std::lock_guard lock(m_mutex);
                if (m_connections.size() >= limit)
                    return;
                m_connections.insert(fd);
            }
            // An idle connection is closed after this time, as servers do.
            if (const int idleMs = setting("idle_close_ms"))
                setTimeLimit(socket, idleMs);
            std::string rest;
            while (const auto request = readMessage(socket, rest)) {
                if (!handle(*request, socket))
                    break;
            }
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }

    private:
        bool handle(const Message& request, const Socket& socket)
        {
            if (request.target() == "/standin/control") {
                const std::lock_guard lock(m_mutex);
                for (const auto& [key, value] : readPairs(request.body))
                    m_settings[key] = value;
                return writeAll(socket, makeAnswer(200, ""));
            }
            if (request.target() == "/standin/record") {
                const std::lock_guard lock(m_mutex);
                return writeAll(socket, makeAnswer(200, m_record));
            }
            if (request.target() == "/standin/health")
                return serveHealth(socket);
            // The load endpoint lies as well: it shows what it is told to.
            if (request.target() == "/standin/load")
                return writeAll(socket, makeAnswer(200, std::to_string(setting("shown_load", m_running)) + "\n"));
            return work(request, socket);
        }

        bool serveHealth(const Socket& socket)
        {
            // The endpoint lies: it reports health whatever happens, unless told otherwise.
            const bool silent = setting("health_silent") == 1;
            return !silent && writeAll(socket, makeAnswer(setting("health_status", 200), "", drainHeaders()));
        }

        std::map<std::string, std::string> drainHeaders()
        {
            if (setting("draining") == 1)
                return { { "X-Draining", "1" } };
            return {};
        }

        bool work(const Message& request, const Socket& socket)
        {
            auto headers = drainHeaders();
            headers["X-Server"] = m_name;
            if (!request.header("cornelwind-try").empty())
                headers["Cornelwind-Try"] = request.header("cornelwind-try");
            if (m_running.fetch_add(1) >= m_slots || chance("shed_percent")) {
                --m_running;
                headers["X-Shed"] = "1";
                return writeAll(socket, makeAnswer(503, "shed\n", headers));
            }
            if (lacksTime(request)) {
                --m_running;
                headers["X-Shed"] = "1";
                return writeAll(socket, makeAnswer(503, "no time left\n", headers));
            }
            record("run", request);
            const bool answered = run(request, socket, headers);
            --m_running;
            return answered;
        }

        bool lacksTime(const Message& request)
        {
            const std::string remaining = request.header("cornelwind-deadline-ms");
            return !remaining.empty() && std::atoi(remaining.c_str()) < setting("service_ms");
        }

        // Slower by cold_factor percent until cold_ms after the start.
        int coldFactor()
        {
            const bool cold = Clock::now() < m_start + std::chrono::milliseconds(setting("cold_ms"));
            return cold ? setting("cold_factor", 500) : 100;
        }

        bool run(const Message& request, const Socket& socket, std::map<std::string, std::string>& headers)
        {
            if (request.body.find("crash") != std::string::npos || request.target().find("crash") != std::string::npos)
                return crash();
            int serviceMs = setting("service_ms");
            if (chance("stall_percent"))
                serviceMs = 60000;
            serviceMs = serviceMs * setting("slow_factor", 100) / 100 * coldFactor() / 100;
            if (!sleepUnlessClosed(socket, serviceMs)) {
                record("cancelled", request);
                return false;
            }
            const std::string body = m_name + " ran " + request.method() + " " + request.target() + " " + request.body + "\n";
            if (chance("fail_percent"))
                return writeAll(socket, makeAnswer(500, "failed\n", headers));
            if (chance("mismatch_percent"))
                headers["Cornelwind-Try"] = "another";
            std::string answer = makeAnswer(200, body, headers);
            if (chance("truncate_percent")) {
                writeAll(socket, answer.substr(0, answer.size() - 3));
                return false;
            }
            if (chance("close_before_answer_percent"))
                return false;
            return writeAll(socket, answer);
        }

        // Ends every connection at once, as a process that dies does.
        bool crash()
        {
            const std::lock_guard lock(m_mutex);
            m_record += "crash\n";
            for (const int fd : m_connections)
                ::shutdown(fd, SHUT_RDWR);
            return false;
        }

        static bool sleepUnlessClosed(const Socket& socket, int millis)
        {
            const auto until = Clock::now() + std::chrono::milliseconds(millis);
            pollfd watch { socket.fd(), POLLRDHUP, 0 };
            for (;;) {
                const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
                if (left <= 0)
                    return true;
                if (::poll(&watch, 1, static_cast<int>(left)) > 0)
                    return false;
            }
        }

        void record(const char* what, const Message& request)
        {
            const std::lock_guard lock(m_mutex);
            const std::string line = std::string(what) + " " + request.method() + " " + request.target() + " " + request.body + "\n";
            m_record += line;
            // What ran is known after a kill as well.
            std::fputs(line.c_str(), stdout);
            std::fflush(stdout);
        }

        int setting(const std::string& key, int fallback = 0)
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_settings.find(key);
            return found == m_settings.end() ? fallback : std::atoi(found->second.c_str());
        }

        bool chance(const std::string& key)
        {
            const int percent = setting(key);
            const std::lock_guard lock(m_mutex);
            return percent && static_cast<int>(m_random() % 100) < percent;
        }

        const Clock::time_point m_start = Clock::now();
        const std::string m_name;
        const int m_slots;
        std::atomic<int> m_running = 0;
        std::mutex m_mutex;
        std::mt19937_64 m_random;
        std::map<std::string, std::string> m_settings;
        std::set<int> m_connections;
        std::string m_record;
    };

} // namespace

int runServer(const Options& options)
{
    const auto [host, port] = splitAddress(options.at("listen"));
    const Socket listener = listenOn(host, port);
    if (!listener.valid())
        return 1;
    Server server(options);
    serveForever(listener, [&server](Socket socket) { server.serve(std::move(socket)); });
}

} // namespace cornelwind::test
