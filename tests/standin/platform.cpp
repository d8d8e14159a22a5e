#include "standin.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <sstream>

namespace cornelwind::test {
namespace {

    /// A stored value. Its ETag is the revision.
    struct Value {
        std::string text;
        std::uint64_t revision = 0;
    };

    /// A key-value store with an HTTP interface. Thread-safe.
    class Platform {
    public:
        /// Serves requests until the connection ends or a value is requested in mode `down`.
        void serve(Socket socket)
        {
            std::string buffered;
            while (const auto request = readMessage(socket, buffered)) {
                const std::string response = handle(*request);
                if (response.empty() || !writeAll(socket, response))
                    return;
            }
        }

    private:
        std::string handle(const Message& request)
        {
            const std::string path = request.target().substr(0, request.target().find('?'));
            std::unique_lock lock(m_mutex);
            if (path == "/control")
                return handleControl(request.body);
            if (path == "/calls")
                return makeResponse(200, std::to_string(m_calls));
            if (request.method() == "PUT" && path == "/api/kv-list")
                return handleList(request);
            if (request.method() == "PUT")
                return handlePut(path, request.body);
            ++m_calls;
            if (path == "/api/kv-watch")
                return handleWatch(request, lock);
            if (path == "/api/kv-range" && !m_list.empty())
                return handlePage(request);
            const bool isNextPage = path == "/api/kv-range" && request.target().find("after=") != std::string::npos;
            return handleGet(isNextPage ? "/api/kv-range/next" : path, request, lock);
        }

        std::string handleControl(const std::string& body)
        {
            auto pairs = parseKeyValuePairs(body);
            if (pairs.contains("history_from")) {
                m_historyFrom = std::strtoull(pairs["history_from"].c_str(), nullptr, 10);
                m_changed.notify_all();
                return makeResponse(200, "");
            }
            m_mode = pairs["mode"];
            if (m_mode == "stale")
                m_staleValues = m_values;
            m_changed.notify_all();
            return makeResponse(200, "");
        }

        std::string handlePut(const std::string& path, const std::string& body)
        {
            m_values[path] = { body, ++m_revision };
            m_changed.notify_all();
            return makeResponse(200, "");
        }

        std::string handleList(const Message& request)
        {
            m_list.clear();
            m_listRevision = numberAfter(request.target(), "asOf=");
            m_pageItems = numberAfter(request.target(), "pageItems=");
            std::istringstream lines(request.body);
            std::string key;
            std::string item;
            while (lines >> key && std::getline(lines >> std::ws, item))
                m_list[decodeFormField(key)] = item;
            return makeResponse(200, "");
        }

        // Returns the items that follow the key in the query.
        std::string handlePage(const Message& request)
        {
            std::string items;
            auto next = m_list.upper_bound(queryField(request.target(), "after"));
            for (std::uint64_t i = 0; i < m_pageItems && next != m_list.end(); ++i, ++next)
                items += (i ? "," : "") + next->second;
            const std::string hasMore = next == m_list.end() ? "false" : "true";
            return makeResponse(200, "{\"items\":[" + items + "],\"hasMore\":" + hasMore + ",\"asOf\":" + std::to_string(m_listRevision) + "}");
        }

        // Returns the value of a field in the query of a request target, or an empty text. A fragment is no part of the query.
        static std::string queryField(const std::string& target, const std::string& name)
        {
            const std::string url = target.substr(0, target.find('#'));
            std::istringstream fields(url.substr(std::min(url.find('?'), url.size() - 1) + 1));
            for (std::string field; std::getline(fields, field, '&');) {
                if (field.starts_with(name + "="))
                    return decodeFormField(field.substr(name.size() + 1));
            }
            return {};
        }

        // Decodes a value as common servers do: `+` is a space and `%` precedes two hexadecimal digits.
        static std::string decodeFormField(const std::string& text)
        {
            std::string decoded;
            for (std::size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%' && i + 2 < text.size()) {
                    decoded += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else
                    decoded += text[i] == '+' ? ' ' : text[i];
            }
            return decoded;
        }

        // Returns the stored events once they are later than the revision in the query, or none when the time is over.
        std::string handleWatch(const Message& request, std::unique_lock<std::mutex>& lock)
        {
            const std::uint64_t after = numberAfter(request.target(), "after=");
            const auto waitMs = std::chrono::milliseconds(numberAfter(request.target(), "waitMs="));
            const std::string& events = m_values["/api/kv-watch"].text;
            const auto isLater = [&] { return numberAfter(events, "\"asOf\":") > after; };
            const auto isForgotten = [&] { return after < m_historyFrom; };
            const bool changed = m_changed.wait_for(lock, waitMs, [&] { return m_mode == "down" || isForgotten() || isLater(); });
            if (m_mode == "down")
                return {};
            if (isForgotten())
                return makeResponse(410, "");
            return makeResponse(200, changed ? events : R"({"asOf":)" + std::to_string(std::max<std::uint64_t>(after, 1)) + R"(,"events":[]})");
        }

        // Returns the number that follows the first occurrence of `marker`, or 0.
        static std::uint64_t numberAfter(const std::string& text, const std::string& marker)
        {
            const std::size_t found = text.find(marker);
            return found == std::string::npos ? 0 : std::strtoull(text.c_str() + found + marker.size(), nullptr, 10);
        }

        // Returns the response, or an empty text if the connection has to be closed without one.
        std::string handleGet(const std::string& path, const Message& request, std::unique_lock<std::mutex>& lock)
        {
            const std::size_t wait = request.target().find("wait_ms=");
            const int waitMs = wait == std::string::npos ? 0 : std::atoi(request.target().c_str() + wait + 8);
            const std::string knownTag = request.header("if-none-match");
            const auto hasChanged = [&] { return m_mode == "down" || entityTag(path) != knownTag; };
            m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasChanged);
            if (m_mode == "down")
                return {};
            const auto& values = m_mode == "stale" ? m_staleValues : m_values;
            if (!values.contains(path))
                return makeResponse(404, "");
            if (entityTag(path) == knownTag)
                return makeResponse(304, "");
            return makeResponse(200, values.at(path).text, { { "ETag", entityTag(path) } });
        }

        std::string entityTag(const std::string& path)
        {
            auto& values = m_mode == "stale" ? m_staleValues : m_values;
            return "\"" + std::to_string(values[path].revision) + "\"";
        }

        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::map<std::string, Value> m_values;
        // Copy of the values from the time when the mode was set to `stale`.
        std::map<std::string, Value> m_staleValues;
        std::string m_mode = "ok";
        std::uint64_t m_revision = 0;
        std::uint64_t m_calls = 0;
        // Items by key.
        std::map<std::string, std::string> m_list;
        std::uint64_t m_listRevision = 0;
        std::uint64_t m_pageItems = 0;
        // Watches after an earlier revision are answered with 410.
        std::uint64_t m_historyFrom = 0;
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
