#include "platform_watch.h"

#include "entropy.h"
#include "log.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr Millis WAIT_TIME { 20000 };
    constexpr Millis CALL_TIME { 2000 };
    constexpr Millis FIRST_BACKOFF { 200 };
    constexpr Millis LONGEST_BACKOFF { 10000 };
    constexpr std::uint32_t MAX_DOUBLINGS = 6;
    // Bounds the rate of calls where a value changes all the time.
    constexpr Millis MIN_CALL_INTERVAL { 100 };

    // Between half and all of `delay`, so that readers do not call in step.
    Duration jittered(Duration delay)
    {
        return delay / 2 + Duration { static_cast<std::int64_t>(randomBits() % static_cast<std::uint64_t>(delay.count() / 2 + 1)) };
    }

    std::string textOf(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->get_string()) : std::string {};
    }

    const json::array* arrayOf(const json::value& root, const char* key)
    {
        const json::object* object = root.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value ? value->if_array() : nullptr;
    }

} // namespace

std::optional<InstancesListed> readInstanceList(const std::string& text, ServersListed& servers)
{
    json::error_code error;
    const json::value root = json::parse(text, error);
    const json::array* instances = error ? nullptr : arrayOf(root, "instances");
    if (!instances)
        return std::nullopt;
    InstancesListed listed;
    for (const json::value& entry : *instances) {
        const json::object* object = entry.if_object();
        const auto address = object ? parseEndpoint(textOf(*object, "address")) : std::nullopt;
        if (!address || textOf(*object, "name").empty())
            return std::nullopt;
        listed.instances.push_back({ InstanceName { textOf(*object, "name") }, ZoneName { textOf(*object, "zone") }, *address,
            textOf(*object, "state") == "leaving" });
    }
    const json::array* backends = arrayOf(root, "servers");
    for (std::size_t i = 0; backends && i < backends->size(); ++i) {
        const json::object* object = (*backends)[i].if_object();
        if (object && textOf(*object, "state") == "leaving")
            servers.leaving.emplace_back(textOf(*object, "name"));
    }
    return listed;
}

PlatformWatch::PlatformWatch(boost::asio::io_context& io, HttpClient& client, Endpoint platform, Handler handler)
    : m_client(client)
    , m_platform(std::move(platform))
    , m_handler(std::move(handler))
    , m_sheet(io, "/sheet", &PlatformWatch::deliverSheet)
    , m_list(io, "/instances", &PlatformWatch::deliverList)
{
}

void PlatformWatch::start()
{
    call(m_sheet);
    call(m_list);
}

void PlatformWatch::watch(bool enabled, Millis listRefresh)
{
    const bool began = enabled && !m_watching;
    m_watching = enabled;
    m_listRefresh = listRefresh;
    if (!began)
        return;
    for (Feed* feed : { &m_sheet, &m_list }) {
        if (!feed->running)
            schedule(*feed, Duration {});
    }
}

void PlatformWatch::call(Feed& feed)
{
    if (feed.running)
        return;
    feed.running = true;
    ++m_calls;
    const bool wait = m_watching && feed.read;
    HttpCall call;
    call.address = m_platform;
    call.target = feed.target;
    if (wait)
        call.target += "?wait_ms=" + std::to_string(WAIT_TIME.count());
    if (!feed.etag.empty())
        call.headers.push_back({ "If-None-Match", feed.etag });
    call.deadline = steadyNow() + CALL_TIME + (wait ? WAIT_TIME : Millis { 0 });
    call.maxAnswer = 2 * 1024 * 1024;
    call.reuse = true;
    m_client.start(std::move(call), [this, &feed, wait](const HttpResult& result) { onResult(feed, result, wait); });
}

void PlatformWatch::onResult(Feed& feed, const HttpResult& result, bool waited)
{
    feed.running = false;
    const std::uint16_t status = result.answer ? result.answer->status : 0;
    if (status != 200 && status != 304) {
        const Duration backoff = std::min<Duration>(FIRST_BACKOFF * (1U << std::min(feed.failures, MAX_DOUBLINGS)), LONGEST_BACKOFF);
        if (!feed.failures++)
            logLine(LogLevel::Warn, LogPart::Platform, std::string("Read of ") + feed.target + " failed.");
        return schedule(feed, jittered(backoff));
    }
    feed.failures = 0;
    feed.read = true;
    if (status == 304)
        m_handler(PlatformReached {});
    else {
        for (const Header& header : result.answer->headers) {
            if (header.name == "ETag")
                feed.etag = header.value;
        }
        (this->*feed.deliver)(result.answer->body);
    }
    if (m_watching)
        schedule(feed, waited && status == 304 ? Duration {} : jittered(MIN_CALL_INTERVAL));
    else if (&feed == &m_list)
        schedule(feed, jittered(m_listRefresh));
}

void PlatformWatch::schedule(Feed& feed, Duration delay)
{
    feed.timer.expires_after(delay);
    feed.timer.async_wait([this, &feed](boost::system::error_code error) {
        if (!error)
            call(feed);
    });
}

void PlatformWatch::deliverSheet(const std::string& text)
{
    m_handler(SheetFetched { text });
}

void PlatformWatch::deliverList(const std::string& text)
{
    ServersListed servers;
    auto listed = readInstanceList(text, servers);
    if (!listed)
        return logLine(LogLevel::Warn, LogPart::Platform, "Instance list is not well-formed; the last one stays in use.");
    m_handler(std::move(*listed));
    m_handler(std::move(servers));
}

} // namespace cornelwind
