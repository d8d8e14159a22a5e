// At-most-once keys: minting and verification, the ledger of used keys, and the handover to a successor.
#include "key_registry.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

const Time START { std::chrono::seconds(1000) };

KeyIssuer makeMint(std::uint64_t incarnation = 7, std::uint8_t secretByte = 1)
{
    KeySecret secret {};
    secret.fill(secretByte);
    return KeyIssuer(InstanceName { "leon-1" }, Incarnation { incarnation }, secret, START);
}

KeyRegistry makeKeyBook(std::uint64_t incarnation = 7)
{
    return KeyRegistry(makeMint(incarnation), { { 100, 10000 }, std::chrono::seconds(60) });
}

ResponsePtr makeAnswer(std::size_t size)
{
    return std::make_shared<Response>(Response { 200, {}, std::string(size, 'x') });
}

KeyResult makeRanResult(std::size_t size = 10)
{
    return { Outcome::Ran, ErrorKind::None, makeAnswer(size) };
}

constexpr Fingerprint FINGERPRINT { 11 };
constexpr Fingerprint OTHER_FINGERPRINT { 12 };

} // namespace

TEST_CASE("Only an unchanged key of the same incarnation and secret is verified")
{
    KeyIssuer mint = makeMint();
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

TEST_CASE("Key ids increase strictly, and with time")
{
    KeyIssuer mint = makeMint();
    KeyId last { 0 };
    for (int i = 0; i < 1000; ++i) {
        const auto key = parseKey(mint.mint(START + Millis { i / 100 }));
        REQUIRE(key);
        CHECK(key->id > last);
        last = key->id;
    }
    CHECK(mint.firstIdAt(START + std::chrono::seconds(1)) > last);
}

TEST_CASE("The ledger runs a key once and returns its result to later requests")
{
    IdempotencyStore ledger({ 100, 10000 });
    CHECK(ledger.begin(KeyId { 5 }, FINGERPRINT, RequestId { 1 }).action == KeyAction::Run);
    CHECK(ledger.begin(KeyId { 5 }, FINGERPRINT, RequestId { 2 }).action == KeyAction::Join);
    const KeyDecision other = ledger.begin(KeyId { 5 }, OTHER_FINGERPRINT, RequestId { 3 });
    CHECK(other.action == KeyAction::Refuse);
    CHECK(other.error == ErrorKind::KeyMismatch);
    CHECK(ledger.finish(KeyId { 5 }, makeRanResult()) == std::vector<RequestId> { RequestId { 1 }, RequestId { 2 } });
    CHECK(ledger.finish(KeyId { 5 }, makeRanResult()).empty());
    const KeyDecision again = ledger.begin(KeyId { 5 }, FINGERPRINT, RequestId { 4 });
    CHECK(again.action == KeyAction::Repeat);
    CHECK(again.result.answer);
}

TEST_CASE("A result of NotRun is final as well")
{
    IdempotencyStore ledger({ 100, 10000 });
    ledger.begin(KeyId { 5 }, FINGERPRINT, RequestId { 1 });
    ledger.finish(KeyId { 5 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
    const KeyDecision late = ledger.begin(KeyId { 5 }, FINGERPRINT, RequestId { 2 });
    CHECK(late.action == KeyAction::Repeat);
    CHECK(late.result.outcome == Outcome::NotRun);
}

TEST_CASE("The ledger stays within its limits and never runs a dropped key again")
{
    IdempotencyStore ledger({ 10, 2000 });
    for (std::uint64_t id = 1; id <= 100; ++id) {
        REQUIRE(ledger.begin(KeyId { id }, FINGERPRINT, RequestId { id }).action == KeyAction::Run);
        ledger.finish(KeyId { id }, makeRanResult(500));
        CHECK(ledger.size() <= 11);
        CHECK(ledger.answerBytes() <= 2000);
    }
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const KeyDecision verdict = ledger.begin(KeyId { id }, FINGERPRINT, RequestId { 1000 + id });
        CHECK(verdict.action != KeyAction::Run);
        if (KeyId { id } < ledger.floor())
            CHECK(verdict.error == ErrorKind::KeyExpired);
    }
    const KeyDecision held = ledger.begin(KeyId { 95 }, FINGERPRINT, RequestId { 1 });
    CHECK(held.result.error == ErrorKind::AnswerNotHeld);
    CHECK(held.result.outcome == Outcome::Ran);
    CHECK(ledger.begin(KeyId { 100 }, FINGERPRINT, RequestId { 1 }).result.answer);
}

TEST_CASE("A response larger than the limit is not stored")
{
    IdempotencyStore ledger({ 10, 100 });
    ledger.begin(KeyId { 1 }, FINGERPRINT, RequestId { 1 });
    ledger.finish(KeyId { 1 }, makeRanResult(500));
    CHECK(ledger.answerBytes() == 0);
    CHECK(ledger.begin(KeyId { 1 }, FINGERPRINT, RequestId { 2 }).result.error == ErrorKind::AnswerNotHeld);
}

TEST_CASE("Raising the floor keeps a request in progress and refuses unused keys for good")
{
    IdempotencyStore ledger({ 10, 1000 });
    ledger.begin(KeyId { 1 }, FINGERPRINT, RequestId { 1 });
    ledger.raiseFloor(KeyId { 50 });
    CHECK(ledger.begin(KeyId { 1 }, FINGERPRINT, RequestId { 2 }).action == KeyAction::Join);
    CHECK(ledger.begin(KeyId { 49 }, FINGERPRINT, RequestId { 3 }).error == ErrorKind::KeyExpired);
    CHECK(ledger.begin(KeyId { 50 }, FINGERPRINT, RequestId { 3 }).action == KeyAction::Run);
    ledger.raiseFloor(KeyId { 10 });
    CHECK(ledger.floor() == KeyId { 50 });
}

TEST_CASE("Keys expire after their lifetime")
{
    KeyRegistry book = makeKeyBook();
    const auto key = parseKey(book.mint(START));
    book.expire(START + std::chrono::seconds(61));
    CHECK(book.find(Incarnation { 7 })->ledger.begin(key->id, FINGERPRINT, RequestId { 1 }).error == ErrorKind::KeyExpired);
}

TEST_CASE("After a handover only the successor runs the keys")
{
    KeyRegistry sender = makeKeyBook(7);
    KeyRegistry successor = makeKeyBook(8);
    const auto used = parseKey(sender.mint(START));
    const auto fresh = parseKey(sender.mint(START));
    IdempotencyStore& ledger = sender.find(Incarnation { 7 })->ledger;
    ledger.begin(used->id, FINGERPRINT, RequestId { 1 });
    ledger.finish(used->id, makeRanResult());

    const Time now = START + std::chrono::seconds(10);
    sender.handOver(InstanceName { "leon-2" }, now);
    CHECK(sender.find(Incarnation { 7 }) == nullptr);
    CHECK(sender.mint(now).empty());
    CHECK(sender.ownerOf(*fresh).instance == InstanceName { "leon-2" });
    CHECK_FALSE(sender.handoverAcknowledged());

    std::vector<peer::Handover> parts;
    sender.sendHandover([&](const peer::Handover& part) { parts.push_back(part); });
    REQUIRE(parts.size() == 1);
    for (int delivery = 0; delivery < 2; ++delivery)
        CHECK(successor.acceptPart(parts[0], now) == HandoverResult::Complete);
    KeySpace* holding = successor.find(Incarnation { 7 });
    REQUIRE(holding);
    CHECK(holding->mint.verify(*used));
    CHECK(holding->ledger.begin(used->id, FINGERPRINT, RequestId { 2 }).action == KeyAction::Repeat);
    CHECK(holding->ledger.begin(fresh->id, FINGERPRINT, RequestId { 3 }).action == KeyAction::Run);
    // A part that is delivered again must not reset a key that the successor has run since.
    holding->ledger.finish(fresh->id, makeRanResult());
    successor.acceptPart(parts[0], now);
    CHECK(successor.find(Incarnation { 7 })->ledger.begin(fresh->id, FINGERPRINT, RequestId { 4 }).action == KeyAction::Repeat);

    peer::HandoverAck ack;
    ack.set_incarnation(7);
    sender.onAck(ack);
    CHECK(sender.handoverAcknowledged());
}

TEST_CASE("A successor owns the keys only after every part, and refuses malformed parts")
{
    KeyRegistry sender = makeKeyBook(7);
    KeyRegistry successor = makeKeyBook(8);
    IdempotencyStore& ledger = sender.find(Incarnation { 7 })->ledger;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        ledger.begin(KeyId { id << 20 }, FINGERPRINT, RequestId { id });
        ledger.finish(KeyId { id << 20 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
    }
    sender.handOver(InstanceName { "leon-2" }, START);
    std::vector<peer::Handover> parts;
    sender.sendHandover([&](const peer::Handover& part) { parts.push_back(part); });
    peer::Handover first = parts[0];
    first.set_parts(2);
    CHECK(successor.acceptPart(first, START) == HandoverResult::Partial);
    CHECK(successor.find(Incarnation { 7 }) == nullptr);
    peer::Handover second = first;
    second.set_part(1);
    CHECK(successor.acceptPart(second, START) == HandoverResult::Complete);
    CHECK(successor.find(Incarnation { 7 }) != nullptr);

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
        CHECK(successor.acceptPart(bad, START) == HandoverResult::Refused);
        CHECK(successor.find(Incarnation { 99 }) == nullptr);
    }
}
