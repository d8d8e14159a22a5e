// Tests of workspaces and API keys: directory, check, readers, and the age of what is known of them.
#include "active_sheet.h"
#include "cornelwind/sheet.h"
#include "gossip.h"
#include "peer.pb.h"
#include "platform/adapter.h"
#include "platform/values.h"
#include "workspaces/api_key_check.h"
#include "workspaces/configuration_confirmation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr Time START { std::chrono::seconds(100) };
const std::string KEY = "sEcReT-0123456789";

std::string configuration(const std::string& tenants, const std::string& version = "0000000c")
{
    return R"({"version":")" + version + R"(","services":{"s":{}},"routes":{"r":{"host":"a","prefix":"/","kind":"safe","service":"s"},)"
        + R"("p":{"host":"a","prefix":"/open/","kind":"safe","service":"s","public":true}})" + (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
}

std::string sheetText(const std::string& workspaces)
{
    return "version = 12\n[[service]]\nname = \"s\"\n[[rule]]\nmethod = \"GET\"\npath = \"/\"\nservice = \"s\"\nkind = \"idempotent\"\npublic = true\n" + workspaces;
}

std::optional<Sheet> readPlatform(std::string_view text, Reasons& reasons) { return platform::readConfiguration(text, 10, reasons); }

bool mentions(const Reasons& reasons, const std::string& text)
{
    return std::any_of(reasons.begin(), reasons.end(), [&](const Reason& reason) { return format(reason, "sheet").find(text) != std::string::npos; });
}

} // namespace

// Guards against a key that is found although it differs, and against a header that no valid key can have.
TEST_CASE("The directory finds a workspace by exactly its keys")
{
    const std::string longest(WorkspaceDirectory::MAX_KEY_BYTES, 'k');
    WorkspaceDirectory::Builder builder;
    REQUIRE(builder.addWorkspace({ WorkspaceName { "alder" }, 3, WorkspaceQuota { 5, 2 } }));
    CHECK(builder.addKey(KEY));
    CHECK(builder.addKey(KEY));
    CHECK(builder.addKey(longest));
    CHECK_FALSE(builder.addWorkspace({ WorkspaceName { "alder" }, {}, {} }));
    REQUIRE(builder.addWorkspace({ WorkspaceName { "birch" }, {}, {} }));
    CHECK_FALSE(builder.addKey(KEY));
    CHECK(builder.addKey(WorkspaceDirectory::digestText("key-of-birch")));
    const WorkspaceDirectory directory = builder.build();
    REQUIRE(directory.findByKey(KEY));
    CHECK(directory.findByKey(KEY)->priority == 3U);
    CHECK(directory.findByKey(longest) == directory.findByName(WorkspaceName { "alder" }));
    CHECK(directory.findByKey("key-of-birch") == directory.findByName(WorkspaceName { "birch" }));
    CHECK(directory.keyCount() == 3);
    const std::string bad[] = { "", KEY.substr(1), KEY + " ", " " + KEY, KEY + "\t", "a b", std::string("a\0b", 3), "a\x7f", longest + "k",
        WorkspaceDirectory::digestText(KEY) };
    for (const std::string& key : bad) {
        CAPTURE(key);
        CHECK_FALSE(directory.findByKey(key));
    }
    CHECK(WorkspaceDirectory::digestText(WorkspaceDirectory::digestText(KEY)) == WorkspaceDirectory::digestText(KEY));
}

// Guards against a request that runs without a valid key, or is refused although it needs none.
TEST_CASE("The check of an API key depends on the sheet, the rule, the key and the confirmation")
{
    Reasons reasons;
    const auto sheet = readPlatform(configuration(R"({"alder":{"apiKeys":[")" + KEY + R"("]}})"), reasons);
    const auto without = readPlatform(configuration(""), reasons);
    REQUIRE((sheet && without));
    struct Row {
        const Sheet* sheet;
        std::size_t rule;
        std::optional<std::string_view> key;
        bool confirmed;
        ErrorKind error;
        bool hasWorkspace;
    };
    const Row rows[] = {
        { &*sheet, 0, KEY, true, ErrorKind::None, true },
        { &*sheet, 0, "unknown", true, ErrorKind::ApiKeyRejected, false },
        { &*sheet, 0, {}, true, ErrorKind::ApiKeyRejected, false },
        { &*sheet, 0, KEY, false, ErrorKind::ApiKeysUnconfirmed, false },
        { &*sheet, 0, "unknown", false, ErrorKind::ApiKeysUnconfirmed, false },
        { &*sheet, 1, KEY, true, ErrorKind::None, true },
        { &*sheet, 1, "unknown", true, ErrorKind::None, false },
        { &*sheet, 1, {}, true, ErrorKind::None, false },
        { &*sheet, 1, KEY, false, ErrorKind::None, false },
        { &*without, 0, {}, false, ErrorKind::None, false },
        { &*without, 0, KEY, true, ErrorKind::None, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.rule, row.key.value_or("none"), row.confirmed);
        const ApiKeyVerdict verdict = checkApiKey(*row.sheet, row.sheet->rules[row.rule], row.key, row.confirmed);
        CHECK(verdict.error == row.error);
        CHECK((verdict.workspace != nullptr) == row.hasWorkspace);
    }
}

