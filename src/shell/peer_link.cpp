#include "peer_link.h"

#include "http_client.h"
#include "peer.pb.h"

#include <boost/asio/post.hpp>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>

namespace cornelwind {
namespace {

    constexpr std::size_t MAX_MESSAGE_BYTES = 17 * 1024 * 1024;
    constexpr int SEND_QUEUE = 64;
    constexpr nng_duration MIN_REDIAL_MS = 50;
    constexpr nng_duration MAX_REDIAL_MS = 500;
    constexpr Duration UNUSED_TIME = std::chrono::seconds(60);

    std::string urlOf(const Endpoint& address)
    {
        return "tcp://" + toString(address);
    }

} // namespace

/// The receiving socket. Its callback runs on a thread of nng and only posts.
class PeerLink::Inbox {
public:
    Inbox(boost::asio::io_context& io, Handler handler)
        : m_io(io)
        , m_handler(std::move(handler))
    {
        nng_pull0_open(&m_socket);
        nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, MAX_MESSAGE_BYTES);
        nng_aio_alloc(&m_aio, &Inbox::onReceived, this);
    }

    ~Inbox()
    {
        nng_close(m_socket);
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }

    Inbox(const Inbox&) = delete;
    Inbox& operator=(const Inbox&) = delete;

    int listen(const Endpoint& address)
    {
        const int error = nng_listen(m_socket, urlOf(address).c_str(), nullptr, 0);
        if (!error)
            nng_recv_aio(m_socket, m_aio);
        return error;
    }

    std::uint64_t bytes() const { return m_bytes; }

private:
    static void onReceived(void* context) { static_cast<Inbox*>(context)->receive(); }

    void receive()
    {
        const int result = nng_aio_result(m_aio);
        if (result == NNG_ECLOSED || result == NNG_ECANCELED)
            return;
        if (!result)
            accept(nng_aio_get_msg(m_aio));
        nng_recv_aio(m_socket, m_aio);
    }

    void accept(nng_msg* raw)
    {
        auto message = std::make_shared<peer::Envelope>();
        m_bytes += nng_msg_len(raw);
        const bool parsed = message->ParseFromArray(nng_msg_body(raw), static_cast<int>(nng_msg_len(raw)));
        nng_msg_free(raw);
        if (parsed)
            boost::asio::post(m_io, [handler = m_handler, message] { handler(message); });
    }

    boost::asio::io_context& m_io;
    Handler m_handler;
    nng_socket m_socket {};
    nng_aio* m_aio = nullptr;
    std::atomic<std::uint64_t> m_bytes = 0;
};

PeerLink::PeerLink(boost::asio::io_context& io, Handler handler)
    : m_io(io)
    , m_inbox(std::make_shared<Inbox>(io, std::move(handler)))
{
    // A peer's malformed message is dropped; the library would write about each.
    google::protobuf::SetLogHandler(nullptr);
}

PeerLink::~PeerLink()
{
    for (auto& [url, outbox] : m_outboxes)
        nng_close(outbox.socket);
}

bool PeerLink::listen(const Endpoint& address, Reason& reason)
{
    const int error = m_inbox->listen(address);
    if (error)
        reason = { ErrorKind::ListenFailed, 0, toString(address) + ": " + nng_strerror(error) };
    return !error;
}

void PeerLink::send(const Endpoint& address, const peer::Envelope& message)
{
    Outbox* outbox = outboxOf(address);
    if (!outbox)
        return;
    outbox->lastUsed = steadyNow();
    const std::size_t size = message.ByteSizeLong();
    nng_msg* raw = nullptr;
    if (nng_msg_alloc(&raw, size))
        return;
    message.SerializeToArray(nng_msg_body(raw), static_cast<int>(size));
    if (nng_sendmsg(outbox->socket, raw, NNG_FLAG_NONBLOCK)) {
        nng_msg_free(raw);
        return;
    }
    m_bytesSent += size;
}

PeerLink::Outbox* PeerLink::outboxOf(const Endpoint& address)
{
    const std::string url = urlOf(address);
    const auto found = m_outboxes.find(url);
    if (found != m_outboxes.end())
        return &found->second;
    Outbox outbox {};
    if (nng_push0_open(&outbox.socket))
        return nullptr;
    nng_socket_set_int(outbox.socket, NNG_OPT_SENDBUF, SEND_QUEUE);
    nng_socket_set_ms(outbox.socket, NNG_OPT_RECONNMINT, MIN_REDIAL_MS);
    nng_socket_set_ms(outbox.socket, NNG_OPT_RECONNMAXT, MAX_REDIAL_MS);
    if (nng_dial(outbox.socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK)) {
        nng_close(outbox.socket);
        return nullptr;
    }
    return &m_outboxes.emplace(url, outbox).first->second;
}

void PeerLink::closeUnused(Time now)
{
    for (auto outbox = m_outboxes.begin(); outbox != m_outboxes.end();) {
        if (now - outbox->second.lastUsed < UNUSED_TIME) {
            ++outbox;
            continue;
        }
        nng_close(outbox->second.socket);
        outbox = m_outboxes.erase(outbox);
    }
}

std::uint64_t PeerLink::bytesReceived() const
{
    return m_inbox->bytes();
}

} // namespace cornelwind
