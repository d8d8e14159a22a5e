// Fuzz tests of the project's own parsers of external input. A parser reports every error through its result: on no input
// may it throw or crash.
#include "cornelwind/key.h"
#include "cornelwind/reducer.h"
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"
#include "log.h"
#include "mutator.h"
#include "peer.pb.h"
#include "platform_poller.h"
#include "trace.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr int ITERATIONS = 20000;

const std::string SHEET = "version = 3\n[[service]]\nname = \"o\"\nfloor_slots = 1\n[[service.server]]\nname = \"s\"\naddress = \"10.0.0.1:80\"\n"
                          "zone = \"z\"\nslots = 4\n[[rule]]\nmethod = \"POST\"\npath = \"/o\"\nservice = \"o\"\nkind = \"at-most-once\"\n";
const std::string SETTINGS = "[instance]\nname = \"a\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n";

} // namespace

TEST_CASE("Sheets and settings are either parsed or refused with a reason")
{
    Mutator sheets({ SHEET });
    Mutator settings({ SETTINGS });
    for (int i = 0; i < ITERATIONS / 4; ++i) {
        Reasons reasons;
        const bool sheetRead = readSheet(sheets.next(), reasons).has_value();
        CHECK(sheetRead == reasons.empty());
        reasons.clear();
        const bool settingsRead = readSettings(settings.next(), reasons).has_value();
        CHECK(settingsRead == reasons.empty());
    }
}

TEST_CASE("A modified key does not pass verification")
{
    KeySecret secret {};
    KeyIssuer issuer(InstanceName { "leon-1" }, Incarnation { 7 }, secret, Time {});
    const std::string key = issuer.issueKey(Time {});
    Mutator keys({ key });
    for (int i = 0; i < ITERATIONS; ++i) {
        const std::string text = keys.next();
        const auto parsed = parseKey(text);
        if (parsed && issuer.verify(*parsed))
            CHECK((text == key || text == "\"" + key + "\""));
    }
}

TEST_CASE("The other parsers handle arbitrary text without throwing or crashing")
{
    Mutator traceparents({ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" });
    Mutator instanceLists({ R"({"instances":[{"name":"a","zone":"z","address":"10.0.0.1:1","state":"live"}],"servers":[{"name":"s","state":"leaving"}]})" });
    Mutator addresses({ "10.0.0.1:80", "[::1]:80" });
    for (int i = 0; i < ITERATIONS; ++i) {
        const std::string traceparent = traceparents.next();
        if (const auto context = parseTraceparent(traceparent))
            CHECK(parseTraceparent(context->header()).has_value());
        ServersListed servers;
        readInstanceList(instanceLists.next(), servers);
        const std::string address = addresses.next();
        if (const auto endpoint = parseEndpoint(address))
            CHECK(!endpoint->host.empty());
        const std::string escaped = escapeForLog(traceparent);
        CHECK(escaped.find_first_of("\"\n\r") == std::string::npos);
    }
}

TEST_CASE("The reducer keeps working whatever peer messages contain")
{
    Settings settings;
    settings.name = InstanceName { "a" };
    settings.zone = ZoneName { "z" };
    settings.peers = { "10.0.0.1", 1 };
    Reducer reducer = Reducer::Builder().settings(settings).build();
    EffectList effects;
    Time now { std::chrono::seconds(1) };
    reducer.apply({ now, 1, SheetFetched { SHEET } }, effects);

    std::vector<std::string> corpus;
    const auto add = [&](auto fillEnvelope) {
        peer::Envelope message;
        message.mutable_from()->set_name("b");
        message.mutable_from()->set_address("10.0.0.2:1");
        message.mutable_from()->set_incarnation(9);
        fillEnvelope(message);
        corpus.push_back(message.SerializeAsString());
    };
    add([](peer::Envelope& m) {
        m.mutable_ping()->set_sequence(1);
        peer::Member& member = *m.mutable_ping()->add_updates();
        member.set_name("c");
        member.set_address("10.0.0.3:1");
        member.set_incarnation(4);
        member.set_state(2);
    });
    add([](peer::Envelope& m) { m.mutable_ack()->mutable_sheet()->set_version(99); });
    add([](peer::Envelope& m) { m.mutable_ping_request()->set_target("c"); });
    add([](peer::Envelope& m) { m.mutable_sheet_request(); });
    add([](peer::Envelope& m) { m.mutable_sheet_reply()->set_text(SHEET); });
    add([](peer::Envelope& m) {
        peer::EvidenceRow& row = *m.mutable_evidence()->add_rows();
        row.set_server(serverIdOf(ServerName { "s" }).value());
        row.set_samples(5);
        row.set_failures(5);
        m.mutable_evidence()->add_leaving(row.server());
        m.mutable_evidence()->add_crashes()->set_fingerprint(3);
        m.mutable_evidence()->set_sequence(1);
    });
    add([](peer::Envelope& m) {
        m.mutable_handover()->set_owner("b");
        m.mutable_handover()->set_incarnation(9);
        m.mutable_handover()->set_secret(std::string(32, 's'));
        m.mutable_handover()->set_parts(1);
        m.mutable_handover()->add_rows()->set_id(5);
    });
    add([](peer::Envelope& m) { m.mutable_handover_ack()->set_incarnation(9); });
    add([](peer::Envelope& m) { m.mutable_heir_notice()->set_heir("c"); });
    add([](peer::Envelope& m) { m.mutable_heir_offer(); });

    Mutator messages(corpus);
    for (int i = 0; i < ITERATIONS; ++i) {
        auto message = std::make_shared<peer::Envelope>();
        now += Millis { 1 };
        effects.clear();
        if (message->ParseFromString(messages.next()))
            reducer.apply({ now, 1, PeerMessageReceived { message } }, effects);
        reducer.apply({ now, 1, Tick {} }, effects);
    }
    const Status status = reducer.status(now);
    CHECK(status.sheet >= SheetVersion { 3 });
    CHECK(status.members.size() <= 70);
}
