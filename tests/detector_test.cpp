// Tests of the detection of unhealthy backend servers from the outcomes of requests.
#include "cornelwind/detector.h"
#include "cornelwind/sequential_test.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace cornelwind;

namespace {

constexpr Duration MEDIAN = std::chrono::milliseconds(40);
constexpr Duration LONG_RESPONSE_TIME = 24 * MEDIAN;
constexpr Duration STEP = std::chrono::milliseconds(10);
constexpr std::size_t SERVERS = 6;

Sheet makeSheet()
{
    Sheet sheet;
    SheetService& service = sheet.services.emplace_back();
    service.weighting = Weighting::DetectionTime;
    for (std::size_t i = 0; i < SERVERS; ++i)
        service.servers.push_back({ ServerName { "s" + std::to_string(i) }, {}, {}, Slots { 4 } });
    return sheet;
}

std::vector<ServerId> idsOf(const Sheet& sheet)
{
    std::vector<ServerId> ids;
    for (const SheetServer& server : sheet.services[0].servers)
        ids.push_back(serverIdOf(server.name));
    return ids;
}

/// A service with a heavy tail of response times: one response in 30 takes 24 medians.
class Service {
public:
    Service()
    {
        const Sheet sheet = makeSheet();
        m_ids = idsOf(sheet);
        m_detector.adopt(sheet);
    }

    /// Sends a request every 30 ms to each server with an index of at least `first`, for the time `length`.
    void run(Duration length, std::size_t first)
    {
        for (const Time end = m_now + length; m_now < end; m_now += STEP) {
            if (m_now.time_since_epoch() % (3 * STEP) == Duration {})
                sendToAll(first);
            finish();
            if (m_now.time_since_epoch() % EVIDENCE_INTERVAL == Duration {})
                m_detector.evaluate(m_now);
        }
    }

    /// Sends a request to server 0.
    ///
    /// @param stalls whether the request is never answered
    void sendToFirst(bool stalls)
    {
        const TryId id { ++m_lastTry };
        m_detector.trySent(id, m_ids[0], m_now);
        if (!stalls)
            m_running.push_back({ id, m_now + MEDIAN });
    }

    double score() const { return m_detector.assess(m_ids[0]).score; }

private:
    struct Running {
        TryId id;
        Time end;
    };

    void sendToAll(std::size_t first)
    {
        for (std::size_t i = first; i < SERVERS; ++i) {
            const TryId id { ++m_lastTry };
            m_detector.trySent(id, m_ids[i], m_now);
            m_running.push_back({ id, m_now + (m_lastTry % 30 ? MEDIAN : LONG_RESPONSE_TIME) });
        }
    }

    void finish()
    {
        std::erase_if(m_running, [this](const Running& running) {
            if (running.end > m_now)
                return false;
            m_detector.tryEnded(running.id, false, m_now);
            return true;
        });
    }

    Detector m_detector;
    std::vector<ServerId> m_ids;
    std::vector<Running> m_running;
    std::uint64_t m_lastTry = 0;
    Time m_now { std::chrono::seconds(1) };
};

} // namespace

TEST_CASE("A server whose four slots are filled by stalled requests reaches the ejection threshold before these requests end")
{
    Service service;
    service.run(std::chrono::seconds(20), 0);
    REQUIRE(service.score() < ejectionThreshold(Weighting::DetectionTime) / 2);
    // One request in six stalls until all four slots are in use.
    for (int i = 0; i < 24; ++i) {
        service.sendToFirst(i % 6 == 5);
        service.run(2 * STEP, 1);
    }
    // Requests end after 2 s at the latest.
    service.run(std::chrono::milliseconds(1600), 1);
    CHECK(service.score() >= ejectionThreshold(Weighting::DetectionTime));
}

TEST_CASE("While the evidence of one instance keeps a score above the threshold, the assessment shows that it has a single source")
{
    constexpr std::uint64_t PEERS = 14;
    constexpr std::uint64_t REPORTER = 1;
    Detector detector;
    const Sheet sheet = makeSheet();
    const std::vector<ServerId> ids = idsOf(sheet);
    detector.adopt(sheet);
    const double threshold = ejectionThreshold(Weighting::DetectionTime);
    std::uint64_t sequence = 0;
    Time now { std::chrono::seconds(1) };
    // Every peer but the reporter observes only good outcomes.
    const auto round = [&](std::uint32_t failures) {
        ++sequence;
        for (std::uint64_t peer = REPORTER; peer <= PEERS; ++peer) {
            Digest digest { sequence, {} };
            for (const ServerId id : ids)
                digest.rows.push_back({ id, { 1, 0, 0, 0 } });
            if (peer == REPORTER)
                digest.rows[0].counts = { failures, failures, 0, 0 };
            detector.merge(peer, 1, digest, now);
        }
        now += EVIDENCE_INTERVAL;
        detector.evaluate(now);
        return detector.assess(ids[0]);
    };
    for (int i = 0; i < 40; ++i)
        round(0);
    int evaluationsAbove = 0;
    for (ServerAssessment assessment = round(12); evaluationsAbove < 200; assessment = round(0)) {
        const bool above = assessment.score >= threshold;
        if (evaluationsAbove && !above)
            break;
        evaluationsAbove += above;
        CHECK((!above || assessment.topSourceShare > ONE_SOURCE_SHARE));
    }
    CHECK(evaluationsAbove > 0);
}

TEST_CASE("The score rises with the degree of a bad outcome and never falls with it")
{
    struct Row {
        const char* name;
        std::vector<BadCount> lower;
        std::vector<BadCount> higher;
        bool grows;
    };
    const std::vector<Row> rows {
        { "all bad outcomes reach a rarer degree", { { 4, 0.02 }, { 0, 0.002 } }, { { 4, 0.02 }, { 4, 0.002 } }, true },
        { "more bad outcomes reach the rarer degree", { { 4, 0.02 }, { 1, 0.002 } }, { { 4, 0.02 }, { 2, 0.002 } }, true },
        { "the higher degree is as probable as the lower one", { { 4, 0.02 }, { 0, 0.02 } }, { { 4, 0.02 }, { 4, 0.02 } }, false },
        { "the higher degree is more probable than the lower one", { { 4, 0.02 }, { 0, 0.2 } }, { { 4, 0.02 }, { 4, 0.2 } }, false },
    };
    constexpr double UNBOUNDED = 1e9;
    for (const Row& row : rows) {
        INFO(row.name);
        SequentialTest lower;
        SequentialTest higher;
        lower.add(10, row.lower, UNBOUNDED);
        higher.add(10, row.higher, UNBOUNDED);
        CHECK(lower.score() > 0);
        if (row.grows)
            CHECK(higher.score() > lower.score());
        else
            CHECK(higher.score() == Approx(lower.score()));
    }
}
