#pragma once

#include "connection_pool.h"
#include "http_client.h"
#include "memory_budget.h"
#include "response_buffer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace cornelwind {

/// The idle connections and the running calls of a client. The client and each call share its ownership.
struct HttpClient::Shared {
    explicit Shared(MemoryBudgetPtr budget)
        : memory(std::move(budget))
    {
    }

    MemoryBudgetPtr memory;
    ConnectionPool idle;
    std::unordered_map<CallId, std::weak_ptr<Exchange>> running;
    std::uint64_t callsOverMemory = 0;
};

/// A running call, from connecting to the complete response.
class HttpClient::Exchange final : public MemoryHolder, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(boost::asio::io_context& io, std::shared_ptr<Shared> shared, CallId id, HttpCall call, CallHandler handler);

    ~Exchange() override { m_shared->memory->remove(this); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void start();
    void cancel() { finish(m_sentAny ? TryResult::Cancelled : TryResult::NotSent); }

    std::optional<MemoryStake> memoryStake(Time now) override;
    void endTransfer() override;

private:
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// A complete response with the memory that it holds.
    struct HeldResponse {
        explicit HeldResponse(MemoryBudgetPtr budget)
            : memory(std::move(budget), MemoryKind::Response)
        {
        }

        Response response;
        MemoryCharge memory;
    };

    // Limits the bytes received but not yet parsed: a head, or a chunk header or trailer.
    static constexpr std::size_t MAX_BUFFERED_BYTES = 128 * 1024;

    /// How far the head of the final response has been read.
    enum class HeadState : std::uint8_t {
        None,
        Reading,
        Complete,
    };

    void connect();
    void write();
    /// Reads the head as soon as the server responds. A broken one then ends the call although the request is still being written;
    /// the body of any other response is read after that.
    void readHeadEarly();
    void onWritten(ErrorCode error, std::size_t written);
    void readHead();
    void beginBody();
    void readBody();
    void complete();
    /// Called for a response that echoes another request. On a reused connection it may be a late response to an earlier
    /// request, and the expected one follows. On a new connection, or if the connection ends with the response, none can
    /// follow and the response counts as broken.
    void skipStaleResponse();
    /// Reads the next response instead, unless so many came already that the server does not stop sending them.
    void skipResponse();
    TryResult connectionLostResult() const;
    /// @return the result for a body beyond a limit: without a stated length it may have no end and is no complete response
    TryResult tooLargeResult() const { return m_parser->content_length() ? TryResult::TooLarge : TryResult::Broken; }
    TryResult resultOf(ErrorCode error) const;
    /// Ends the call, unless it has ended before.
    void finish(TryResult result);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_connectTimer;
    std::shared_ptr<Shared> m_shared;
    CallId m_id;
    HttpCall m_call;
    CallHandler m_handler;
    std::string m_head;
    ResponseBuffer m_buffer { MAX_BUFFERED_BYTES };
    std::optional<Parser> m_parser;
    ResponsePtr m_response;
    /// Memory of the body while it is received.
    MemoryCharge m_memory;
    /// Progress of the request while `m_writing`.
    ProgressMeter m_writeProgress;
    std::size_t m_written = 0;
    Duration m_idleTime {};
    /// Bytes received since the head of the response.
    std::size_t m_bodyBytes = 0;
    int m_skippedResponses = 0;
    HeadState m_headState = HeadState::None;
    bool m_connected = false;
    bool m_writing = false;
    bool m_sentAll = false;
    bool m_reused = false;
    bool m_sentAny = false;
    bool m_receivedAny = false;
    bool m_reusable = false;
    bool m_echoed = false;
    bool m_done = false;
};

} // namespace cornelwind
