// Tests what the client of the metadata store reads from response headers, with real sockets.
#include "platform/store_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

constexpr std::chrono::seconds PROMPT { 1 };
const std::string BODY = R"({"asOf":5,"events":[]})";

/// @return the reply to a watch whose response has these bytes, after which the store closes the connection
StoreReply watchWith(const std::string& bytes)
{
    const Socket listener = listenOn("127.0.0.1", 0);
    std::thread server([&] {
        const Socket connection(acceptOn(listener));
        std::string buffered;
        readMessage(connection, buffered);
        writeAll(connection, bytes);
    });
    boost::asio::io_context io;
    HttpClient client(io);
    platform::StoreClient store(client, { "127.0.0.1", portOf(listener) });
    StoreReply result;
    store.watch(StoreRevision { 4 }, Millis { 0 }, [&](StoreReply reply) { result = std::move(reply); });
    io.run();
    server.join();
    return result;
}

std::string response(const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + " X\r\n" + fields + "Connection: close\r\n";
}

/// @return a response with a body of stated length
std::string wholeResponse(const std::string& status, const std::string& fields)
{
    return response(status, fields) + "Content-Length: " + std::to_string(BODY.size()) + "\r\n\r\n" + BODY;
}

} // namespace

// Guards against a header that is taken for another era than it states.
TEST_CASE("The era of a response is a whole number in a single header, and anything else is none")
{
    struct Row {
        std::string headers;
        std::optional<StoreEra> era;
        std::string unreadable;
    };
    const Row rows[] = {
        { "", {}, "" },
        { "Store-Era: 7\r\n", StoreEra { 7 }, "" },
        { "store-era:0\r\n", StoreEra { 0 }, "" },
        { "Store-Era: seven\r\n", {}, "seven" },
        { "Store-Era: 7.5\r\n", {}, "7.5" },
        { "Store-Era: -7\r\n", {}, "-7" },
        { "Store-Era: 99999999999999999999\r\n", {}, "99999999999999999999" },
        { "Store-Era: 7\r\nStore-Era: 8\r\n", {}, "8" },
    };
    for (const std::string status : { "200", "410" }) {
        for (const Row& row : rows) {
            CAPTURE(status, row.headers);
            const StoreReply reply = watchWith(wholeResponse(status, row.headers));
            CHECK(reply.status == (status == "200" ? StoreStatus::Ok : StoreStatus::HistoryGone));
            CHECK(reply.era == row.era);
            CHECK(reply.unreadableEra == row.unreadable);
        }
    }
}

// Guards against a part of a response, or a head that was read as another one than the store wrote, that counts as a reply.
TEST_CASE("A broken response of the store is no reply, and the call ends at once")
{
    struct Row {
        const char* name;
        std::string bytes;
        StoreStatus status;
    };
    const Row rows[] = {
        { "whole", wholeResponse("200", ""), StoreStatus::Ok },
        { "status 000", wholeResponse("000", ""), StoreStatus::Lost },
        { "status 600", wholeResponse("600", ""), StoreStatus::Lost },
        { "status of two digits", wholeResponse("20", ""), StoreStatus::Lost },
        { "space in a name", wholeResponse("200", "Odd Name: v\r\n"), StoreStatus::Lost },
        { "space after a name", wholeResponse("200", "Store-Era : 7\r\n"), StoreStatus::Lost },
        { "space before the first name", wholeResponse("200", " Store-Era: 7\r\n"), StoreStatus::Lost },
        { "space before a name", wholeResponse("200", "Odd: v\r\n Store-Era: 7\r\n"), StoreStatus::Lost },
        { "tab before a name", wholeResponse("200", "Store-Era: 7\r\n\tOdd: v\r\n"), StoreStatus::Lost },
        { "control byte in a name", wholeResponse("200", "Odd\x01: v\r\n"), StoreStatus::Lost },
        { "length with a space after its name", response("200", "Content-Length : 22\r\n") + "\r\n" + BODY, StoreStatus::Lost },
        { "no length", response("200", "") + "\r\n" + BODY, StoreStatus::Lost },
        { "length too large", response("200", "Content-Length: 100\r\n") + "\r\n" + BODY, StoreStatus::Lost },
        { "chunk cut", response("200", "Transfer-Encoding: chunked\r\n") + "\r\n16\r\n" + BODY, StoreStatus::Lost },
        { "last chunk missing", response("200", "Transfer-Encoding: chunked\r\n") + "\r\n16\r\n" + BODY + "\r\n", StoreStatus::Lost },
        { "no key, with a space before a name", wholeResponse("404", "Odd: v\r\n Odd: v\r\n"), StoreStatus::Lost },
        { "no history, with a space before a name", wholeResponse("410", "Odd: v\r\n Odd: v\r\n"), StoreStatus::Lost },
    };
    for (const Row& row : rows) {
        CAPTURE(row.name);
        const Time start = steadyNow();
        const StoreReply reply = watchWith(row.bytes);
        CHECK(steadyNow() - start < PROMPT);
        CHECK(std::string(toString(reply.status)) == toString(row.status));
        CHECK(reply.revision.value() == (row.status == StoreStatus::Ok ? 5 : 0));
        CHECK_FALSE(reply.era);
    }
}
