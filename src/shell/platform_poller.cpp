#include "platform_poller.h"

#include "log.h"
#include "random_bits.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cornelwind {
namespace {

    namespace json = boost::json;

    constexpr Millis LONG_POLL_WAIT { 20000 };
    constexpr Millis CALL_TIMEOUT { 2000 };
    constexpr Millis INITIAL_BACKOFF { 200 };
    constexpr Millis MAX_BACKOFF { 10000 };
    constexpr std::uint32_t MAX_BACKOFF_DOUBLINGS = 6;
    // Delay before the next call, which jitter shortens by up to half. Limits the rate of calls if a value changes
    // continuously.
    constexpr Millis MIN_CALL_INTERVAL { 100 };

    /// @return a random delay between half and all of `delay`, so that entry instances do not call in synchrony
    Duration addJitter(Duration delay)
    {
        return delay / 2 + Duration { static_cast<std::int64_t>(randomBits() % static_cast<std::uint64_t>(delay.count() / 2 + 1)) };
    }

    std::string stringField(const json::object& object, const char* key)
    {
        const json::value* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->get_string()) : std::string {};
    }

    const json::array* arrayField(const json::value& root, const char* key)
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
    const json::array* instances = error ? nullptr : arrayField(root, "instances");
    if (!instances)
        return std::nullopt;
    InstancesListed listed;
    for (const json::value& entry : *instances) {
        const json::object* object = entry.if_object();
        const auto address = object ? parseEndpoint(stringField(*object, "address")) : std::nullopt;
        if (!address || stringField(*object, "name").empty())
            return std::nullopt;
        listed.instances.push_back({ InstanceName { stringField(*object, "name") }, ZoneName { stringField(*object, "zone") }, *address,
            stringField(*object, "state") == "leaving" });
    }
    const json::array* backends = arrayField(root, "servers");
    for (std::size_t i = 0; backends && i < backends->size(); ++i) {
        const json::object* object = (*backends)[i].if_object();
        if (object && stringField(*object, "state") == "leaving")
            servers.leaving.emplace_back(stringField(*object, "name"));
    }
    return listed;
}

PlatformPoller::PlatformPoller(boost::asio::io_context& io, HttpClient& client, Endpoint platform, Handler handler)
    : m_client(client)
    , m_platform(std::move(platform))
    , m_handler(std::move(handler))
    , m_sheet(io, "/sheet", &PlatformPoller::deliverSheet)
    , m_list(io, "/instances", &PlatformPoller::deliverList)
{
}

void PlatformPoller::start()
{
    call(m_sheet);
    call(m_list);
}

void PlatformPoller::watch(const WatchPlatform& options)
{
    const bool justEnabled = options.enabled && !m_watching;
    m_watching = options.enabled;
    m_listRefreshInterval = options.listRefresh;
    if (!justEnabled)
        return;
    for (Resource* resource : { &m_sheet, &m_list }) {
        if (!resource->inProgress)
            scheduleCall(*resource, Duration {});
    }
}

void PlatformPoller::call(Resource& resource)
{
    if (resource.inProgress)
        return;
    resource.inProgress = true;
    ++m_calls;
    const bool longPoll = m_watching && resource.hasBeenRead;
    HttpCall call;
    call.address = m_platform;
    call.target = resource.target;
    if (longPoll)
        call.target += "?wait_ms=" + std::to_string(LONG_POLL_WAIT.count());
    if (!resource.etag.empty())
        call.headers.push_back({ "If-None-Match", resource.etag });
    call.deadline = steadyNow() + CALL_TIMEOUT + (longPoll ? LONG_POLL_WAIT : Millis { 0 });
    call.maxResponse = 2 * 1024 * 1024;
    call.reuse = true;
    m_client.start(std::move(call), [this, &resource, longPoll](const HttpResult& result) { onResult(resource, result, longPoll); });
}

void PlatformPoller::onResult(Resource& resource, const HttpResult& result, bool longPolled)
{
    resource.inProgress = false;
    const std::uint16_t status = result.response ? result.response->status : 0;
    if (status != 200 && status != 304) {
        const Duration backoff = std::min<Duration>(INITIAL_BACKOFF * (1U << std::min(resource.failures, MAX_BACKOFF_DOUBLINGS)), MAX_BACKOFF);
        if (!resource.failures++)
            logMessage(LogLevel::Warn, LogComponent::Platform, std::string("Cannot read ") + resource.target + " from the platform; retrying with backoff.");
        return scheduleCall(resource, addJitter(backoff));
    }
    resource.failures = 0;
    resource.hasBeenRead = true;
    if (status == 304)
        m_handler(PlatformReachable {});
    else {
        for (const Header& header : result.response->headers) {
            if (header.name == "ETag")
                resource.etag = header.value;
        }
        (this->*resource.deliver)(result.response->body);
    }
    if (m_watching)
        scheduleCall(resource, longPolled && status == 304 ? Duration {} : addJitter(MIN_CALL_INTERVAL));
    else if (&resource == &m_list)
        scheduleCall(resource, addJitter(m_listRefreshInterval));
}

void PlatformPoller::scheduleCall(Resource& resource, Duration delay)
{
    resource.timer.expires_after(delay);
    resource.timer.async_wait([this, &resource](boost::system::error_code error) {
        if (!error)
            call(resource);
    });
}

void PlatformPoller::deliverSheet(const std::string& text)
{
    m_handler(SheetFetched { text });
}

void PlatformPoller::deliverList(const std::string& text)
{
    ServersListed servers;
    auto listed = readInstanceList(text, servers);
    if (!listed)
        return logMessage(LogLevel::Warn, LogComponent::Platform, "Malformed instance list from the platform; the previous list stays in use.");
    m_handler(std::move(*listed));
    m_handler(std::move(servers));
}

} // namespace cornelwind
