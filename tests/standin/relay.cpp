#include "standin.h"

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>

namespace cornelwind::test {
namespace {

    constexpr int CUT = -1;
    constexpr int RESET = -2;

    /// What happens to bytes of one direction: 0 passes, CUT discards them, RESET ends the connection, else a delay in ms.
    struct Modes {
        std::atomic<int> forward = 0;
        std::atomic<int> backward = 0;
    };

    int modeOf(const std::string& text)
    {
        if (text == "cut")
            return CUT;
        if (text == "reset")
            return RESET;
        return text == "pass" ? 0 : std::atoi(text.c_str());
    }

    // While cut, bytes are discarded, so that what was sent then never arrives.
    void pump(const std::shared_ptr<Socket>& from, const std::shared_ptr<Socket>& to, const std::atomic<int>& mode)
    {
        char buffer[16384];
        bool broken = false;
        for (;;) {
            const ssize_t count = ::recv(from->fd(), buffer, sizeof buffer, 0);
            if (count <= 0)
                break;
            const int now = mode;
            if (now == RESET)
                break;
            // After a gap the rest of the stream would be garbage.
            broken = broken || now < 0;
            if (broken && now >= 0)
                break;
            if (broken)
                continue;
            if (now > 0)
                std::this_thread::sleep_for(std::chrono::milliseconds(now));
            if (!writeAll(*to, std::string(buffer, static_cast<std::size_t>(count))))
                break;
        }
        from->shutdown();
        to->shutdown();
    }

    void control(const Socket& socket, Modes& modes)
    {
        std::string rest;
        while (const auto request = readMessage(socket, rest)) {
            const auto pairs = readPairs(request->body);
            if (pairs.contains("forward"))
                modes.forward = modeOf(pairs.at("forward"));
            if (pairs.contains("backward"))
                modes.backward = modeOf(pairs.at("backward"));
            writeAll(socket, makeAnswer(200, ""));
        }
    }

} // namespace

int runRelay(const Options& options)
{
    const auto [host, port] = splitAddress(options.at("listen"));
    const auto [controlHost, controlPort] = splitAddress(options.at("control"));
    const auto target = splitAddress(options.at("to"));
    const Socket listener = listenOn(host, port);
    static Modes modes;
    std::thread([controlListener = std::make_shared<Socket>(listenOn(controlHost, controlPort))] {
        serveForever(*controlListener, [](Socket socket) { control(socket, modes); });
    }).detach();
    serveForever(listener, [target](Socket socket) {
        const auto near = std::make_shared<Socket>(std::move(socket));
        const auto far = std::make_shared<Socket>(connectTo(target.first, target.second));
        if (!far->valid())
            return;
        std::thread backward([near, far] { pump(far, near, modes.backward); });
        pump(near, far, modes.forward);
        backward.join();
    });
}

} // namespace cornelwind::test
