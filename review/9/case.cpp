// A request that crashes each server that runs it comes again while the entry instances are stopped and started in turn.
#include "../standin-2/scene.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace cornelwind;
using namespace cornelwind::review;

namespace {

constexpr double STABLE_WINDOW_S = 3;
constexpr int MAX_RETRIES = 3;
constexpr int DEADLINE_MS = 5000;
constexpr const char* POISON = "/pedidos/poison";

constexpr const char* CONFIGURATION = R"({"version":"00000001","services":{"pedidos":{"healthCheck":"/healthz","maxConnections":330}},)"
                                      R"("routes":{"pedidos":{"host":"test","prefix":"/pedidos/","kind":"unsafe","timeoutS":2.5,"targetLatencyS":1.2,"priority":1,)"
                                      R"("service":"pedidos","attempts":2}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}})";

/// A crash of a server by the request.
struct Crash {
    double at = 0;
    std::string machine;
};

std::mutex crashMutex;
std::vector<Crash> crashes;

std::size_t crashCount()
{
    const std::lock_guard lock(crashMutex);
    return crashes.size();
}

/// Sends orders to all instances, evenly, and counts those that a crash of their server ended.
class Orders {
public:
    Orders(Scene& scene, Record& record)
        : m_scene(scene)
        , m_record(record)
    {
    }
    void run()
    {
        for (std::size_t i = 0; !m_stop; ++i) {
            const Instance& instance = *m_scene.instances()[i % m_scene.instances().size()];
            m_threads.emplace_back([this, &instance, i] {
                const Attempt attempt = sendRequest(instance, "POST", "/pedidos/order" + std::to_string(i), "order", DEADLINE_MS, m_record);
                if (attempt.status != 502)
                    return;
                ++m_lost;
                m_record.write("an order of another client, " + attempt.id + " to " + attempt.machine + ", was in progress on a server that crashed: 502");
            });
            sleepFor(0.05);
        }
        for (std::thread& thread : m_threads)
            thread.join();
    }
    void stop() { m_stop = true; }
    int lost() const { return m_lost; }

private:
    Scene& m_scene;
    Record& m_record;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_lost = 0;
};

void sendPoison(const Instance& instance, Record& record)
{
    const std::size_t before = crashCount();
    const Attempt attempt = sendRequest(instance, "POST", POISON, "the same body", DEADLINE_MS, record);
    record.write("the request " + std::string(POISON) + " comes again: " + attempt.id + " to " + attempt.machine + ", answer " + std::to_string(attempt.status)
        + (crashCount() > before ? ", it reached a server" : ", it reached no server"));
    // The server that crashed is back by then.
    sleepFor(2);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    limitRunTime(115);
    Record record(argv[2]);
    Scene scene(argv[1], record);
    if (!scene.startStore(CONFIGURATION))
        return 2;
    const auto behave = [&record](const Work& work) {
        Behaviour behaviour { 200, 300, {}, "done " + work.id, false };
        if (work.target == POISON) {
            behaviour.crashes = true;
            const std::lock_guard lock(crashMutex);
            crashes.push_back({ now(), work.machine });
        }
        return behaviour;
    };
    for (const char* zone : { "leon", "celaya", "irapuato" }) {
        for (int i = 0; i < 2; ++i) {
            if (!scene.addServer({ "pedidos", {}, 8080, zone, 4, 1.5, behave }))
                return 2;
        }
    }
    scene.addInstance("edge-leon-1", "leon");
    scene.addInstance("edge-leon-2", "leon");
    scene.addInstance("edge-celaya-1", "celaya");
    scene.addInstance("edge-irapuato-1", "irapuato");
    if (!scene.startInstances())
        scene.finish(2);
    sleepFor(STABLE_WINDOW_S + 0.5);
    Orders orders(scene, record);
    std::thread orderThread([&orders] { orders.run(); });

    // The request crashes servers until the fleet knows it.
    for (const auto& instance : scene.instances())
        sendPoison(*instance, record);
    for (const auto& instance : scene.instances()) {
        if (hasTrouble()) {
            record.write("SIGTERM to " + instance->name());
            instance->signal(SIGTERM);
            if (!instance->waitForEnd(6))
                instance->signal(SIGKILL);
            sleepFor(0.5);
            scene.startInstance(*instance);
        }
        // From now on the instance is in touch.
        sleepFor(STABLE_WINDOW_S + 0.5);
        if (!instance->waitForReady(5))
            scene.finish(2);
        sendPoison(*instance, record);
        sendPoison(*instance, record);
    }
    orders.stop();
    orderThread.join();

    const std::lock_guard lock(crashMutex);
    int retries = 0;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        const bool counts = crashes.size() >= 3 && crashes[i].at > crashes[2].at + STABLE_WINDOW_S;
        retries += counts;
        char line[160];
        std::snprintf(line, sizeof line, "crash %zu at %.3f s, sent by %s%s", i + 1, crashes[i].at, crashes[i].machine.c_str(), counts ? ", counts" : "");
        record.write(line);
    }
    const std::string result = "BUDGET: " + std::to_string(retries) + " retries reached servers later than 3 s after the third crash (bound 3); "
        + std::to_string(crashes.size()) + " crashes, " + std::to_string(orders.lost()) + " orders of others ended with 502";
    record.write(result);
    std::printf("%s\n", result.c_str());
    scene.finish(retries > MAX_RETRIES ? 1 : 0);
}
