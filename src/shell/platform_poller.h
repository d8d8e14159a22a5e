#pragma once

#include "cornelwind/event.h"
#include "cornelwind/types.h"
#include "http_client.h"
#include "platform_source.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cornelwind {

/// Reads the sheet and the instance list from the platform's configuration service.
///
/// Sends `GET /sheet` and `GET /instances` with `If-None-Match`. With `?wait_ms=`
/// (long poll) the service responds once the value changes or the wait ends. At most
/// one call per resource is in progress. Failed calls are retried with exponential
/// backoff and jitter: the first time after at most 200 ms, later after at most 10 s.
class PlatformPoller final : public PlatformSource {
public:
    /// @param io runs the timers; must outlive this object
    /// @param client sends the HTTP requests; must outlive this object
    /// @param platform address of the configuration service
    /// @param handler receives the events
    PlatformPoller(boost::asio::io_context& io, HttpClient& client, Endpoint platform, Handler handler);

    /// Reads both resources, then the instance list again every 10 s until `watch` changes this.
    void start() override;

    /// Long-polls both resources for changes if enabled, else reads only the instance list. Ignores `wait`.
    void watch(const WatchPlatform& options) override;

    /// Does nothing: a long poll already returns as soon as the value changes.
    void refresh() override { }

    std::uint64_t calls() const override { return m_calls; }

private:
    /// One of the two resources and the state of its calls.
    struct Resource {
        Resource(boost::asio::io_context& io, const char* target, void (PlatformPoller::*deliver)(const std::string&))
            : target(target)
            , deliver(deliver)
            , timer(io)
        {
        }

        const char* target;
        void (PlatformPoller::*deliver)(const std::string&);
        boost::asio::steady_timer timer;
        std::string etag;
        /// Failed calls in a row.
        std::uint32_t failures = 0;
        /// Whether a call is in progress.
        bool inProgress = false;
        /// Whether a call has succeeded; until then calls do not wait for changes.
        bool hasBeenRead = false;
    };

    void call(Resource& resource);
    void onResult(Resource& resource, const HttpResult& result, bool longPolled);
    void scheduleCall(Resource& resource, Duration delay);
    void deliverSheet(const std::string& text);
    void deliverList(const std::string& text);

    HttpClient& m_client;
    Endpoint m_platform;
    Handler m_handler;
    Resource m_sheet;
    Resource m_list;
    bool m_watching = false;
    Millis m_listRefreshInterval { 10000 };
    std::uint64_t m_calls = 0;
};

/// Parses the platform's instance list.
///
/// @param text JSON in the format described in docs/OPERATIONS.md
/// @param servers receives the backend servers whose state is `leaving`
/// @return the entry instances, or nothing if the text is malformed or an instance has no valid name or address
std::optional<InstancesListed> readInstanceList(const std::string& text, ServersListed& servers);

} // namespace cornelwind
