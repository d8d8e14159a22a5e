// Tests of the exchange of observations of backend servers between two entry instances. The test passes the messages directly
// from one reducer to the other.
#include "cornelwind/reducer.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace cornelwind;
using namespace std::chrono_literals;

namespace {

constexpr int SERVERS = 6;

std::string sheetText()
{
    std::string text = "version = 1\n[[service]]\nname = \"s\"\nqueue_limit = 2\nqueue_ms = 100\nretry_percent = 20\n";
    for (int i = 0; i < SERVERS; ++i)
        text += "[[service.server]]\nname = \"s" + std::to_string(i) + "\"\naddress = \"10.0.0.1:80\"\nzone = \"z\"\nslots = 2\n";
    return text + "[[rule]]\nmethod = \"POST\"\npath = \"/\"\nservice = \"s\"\nkind = \"at-most-once\"\nkey = \"none\"\ntime_limit_ms = 1000\n";
}

std::optional<Sheet> readPlacedByCost(std::string_view text, Reasons& reasons)
{
    auto sheet = readSheet(text, reasons);
    if (sheet)
        sheet->services[0].placement = Placement::ExpectedCost;
    return sheet;
}

/// Two entry instances, the second of which may start later. Messages between them arrive without delay.
class InstancePair {
public:
    InstancePair()
    {
        start(0);
    }

    void start(std::size_t which)
    {
        static const std::array<const char*, 2> names { "a", "b" };
        Settings settings;
        settings.name = InstanceName { names.at(which) };
        settings.zone = ZoneName { "z" };
        settings.peers = addressOf(which);
        settings.seeds = { addressOf(0), addressOf(1) };
        m_reducers.at(which).emplace(Reducer::Builder().settings(settings).incarnation(Incarnation { 7 + which }).start(m_now).sheetReader(readPlacedByCost).build());
        apply(which, InstancesListed { { { InstanceName { "a" }, ZoneName { "z" }, addressOf(0), false }, { InstanceName { "b" }, ZoneName { "z" }, addressOf(1), false } } });
        apply(which, SheetFetched { sheetText() });
    }

    void advance(Duration time)
    {
        for (Duration done {}; done < time; done += 10ms) {
            m_now += 10ms;
            for (std::size_t which = 0; which < 2; ++which) {
                if (m_reducers.at(which))
                    apply(which, Tick {});
            }
        }
    }

    /// Sends one request to an instance. The chosen backend server responds, with an error if it is in `unhealthy`.
    ///
    /// @return the backend server that received the request; empty if none did
    ServerName sendRequest(std::size_t which)
    {
        const RequestId id { ++m_lastRequest };
        m_sends.clear();
        apply(which, HeadReceived { id, "POST", "/x", {}, {}, false });
        apply(which, BodyReceived { id, Fingerprint { m_lastRequest } });
        if (m_sends.empty())
            return {};
        const SendTry send = m_sends.front();
        const bool fails = std::find(unhealthy.begin(), unhealthy.end(), send.name) != unhealthy.end();
        advance(fails ? Duration { 0 } : Duration { 10ms });
        apply(which, TryFinished { send.id, TryResult::Answered, std::make_shared<Response>(Response { static_cast<std::uint16_t>(fails ? 500 : 200), {}, "x" }), false });
        lost.at(which) += fails;
        return send.name;
    }

    std::vector<ServerName> unhealthy;
    std::array<int, 2> lost {};

private:
    static Endpoint addressOf(std::size_t which) { return { "10.1.0." + std::to_string(which + 1), 9000 }; }

    void apply(std::size_t which, EventBody body)
    {
        EffectList effects;
        m_reducers.at(which)->apply({ m_now, ++m_random * 0x9e3779b97f4a7c15, std::move(body) }, effects);
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<SendTry>(&effect))
                m_sends.push_back(*send);
            const auto* message = std::get_if<SendPeerMessage>(&effect);
            const std::size_t other = 1 - which;
            if (message && message->address == addressOf(other) && m_reducers.at(other))
                apply(other, PeerMessageReceived { message->message });
        }
    }

    Time m_now { 100s };
    std::array<std::optional<Reducer>, 2> m_reducers;
    std::deque<SendTry> m_sends;
    std::uint64_t m_random = 0;
    std::uint64_t m_lastRequest = 0;
};

} // namespace

TEST_CASE("An instance that has just started does not lose a request to each server that its peer suspects")
{
    for (const std::size_t unhealthyServers : { std::size_t { 1 }, std::size_t { 3 } }) {
        CAPTURE(unhealthyServers);
        InstancePair instances;
        for (std::size_t i = 0; i < unhealthyServers; ++i)
            instances.unhealthy.push_back(ServerName { "s" + std::to_string(i) });
        instances.advance(2500ms);
        for (int i = 0; i < 100; ++i) {
            instances.sendRequest(0);
            instances.advance(5ms);
        }
        REQUIRE(instances.lost[0] >= static_cast<int>(unhealthyServers));
        instances.start(1);
        instances.advance(2500ms);
        for (int i = 0; i < 30; ++i)
            instances.sendRequest(1);
        // One request may be lost on a trial of a suspected server.
        CHECK(instances.lost[1] <= 1);
    }
}
