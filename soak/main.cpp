// Randomized fault-injection soak test. Runs the real programs as separate processes and injects faults from outside.
#include "run.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>

namespace {

using cornelwind::soak::Options;
using cornelwind::soak::RunResult;
using cornelwind::soak::SoakRun;

constexpr int EXIT_VIOLATIONS = 1;
constexpr int EXIT_USAGE = 2;

/// Runs one seed and prints the result.
///
/// @return whether all guarantees were kept
bool runSeed(const Options& options)
{
    const RunResult result = SoakRun(options).execute();
    std::printf("seed %llu: %s, %s\n", static_cast<unsigned long long>(options.seed), result.violations.empty() ? "kept" : "BROKEN", result.summary.c_str());
    for (const std::string& violation : result.violations)
        std::printf("  %s\n", violation.c_str());
    std::fflush(stdout);
    return result.violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    long seed = 1;
    int seeds = 1;
    int seconds = 15;
    int instances = 4;
    int servers = 3;
    int callers = 8;
    int verbose = 0;
    const poptOption table[] = {
        { "seed", 's', POPT_ARG_LONG, &seed, 0, "first seed", "N" },
        { "seeds", 'n', POPT_ARG_INT, &seeds, 0, "number of seeds", "N" },
        { "seconds", 't', POPT_ARG_INT, &seconds, 0, "time span in which faults are injected", "S" },
        { "instances", 'i', POPT_ARG_INT, &instances, 0, "entry instances, 1 to 30", "N" },
        { "servers", 'b', POPT_ARG_INT, &servers, 0, "backend servers of each service, 2 to 60", "N" },
        { "callers", 'c', POPT_ARG_INT, &callers, 0, "concurrent callers, 1 to 100", "N" },
        { "verbose", 'v', POPT_ARG_NONE, &verbose, 0, "print each fault", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("cornelwind-soak", argc, const_cast<const char**>(argv), table, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    const bool validSizes = seeds > 0 && seconds > 0 && instances > 0 && instances <= 30 && servers > 1 && servers <= 60 && callers > 0 && callers <= 100;
    if (parsed < -1 || !validSizes) {
        std::fprintf(stderr, "Invalid option or size out of range. See cornelwind-soak --help.\n");
        return EXIT_USAGE;
    }
    Options options;
    options.duration = std::chrono::seconds(seconds);
    options.instances = static_cast<std::size_t>(instances);
    options.servers = static_cast<std::size_t>(servers);
    options.callers = static_cast<std::size_t>(callers);
    options.verbose = verbose != 0;
    int seedsWithViolations = 0;
    for (int i = 0; i < seeds; ++i) {
        options.seed = static_cast<std::uint64_t>(seed + i);
        seedsWithViolations += !runSeed(options);
    }
    std::printf("%d seeds, %d broken\n", seeds, seedsWithViolations);
    return seedsWithViolations ? EXIT_VIOLATIONS : EXIT_SUCCESS;
}
