// At-most-once keys: minting, the ledger and the handover of both.
#include "key_book.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

const Time START { std::chrono::seconds(1000) };

KeyMint makeMint(std::uint64_t incarnation = 7, std::uint8_t secretByte = 1)
{
    KeySecret secret {};
    secret.fill(secretByte);
    return KeyMint(InstanceName { "leon-1" }, Incarnation { incarnation }, secret, START);
}

KeyBook makeBook(std::uint64_t incarnation = 7)
{
    return KeyBook(makeMint(incarnation), { { 100, 10000 }, std::chrono::seconds(60) });
}

AnswerPtr makeAnswer(std::size_t size)
{
    return std::make_shared<Answer>(Answer { 200, {}, std::string(size, 'x') });
}

KeyResult ran(std::size_t size = 10)
{
    return { Outcome::Ran, ErrorKind::None, makeAnswer(size) };
}

constexpr Fingerprint ORDER { 11 };
constexpr Fingerprint OTHER_ORDER { 12 };

} // namespace

TEST_CASE("A key is verified only as it was minted")
{
    KeyMint mint = makeMint();
    const std::string text = mint.mint(START);
    struct Row {
        const char* name;
        std::string text;
        bool parses;
        bool verifies;
    };
    std::string otherId = text;
    otherId[otherId.size() - 34] = otherId[otherId.size() - 34] == '1' ? '2' : '1';
    std::string otherTag = text;
    otherTag.back() = otherTag.back() == '0' ? '1' : '0';
    const std::vector<Row> rows {
        { "as minted", text, true, true },
        { "quoted", "\"" + text + "\"", true, true },
        { "other id", otherId, true, false },
        { "other tag", otherTag, true, false },
        { "cut", text.substr(0, text.size() - 1), false, false },
        { "longer", text + "0", false, false },
        { "empty", "", false, false },
        { "no parts", "cw1", false, false },
        { "other scheme", "cw2" + text.substr(3), false, false },
        { "no owner", "cw1.." + text.substr(11), false, false },
        { "bad hex", "cw1.leon-1.zzzzzzzzzzzzzzzz.0000000000000001.00112233445566778899aabbccddeeff", false, false },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        const auto parsed = parseKey(row.text);
        CHECK(parsed.has_value() == row.parses);
        CHECK((parsed && mint.verify(*parsed)) == row.verifies);
        CHECK_FALSE((parsed && makeMint(8).verify(*parsed)));
        CHECK_FALSE((parsed && makeMint(7, 2).verify(*parsed)));
    }
}

TEST_CASE("Keys grow with time and are never repeated")
{
    KeyMint mint = makeMint();
    KeyId last { 0 };
    for (int i = 0; i < 1000; ++i) {
        const auto key = parseKey(mint.mint(START + Millis { i / 100 }));
        REQUIRE(key);
        CHECK(key->id > last);
        last = key->id;
    }
    CHECK(mint.firstIdAt(START + std::chrono::seconds(1)) > last);
}

TEST_CASE("The ledger lets a key run once and repeats its result")
{
    Ledger ledger({ 100, 10000 });
    CHECK(ledger.begin(KeyId { 5 }, ORDER, RequestId { 1 }).action == KeyAction::Run);
    CHECK(ledger.begin(KeyId { 5 }, ORDER, RequestId { 2 }).action == KeyAction::Join);
    const KeyVerdict other = ledger.begin(KeyId { 5 }, OTHER_ORDER, RequestId { 3 });
    CHECK(other.action == KeyAction::Refuse);
    CHECK(other.error == ErrorKind::KeyMismatch);
    CHECK(ledger.finish(KeyId { 5 }, ran()) == std::vector<RequestId> { RequestId { 1 }, RequestId { 2 } });
    CHECK(ledger.finish(KeyId { 5 }, ran()).empty());
    const KeyVerdict again = ledger.begin(KeyId { 5 }, ORDER, RequestId { 4 });
    CHECK(again.action == KeyAction::Repeat);
    CHECK(again.result.answer);
}

