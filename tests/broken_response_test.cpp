// Process tests of backend servers that send responses which are broken: callers get no part of them, but 502 at once, and a
// request that must not repeat runs once.
#include "support/fleet.h"
#include "support/platform_store.h"
#include "support/scripted_server.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cornelwind::test;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

using Clock = std::chrono::steady_clock;

// More than the kernel buffers of both sides hold, so that the upload is still being written when the server responds.
constexpr std::size_t LONG_UPLOAD_BYTES = 24 * 1024 * 1024;
constexpr std::size_t SHORT_UPLOAD_BYTES = 100;
constexpr std::size_t PART_OF_UPLOAD_BYTES = 64 * 1024;
// Requests have 2 s. A response that arrives within this time did not wait for the deadline.
constexpr auto PROMPT = 1s;
const std::string FIELDS = "Request-Id: {id}\r\nServer-Stamp: stamp\r\n";
const std::string SOUND = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 5\r\n\r\nsound";

/// How much of the body of a request a server reads before it responds.
enum class Upload {
    None,
    Part,
    All,
};

/// How a server ends the connection after its response.
enum class Ending {
    KeepOpen,
    Close,
    Reset,
};

/// What a server does with a request.
struct Answer {
    std::string title;
    /// Bytes of the response. `{id}` stands for the id of the request.
    std::string bytes = SOUND;
    Upload read = Upload::All;
    Ending ending = Ending::KeepOpen;
    std::chrono::milliseconds pauseBeforeEnd { 0 };
    /// Whether the server reads the rest of the body after the pause.
    bool readsOn = false;
};

/// Answers all requests of a server as set, and counts them by target.
class Backend {
public:
    Backend()
        : m_server([this](Socket& connection) { serve(connection); })
    {
    }

    std::string address() const { return m_server.address(); }

    void set(const Answer& answer)
    {
        const std::lock_guard lock(m_mutex);
        m_answer = answer;
    }

    int countRuns(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[target];
    }

private:
    void serve(Socket& connection)
    {
        for (std::string head = readHead(connection); !head.empty(); head = readHead(connection)) {
            if (!respond(connection, head))
                return;
        }
    }

    // Returns whether the connection stays open.
    bool respond(Socket& connection, const std::string& head)
    {
        const Answer answer = begin(head);
        const std::size_t length = std::strtoul(valueOf(head, "Content-Length: ").c_str(), nullptr, 10);
        const std::size_t readFirst = answer.read == Upload::All ? length : answer.read == Upload::Part ? std::min(length, PART_OF_UPLOAD_BYTES)
                                                                                                        : 0;
        if (!discardBytes(connection, readFirst))
            return false;
        std::string bytes = answer.bytes;
        for (auto at = bytes.find("{id}"); at != std::string::npos; at = bytes.find("{id}"))
            bytes.replace(at, 4, valueOf(head, "Request-Id: "));
        writeAll(connection, bytes);
        std::this_thread::sleep_for(answer.pauseBeforeEnd);
        if (answer.readsOn)
            discardBytes(connection, length - readFirst);
        if (answer.ending == Ending::Reset)
            resetConnection(connection);
        return answer.ending == Ending::KeepOpen;
    }

    Answer begin(const std::string& head)
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t target = head.find(' ') + 1;
        ++m_runs[head.substr(target, head.find(' ', target) - target)];
        return m_answer;
    }

    static std::string valueOf(const std::string& head, const std::string& field)
    {
        const std::size_t begin = head.find("\r\n" + field);
        return begin == std::string::npos ? "" : head.substr(begin + 2 + field.size(), head.find("\r\n", begin + 2) - begin - 2 - field.size());
    }

    std::mutex m_mutex;
    Answer m_answer;
    std::map<std::string, int> m_runs;
    ScriptedServer m_server;
};

/// A response to a caller, with the target of its request.
struct Outcome {
    std::string target;
    std::optional<Message> response;
    Clock::duration elapsed {};

    int status() const { return response ? response->status() : 0; }
};

/// An entry instance before scripted servers.
struct Scenario {
    Fleet fleet;
    PlatformStore store { fleet };
    std::vector<std::unique_ptr<Backend>> backends;

