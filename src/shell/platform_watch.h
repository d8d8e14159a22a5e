#pragma once

#include "cornelwind/event.h"
#include "cornelwind/types.h"
#include "http_client.h"
#include "published_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cornelwind {

/// Reads the sheet and the instance list from the platform's configuration service.
///
/// `GET /sheet` and `GET /instances` with `If-None-Match`; `?wait_ms=` keeps a
/// call waiting until the value changes. One call per value at a time.
class PlatformWatch final : public PublishedSource {
public:
    PlatformWatch(boost::asio::io_context& io, HttpClient& client, Endpoint platform, Handler handler);

    /// Reads both values once.
    void start() override;

    /// @param enabled waits for changes of both values; else reads only the list, every `listRefresh`
    void watch(bool enabled, Millis listRefresh) override;

    /// Calls that wait learn of changes by themselves.
    void refresh() override { }

    std::uint64_t calls() const override { return m_calls; }

private:
    struct Feed {
        Feed(boost::asio::io_context& io, const char* target, void (PlatformWatch::*deliver)(const std::string&))
            : target(target)
            , deliver(deliver)
            , timer(io)
        {
        }

        const char* target;
        void (PlatformWatch::*deliver)(const std::string&);
        boost::asio::steady_timer timer;
        std::string etag;
        std::uint32_t failures = 0;
        bool running = false;
        bool read = false;
    };

    void call(Feed& feed);
    void onResult(Feed& feed, const HttpResult& result, bool waited);
    void schedule(Feed& feed, Duration delay);
    void deliverSheet(const std::string& text);
    void deliverList(const std::string& text);

    HttpClient& m_client;
    Endpoint m_platform;
    Handler m_handler;
    Feed m_sheet;
    Feed m_list;
    bool m_watching = false;
    Millis m_listRefresh { 10000 };
    std::uint64_t m_calls = 0;
};

/// Reads the platform's instance list.
///
/// @param text JSON as docs/OPERATIONS.md describes it
/// @param servers receives the backend servers that are leaving
/// @return the entry instances, or nothing if the text is not well-formed
std::optional<InstancesListed> readInstanceList(const std::string& text, ServersListed& servers);

} // namespace cornelwind
