#include "support/quota_fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

using namespace cornelwind;
using namespace cornelwind::test;

namespace {

// CORNELWIND_SEEDS=N plays each day with the seeds 1 to N.
std::uint64_t seedCount()
{
    constexpr std::uint64_t defaultCount = 2;
    const char* count = std::getenv("CORNELWIND_SEEDS");
    return count ? std::strtoull(count, nullptr, 10) : defaultCount;
}

struct Row {
    QuotaDay day;
    /// Largest share of the requests that may be refused below the quota.
    double maxWronglyRefused;
};

// CORNELWIND_REPORT=1 prints one line for each day.
void print(const QuotaDay& day, std::uint64_t seed, const QuotaReport& report)
{
    if (!std::getenv("CORNELWIND_REPORT"))
        return;
    std::printf("%-60s seed=%llu requests=%zu served=%zu refused=%zu wrong=%.4f others=%zu use=%.3f over=%.0f delay99=%.2f messages=%.2f takeovers=%zu lines=%zu\n",
        day.name, static_cast<unsigned long long>(seed), report.requests, report.served, report.refused,
        static_cast<double>(report.wronglyRefused) / static_cast<double>(report.requests), report.others, report.highestUse, report.overBound,
        report.delay99, report.messages, report.takeovers, report.logLines);
}

QuotaReport play(const Row& row, std::uint64_t seed)
{
    if (const char* only = std::getenv("CORNELWIND_DAY"); only && std::string(row.day.name).find(only) == std::string::npos)
        return {};
    const QuotaReport report = playQuotaDay(row.day, seed);
    print(row.day, seed, report);
    INFO(row.day.name << ", seed " << seed << ": requests " << report.requests << ", served " << report.served << ", refused " << report.refused
                      << ", wrongly " << report.wronglyRefused << ", others " << report.others << ", highest use " << report.highestUse);
    CHECK(report.overBound <= 0);
    CHECK(report.logLines <= 20 * row.day.instances);
    CHECK(report.served + report.refused + report.others > 0);
    CHECK(static_cast<double>(report.wronglyRefused) <= row.maxWronglyRefused * static_cast<double>(report.requests));
    return report;
}

constexpr double ALL = 1;

} // namespace

TEST_CASE("A quota is kept and used, however the callers are spread")
{
    using enum QuotaSpread;
    const Row rows[] = {
        { { "even, 13 instances, below" }, 0 },
        { { "even, 53 instances, below", 53 }, 0 },
        { { "one instance, below", 13, { 200, 100 }, 0.6, One }, 0 },
        { { "moving, below", 13, { 200, 100 }, 0.6, Moving }, 0 },
        { { "even, 53 instances, over", 53, { 200, 100 }, 2.5 }, 0.02 },
        { { "one instance, over", 13, { 200, 100 }, 2.5, One }, 0.02 },
        { { "moving, over", 53, { 200, 100 }, 2.5, Moving }, 0.02 },
        { { "less than one a second for each instance, below", 53, { 20, 20 }, 0.6 }, 0 },
        { { "less than one a second for each instance, over", 53, { 20, 5 }, 6 }, 0.02 },
        { { "one a second, burst of one, over", 53, { 1, 1 }, 30 }, 0.02 },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const QuotaReport report = play(row, seed);
            CHECK(report.others == 0);
            // Over the quota the callers get at least nine tenths of it.
            const double allowed = row.day.quota.perSecond * row.day.seconds;
            if (row.day.load > 1)
                CHECK(static_cast<double>(report.served) >= 0.9 * allowed - 1);
            else
                CHECK(report.delay99 <= 4.7);
        }
    }
}

TEST_CASE("A quota is kept whatever happens to the fleet")
{
    using enum QuotaTrouble::Kind;
    constexpr WorkspaceQuota large { 400, 100 };
    const Row rows[] = {
        { { "coordinator killed, below", 13, large, 0.6, QuotaSpread::Even, { { Killed, 4, 9 } } }, 0.2 },
        { { "coordinator killed, over", 13, large, 2.5, QuotaSpread::Even, { { Killed, 4, 9 } } }, 0.2 },
        { { "coordinator frozen, over", 13, large, 2.5, QuotaSpread::Even, { { Frozen, 4, 9 } } }, 0.2 },
        { { "coordinator frozen for 1 s, over", 13, large, 2.5, QuotaSpread::Even, { { Frozen, 4, 5 } } }, 0.2 },
        { { "coordinator stopped, below", 13, large, 0.6, QuotaSpread::Even, { { Stopped, 4, 99 } } }, 0.01 },
        { { "coordinator stopped, over", 13, large, 2.5, QuotaSpread::Even, { { Stopped, 4, 99 } } }, 0.05 },
        { { "coordinator added, below", 13, large, 0.6, QuotaSpread::Even, { { Absent, 0, 6 } } }, 0.01 },
        { { "coordinator added, over", 13, large, 2.5, QuotaSpread::Even, { { Absent, 0, 6 } } }, 0.05 },
        { { "coordinator cut off, below", 13, large, 0.6, QuotaSpread::Even, { { CutOff, 4, 10 } } }, ALL },
        { { "coordinator cut off, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10 } } }, ALL },
        { { "all callers at the coordinator that is cut off", 13, large, 2.5, QuotaSpread::One, { { CutOff, 4, 10, 0 } } }, ALL },
        { { "halves, over", 12, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 6 } } }, ALL },
        { { "halves of 52, over", 52, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 11, 0, 26 } } }, ALL },
        { { "halves of 52, over, small quota", 52, { 20, 20 }, 6, QuotaSpread::Even, { { CutOff, 4, 11, 0, 26 } } }, ALL },
        { { "a fifth cut off, below", 53, large, 0.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 10 } } }, ALL },
        { { "three of 13 alone, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 10, 0, 3, true } } }, ALL },
        { { "all of 13 alone, over", 13, large, 2.5, QuotaSpread::Even, { { CutOff, 4, 12, 0, 13, true } } }, ALL },
        { { "all of 53 alone, one a second", 53, { 1, 1 }, 30, QuotaSpread::Even, { { CutOff, 4, 14, 0, 53, true } } }, ALL },
        { { "coordinator lags, over", 13, large, 2.5, QuotaSpread::Even, { { Lagging, 4, 10 } } }, ALL },
        { { "half of the instances restart, over", 13, large, 2.5, QuotaSpread::Even, { { Killed, 4, 6, 0, 6 } } }, ALL },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed)
            play(row, seed);
    }
}

TEST_CASE("A changed quota applies to all instances")
{
    const Row rows[] = {
        { { "lowered far below the load", 13, { 400, 100 }, 0.9, QuotaSpread::Even, {}, 6, WorkspaceQuota { 20, 10 } }, 0.02 },
        { { "raised", 13, { 50, 20 }, 3, QuotaSpread::Even, {}, 6, WorkspaceQuota { 300, 50 } }, 0.03 },
        { { "removed", 13, { 50, 20 }, 3, QuotaSpread::Even, {}, 6 }, 0.03 },
    };
    for (const Row& row : rows) {
        for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
            const QuotaReport report = play(row, seed);
            CHECK(report.others == 0);
        }
    }
}
