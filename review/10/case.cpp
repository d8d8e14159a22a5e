// One server crashes while it runs lookups of one page for several clients.
#include "../standin-2/scene.h"

#include <array>
#include <cstdio>

using namespace cornelwind;
using namespace cornelwind::review;

namespace {

constexpr double STABLE_WINDOW_S = 3;
constexpr double DOWN_S = 4.5;
constexpr double STEADY_S = 30;
constexpr double LOOKUPS_PER_S = 20;
constexpr int DEADLINE_MS = 4000;
constexpr int SERVERS = 8;

const std::string ROUTE_FORM = R"("kind":"safe","timeoutS":2,"targetLatencyS":1.2,"priority":2,"service":"catalogo","attempts":2})";
const std::string FIRST_ROUTE = R"("catalogo":{"host":"test","prefix":"/catalogo/",)" + ROUTE_FORM;
const std::string ADDED_ROUTE = R"("portada":{"host":"test","prefix":"/portada/",)" + ROUTE_FORM;

std::string configuration(int version, const std::string& routes)
{
    return R"({"version":"0000000)" + std::to_string(version) + R"(","services":{"catalogo":{"healthCheck":"/healthz","maxConnections":330}},"routes":{)" + routes
        + R"(},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}})";
}

/// Lookups on one route in steady state.
struct Route {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    double share() const { return sent ? static_cast<double>(served) / sent : 0; }
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    limitRunTime(100);
    Record record(argv[2]);
    Scene scene(argv[1], record);
    if (!scene.startStore(configuration(1, FIRST_ROUTE)))
        return 2;
    // Servers live until the process ends.
    static std::array<std::atomic<int>, SERVERS> pagesInProgress;
    std::vector<Server*> servers;
    for (int i = 0; i < SERVERS; ++i) {
        std::atomic<int>& pages = pagesInProgress.at(static_cast<std::size_t>(i));
        const auto behave = [&pages](const Work& work) {
            if (work.target == "/portada/")
                ++pages;
            sleepFor(0.4);
            if (work.target == "/portada/")
                --pages;
            return Behaviour { 200, 0, {}, "page", false };
        };
        servers.push_back(scene.addServer({ "catalogo", {}, 8080, std::array { "leon", "celaya", "irapuato" }.at(static_cast<std::size_t>(i % 3)), 4, DOWN_S, behave }));
        if (!servers.back())
            return 2;
    }
    for (const char* zone : { "leon", "celaya", "irapuato" })
        scene.addInstance("edge-" + std::string(zone) + "-1", zone);
    if (!scene.startInstances())
        scene.finish(2);
    sleepFor(STABLE_WINDOW_S);
    record.write("the configuration adds the route /portada/");
    scene.store().put("op/config", configuration(2, FIRST_ROUTE + "," + ADDED_ROUTE));
    sleepFor(STABLE_WINDOW_S);

    Route first;
    Route added;
    std::atomic<bool> stop = false;
    std::atomic<bool> steady = false;
    std::thread clients([&] {
        std::vector<std::thread> threads;
        const double begin = now();
        for (int i = 0; !stop; ++i) {
            const Instance& instance = *scene.instances()[static_cast<std::size_t>(i) / 2 % scene.instances().size()];
            threads.emplace_back([&, i] {
                const bool isPage = i % 2;
                const bool counts = steady;
                Route& route = isPage ? added : first;
                const std::string target = isPage ? "/portada/" : "/catalogo/" + std::to_string(i);
                const Attempt attempt = sendRequest(instance, "GET", target, "", DEADLINE_MS, record);
                route.sent += counts;
                route.served += counts && attempt.status == 200;
            });
            sleepUntil(begin + (i + 1) / (2 * LOOKUPS_PER_S));
        }
        for (std::thread& thread : threads)
            thread.join();
    });
    sleepFor(4);
    bool crashed = !hasTrouble();
    for (const double until = now() + 10; !crashed && now() < until; sleepFor(0.001)) {
        for (std::size_t i = 0; i < servers.size() && !crashed; ++i) {
            if (pagesInProgress.at(i) < 2)
                continue;
            record.write("server " + servers[i]->name() + " crashes; it runs " + std::to_string(pagesInProgress.at(i)) + " lookups of /portada/");
            servers[i]->crash();
            crashed = true;
        }
    }
    sleepFor(DOWN_S + 2 * STABLE_WINDOW_S);
    record.write("the server has been back for twice `stableWindowS`");
    steady = true;
    sleepFor(STEADY_S);
    steady = false;
    stop = true;
    clients.join();
    char result[200];
    std::snprintf(result, sizeof result, "CONFIG: in %.0f s of steady state %d of %d lookups on the added route are served, %d of %d on the first one", STEADY_S, added.served.load(), added.sent.load(), first.served.load(), first.sent.load());
    record.write(result);
    std::printf("%s\n", result);
    if (!crashed)
        scene.finish(2);
    scene.finish(added.sent >= 20 && added.share() < first.share() / 4 ? 1 : 0);
}
