#include "standin.h"

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace cornelwind::test {
namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t MAX_HEADS = 200;

    /// A backend server with faults that are set at run time. Thread-safe.
    class Server {
    public:
        explicit Server(const Options& options)
            : m_name(options.at("name"))
            , m_slots(std::atoi(options.at("slots").c_str()))
            , m_random(std::hash<std::string> {}(m_name))
        {
            m_settings["service_ms"] = options.at("service-ms");
        }

        /// Serves the requests of one connection. Closes it at once if the connection limit is reached.
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
            // As common servers do, this one closes a connection that is idle for a time.
            if (const int idleMs = setting("idle_close_ms"))
                setTimeLimit(socket, idleMs);
            std::string buffered;
            while (const auto request = readMessage(socket, buffered)) {
                if (!handle(*request, socket))
                    break;
            }
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }

    private:
        // Returns whether the connection stays open.
        bool handle(const Message& request, const Socket& socket)
        {
            if (request.target() == "/standin/control") {
                const std::lock_guard lock(m_mutex);
                for (const auto& [key, value] : parseKeyValuePairs(request.body))
                    m_settings[key] = value;
                return writeAll(socket, makeResponse(200, ""));
            }
            if (request.target() == "/standin/record") {
                const std::lock_guard lock(m_mutex);
                return writeAll(socket, makeResponse(200, m_record));
            }
            if (request.target() == "/standin/deadlines") {
                const std::lock_guard lock(m_mutex);
                return writeAll(socket, makeResponse(200, m_deadlines));
            }
            if (request.target() == "/standin/heads") {
                const std::lock_guard lock(m_mutex);
                std::string heads;
                for (const std::string& head : m_heads)
                    heads += head + "\n\n";
                return writeAll(socket, makeResponse(200, heads));
            }
            if (request.target() == "/standin/health")
                return serveHealth(socket);
            // A test can make the reported load differ from the real one.
            if (request.target() == "/standin/load")
                return writeAll(socket, makeResponse(200, std::to_string(setting("shown_load", m_running)) + "\n"));
            return handleWork(request, socket);
        }

        bool serveHealth(const Socket& socket)
        {
            // In a gray failure health checks pass while requests fail. The status is therefore 200 whatever faults are set,
            // unless a test sets another one.
            const bool silent = setting("health_silent") == 1;
            return !silent && writeAll(socket, makeResponse(setting("health_status", 200), "", drainHeaders()));
        }

        std::map<std::string, std::string> drainHeaders()
        {
            if (setting("draining") == 1)
                return { { "X-Draining", "1" } };
            return {};
        }

        // Sheds the request if all slots are in use, if `shed_percent` selects it or if its deadline is too near. Otherwise
        // executes it. Returns whether the connection stays open.
        bool handleWork(const Message& request, const Socket& socket)
        {
            recordDeadline(request);
            auto headers = drainHeaders();
            headers["X-Server"] = m_name;
            if (!request.header("cornelwind-try").empty())
                headers["Cornelwind-Try"] = request.header("cornelwind-try");
            if (!request.header("request-id").empty()) {
                headers["Request-Id"] = request.header("request-id");
                headers["Server-Stamp"] = "stamp of " + m_name;
            }
            addExtraHeaders(headers);
            if (m_running.fetch_add(1) >= m_slots || chance("shed_percent")) {
                --m_running;
                return refuse(request, socket, headers);
            }
            if (!writeEarlierResponses(socket)) {
                --m_running;
                return false;
            }
            if (cannotMeetDeadline(request)) {
                --m_running;
                headers["X-Shed"] = "1";
                return writeAll(socket, makeResponse(503, "no time left\n", headers));
            }
            appendRecord("run", request);
            const bool keepOpen = execute(request, socket, headers);
            --m_running;
            return keepOpen;
        }

        void recordDeadline(const Message& request)
        {
            const std::lock_guard lock(m_mutex);
            m_heads.push_back(request.head);
            if (m_heads.size() > MAX_HEADS)
                m_heads.pop_front();
            const std::string own = request.header("cornelwind-deadline-ms");
            m_deadlines += request.target() + " " + (own.empty() ? request.header("deadline-ms") : own) + "\n";
        }

        bool cannotMeetDeadline(const Message& request)
        {
            const std::string remaining = request.header("cornelwind-deadline-ms");
            return !remaining.empty() && std::atoi(remaining.c_str()) < setting("service_ms");
        }

        // Adds the headers that the setting `extra_headers` lists as `NAME: VALUE`, separated by `|`.
        void addExtraHeaders(std::map<std::string, std::string>& headers)
        {
            std::string list = textSetting("extra_headers");
            while (!list.empty()) {
                const auto end = std::min(list.find('|'), list.size());
                const std::string header = list.substr(0, end);
                const auto colon = header.find(": ");
                if (colon != std::string::npos)
                    headers[header.substr(0, colon)] = header.substr(colon + 2);
                list.erase(0, end + 1);
            }
        }

        // Sheds the request and keeps the refusal, which `writeEarlierResponses` may write once more.
        bool refuse(const Message& request, const Socket& socket, std::map<std::string, std::string> headers)
        {
            headers["X-Shed"] = "1";
            headers["Not-Executed"] = "1";
            headers.erase("Server-Stamp");
            const std::string refusal = makeResponse(503, "shed " + request.target() + "\n", headers);
            const std::lock_guard lock(m_mutex);
            m_earlierRefusal = refusal;
            return writeAll(socket, refusal);
        }

        // Writes the last refusal and the last answer once more, as `repeat_refusal` and `repeat_answer` say.
        bool writeEarlierResponses(const Socket& socket)
        {
            const int refusal = setting("repeat_refusal");
            const int answer = setting("repeat_answer");
            const std::lock_guard lock(m_mutex);
            return writeCopy(m_earlierRefusal, refusal, socket) && writeCopy(m_earlierAnswer, answer, socket);
        }

        // Writes a copy of a response: none in mode 0, with its request id in mode 1, without it in mode 2.
        static bool writeCopy(std::string response, int mode, const Socket& socket)
        {
            if (!mode || response.empty())
                return true;
            const auto id = response.find("Request-Id: ");
            if (mode == 2 && id != std::string::npos)
                response.erase(id, response.find("\r\n", id) + 2 - id);
            return writeAll(socket, response);
        }

        // Returns the service time in percent of the normal one: `cold_factor` until `cold_ms` after the start, then 100.
        int coldStartPercent()
        {
            const bool cold = Clock::now() < m_start + std::chrono::milliseconds(setting("cold_ms"));
            return cold ? setting("cold_factor", 500) : 100;
        }

        // Returns whether the connection stays open.
        bool execute(const Message& request, const Socket& socket, std::map<std::string, std::string>& headers)
        {
            if (request.body.find("crash") != std::string::npos || request.target().find("crash") != std::string::npos)
                return crash();
            int serviceMs = setting("service_ms");
            if (chance("stall_percent"))
                serviceMs = 60000;
            serviceMs = serviceMs * setting("slow_factor", 100) / 100 * coldStartPercent() / 100;
            if (!sleepUnlessClosed(socket, serviceMs)) {
                appendRecord("cancelled", request);
                return false;
            }
            const std::string body = m_name + " ran " + request.method() + " " + request.target() + " " + request.body + "\n";
            if (const std::string target = textSetting("endless_target"); !target.empty() && request.target().find(target) != std::string::npos)
                return writeWithoutEnd(socket, headers);
            if (chance("fail_percent"))
                return writeAll(socket, makeResponse(setting("fail_status", 500), "failed\n", headers));
            if (chance("mismatch_percent"))
                headers["Cornelwind-Try"] = "another";
            std::string response = makeResponse(200, body, headers);
            if (chance("truncate_percent")) {
                writeAll(socket, response.substr(0, response.size() - 3));
                return false;
            }
            if (chance("close_before_answer_percent"))
                return false;
            if (const int bytes = setting("close_in_head_bytes")) {
                const auto headLength = static_cast<int>(response.find("\r\n\r\n"));
                // A negative number counts from the end of the head.
                writeAll(socket, response.substr(0, static_cast<std::size_t>(bytes > 0 ? std::min(bytes, headLength) : headLength + bytes)));
                return false;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_earlierAnswer = response;
            }
            return writeAll(socket, response);
        }

        // Writes a head and bytes until the caller closes: in the head, in a body without a stated length or in chunks, by turns.
        // Returns false: the connection does not stay open.
        bool writeWithoutEnd(const Socket& socket, const std::map<std::string, std::string>& headers)
        {
            static const std::string filler(64 * 1024, 'x');
            static const std::string chunk = "10000\r\n" + filler + "\r\n";
            const int form = m_endless++ % 3;
            std::string head = makeResponse(200, "", headers);
            const auto length = head.find("Content-Length: 0\r\n");
            head.replace(length, std::string("Content-Length: 0\r\n").size(), form == 2 ? "Transfer-Encoding: chunked\r\n" : "");
            writeAll(socket, form ? head : "HTTP/1.1 200 OK\r\nX: ");
            while (writeAll(socket, form == 2 ? chunk : filler)) { }
            return false;
        }

        // Shuts down all connections, as if the process had crashed. Returns false: the connection does not stay open.
        bool crash()
        {
            const std::lock_guard lock(m_mutex);
            m_record += "crash\n";
            for (const int fd : m_connections)
                ::shutdown(fd, SHUT_RDWR);
            return false;
        }

        // Returns true after the duration, or false as soon as the client closes the connection.
        static bool sleepUnlessClosed(const Socket& socket, int durationMs)
        {
            const auto until = Clock::now() + std::chrono::milliseconds(durationMs);
            pollfd pollEntry { socket.fd(), POLLRDHUP, 0 };
            for (;;) {
                const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
                if (remainingMs <= 0)
                    return true;
                if (::poll(&pollEntry, 1, static_cast<int>(remainingMs)) > 0)
                    return false;
            }
        }

        void appendRecord(const char* event, const Message& request)
        {
            const std::lock_guard lock(m_mutex);
            const std::string line = std::string(event) + " " + request.method() + " " + request.target() + " " + request.body + "\n";
            m_record += line;
            // The record is lost when the process is killed. The log still shows which requests ran.
            std::fputs(line.c_str(), stdout);
            std::fflush(stdout);
        }

        std::string textSetting(const std::string& key)
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_settings.find(key);
            return found == m_settings.end() ? std::string() : found->second;
        }

        int setting(const std::string& key, int fallback = 0)
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_settings.find(key);
            return found == m_settings.end() ? fallback : std::atoi(found->second.c_str());
        }

        // Returns true with the probability that the setting gives in percent.
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
        std::atomic<int> m_endless = 0;
        std::mutex m_mutex;
        std::mt19937_64 m_random;
        std::map<std::string, std::string> m_settings;
        std::set<int> m_connections;
        std::string m_record;
        std::string m_deadlines;
        /// Heads of the latest requests.
        std::deque<std::string> m_heads;
        std::string m_earlierRefusal;
        std::string m_earlierAnswer;
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
