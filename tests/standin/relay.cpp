#include "standin.h"

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <thread>

namespace cornelwind::test {
namespace {

    constexpr int CUT = -1;
    constexpr int RESET = -2;

    /// Mode of each direction: 0 forwards bytes, CUT discards them, RESET ends the connection, and a positive value delays
    /// bytes by that many ms.
    struct RelayModes {
        std::atomic<int> forward = 0;
        std::atomic<int> backward = 0;
    };

    constexpr std::size_t MAX_RECORDED = 4 * 1024 * 1024;

    /// The first bytes that were forwarded, in either direction.
    class Record {
    public:
        void add(const std::string& bytes)
        {
            const std::lock_guard lock(m_mutex);
            if (m_bytes.size() < MAX_RECORDED)
                m_bytes += bytes;
        }

        std::string bytes()
        {
            const std::lock_guard lock(m_mutex);
            return m_bytes;
        }

    private:
        std::mutex m_mutex;
        std::string m_bytes;
    };

    Record& record()
    {
        static Record record;
        return record;
    }

    int parseMode(const std::string& text)
    {
        if (text == "cut")
            return CUT;
        if (text == "reset")
            return RESET;
        return text == "pass" ? 0 : std::atoi(text.c_str());
    }

    // Forwards the bytes of one direction until the connection ends. Bytes that arrive in mode CUT are never delivered.
    void forwardBytes(const std::shared_ptr<Socket>& from, const std::shared_ptr<Socket>& to, const std::atomic<int>& mode)
    {
        char buffer[16384];
        bool hasGap = false;
        for (;;) {
            const ssize_t count = ::recv(from->fd(), buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            const int currentMode = mode;
            if (currentMode == RESET)
                break;
            // The receiver cannot parse a stream with missing bytes, so the connection ends at the first bytes after the cut.
            hasGap = hasGap || currentMode < 0;
            if (hasGap && currentMode >= 0)
                break;
            if (hasGap)
                continue;
            if (currentMode > 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(currentMode));
            const std::string bytes(buffer, static_cast<std::size_t>(count));
            record().add(bytes);
            if (!writeAll(*to, bytes))
                break;
        }
        from->shutdown();
        to->shutdown();
    }

    void handleControl(const Socket& socket, RelayModes& modes)
    {
        std::string buffered;
        while (const auto request = readMessage(socket, buffered)) {
            if (request->method() == "GET") {
                writeAll(socket, makeResponse(200, record().bytes()));
                continue;
            }
            const auto pairs = parseKeyValuePairs(request->body);
            if (pairs.contains("forward"))
                modes.forward = parseMode(pairs.at("forward"));
            if (pairs.contains("backward"))
                modes.backward = parseMode(pairs.at("backward"));
            writeAll(socket, makeResponse(200, ""));
        }
    }

} // namespace

int runRelay(const Options& options)
{
    const auto [host, port] = splitAddress(options.at("listen"));
    const auto [controlHost, controlPort] = splitAddress(options.at("control"));
    const auto target = splitAddress(options.at("to"));
    const Socket listener = listenOn(host, port);
    static RelayModes modes;
    std::thread([controlListener = std::make_shared<Socket>(listenOn(controlHost, controlPort))] {
        serveForever(*controlListener, [](Socket socket) { handleControl(socket, modes); });
    }).detach();
    serveForever(listener, [target](Socket socket) {
        const auto client = std::make_shared<Socket>(std::move(socket));
        const auto upstream = std::make_shared<Socket>(connectTo(target.first, target.second));
        if (!upstream->valid())
            return;
        std::thread backward([client, upstream] { forwardBytes(upstream, client, modes.backward); });
        forwardBytes(client, upstream, modes.forward);
        backward.join();
    });
}

} // namespace cornelwind::test
