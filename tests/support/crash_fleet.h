#pragma once

#include "cornelwind/error.h"
#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelwind::test {

/// Size of the simulated fleet.
struct CrashFleetOptions {
    std::size_t instances = 4;
    std::size_t zones = 2;
    std::size_t servers = 6;
    std::uint32_t slots = 4;
    Duration workTime = std::chrono::milliseconds(300);
    /// Time from the crash of a server to its next start.
    Duration downTime = std::chrono::milliseconds(1500);
    /// Whether the sheet states incarnations of servers. If not, a server that starts again looks like before.
    bool hasIncarnations = true;
    std::uint64_t seed = 1;
};

/// A crash of a server by a request.
struct CrashRecord {
    Time at;
    /// Whether the instance that sent the request was cut off from all others, or had been so less than 3 s before. It could not learn
    /// of earlier crashes meanwhile.
    bool isSenderCutOff = false;
};

/// What happened to the requests with one target.
struct TargetRecord {
    std::size_t sent = 0;
    /// Requests that got the response of a server.
    std::size_t served = 0;
    /// Requests refused because they are quarantined.
    std::size_t quarantined = 0;
    /// Refusals of another kind, with an outcome that is known or unknown.
    std::size_t failed = 0;
    /// Crashes of servers by requests with this target, in the order of time.
    std::vector<CrashRecord> crashes;
};

/// Reducers as entry instances before backend servers that crash, in simulated time. The same seed gives the same run.
///
/// A crash of a server ends the connections of all requests that it runs. It starts again as a new incarnation.
class CrashFleet {
public:
    explicit CrashFleet(CrashFleetOptions options);
    CrashFleet(CrashFleet&&) noexcept;
    ~CrashFleet();

    /// Lets time pass.
    void run(Duration time);
    Time now() const;
    std::size_t size() const;

    /// From now on, requests with this host and target crash each server that begins to run them, or do not.
    void setCrashes(const std::string& host, const std::string& target, bool crashes);
    /// Sends a request. Targets that begin with "/order" must run at most once, all others may be repeated.
    void send(std::size_t instance, const std::string& target, const std::string& host = "h");
    /// @return what happened so far to requests with this host and target
    const TargetRecord& record(const std::string& target, const std::string& host = "h") const;

    /// Crashes a server, whatever it runs.
    void crashServer(std::size_t server);
    /// @return how many requests with this target the server runs
    std::size_t runsOf(std::size_t server, const std::string& target) const;
    /// From now on, the server resets the connection of this share of its requests and lives on.
    void setResets(std::size_t server, double share);

    /// Kills an instance. It is down until `start`, and has lost what it knew.
    void kill(std::size_t instance);
    void start(std::size_t instance);
    /// Stops an instance from running until `resume`. What reaches it meanwhile waits.
    void freeze(std::size_t instance);
    void resume(std::size_t instance);
    /// Starts or ends a cut between an instance and all others.
    void setIsolated(std::size_t instance, bool isolated);
    /// Delays each message that an instance sends.
    void setMessageDelay(std::size_t instance, Duration delay);
    /// Loses this share of the messages between instances.
    void setMessageLoss(double share);
    /// Makes an instance exchange only what members of the version before the quarantine news know.
    void setEarlierVersion(std::size_t instance, bool earlier);

    /// @return messages between instances that concern requests which crash servers
    std::size_t quarantineMessages() const;

private:
    class Play;

    std::unique_ptr<Play> m_play;
};

} // namespace cornelwind::test
