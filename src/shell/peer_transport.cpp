#include "peer_transport.h"

#include "http_client.h"
#include "peer.pb.h"

#include <boost/asio/post.hpp>
#include <zmq.h>

namespace cornelwind {
namespace {

    constexpr std::int64_t MAX_MESSAGE_BYTES = 17 * 1024 * 1024;
    constexpr int SEND_QUEUE_MESSAGES = 256;
    constexpr int MIN_RECONNECT_MS = 50;
    constexpr int MAX_RECONNECT_MS = 200;
    // A powered-off host does not respond to a SYN, and the kernel repeats it only after a second or more. With a short
    // timeout a new connection attempt reaches the host sooner after its return.
    constexpr int CONNECT_TIMEOUT_MS = 300;
    // Data that stays unacknowledged for this time makes ZeroMQ replace the connection.
    constexpr int UNACKNOWLEDGED_TIMEOUT_MS = 1000;
    constexpr int MAX_SOCKETS = 8192;
    // Maximum number of messages received before other events of the entry instance get their turn.
    constexpr int MAX_MESSAGES_PER_TURN = 64;
    constexpr Duration MAX_UNUSED_TIME = std::chrono::seconds(60);

    std::string urlOf(const Endpoint& address)
    {
        return "tcp://" + toString(address);
    }

    void setOption(void* socket, int option, int value)
    {
        zmq_setsockopt(socket, option, &value, sizeof(value));
    }

    bool isReadable(void* socket)
    {
        int events = 0;
        std::size_t size = sizeof(events);
        zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
        return events & ZMQ_POLLIN;
    }

    int descriptorOf(void* socket)
    {
        int descriptor = -1;
        std::size_t size = sizeof(descriptor);
        zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
        return descriptor;
    }

} // namespace

void PeerTransport::ContextDeleter::operator()(void* context) const
{
    zmq_ctx_term(context);
}

void PeerTransport::SocketDeleter::operator()(void* socket) const
{
    zmq_close(socket);
}

PeerTransport::PeerTransport(boost::asio::io_context& io, Handler handler)
    : m_handler(std::move(handler))
    , m_context(zmq_ctx_new())
    , m_pullDescriptor(io)
{
    zmq_ctx_set(m_context.get(), ZMQ_MAX_SOCKETS, MAX_SOCKETS);
    m_pullSocket = makeSocket(ZMQ_PULL);
    // Malformed messages are dropped. Protobuf would log each of them to stderr.
    google::protobuf::SetLogHandler(nullptr);
}

PeerTransport::~PeerTransport()
{
    if (m_pullDescriptor.is_open())
        m_pullDescriptor.release();
}

PeerTransport::SocketPtr PeerTransport::makeSocket(int type) const
{
    SocketPtr socket(zmq_socket(m_context.get(), type));
    if (socket)
        setOption(socket.get(), ZMQ_LINGER, 0);
    return socket;
}

bool PeerTransport::listen(const Endpoint& address, Reason& reason)
{
    zmq_setsockopt(m_pullSocket.get(), ZMQ_MAXMSGSIZE, &MAX_MESSAGE_BYTES, sizeof(MAX_MESSAGE_BYTES));
    if (zmq_bind(m_pullSocket.get(), urlOf(address).c_str())) {
        reason = { ErrorKind::ListenFailed, 0, toString(address) + ": " + zmq_strerror(zmq_errno()) };
        return false;
    }
    m_pullDescriptor.assign(descriptorOf(m_pullSocket.get()));
    receivePending();
    return true;
}

void PeerTransport::awaitReadable()
{
    m_pullDescriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](boost::system::error_code error) {
        if (!error)
            receivePending();
    });
}

// The descriptor is edge-triggered, so it may be awaited only after the socket was found empty.
void PeerTransport::receivePending()
{
    for (int i = 0; i < MAX_MESSAGES_PER_TURN; ++i) {
        if (!isReadable(m_pullSocket.get()))
            return awaitReadable();
        receiveOne();
    }
    boost::asio::post(m_pullDescriptor.get_executor(), [this] { receivePending(); });
}

void PeerTransport::receiveOne()
{
    zmq_msg_t raw;
    zmq_msg_init(&raw);
    if (zmq_msg_recv(&raw, m_pullSocket.get(), ZMQ_DONTWAIT) >= 0) {
        auto message = std::make_shared<peer::Envelope>();
        m_bytesReceived += zmq_msg_size(&raw);
        if (message->ParseFromArray(zmq_msg_data(&raw), static_cast<int>(zmq_msg_size(&raw))))
            m_handler(std::move(message));
    }
    zmq_msg_close(&raw);
}

void PeerTransport::send(const Endpoint& address, const peer::Envelope& message)
{
    PushSocket* pushSocket = pushSocketFor(address);
    if (!pushSocket)
        return;
    pushSocket->lastUsed = steadyNow();
    const std::size_t size = message.ByteSizeLong();
    zmq_msg_t raw;
    if (zmq_msg_init_size(&raw, size))
        return;
    message.SerializeToArray(zmq_msg_data(&raw), static_cast<int>(size));
    if (zmq_msg_send(&raw, pushSocket->socket.get(), ZMQ_DONTWAIT) < 0)
        zmq_msg_close(&raw);
    else
        m_bytesSent += size;
}

PeerTransport::PushSocket* PeerTransport::pushSocketFor(const Endpoint& address)
{
    const std::string url = urlOf(address);
    const auto found = m_pushSockets.find(url);
    if (found != m_pushSockets.end())
        return &found->second;
    PushSocket pushSocket { makeSocket(ZMQ_PUSH), {} };
    if (!pushSocket.socket)
        return nullptr;
    setOption(pushSocket.socket.get(), ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
    setOption(pushSocket.socket.get(), ZMQ_RECONNECT_IVL, MIN_RECONNECT_MS);
    setOption(pushSocket.socket.get(), ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_MS);
    setOption(pushSocket.socket.get(), ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
    setOption(pushSocket.socket.get(), ZMQ_TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS);
    if (zmq_connect(pushSocket.socket.get(), url.c_str()))
        return nullptr;
    return &m_pushSockets.emplace(url, std::move(pushSocket)).first->second;
}

void PeerTransport::closeUnused(Time now)
{
    std::erase_if(m_pushSockets, [now](const auto& row) { return now - row.second.lastUsed >= MAX_UNUSED_TIME; });
}

} // namespace cornelwind
