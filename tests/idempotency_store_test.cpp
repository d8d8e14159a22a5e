// Tests of idempotency keys: issue and verification, the store of used keys, and the handover to a successor.
#include "key_registry.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

const Time START { std::chrono::seconds(1000) };

KeyIssuer makeIssuer(std::uint64_t incarnation = 7, std::uint8_t secretByte = 1)
{
    KeySecret secret {};
    secret.fill(secretByte);
    return KeyIssuer(InstanceName { "leon-1" }, Incarnation { incarnation }, secret, START);
}

KeyRegistry makeKeyRegistry(std::uint64_t incarnation = 7)
{
    return KeyRegistry(makeIssuer(incarnation), { { 100, 10000 }, std::chrono::seconds(60) });
}

ResponsePtr makeResponse(std::size_t size)
{
    return std::make_shared<Response>(Response { 200, {}, std::string(size, 'x') });
}

KeyResult makeRanResult(std::size_t size = 10)
{
    return { Outcome::Ran, ErrorKind::None, makeResponse(size) };
}

constexpr Fingerprint FINGERPRINT { 11 };
constexpr Fingerprint OTHER_FINGERPRINT { 12 };

} // namespace

TEST_CASE("Only an unchanged key of the same incarnation and secret is verified")
{
    KeyIssuer issuer = makeIssuer();
    const std::string text = issuer.issueKey(START);
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
        { "as issued", text, true, true },
        { "quoted", "\"" + text + "\"", true, true },
        { "other id", otherId, true, false },
        { "other tag", otherTag, true, false },
        { "one character missing", text.substr(0, text.size() - 1), false, false },
        { "one character added", text + "0", false, false },
        { "empty", "", false, false },
        { "scheme only", "cw1", false, false },
        { "other scheme", "cw2" + text.substr(3), false, false },
        { "no owner", "cw1.." + text.substr(11), false, false },
        { "incarnation not hexadecimal", "cw1.leon-1.zzzzzzzzzzzzzzzz.0000000000000001.00112233445566778899aabbccddeeff", false, false },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        const auto parsed = parseKey(row.text);
        CHECK(parsed.has_value() == row.parses);
        CHECK((parsed && issuer.verify(*parsed)) == row.verifies);
        CHECK_FALSE((parsed && makeIssuer(8).verify(*parsed)));
        CHECK_FALSE((parsed && makeIssuer(7, 2).verify(*parsed)));
    }
}

TEST_CASE("Key ids increase strictly, and with time")
{
    KeyIssuer issuer = makeIssuer();
    KeyId last { 0 };
    for (int i = 0; i < 1000; ++i) {
        const auto key = parseKey(issuer.issueKey(START + Millis { i / 100 }));
        REQUIRE(key);
        CHECK(key->id > last);
        last = key->id;
    }
    CHECK(issuer.firstIdAt(START + std::chrono::seconds(1)) > last);
}

TEST_CASE("The idempotency store runs a key once and returns its result to later requests")
{
    IdempotencyStore idempotencyStore({ 100, 10000 });
    CHECK(idempotencyStore.begin(KeyId { 5 }, FINGERPRINT, RequestId { 1 }).action == KeyAction::Run);
    CHECK(idempotencyStore.begin(KeyId { 5 }, FINGERPRINT, RequestId { 2 }).action == KeyAction::Join);
    const KeyDecision other = idempotencyStore.begin(KeyId { 5 }, OTHER_FINGERPRINT, RequestId { 3 });
    CHECK(other.action == KeyAction::Refuse);
    CHECK(other.error == ErrorKind::KeyMismatch);
    CHECK(idempotencyStore.finish(KeyId { 5 }, makeRanResult()) == std::vector<RequestId> { RequestId { 1 }, RequestId { 2 } });
    CHECK(idempotencyStore.finish(KeyId { 5 }, makeRanResult()).empty());
    const KeyDecision again = idempotencyStore.begin(KeyId { 5 }, FINGERPRINT, RequestId { 4 });
    CHECK(again.action == KeyAction::Repeat);
    CHECK(again.result.response);
}