    explicit Scenario(int serverCount = 1)
    {
        for (int i = 0; i < serverCount; ++i) {
            backends.push_back(std::make_unique<Backend>());
            store.addItem(store.item("servers/s" + std::to_string(i), PlatformStore::entryAt(backends.back()->address(), "service", 8)));
        }
        std::string configuration = PlatformStore::configuration(1);
        configuration.insert(1, R"("limits":{"maxBodyBytes":67108864},)");
        store.publish(configuration);
        fleet.addInstance("i0", "leon", PlatformStore::settings());
        fleet.start("i0");
        REQUIRE(fleet.waitForReady("i0"));
    }

    Outcome send(const std::string& kind, std::size_t bodyBytes)
    {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", ++m_requests);
        Outcome outcome { "/" + kind + "/" + id, {}, {} };
        const auto begin = Clock::now();
        outcome.response = call(fleet.callerAddress("i0"), "POST", outcome.target, { { "Request-Id", id }, { "Deadline-Ms", "2000" } }, std::string(bodyBytes, 'u'));
        outcome.elapsed = Clock::now() - begin;
        return outcome;
    }

    int countRuns(const std::string& target)
    {
        int runs = 0;
        for (const auto& backend : backends)
            runs += backend->countRuns(target);
        return runs;
    }

    /// Checks that the caller gets 502 at once in place of an answer that is broken, and that the request has run once.
    void checkRejected(const Answer& answer, std::size_t bodyBytes)
    {
        CAPTURE(answer.title, static_cast<int>(answer.read), static_cast<int>(answer.ending), answer.pauseBeforeEnd.count(), bodyBytes, answer.bytes);
        recover();
        backends[0]->set(answer);
        const Outcome outcome = send("unsafe", bodyBytes);
        CHECK(outcome.status() == 502);
        CHECK(outcome.elapsed < PROMPT);
        CHECK(countRuns(outcome.target) == 1);
        if (outcome.response) {
            CHECK(outcome.response->header("server-stamp").empty());
            CHECK(outcome.response->body.find("part") == std::string::npos);
        }
    }

    /// Checks that the caller gets an answer as the server has sent it.
    void checkPassedOn(const Answer& answer, std::size_t bodyBytes, int status, const std::string& body)
    {
        CAPTURE(answer.title, static_cast<int>(answer.read), static_cast<int>(answer.ending), answer.pauseBeforeEnd.count(), bodyBytes, answer.bytes);
        recover();
        backends[0]->set(answer);
        const Outcome outcome = send("unsafe", bodyBytes);
        CHECK(outcome.status() == status);
        CHECK(outcome.elapsed < PROMPT);
        REQUIRE(outcome.response);
        CHECK(outcome.response->body == body);
        CHECK(outcome.response->header("server-stamp") == "stamp");
    }

    /// Lets the servers answer soundly until the instance trusts them again.
    void recover()
    {
        for (const auto& backend : backends)
            backend->set({});
        REQUIRE(waitFor([&] { return send("safe", SHORT_UPLOAD_BYTES).status() == 200; }, 5000));
    }

private:
    int m_requests = 0;
};

std::string response(const std::string& statusLine, const std::string& fields, const std::string& body)
{
    return statusLine + "\r\n" + FIELDS + fields + "\r\n" + body;
}

