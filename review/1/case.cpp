// Backend servers in a gray failure answer some orders with status 429 or 408 after they have run them, and do not state
// `Not-Executed`. No caller may get one of these statuses for an order that has run.
#include "../standin/scene.h"

#include <set>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr int SERVERS = 15;
// Largest share of servers and of requests that fail in a gray failure, and its length, in the site file.
constexpr int FAILING_SERVERS = 2;
constexpr double FAILED_SHARE = 0.45;
constexpr double FAULT_START_S = 3;
constexpr double FAULT_END_S = 9.5;
constexpr double END_S = 13;
constexpr int CALLERS = 12;

/// Which requests ran, and how callers were answered. Thread-safe.
class Ledger {
public:
    explicit Ledger(Record& record)
        : m_record(record)
    {
    }

    void onArrival(const Server& server, const Message& request, bool runs)
    {
        const std::string id = request.header("request-id");
        const std::lock_guard lock(m_mutex);
        if (runs)
            m_ran.insert(id);
    }

    void onAnswer(const std::string& id, int status)
    {
        const std::lock_guard lock(m_mutex);
        const bool promises = status == 408 || status == 421 || status == 429 || status == 503;
        if (promises && m_ran.contains(id))
            m_falsePromises.push_back(id + " " + std::to_string(status));
        m_served += status == 200;
    }

    const std::vector<std::string>& falsePromises() const { return m_falsePromises; }
    int served() const { return m_served; }

private:
    Record& m_record;
    std::mutex m_mutex;
    std::set<std::string> m_ran;
    std::vector<std::string> m_falsePromises;
    int m_served = 0;
};

void sendOrders(const std::string& address, Record& record, Ledger& ledger)
{
    while (record.seconds() < END_S) {
        CallerConnection connection(address, record);
        const Request request { "POST", "hulo84.example", "/xapu221/ny95/2f", nextRequestId(), 5000ms, "order" };
        const auto response = connection.send(request);
        ledger.onAnswer(request.id, response ? response->status() : 0);
        std::this_thread::sleep_for(50ms);
    }
}

Verdict play(const std::string& folder, const std::string& recordPath)
{
    // These outlive the threads, which end with the process.
    Record& record = *new Record(recordPath);
    Ledger& ledger = *new Ledger(record);
    Store& store = *new Store;
    auto& servers = *new std::vector<std::unique_ptr<Server>>;
    for (int i = 0; i < SERVERS; ++i) {
        const bool failing = hasTrouble() && i < FAILING_SERVERS;
        const auto plan = [&record, failing, count = std::make_shared<std::atomic<int>>(0)](const Message&) {
            const int number = ++*count;
            const bool inFault = failing && record.seconds() >= FAULT_START_S && record.seconds() < FAULT_END_S;
            const bool fails = inFault && static_cast<int>(number * FAILED_SHARE) != static_cast<int>((number - 1) * FAILED_SHARE);
            return Work { 100ms, !fails ? 200 : number % 2 ? 429
                                                           : 408,
                fails ? "failed\n" : "done\n", "", {} };
        };
        const auto observer = [&ledger](const Server& server, const Message& request, bool runs) { ledger.onArrival(server, request, runs); };
        servers.push_back(std::make_unique<Server>(Server::Options { "i-" + std::to_string(7000 + i), "wuno96b", "leon", 4 }, record, plan, observer));
        store.put("servers/" + servers.back()->options().id, servers.back()->entry("ready"));
    }
    store.put("op/config", configuration(7, route("r-b9wu3fe", "hulo84.example", "/xapu221/ny95/", "unsafe", "wuno96b", 2.5), R"("wuno96b":{"healthCheck":"/healthz","maxConnections":330})"));
    Instance instance({ "edge-leon-1", "leon", store.address(), {}, folder });
    if (!instance.start() || !instance.waitForReady(8s))
        return Verdict::CouldNotRun;
    record.add(std::string("ready; trouble: ") + (hasTrouble() ? "yes" : "no"));
    std::vector<std::thread> callers;
    callers.reserve(CALLERS);
    for (int i = 0; i < CALLERS; ++i)
        callers.emplace_back([&] { sendOrders(instance.callers(), record, ledger); });
    for (std::thread& caller : callers)
        caller.join();
    for (const std::string& line : ledger.falsePromises())
        record.add("REFUSED broken: ran, and was answered " + line);
    record.add(std::to_string(ledger.served()) + " served, " + std::to_string(ledger.falsePromises().size()) + " that ran were refused");
    if (!ledger.served())
        return Verdict::CouldNotRun;
    return ledger.falsePromises().empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int argc, char** argv)
{
    std::_Exit(static_cast<int>(argc == 3 ? play(argv[1], argv[2]) : Verdict::CouldNotRun));
}