TEST_CASE("The result NotRun is final: a later request with the key gets the same result")
{
    IdempotencyStore idempotencyStore({ 100, 10000 });
    idempotencyStore.begin(KeyId { 5 }, FINGERPRINT, RequestId { 1 });
    idempotencyStore.finish(KeyId { 5 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
    const KeyDecision late = idempotencyStore.begin(KeyId { 5 }, FINGERPRINT, RequestId { 2 });
    CHECK(late.action == KeyAction::Repeat);
    CHECK(late.result.outcome == Outcome::NotRun);
}

TEST_CASE("The idempotency store stays within its limits and never runs a dropped key again")
{
    IdempotencyStore idempotencyStore({ 10, 2000 });
    for (std::uint64_t id = 1; id <= 100; ++id) {
        REQUIRE(idempotencyStore.begin(KeyId { id }, FINGERPRINT, RequestId { id }).action == KeyAction::Run);
        idempotencyStore.finish(KeyId { id }, makeRanResult(500));
        CHECK(idempotencyStore.size() <= 11);
        CHECK(idempotencyStore.responseBytes() <= 2000);
    }
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const KeyDecision decision = idempotencyStore.begin(KeyId { id }, FINGERPRINT, RequestId { 1000 + id });
        CHECK(decision.action != KeyAction::Run);
        if (KeyId { id } < idempotencyStore.floor())
            CHECK(decision.error == ErrorKind::KeyExpired);
    }
    const KeyDecision withoutResponse = idempotencyStore.begin(KeyId { 95 }, FINGERPRINT, RequestId { 1 });
    CHECK(withoutResponse.result.error == ErrorKind::AnswerNotHeld);
    CHECK(withoutResponse.result.outcome == Outcome::Ran);
    CHECK(idempotencyStore.begin(KeyId { 100 }, FINGERPRINT, RequestId { 1 }).result.response);
}

TEST_CASE("A response larger than the limit is not stored")
{
    IdempotencyStore idempotencyStore({ 10, 100 });
    idempotencyStore.begin(KeyId { 1 }, FINGERPRINT, RequestId { 1 });
    idempotencyStore.finish(KeyId { 1 }, makeRanResult(500));
    CHECK(idempotencyStore.responseBytes() == 0);
    CHECK(idempotencyStore.begin(KeyId { 1 }, FINGERPRINT, RequestId { 2 }).result.error == ErrorKind::AnswerNotHeld);
}

TEST_CASE("Raising the floor keeps a request in progress and refuses unused keys below the floor for good")
{
    IdempotencyStore idempotencyStore({ 10, 1000 });
    idempotencyStore.begin(KeyId { 1 }, FINGERPRINT, RequestId { 1 });
    idempotencyStore.raiseFloor(KeyId { 50 });
    CHECK(idempotencyStore.begin(KeyId { 1 }, FINGERPRINT, RequestId { 2 }).action == KeyAction::Join);
    CHECK(idempotencyStore.begin(KeyId { 49 }, FINGERPRINT, RequestId { 3 }).error == ErrorKind::KeyExpired);
    CHECK(idempotencyStore.begin(KeyId { 50 }, FINGERPRINT, RequestId { 3 }).action == KeyAction::Run);
    idempotencyStore.raiseFloor(KeyId { 10 });
    CHECK(idempotencyStore.floor() == KeyId { 50 });
}

TEST_CASE("Keys expire after their lifetime")
{
    KeyRegistry registry = makeKeyRegistry();
    const auto key = parseKey(registry.issueKey(START));
    registry.expire(START + std::chrono::seconds(61));
    CHECK(registry.find(Incarnation { 7 })->idempotencyStore.begin(key->id, FINGERPRINT, RequestId { 1 }).error == ErrorKind::KeyExpired);
}

TEST_CASE("After a handover only the successor runs the keys")
{
    KeyRegistry sender = makeKeyRegistry(7);
    KeyRegistry successor = makeKeyRegistry(8);
    const auto used = parseKey(sender.issueKey(START));
    const auto fresh = parseKey(sender.issueKey(START));
    IdempotencyStore& idempotencyStore = sender.find(Incarnation { 7 })->idempotencyStore;
    idempotencyStore.begin(used->id, FINGERPRINT, RequestId { 1 });
    idempotencyStore.finish(used->id, makeRanResult());

    const Time now = START + std::chrono::seconds(10);
    sender.handOver(InstanceName { "leon-2" }, now);
    CHECK(sender.find(Incarnation { 7 }) == nullptr);
    CHECK(sender.issueKey(now).empty());
    CHECK(sender.ownerOf(*fresh).instance == InstanceName { "leon-2" });
    CHECK_FALSE(sender.handoverAcknowledged());

    std::vector<peer::Handover> parts;
    sender.sendHandover([&](const peer::Handover& part) { parts.push_back(part); });
    REQUIRE(parts.size() == 1);
    for (int delivery = 0; delivery < 2; ++delivery)
        CHECK(successor.acceptPart(parts[0], now) == HandoverResult::Complete);
    KeySpace* keySpace = successor.find(Incarnation { 7 });
    REQUIRE(keySpace);
    CHECK(keySpace->issuer.verify(*used));
    CHECK(keySpace->idempotencyStore.begin(used->id, FINGERPRINT, RequestId { 2 }).action == KeyAction::Repeat);
    CHECK(keySpace->idempotencyStore.begin(fresh->id, FINGERPRINT, RequestId { 3 }).action == KeyAction::Run);
    // A part that is delivered a second time must not reset a key that the successor has run in between.
    keySpace->idempotencyStore.finish(fresh->id, makeRanResult());
    successor.acceptPart(parts[0], now);
    CHECK(successor.find(Incarnation { 7 })->idempotencyStore.begin(fresh->id, FINGERPRINT, RequestId { 4 }).action == KeyAction::Repeat);

    peer::HandoverAck ack;
    ack.set_incarnation(7);
    sender.onAck(ack);
    CHECK(sender.handoverAcknowledged());
}

TEST_CASE("A successor owns the keys only after every part, and refuses malformed parts")
{
    KeyRegistry sender = makeKeyRegistry(7);
    KeyRegistry successor = makeKeyRegistry(8);
    IdempotencyStore& idempotencyStore = sender.find(Incarnation { 7 })->idempotencyStore;
    for (std::uint64_t id = 1; id <= 60; ++id) {
        idempotencyStore.begin(KeyId { id << 20 }, FINGERPRINT, RequestId { id });
        idempotencyStore.finish(KeyId { id << 20 }, { Outcome::NotRun, ErrorKind::QueueFull, nullptr });
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
    for (const Row& row : { Row { "zero parts", 0, 0, 32 }, Row { "part number beyond the last part", 2, 2, 32 }, Row { "short secret", 0, 1, 31 } }) {
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
