// Randomized soak: real programs as separate processes, faults from outside them.
#include "run.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>

namespace {

using cornelwind::soak::Options;
using cornelwind::soak::Run;
using cornelwind::soak::Verdict;

constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_USAGE = 2;

/// Plays one seed and prints its verdict.
bool playSeed(const Options& options)
{
    const Verdict verdict = Run(options).play();
    std::printf("seed %llu: %s, %s\n", static_cast<unsigned long long>(options.seed), verdict.violations.empty() ? "kept" : "BROKEN", verdict.summary.c_str());
    for (const std::string& violation : verdict.violations)
        std::printf("  %s\n", violation.c_str());
    std::fflush(stdout);
    return verdict.violations.empty();
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
        { "seconds", 't', POPT_ARG_INT, &seconds, 0, "time in which faults strike", "S" },
        { "instances", 'i', POPT_ARG_INT, &instances, 0, "entry instances, 1 to 30", "N" },
        { "servers", 'b', POPT_ARG_INT, &servers, 0, "backend servers of each service, 2 to 60", "N" },
        { "callers", 'c', POPT_ARG_INT, &callers, 0, "callers at the same time, 1 to 100", "N" },
        { "verbose", 'v', POPT_ARG_NONE, &verbose, 0, "print each fault", nullptr },
        POPT_AUTOHELP POPT_TABLEEND
    };
    poptContext context = poptGetContext("cornelwind-soak", argc, const_cast<const char**>(argv), table, 0);
    const int parsed = poptGetNextOpt(context);
    poptFreeContext(context);
    const bool fits = seeds > 0 && seconds > 0 && instances > 0 && instances <= 30 && servers > 1 && servers <= 60 && callers > 0 && callers <= 100;
    if (parsed < -1 || !fits) {
        std::fprintf(stderr, "Wrong option or size out of range. See cornelwind-soak --help.\n");
        return EXIT_USAGE;
    }
    Options options;
    options.length = std::chrono::seconds(seconds);
    options.instances = static_cast<std::size_t>(instances);
    options.servers = static_cast<std::size_t>(servers);
    options.callers = static_cast<std::size_t>(callers);
    options.verbose = verbose != 0;
    int broken = 0;
    for (int i = 0; i < seeds; ++i) {
        options.seed = static_cast<std::uint64_t>(seed + i);
        broken += !playSeed(options);
    }
    std::printf("%d seeds, %d broken\n", seeds, broken);
    return broken ? EXIT_BROKEN : EXIT_SUCCESS;
}
