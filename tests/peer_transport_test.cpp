// Tests of PeerTransport with peers that start, stop and restart.
#include "peer.pb.h"
#include "peer_transport.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <unistd.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace cornelwind;
using test::waitFor;

namespace {

constexpr Duration RUN_SLICE = std::chrono::milliseconds(1);

peer::Envelope makePing(std::uint64_t number)
{
    peer::Envelope message;
    message.set_version(1);
    message.mutable_ping()->set_sequence(number);
    return message;
}

Endpoint freeEndpoint()
{
    const std::string host = "127.77." + std::to_string(1 + getpid() / 250 % 250) + "." + std::to_string(1 + getpid() % 250);
    return { host, test::portOf(test::listenOn(host, 0)) };
}

/// A listening transport on its own thread, as a peer process would run it.
class Receiver {
public:
    explicit Receiver(const Endpoint& address)
        : m_transport(std::make_unique<PeerTransport>(m_io, [this](const std::shared_ptr<const peer::Envelope>& message) {
            m_last = message->ping().sequence();
            ++m_count;
        }))
    {
        Reason reason;
        listening = waitFor([&] { return m_transport->listen(address, reason); });
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~Receiver()
    {
        m_io.stop();
        m_thread.join();
    }

    Receiver(const Receiver&) = delete;
    Receiver& operator=(const Receiver&) = delete;

    std::uint64_t last() const { return m_last; }
    std::uint64_t count() const { return m_count; }
    bool listening = false;

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_io.get_executor() };
    std::atomic<std::uint64_t> m_last = 0;
    std::atomic<std::uint64_t> m_count = 0;
    std::unique_ptr<PeerTransport> m_transport;
    std::thread m_thread;
};

/// A sending transport whose I/O runs only in `run`.
class Sender {
public:
    explicit Sender(const Endpoint& to)
        : m_to(to)
        , m_transport(m_io, [](const std::shared_ptr<const peer::Envelope>&) {})
    {
    }

    void send() { m_transport.send(m_to, makePing(++m_sent)); }
    void run()
    {
        m_io.restart();
        m_io.run_for(RUN_SLICE);
    }
    std::uint64_t sent() const { return m_sent; }

private:
    Endpoint m_to;
    boost::asio::io_context m_io;
    PeerTransport m_transport;
    std::uint64_t m_sent = 0;
};

} // namespace

TEST_CASE("A peer that stops while messages are sent does not crash the sender")
{
    constexpr int RESTARTS = 100;
    const Endpoint address = freeEndpoint();
    Sender sender(address);
    for (int i = 0; i < RESTARTS; ++i) {
        Receiver receiver(address);
        REQUIRE(receiver.listening);
        const auto arrived = [&] {
            for (int j = 0; j < 20; ++j)
                sender.send();
            sender.run();
            return receiver.count() > 0;
        };
        REQUIRE(waitFor(arrived));
    }
}

TEST_CASE("Messages sent before the peer listens arrive in order when it starts")
{
    constexpr std::uint64_t MESSAGES = 20;
    const Endpoint address = freeEndpoint();
    Sender sender(address);
    while (sender.sent() < MESSAGES)
        sender.send();
    Receiver receiver(address);
    REQUIRE(receiver.listening);
    const auto arrived = [&] {
        sender.run();
        return receiver.count() == MESSAGES;
    };
    CHECK(waitFor(arrived));
    CHECK(receiver.last() == MESSAGES);
}

// A powered-off host does not respond to a SYN, and the kernel repeats the SYN only after a second or more. Without a
// connect timeout, a peer that has returned stays unreachable until then.
TEST_CASE("A peer that did not respond at first is reached soon after its return, before the kernel repeats the SYN")
{
    const Endpoint address = freeEndpoint();
    // A full accept queue drops SYN packets.
    std::optional<test::Socket> fullListener = test::listenOn(address.host, address.port, 0);
    std::array<test::Socket, 3> pendingConnections;
    for (test::Socket& socket : pendingConnections)
        socket = test::beginConnect(address.host, address.port);
    Sender sender(address);
    const auto sendUntil = [&](Duration time, const auto& done) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            if (done())
                return true;
            sender.send();
            sender.run();
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    };
    sendUntil(std::chrono::milliseconds(1100), [] { return false; });
    fullListener.reset();
    pendingConnections = {};
    Receiver receiver(address);
    REQUIRE(receiver.listening);
    CHECK(sendUntil(std::chrono::milliseconds(750), [&] { return receiver.count() > 0; }));
}