// Guards against a table that is accepted in part, and against an error that shows a key in the log.
TEST_CASE("Invalid workspaces give an error that shows no key")
{
    struct Row {
        SheetReader reader;
        std::string text;
        ErrorKind kind;
    };
    const std::string alder = R"({"alder":)";
    const std::string toml = "[[workspace]]\nname = \"alder\"\n";
    const std::string quoted = "\"" + KEY + "\"";
    const Row rows[] = {
        { readPlatform, configuration("[" + quoted + "]"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + quoted + "}"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + R"({"apiKeys":)" + quoted + "}}"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + ",5]}}"), ErrorKind::OutOfRange },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(,""]}})"), ErrorKind::OutOfRange },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(,"a b"]}})"), ErrorKind::OutOfRange },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(],"ratePerS":-1}})"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(],"burst":"4"}})"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(],"priority":-1}})"), ErrorKind::WrongType },
        { readPlatform, configuration(alder + R"({"apiKeys":[)" + quoted + R"(]},"birch":{"apiKeys":[)" + quoted + "]}}"), ErrorKind::OutOfRange },
        { readPlatform, configuration(R"({"al\nder":{"apiKeys":[)" + quoted + "]}}"), ErrorKind::OutOfRange },
        { readPlatform, configuration(R"({"":{"apiKeys":[)" + quoted + "]}}"), ErrorKind::OutOfRange },
        { readSheet, "workspace = [" + quoted + "]\n" + sheetText(""), ErrorKind::WrongType },
        { readSheet, sheetText(toml + "keys = " + quoted), ErrorKind::WrongType },
        { readSheet, sheetText(toml + "keys = [" + quoted + ", 5]"), ErrorKind::WrongType },
        { readSheet, sheetText(toml + "keys = [" + quoted + ", \"a b\"]"), ErrorKind::OutOfRange },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\nrate = -0.5"), ErrorKind::OutOfRange },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\nrate = nan"), ErrorKind::OutOfRange },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\nburst = true"), ErrorKind::WrongType },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\npriority = 10"), ErrorKind::OutOfRange },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\nquota = 1"), ErrorKind::UnknownKey },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\n" + toml), ErrorKind::DuplicateName },
        { readSheet, sheetText(toml + "keys = [" + quoted + "]\n[[workspace]]\nname = \"birch\"\nkeys = [" + quoted + "]"), ErrorKind::OutOfRange },
        { readSheet, sheetText("[[workspace]]\nkeys = [" + quoted + "]"), ErrorKind::MissingValue },
    };
    for (const Row& row : rows) {
        CAPTURE(row.text);
        Reasons reasons;
        CHECK_FALSE(row.reader(row.text, reasons));
        REQUIRE_FALSE(reasons.empty());
        CHECK(reasons.front().kind == row.kind);
        CHECK_FALSE(mentions(reasons, KEY));
    }
}

