// Tests what the client of the metadata store reads from response headers, with real sockets.
#include "platform/store_client.h"
#include "support/net.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <thread>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

/// @return the reply to a watch whose response has these header lines
StoreReply watchWith(const std::string& status, const std::string& headers)
{
    const Socket listener = listenOn("127.0.0.1", 0);
    std::thread server([&] {
        const Socket connection(acceptOn(listener));
        std::string buffered;
        readMessage(connection, buffered);
        const std::string body = R"({"asOf":5,"events":[]})";
        writeAll(connection, "HTTP/1.1 " + status + " X\r\n" + headers + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
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
            const StoreReply reply = watchWith(status, row.headers);
            CHECK(reply.status == (status == "200" ? StoreStatus::Ok : StoreStatus::HistoryGone));
            CHECK(reply.era == row.era);
            CHECK(reply.unreadableEra == row.unreadable);
        }
    }
}
