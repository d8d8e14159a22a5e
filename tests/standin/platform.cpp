#include "standin.h"

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <mutex>

namespace cornelwind::test {
namespace {

    struct Value {
        std::string text;
        std::uint64_t revision = 0;
    };

    class Platform {
    public:
        void serve(Socket socket)
        {
            std::string rest;
            while (const auto request = readMessage(socket, rest)) {
                const std::string answer = handle(*request);
                if (answer.empty() || !writeAll(socket, answer))
                    return;
            }
        }

    private:
        std::string handle(const Message& request)
        {
            const std::string path = request.target().substr(0, request.target().find('?'));
            std::unique_lock lock(m_mutex);
            if (path == "/control")
                return control(request.body);
            if (path == "/calls")
                return makeAnswer(200, std::to_string(m_calls));
            if (request.method() == "PUT")
                return put(path, request.body);
            ++m_calls;
            return get(path, request, lock);
        }

        std::string control(const std::string& body)
        {
            m_mode = readPairs(body)["mode"];
            if (m_mode == "stale")
                m_frozen = m_values;
            m_changed.notify_all();
            return makeAnswer(200, "");
        }

        std::string put(const std::string& path, const std::string& body)
        {
            m_values[path] = { body, ++m_revision };
            m_changed.notify_all();
            return makeAnswer(200, "");
        }

        std::string get(const std::string& path, const Message& request, std::unique_lock<std::mutex>& lock)
        {
            const std::size_t wait = request.target().find("wait_ms=");
            const int waitMs = wait == std::string::npos ? 0 : std::atoi(request.target().c_str() + wait + 8);
            const std::string known = request.header("if-none-match");
            const auto isNews = [&] { return m_mode == "down" || tagOf(path) != known; };
            m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), isNews);
            if (m_mode == "down")
                return {};
            const auto& values = m_mode == "stale" ? m_frozen : m_values;
            if (!values.contains(path))
                return makeAnswer(404, "");
            if (tagOf(path) == known)
                return makeAnswer(304, "");
            return makeAnswer(200, values.at(path).text, { { "ETag", tagOf(path) } });
        }

        std::string tagOf(const std::string& path)
        {
            auto& values = m_mode == "stale" ? m_frozen : m_values;
            return "\"" + std::to_string(values[path].revision) + "\"";
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::string, Value> m_values;
        std::map<std::string, Value> m_frozen;
        std::string m_mode = "ok";
        std::uint64_t m_revision = 0;
        std::uint64_t m_calls = 0;
    };

} // namespace

int runPlatform(const Options& options)
{
    const auto [host, port] = splitAddress(options.at("listen"));
    const Socket listener = listenOn(host, port);
    if (!listener.valid())
        return 1;
    Platform platform;
    serveForever(listener, [&platform](Socket socket) { platform.serve(std::move(socket)); });
}

} // namespace cornelwind::test
