#include "callers.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace cornelwind::soak {
namespace {

    // Twice the time limit of the rules in the sheet. If no data arrives for this time, the response counts as missing.
    constexpr int RESPONSE_LIMIT_MS = 6000;
    // Keeps the load of the default 8 callers at a few hundred requests per second, below the capacity of the servers.
    constexpr std::chrono::milliseconds REQUEST_PAUSE { 10 };
    constexpr int RESEND_PERCENT = 30;
    constexpr int LOOKUP_PERCENT = 50;
    constexpr int STATUS_OK = 200;

    std::string outcomeOf(const std::optional<test::Message>& response)
    {
        return response ? response->header("cornelwind-outcome") : "none";
    }

} // namespace

bool Connection::open()
{
    if (m_socket.valid())
        return true;
    const auto [host, port] = test::splitAddress(m_address);
    m_socket = test::connectTo(host, port);
    m_unreadBytes.clear();
    m_openedAt = Clock::now();
    if (m_socket.valid())
        test::setTimeLimit(m_socket, RESPONSE_LIMIT_MS);
    return m_socket.valid();
}

std::optional<test::Message> Connection::exchange(const std::string& request)
{
    std::optional<test::Message> response;
    if (test::writeAll(m_socket, request))
        response = test::readMessage(m_socket, m_unreadBytes);
    if (!response || response->header("connection") == "close")
        m_socket.close();
    return response;
}

struct Callers::Caller {
    std::size_t number;
    boost::random::mt19937_64 random;
    std::map<std::string, Connection> connections;
    std::string instance;
    std::uint64_t sent = 0;

    int draw(int to) { return boost::random::uniform_int_distribution<int>(0, to - 1)(random); }
    std::string nextTag() { return "m" + std::to_string(number) + "-" + std::to_string(sent++) + "."; }
};

Callers::Callers(const test::Fleet& fleet, std::vector<std::string> instances, std::size_t count, std::uint64_t seed, Observations& observations)
    : m_fleet(fleet)
    , m_instances(std::move(instances))
    , m_observations(observations)
{
    for (std::size_t number = 0; number < count; ++number)
        m_threads.emplace_back([this, number, seed] { run(number, seed); });
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    m_stop = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void Callers::run(std::size_t number, std::uint64_t seed)
{
    Caller caller { number, boost::random::mt19937_64(seed + number), {}, {}, 0 };
    for (const std::string& instance : m_instances)
        caller.connections.emplace(instance, Connection(m_fleet.callerAddress(instance)));
    while (!m_stop) {
        caller.instance = m_instances.at(static_cast<std::size_t>(caller.draw(static_cast<int>(m_instances.size()))));
        if (caller.draw(100) < LOOKUP_PERCENT)
            lookUp(caller);
        else
            order(caller);
        std::this_thread::sleep_for(REQUEST_PAUSE);
    }
}

std::optional<test::Message> Callers::send(Caller& caller, const std::string& method, const std::string& target, const std::string& key, const std::string& body)
{
    Connection& connection = caller.connections.at(caller.instance);
    if (!connection.open())
        return std::nullopt;
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: soak\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!key.empty())
        request += "Idempotency-Key: " + key + "\r\n";
    const Clock::time_point sentAt = Clock::now();
    auto response = connection.exchange(request + "\r\n" + body);
    if (!response) {
        const std::lock_guard lock(m_mutex);
        m_unansweredRequests.push_back({ caller.instance, method + " " + target + " " + body, connection.openedAt(), sentAt, Clock::now() });
    }
    return response;
}

void Callers::lookUp(Caller& caller)
{
    const std::string tag = caller.nextTag();
    const auto response = send(caller, "GET", "/catalogue?of=" + tag, {}, {});
    m_observations.recordLookup(tag, response ? response->status() : 0);
    if (response && response->status() == STATUS_OK && response->body.find(tag) == std::string::npos)
        m_observations.recordWrongResponse("look-up " + tag + " got " + response->body);
}

std::string Callers::fetchIdempotencyKey(Caller& caller)
{
    const auto response = send(caller, "POST", "/.cornelwind/keys?count=1", {}, {});
    const std::size_t start = response ? response->body.find("cw1.") : std::string::npos;
    return start == std::string::npos ? std::string() : response->body.substr(start, response->body.find('"', start) - start);
}

void Callers::order(Caller& caller)
{
    const std::string key = fetchIdempotencyKey(caller);
    if (key.empty())
        return;
    const std::string tag = caller.nextTag();
    const int sends = caller.draw(100) < RESEND_PERCENT ? 2 : 1;
    for (int i = 0; i < sends; ++i) {
        const auto response = send(caller, "POST", "/orders", key, tag);
        m_observations.recordOrder(tag, outcomeOf(response), caller.instance);
        if (response && response->status() == STATUS_OK && response->body.find(tag) == std::string::npos)
            m_observations.recordWrongResponse("order " + tag + " got " + response->body);
        // The order is sent again through a random instance, because it must run only once whichever instances receive it.
        caller.instance = m_instances.at(static_cast<std::size_t>(caller.draw(static_cast<int>(m_instances.size()))));
    }
}

} // namespace cornelwind::soak