/// Responses of which only a part arrives before the connection ends.
const Answer PARTS[] = {
    { "no length", response("HTTP/1.1 200 OK", "", "part") },
    { "no length, nothing of the body yet", response("HTTP/1.1 200 OK", "", "") },
    { "no length, a long part", response("HTTP/1.1 200 OK", "", std::string(100'000, 'x') + "part") },
    { "no length, close announced", response("HTTP/1.1 200 OK", "Connection: close\r\n", "part") },
    { "no length, HTTP/1.0", response("HTTP/1.0 200 OK", "", "part") },
    { "no length, unknown coding", response("HTTP/1.1 200 OK", "Transfer-Encoding: identity\r\n", "part") },
    { "no length, after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + response("HTTP/1.1 200 OK", "", "part") },
    { "no length, 201", response("HTTP/1.1 201 Created", "", "part") },
    { "no length, 404", response("HTTP/1.1 404 Not Found", "", "part") },
    { "no length, 500", response("HTTP/1.1 500 Internal Server Error", "", "part") },
    { "stated length", response("HTTP/1.1 200 OK", "Content-Length: 5\r\n", "part") },
    { "chunk cut", response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "5\r\npart") },
    { "last chunk missing", response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n") },
    { "end of the last chunk missing", response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n") },
    { "head cut", "HTTP/1.1 200 OK\r\n" + FIELDS },
    { "status line cut", "HTTP/1.1 200" },
};

const std::string STATUSES[] = { "000", "001", "099", "101", "600", "999", "0", "00", "20", "0000", "2000", "-20", "+20", "0x0", "2 0", "20x", " 200", "abc", "" };

struct Line {
    const char* title;
    std::string text;
};

/// Lines that are no header field.
const Line BAD_LINES[] = {
    { "space in a name", "Odd Name: v" },
    { "space before a name", " Odd: v" },
    { "tab before a name", "\tOdd: v" },
    { "space after a name", "Odd : v" },
    { "tab after a name", "Odd\t: v" },
    { "tab in a name", "Odd\tName: v" },
    { "control byte in a name", "Odd\x01Name: v" },
    { "control byte before a name", "\x01Odd: v" },
    { "control byte after a name", "Odd\x1f: v" },
    { "null character in a name", "Odd\0Name: v"s },
    { "delete character in a name", "Odd\x7f: v" },
    { "carriage return in a name", "Odd\rName: v" },
    { "line feed in a name", "Odd\nName: v" },
    { "byte beyond ASCII in a name", "Odd\xc3\xa9: v" },
    { "parenthesis in a name", "Odd(Name): v" },
    { "empty name", ": v" },
    { "no colon", "Odd" },
    { "only spaces", "  " },
    { "length with a space after its name", "Content-Length : 2" },
    { "length with a tab after its name", "Content-Length\t: 2" },
    { "length with a space before its name", " Content-Length: 2" },
    { "length with a tab before its name", "\tContent-Length: 2" },
    { "length with a control byte in its name", "Content-\x01Length: 2" },
    { "coding with a space after its name", "Transfer-Encoding : chunked" },
    { "coding with a space in its name", "Transfer Encoding: chunked" },
    { "coding with a space before its name", " Transfer-Encoding: chunked" },
    { "control byte in a value", "Odd: v\x01w" },
    { "null character in a value", "Odd: v\0w"s },
    { "carriage return in a value", "Odd: v\rw" },
};

} // namespace

TEST_CASE("A response that ends with a reset, while the upload is being written or after it, reaches no caller as complete")
{
    Scenario scenario;
    for (Answer answer : PARTS) {
        answer.ending = Ending::Reset;
        for (const Upload read : { Upload::None, Upload::Part, Upload::All }) {
            answer.read = read;
            for (const int pauseMs : { 0, 50, 200 }) {
                answer.pauseBeforeEnd = std::chrono::milliseconds(pauseMs);
                scenario.checkRejected(answer, LONG_UPLOAD_BYTES);
            }
            answer.pauseBeforeEnd = 20ms;
            scenario.checkRejected(answer, SHORT_UPLOAD_BYTES);
        }
    }
}

TEST_CASE("A response whose server closes the connection before it has read the upload reaches no caller as complete")
{
    Scenario scenario;
    for (Answer answer : PARTS) {
        answer.ending = Ending::Close;
        for (const Upload read : { Upload::None, Upload::Part }) {
            answer.read = read;
            scenario.checkRejected(answer, LONG_UPLOAD_BYTES);
        }
    }
}

TEST_CASE("A complete response is passed on, however the connection ends")
{
    Scenario scenario;
    const std::string withoutLength = response("HTTP/1.1 200 OK", "", "whole");
    scenario.checkPassedOn({ "no length, closed", withoutLength, Upload::All, Ending::Close }, LONG_UPLOAD_BYTES, 200, "whole");
    scenario.checkPassedOn({ "no length, closed", withoutLength, Upload::All, Ending::Close, 50ms }, SHORT_UPLOAD_BYTES, 200, "whole");
    scenario.checkPassedOn({ "no length, closed, empty", response("HTTP/1.1 200 OK", "", ""), Upload::All, Ending::Close }, SHORT_UPLOAD_BYTES, 200, "");
    scenario.checkPassedOn({ "no length, 404, closed", response("HTTP/1.1 404 Not Found", "", "whole"), Upload::All, Ending::Close }, SHORT_UPLOAD_BYTES, 404, "whole");
    for (const Upload read : { Upload::None, Upload::Part, Upload::All }) {
        scenario.checkPassedOn({ "stated length, reset", SOUND, read, Ending::Reset, 50ms }, LONG_UPLOAD_BYTES, 200, "sound");
        scenario.checkPassedOn({ "chunks, reset", response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"), read, Ending::Reset, 50ms }, LONG_UPLOAD_BYTES, 200, "whole");
    }
}

TEST_CASE("A safe request whose response ends with a reset is served by another server")
{
    Scenario scenario(2);
    const Answer broken { "no length", response("HTTP/1.1 200 OK", "", "part"), Upload::None, Ending::Reset, 20ms };
    for (int i = 0; i < 10; ++i) {
        scenario.recover();
        scenario.backends[0]->set(broken);
        const Outcome outcome = scenario.send("safe", LONG_UPLOAD_BYTES);
        CHECK(outcome.status() == 200);
        REQUIRE(outcome.response);
        CHECK(outcome.response->body == "sound");
    }
}

TEST_CASE("A response whose status is none reaches no caller")
{
    Scenario scenario;
    for (const std::string& status : STATUSES) {
        const std::string line = "HTTP/1.1 " + status + " Text";
        scenario.checkRejected({ status, response(line, "Content-Length: 4\r\n", "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ status, response(line, "Content-Length: 0\r\n", "") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ status, response(line, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ status, response(line, "", "part"), Upload::All, Ending::Close }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ status + " after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + response(line, "Content-Length: 4\r\n", "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ status, response(line, "Content-Length: 4\r\n", "part"), Upload::None, Ending::Reset, 20ms }, LONG_UPLOAD_BYTES);
    }
}

// Guards against a caller who waits for the deadline, because the response is read only after the upload has been written.
TEST_CASE("A broken head that arrives while the upload is being written ends the request at once, although the server reads no more")
{
    Scenario scenario;
    const std::string heads[] = {
        response("HTTP/1.1 000 Text", "Content-Length: 4\r\n", "part"),
        response("HTTP/1.1 600 Text", "", "part"),
        response("HTTP/1.1 200 OK", "Odd Name: v\r\nContent-Length: 4\r\n", "part"),
        response("HTTP/1.1 200 OK", " Content-Length: 4\r\n", "part"),
        "HTTP/1.1 103 Early Hints\r\n\r\n" + response("HTTP/1.1 000 Text", "Content-Length: 4\r\n", "part"),
        "no answer in the protocol\r\n\r\n",
    };
    for (const std::string& head : heads) {
        for (const Upload read : { Upload::None, Upload::Part })
            scenario.checkRejected({ "connection kept open", head, read, Ending::KeepOpen, 3s }, LONG_UPLOAD_BYTES);
    }
}

TEST_CASE("A response that arrives while the upload is being written is passed on, also if the server reads on only later")
{
    Scenario scenario;
    for (const Upload read : { Upload::None, Upload::Part }) {
        scenario.checkPassedOn({ "stated length", SOUND, read, Ending::KeepOpen, 300ms, true }, LONG_UPLOAD_BYTES, 200, "sound");
        scenario.checkPassedOn({ "chunks", response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n"), read, Ending::KeepOpen, 300ms, true }, LONG_UPLOAD_BYTES, 200, "whole");
        scenario.checkPassedOn({ "no length, closed", response("HTTP/1.1 200 OK", "", "whole"), read, Ending::Close, 300ms, true }, LONG_UPLOAD_BYTES, 200, "whole");
        scenario.checkPassedOn({ "after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + SOUND, read, Ending::KeepOpen, 300ms, true }, LONG_UPLOAD_BYTES, 200, "sound");
    }
}

TEST_CASE("A response with a line in its head that is no header field reaches no caller")
{
    Scenario scenario;
    const std::string statusLine = "HTTP/1.1 200 OK";
    for (const Line& line : BAD_LINES) {
        const std::string bad = line.text + "\r\n";
        scenario.checkRejected({ line.title + " last"s, response(statusLine, "Content-Length: 4\r\n" + bad, "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " inside"s, response(statusLine, bad + "Content-Length: 4\r\n", "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " first"s, statusLine + "\r\n" + bad + FIELDS + "Content-Length: 4\r\n\r\npart" }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " and no length"s, response(statusLine, bad, "part"), Upload::All, Ending::Close }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " and chunks"s, response(statusLine, "Transfer-Encoding: chunked\r\n" + bad, "4\r\npart\r\n0\r\n\r\n") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " in a failure"s, response("HTTP/1.1 404 Not Found", bad + "Content-Length: 4\r\n", "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " in an interim response"s, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + bad + "\r\n" + response(statusLine, "Content-Length: 4\r\n", "part") }, SHORT_UPLOAD_BYTES);
        scenario.checkRejected({ line.title + " after chunks"s, response(statusLine, "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n" + bad + "\r\n") }, SHORT_UPLOAD_BYTES);
    }
}
