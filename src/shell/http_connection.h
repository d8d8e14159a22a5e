#pragma once

#include "http_message.h"
#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>

namespace cornelwind {

/// Accepts connections and tracks the open ones. The server and each connection share its ownership.
class HttpServer::Listener : public std::enable_shared_from_this<Listener> {
public:
    Listener(boost::asio::io_context& io, HttpHandler& handler, HttpLimits limits, MemoryBudgetPtr memory)
        : handler(handler)
        , limits(limits)
        , memory(std::move(memory))
        , m_io(io)
        , m_acceptor(io)
    {
    }

    std::optional<Endpoint> listen(const Endpoint& address, Reason& reason);
    void accept();
    void closeIdle();
    void setLimits(const CallerLimits& changed);
    void close();

    HttpHandler& handler;
    HttpLimits limits;
    MemoryBudgetPtr memory;
    std::unordered_set<Connection*> connections;
    bool draining = false;

private:
    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/// A client connection, whose requests are handled one after the other.
class HttpServer::Connection final : public HttpExchange, public MemoryHolder, public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<Listener> listener)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_listener(std::move(listener))
        , m_bodyMemory(m_listener->memory, MemoryKind::ReceivingRequest)
        , m_responseMemory(m_listener->memory, MemoryKind::WritingResponse)
    {
        m_listener->connections.insert(this);
        m_listener->memory->add(this);
    }

    ~Connection() override
    {
        m_listener->memory->remove(this);
        m_listener->connections.erase(this);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void start();
    void closeIfIdle();

    /// Restarts the idle timer after its limit changed, so that the connection does not close sooner than
    /// a caller that knows the new limit expects.
    void restartIdleTimer();
    const HttpHead& head() const override { return m_head; }

    void readBody(std::size_t limit) override;
    void respond(const Response& response) override;
    std::optional<MemoryStake> memoryStake(Time now) override;
    void endTransfer() override;

private:
    enum class Phase {
        Idle,
        Receiving,
        Processing,
        Responding,
        Closed,
    };

    void awaitRequest();
    void startIdleTimer() { startTimer(m_listener->limits.idleTimeout, &Connection::closeNow); }

    void receiveHead();
    void onHeadRead(boost::system::error_code error);
    void onHeadTimeout() { rejectHead(ErrorKind::SlowSender); }

    void rejectHead(ErrorKind error);
    void rejectBody(ErrorKind error);
    void sendContinue();
    void receiveBody();
    void readSomeBody();
    void onSomeBodyRead(boost::system::error_code error);
    void dropBody();
    void onBodyTimeout() { rejectBody(ErrorKind::SlowSender); }

    void checkResponseStall();
    void resetNow();

    void onBodyRead(boost::system::error_code error);
    void watchForDisconnect();
    void startTimer(Millis time, void (Connection::*onExpired)());
    void stopTimer();
    void lingerAndClose();
    void discard();
    void closeNow();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Listener> m_listener;
    boost::beast::flat_buffer m_buffer;
    std::optional<RequestParser> m_parser;
    HttpHead m_head;
    std::string m_response;
    MemoryCharge m_bodyMemory;
    MemoryCharge m_responseMemory;
    /// Progress of the body while it is received, then of the response.
    ProgressMeter m_progress;
    std::size_t m_responseBytesWritten = 0;
    /// Bytes of the response that the client had taken at the last check for a stall.
    std::size_t m_responseBytesTaken = 0;
    std::array<char, 4096> m_discarded {};
    Phase m_phase = Phase::Idle;
    std::uint64_t m_timerGeneration = 0;
    bool m_receivingBody = false;
    bool m_keepAlive = true;
    bool m_closeAfterResponse = false;
    bool m_watchingDisconnect = false;
};

} // namespace cornelwind
