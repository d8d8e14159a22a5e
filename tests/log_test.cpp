// Tests of logging: rate limit, non-blocking output, escaping, and the timeline of a request.
#include "log.h"
#include "log_rate_limiter.h"
#include "request_log.h"
#include "request_timeline.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

using namespace cornelwind;

namespace {

const Time START { std::chrono::seconds(100) };

RequestRecord makeRecord(RequestStep step)
{
    RequestRecord record;
    record.step = step;
    record.label = "id";
    record.service = "s";
    record.server = "i";
    record.result = "crashed";
    record.reason = "why";
    record.error = ErrorKind::QueueFull;
    record.outcome = Outcome::NotRun;
    record.retryAfter = Millis { 20 };
    return record;
}

/// Replaces standard output by a pipe that nobody reads, for the lifetime of the object.
class UnreadPipe {
public:
    UnreadPipe()
        : m_saved(::dup(STDOUT_FILENO))
    {
        REQUIRE(::pipe(m_pipe) == 0);
        ::dup2(m_pipe[1], STDOUT_FILENO);
    }
    ~UnreadPipe()
    {
        ::dup2(m_saved, STDOUT_FILENO);
        for (const int descriptor : { m_saved, m_pipe[0], m_pipe[1] })
            ::close(descriptor);
    }
    UnreadPipe(const UnreadPipe&) = delete;
    UnreadPipe& operator=(const UnreadPipe&) = delete;

private:
    int m_saved;
    int m_pipe[2] {};
};

} // namespace

TEST_CASE("Log lines about requests are rate-limited, and failures take precedence over successes")
{
    LogRateLimiter limiter;
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    for (int i = 0; i < 1000; ++i)
        successes += limiter.allow(false, START);
    CHECK(successes == LogRateLimiter::LINES_PER_SECOND / 2 + 1);
    for (int i = 0; i < 1000; ++i)
        failures += limiter.allow(true, START);
    CHECK(successes + failures <= LogRateLimiter::LINES_PER_SECOND);
    CHECK(failures >= LogRateLimiter::LINES_PER_SECOND / 2 - 1);
    CHECK(limiter.takeSuppressed() == 2000 - successes - failures);
    CHECK(limiter.takeSuppressed() == 0);
    CHECK(limiter.allow(true, START + std::chrono::seconds(1)));
}

TEST_CASE("Every step of a request is logged with the fields that explain it")
{
    struct Row {
        RequestStep step;
        const char* name;
        std::vector<std::string> fields;
        bool failure;
    };
    const Row rows[] = {
        { RequestStep::Placed, "placed", { "server=i", "risk=", "own=", "others=", "slots=", "try_ms=", "left_ms=" }, false },
        { RequestStep::Waiting, "waiting", { "queued=", "expected_ms=" }, false },
        { RequestStep::SendFailed, "send-failed", { "server=i", "result=crashed", "status=", "elapsed_ms=" }, true },
        { RequestStep::NotSentAgain, "not-sent-again", { "reason=\"why\"" }, true },
        { RequestStep::Answered, "answered", { "status=" }, false },
        { RequestStep::Refused, "refused", { "error=queue-full", "outcome=not-run", "retry_after_ms=20" }, true },
        { RequestStep::Abandoned, "abandoned", {}, false },
    };
    CHECK(std::size(rows) == REQUEST_STEPS);
    for (const Row& row : rows) {
        CAPTURE(row.name);
        const RequestRecord record = makeRecord(row.step);
        CHECK(std::string(toString(row.step)) == row.name);
        CHECK(isFailure(record) == row.failure);
        const std::string fields = formatFields(record);
        for (const char* common : { "request=\"id\"", "service=s", "rule=", "kind=", "sheet=", "sends=", "age_ms=" })
            CHECK(fields.find(common) != std::string::npos);
        for (const std::string& field : row.fields)
            CHECK(fields.find(field) != std::string::npos);
    }
}

TEST_CASE("A hostile request id cannot end its log line or add a field")
{
    RequestRecord record = makeRecord(RequestStep::Placed);
    record.label = "a\" outcome=ran\nlevel=INFO\x01";
    const std::string fields = formatFields(record);
    CHECK(fields.find('\n') == std::string::npos);
    CHECK(fields.find("a\" ") == std::string::npos);
}

TEST_CASE("When standard output is not read, log lines are dropped instead of blocking")
{
    configureLog("a", "info");
    std::chrono::steady_clock::duration elapsed {};
    {
        const UnreadPipe unread;
        const auto begin = std::chrono::steady_clock::now();
        const std::string text(1000, 'x');
        for (int i = 0; i < 3000; ++i) {
            logMessage(LogLevel::Info, LogComponent::Main, text);
            flushLog();
        }
        elapsed = std::chrono::steady_clock::now() - begin;
    }
    CHECK(droppedLogLines() > 1000);
    CHECK(elapsed < std::chrono::seconds(5));
}

TEST_CASE("The timeline of a request merges the logs of instances by time and shows the last known state of each server")
{
    std::istringstream logs(
        "x time=2 level=INFO instance=a part=request event=placed request=\"q\" server=i1 risk=0.4\n"
        "time=1 level=INFO instance=a part=decision event=server-suspected subject=\"i1\" evidence=\"failure\"\n"
        "time=0 level=INFO instance=b part=decision event=server-suspected subject=\"i1\" evidence=\"slow\"\n"
        "time=4 level=WARN instance=b part=request event=refused request=\"q\" error=queue-full\n"
        "time=3 level=WARN instance=a part=request event=placed request=\"other\" server=i1\n"
        "no time at all request=\"q\"\n");
    const auto timeline = buildRequestTimeline(logs, "q");
    REQUIRE(timeline.size() == 3);
    CHECK(timeline[0].find("known before: time=1") == 0);
    CHECK(timeline[1].find("time=2") == 0);
    CHECK(timeline[2].find("time=4") == 0);
    std::istringstream none("time=1 instance=a event=placed request=\"z\"\n");
    CHECK(buildRequestTimeline(none, "q").empty());
}