TEST_CASE("A result that says not run is final as well")
{
    Ledger ledger({ 100, 10000 });
    ledger.begin(KeyId { 5 }, ORDER, RequestId { 1 });
    ledger.finish(KeyId { 5 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
    const KeyVerdict late = ledger.begin(KeyId { 5 }, ORDER, RequestId { 2 });
    CHECK(late.action == KeyAction::Repeat);
    CHECK(late.result.outcome == Outcome::NotRun);
}

TEST_CASE("The ledger stays within its limits and refuses what it forgot")
{
    Ledger ledger({ 10, 2000 });
    for (std::uint64_t id = 1; id <= 100; ++id) {
        REQUIRE(ledger.begin(KeyId { id }, ORDER, RequestId { id }).action == KeyAction::Run);
        ledger.finish(KeyId { id }, ran(500));
        CHECK(ledger.size() <= 11);
        CHECK(ledger.answerBytes() <= 2000);
    }
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const KeyVerdict verdict = ledger.begin(KeyId { id }, ORDER, RequestId { 1000 + id });
        CHECK(verdict.action != KeyAction::Run);
        if (KeyId { id } < ledger.floor())
            CHECK(verdict.error == ErrorKind::KeyExpired);
    }
    const KeyVerdict held = ledger.begin(KeyId { 95 }, ORDER, RequestId { 1 });
    CHECK(held.result.error == ErrorKind::AnswerNotHeld);
    CHECK(held.result.outcome == Outcome::Ran);
    CHECK(ledger.begin(KeyId { 100 }, ORDER, RequestId { 1 }).result.answer);
}

TEST_CASE("An answer larger than all room is not held")
{
    Ledger ledger({ 10, 100 });
    ledger.begin(KeyId { 1 }, ORDER, RequestId { 1 });
    ledger.finish(KeyId { 1 }, ran(500));
    CHECK(ledger.answerBytes() == 0);
    CHECK(ledger.begin(KeyId { 1 }, ORDER, RequestId { 2 }).result.error == ErrorKind::AnswerNotHeld);
}

TEST_CASE("Raising the floor keeps a running request and refuses unused keys for ever")
{
    Ledger ledger({ 10, 1000 });
    ledger.begin(KeyId { 1 }, ORDER, RequestId { 1 });
    ledger.raiseFloor(KeyId { 50 });
    CHECK(ledger.begin(KeyId { 1 }, ORDER, RequestId { 2 }).action == KeyAction::Join);
    CHECK(ledger.begin(KeyId { 49 }, ORDER, RequestId { 3 }).error == ErrorKind::KeyExpired);
    CHECK(ledger.begin(KeyId { 50 }, ORDER, RequestId { 3 }).action == KeyAction::Run);
    ledger.raiseFloor(KeyId { 10 });
    CHECK(ledger.floor() == KeyId { 50 });
}

TEST_CASE("Keys expire by age")
{
    KeyBook book = makeBook();
    const auto key = parseKey(book.mint(START));
    book.expire(START + std::chrono::seconds(61));
    CHECK(book.find(Incarnation { 7 })->ledger.begin(key->id, ORDER, RequestId { 1 }).error == ErrorKind::KeyExpired);
}

TEST_CASE("A handover moves the right to run, whole or not at all")
{
    KeyBook giver = makeBook(7);
    KeyBook heir = makeBook(8);
    const auto used = parseKey(giver.mint(START));
    const auto fresh = parseKey(giver.mint(START));
    Ledger& ledger = giver.find(Incarnation { 7 })->ledger;
    ledger.begin(used->id, ORDER, RequestId { 1 });
    ledger.finish(used->id, ran());

    const Time now = START + std::chrono::seconds(10);
    giver.handOver(InstanceName { "leon-2" }, now);
    CHECK(giver.find(Incarnation { 7 }) == nullptr);
    CHECK(giver.mint(now).empty());
    CHECK(giver.ownerOf(*fresh).instance == InstanceName { "leon-2" });
    CHECK_FALSE(giver.handoverAcknowledged());

    std::vector<peer::Handover> parts;
    giver.sendHandover([&](const peer::Handover& part) { parts.push_back(part); });
    REQUIRE(parts.size() == 1);
    for (int repeat = 0; repeat < 2; ++repeat)
        CHECK(heir.inherit(parts[0], now) == InheritResult::Complete);
    KeyHolding* holding = heir.find(Incarnation { 7 });
    REQUIRE(holding);
    CHECK(holding->mint.verify(*used));
    CHECK(holding->ledger.begin(used->id, ORDER, RequestId { 2 }).action == KeyAction::Repeat);
    CHECK(holding->ledger.begin(fresh->id, ORDER, RequestId { 3 }).action == KeyAction::Run);
    // A part that arrives again must not undo what the heir has run since.
    holding->ledger.finish(fresh->id, ran());
    heir.inherit(parts[0], now);
    CHECK(heir.find(Incarnation { 7 })->ledger.begin(fresh->id, ORDER, RequestId { 4 }).action == KeyAction::Repeat);

    peer::HandoverAck ack;
    ack.set_incarnation(7);
    giver.onAck(ack);
    CHECK(giver.handoverAcknowledged());
}

TEST_CASE("An heir waits for every part")
{
    KeyBook giver = makeBook(7);
    KeyBook heir = makeBook(8);
    Ledger& ledger = giver.find(Incarnation { 7 })->ledger;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        ledger.begin(KeyId { id << 20 }, ORDER, RequestId { id });
        ledger.finish(KeyId { id << 20 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
    }
    giver.handOver(InstanceName { "leon-2" }, START);
    std::vector<peer::Handover> parts;
    giver.sendHandover([&](const peer::Handover& part) { parts.push_back(part); });
    peer::Handover first = parts[0];
    first.set_parts(2);
    CHECK(heir.inherit(first, START) == InheritResult::Partial);
    CHECK(heir.find(Incarnation { 7 }) == nullptr);
    peer::Handover second = first;
    second.set_part(1);
    CHECK(heir.inherit(second, START) == InheritResult::Complete);
    CHECK(heir.find(Incarnation { 7 }) != nullptr);

    struct Row {
        const char* name;
        std::uint32_t part;
        std::uint32_t parts;
        std::size_t secretBytes;
    };
    for (const Row& row : { Row { "no parts", 0, 0, 32 }, Row { "beyond the last", 2, 2, 32 }, Row { "short secret", 0, 1, 31 } }) {
        INFO(row.name);
        peer::Handover bad;
        bad.set_incarnation(99);
        bad.set_part(row.part);
        bad.set_parts(row.parts);
        bad.set_secret(std::string(row.secretBytes, 's'));
        CHECK(heir.inherit(bad, START) == InheritResult::Refused);
        CHECK(heir.find(Incarnation { 99 }) == nullptr);
    }
}