// Guards against fields that get lost in either format, and against keys in the text that instances send to each other.
TEST_CASE("Both formats list workspaces, and the text for other instances holds digests instead of keys")
{
    struct Row {
        SheetReader reader;
        std::string text;
    };
    const Row rows[] = {
        { readPlatform, configuration(R"({"alder":{"apiKeys":["sEcReT-\u0030123456789","second"],"priority":2,"ratePerS":2.5,"burst":40},"birch":{"apiKeys":[],"ratePerS":0},"cedar":{"ratePerS":3}})") },
        { readSheet, sheetText("[[workspace]]\nname = \"alder\"\nkeys = [\"sEcReT-\\u0030123456789\", 'second']\npriority = 2\nrate = 2.5\nburst = 40\n[[workspace]]\nname = \"birch\"\nkeys = []\nrate = 0\n[[workspace]]\nname = \"cedar\"\nrate = 3\n") },
    };
    for (const Row& row : rows) {
        Reasons reasons;
        const auto sheet = row.reader(row.text, reasons);
        REQUIRE(sheet);
        CHECK(sheet->text.find("123456789") == std::string::npos);
        CHECK(sheet->text.find("second") == std::string::npos);
        const auto copy = row.reader(sheet->text, reasons);
        REQUIRE(copy);
        // The readers leave the text unchanged, or empty, if it holds no key.
        CHECK((copy->text.empty() || copy->text == sheet->text));
        for (const auto& read : { *sheet, *copy }) {
            REQUIRE(read.workspaces);
            CHECK(read.workspaces->all() == std::vector<Workspace> { { WorkspaceName { "alder" }, 2, WorkspaceQuota { 2.5, 40 } }, { WorkspaceName { "birch" }, {}, {} }, { WorkspaceName { "cedar" }, {}, WorkspaceQuota { 3, 1 } } });
            CHECK(read.workspaces->findByKey(KEY) == &read.workspaces->all()[0]);
            CHECK(read.workspaces->findByKey("second") == &read.workspaces->all()[0]);
        }
        CHECK(sheet->rules.back().isPublic);
    }
    Reasons reasons;
    CHECK_FALSE(readSheet(sheetText(""), reasons)->workspaces);
    CHECK_FALSE(readPlatform(configuration(""), reasons)->workspaces);
    // A table without entries refuses all requests except those to public rules.
    CHECK(readPlatform(configuration("{}"), reasons)->workspaces);
}

// Guards against members that take the same sheet, published with keys and sent with digests, for two different ones.
TEST_CASE("The sheet of the platform and that of a member are the same, and no copy in memory holds a key")
{
    const std::string text = configuration(R"({"alder":{"apiKeys":[")" + KEY + R"("]}})");
    EffectList effects;
    Context context(START, 0, effects);
    ActiveSheet first(readPlatform);
    ActiveSheet second(readPlatform);
    REQUIRE(first.adoptIfNewer(text, "platform", context));
    CHECK(first.current()->text.find(KEY) == std::string::npos);
    REQUIRE(second.adoptIfNewer(first.current()->text, "first", context));
    CHECK(second.current()->hash == first.current()->hash);
    const std::size_t reports = effects.size();
    CHECK_FALSE(second.adoptIfNewer(text, "platform", context));
    CHECK_FALSE(first.adoptIfNewer(text, "platform", context));
    CHECK_FALSE(first.shouldRequest(second.current()->version, second.current()->hash, "second", context));
    CHECK(effects.size() == reports);
}

// Guards against a bound that is ignored or applied without being asked for.
TEST_CASE("The platform's limits set the revocation deadline only if it is to fail closed")
{
    struct Row {
        std::vector<std::string> limits;
        std::optional<Millis> deadline;
        bool isValid;
    };
    const Row rows[] = {
        { { "revokeS=5", "failClosed=true" }, Millis { 5000 }, true },
        { { "failClosed=true", "revokeS=2.5" }, Millis { 2500 }, true },
        { { "revokeS=5", "failClosed=false" }, {}, true },
        { { "revokeS=5" }, {}, true },
        { { "failClosed=true" }, {}, true },
        { { "revokeS=5", "failClosed=yes" }, {}, false },
        { { "revokeS=soon", "failClosed=true" }, {}, false },
    };
    for (const Row& row : rows) {
        CAPTURE(row.limits.front());
        Settings settings;
        settings.platformLimits = row.limits;
        Reasons reasons;
        CHECK(platform::applyLimits(settings, reasons) == row.isValid);
        CHECK(settings.keyRevocationDeadline == row.deadline);
    }
}

// Guards against an age that is too small: after a suspension of the machine, and by a proof that is older than the latest.
TEST_CASE("The age of the confirmation counts suspensions, also for calls that were under way")
{
    ConfigurationConfirmation confirmation(Duration { Millis { 4500 } });
    CHECK_FALSE(confirmation.holds(START));
    CHECK(confirmation.needsRefresh(START));
    confirmation.confirm(START, Millis { 1250 }, START + Millis { 1250 });
    CHECK(confirmation.age(START + Millis { 1250 }) == Duration {});
    confirmation.confirm(START, {}, START + Millis { 1250 });
    CHECK(confirmation.age(START + Millis { 1250 }) == Duration {});
    CHECK(confirmation.holds(START + Millis { 5750 }));
    CHECK_FALSE(confirmation.holds(START + Millis { 5751 }));
    // A call made at 1300 ms is under way while the machine is suspended for 60 s.
    const Time noticed = START + Millis { 1400 };
    confirmation.onSuspended(Millis { 60000 }, noticed);
    CHECK_FALSE(confirmation.holds(noticed));
    confirmation.confirm(START + Millis { 1300 }, Millis { 1250 }, START + Millis { 2600 });
    CHECK_FALSE(confirmation.holds(START + Millis { 2600 }));
    confirmation.confirm(START + Millis { 1300 }, -Millis { 200 }, START + Millis { 2600 });
    CHECK_FALSE(confirmation.holds(START + Millis { 2600 }));
    confirmation.confirm(noticed + Millis { 1 }, {}, START + Millis { 2600 });
    CHECK(confirmation.holds(START + Millis { 2600 }));
    for (std::size_t i = 0; i < 3 * ConfigurationConfirmation::MAX_SUSPENSIONS; ++i)
        confirmation.onSuspended(Millis { 1000 }, START + Millis { 3000 + static_cast<int>(i) });
    confirmation.confirm(START, {}, START + Millis { 4000 });
    CHECK_FALSE(confirmation.holds(START + Millis { 4000 }));
    confirmation.confirm(START + Millis { 3900 }, {}, START + Millis { 4000 });
    CHECK(confirmation.age(START + Millis { 4000 }) == Duration { Millis { 100 } });
}

namespace {

/// One entry instance that pings the member "peer", as the test answers for it.
struct PingedMember {
    EffectList effects;
    MemberTable members { InstanceName { "self" }, ZoneName { "z" }, {} };
    ActiveSheet sheet;
    Gossip gossip;

    explicit PingedMember(std::uint64_t incarnation)
        : gossip({ InstanceName { "self" }, ZoneName { "z" }, { "10.0.0.1", 1 }, Incarnation { incarnation }, {}, true, Millis { 2500 }, Millis { 4500 } }, members, sheet)
    {
        Context context(START, 0, effects);
        sheet.adoptIfNewer(sheetText(""), "test", context);
        gossip.onMessage(ack(0), context);
    }

    static peer::Envelope ack(std::uint64_t sequence, const std::string& from = "peer", std::uint64_t version = 12)
    {
        peer::Envelope message;
        message.mutable_from()->set_name(from);
        message.mutable_from()->set_zone("z");
        message.mutable_from()->set_address("10.0.0.2:1");
        message.mutable_from()->set_incarnation(1);
        message.mutable_ack()->set_sequence(sequence);
        message.mutable_ack()->mutable_sheet()->set_version(version);
        message.mutable_ack()->set_confirmation_age_ms(300);
        return message;
    }

    /// @return number of the latest ping
    std::uint64_t ping(Time now)
    {
        Context context(now, 0, effects);
        gossip.onTick(context);
        std::uint64_t sequence = 0;
        for (const Effect& effect : effects) {
            if (const auto* sent = std::get_if<SendPeerMessage>(&effect); sent && sent->message->has_ping())
                sequence = sent->message->ping().sequence();
        }
        return sequence;
    }

    std::optional<Duration> ageAfter(const peer::Envelope& message, Time now)
    {
        Context context(now, 0, effects);
        gossip.onMessage(message, context);
        return gossip.confirmation().age(now);
    }
};

} // namespace

// Guards against an acknowledgement that was made before what it seems to prove.
TEST_CASE("Only the target's acknowledgement of a ping of this start confirms the sheet, as of the time when it was sent")
{
    constexpr std::uint64_t INCARNATION = 77ULL << 32;
    PingedMember instance(INCARNATION);
    CHECK_FALSE(instance.gossip.confirmation().age(START));
    const std::uint64_t sequence = instance.ping(START);
    REQUIRE(sequence > 77);
    CHECK_FALSE(instance.ageAfter(instance.ack(sequence - 77), START + Millis { 10 }));
    CHECK_FALSE(instance.ageAfter(instance.ack(sequence, "other"), START + Millis { 10 }));
    const std::uint64_t second = instance.ping(START + Millis { 400 });
    REQUIRE(second != sequence);
    CHECK_FALSE(instance.ageAfter(instance.ack(second, "peer", 13), START + Millis { 410 }));
    const std::uint64_t third = instance.ping(START + Millis { 800 });
    CHECK(instance.ageAfter(instance.ack(third), START + Millis { 900 }) == Duration { Millis { 400 } });
    // The same acknowledgement once more, and one that comes seconds late.
    CHECK(instance.ageAfter(instance.ack(third), START + Millis { 1000 }) == Duration { Millis { 500 } });
    const std::uint64_t late = instance.ping(START + Millis { 1200 });
    instance.ping(START + Millis { 6000 });
    CHECK(instance.ageAfter(instance.ack(late), START + Millis { 6010 }) == Duration { Millis { 5510 } });
    PingedMember restarted((INCARNATION >> 32) + 1 << 32);
    restarted.ping(START + Millis { 7000 });
    CHECK_FALSE(restarted.ageAfter(instance.ack(late), START + Millis { 7010 }));
}
