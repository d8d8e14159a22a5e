#pragma once

#include "cornelwind/error.h"
#include "cornelwind/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind::test {

/// What the metadata store does with the calls of an entry instance.
enum class StoreAccess : std::uint8_t {
    Served,
    /// Rejects calls, and cuts those that wait for changes.
    Refused,
    /// Does not answer, also to calls that wait for changes.
    Silent,
};

/// How an entry instance does not run.
enum class Pause : std::uint8_t {
    /// The process is frozen; its clock goes on.
    Frozen,
    /// The machine is suspended; its clock stops.
    Suspended,
};

/// What an entry instance does with a request.
struct Verdict {
    /// `ErrorKind::None` if it sends the request to a backend server.
    ErrorKind error = ErrorKind::None;
    /// Workspace that it tells the backend server.
    std::string workspace;
};

/// API keys by the name of their workspace.
using Workspaces = std::map<std::string, std::vector<std::string>>;

/// What the replies of the metadata store say of its era.
enum class EraHeader : std::uint8_t {
    /// Nothing, as a store that has no eras.
    None,
    Correct,
    /// Nothing in every second reply.
    OftenMissing,
    /// No number in every second reply.
    OftenUnreadable,
    /// An era before the present one in every second reply.
    OftenSmaller,
    /// An era before the present one in each reply.
    Smaller,
};

/// Entry instances (reducers, each with a `MetadataStoreWatcher`) that follow a simulated metadata store, in simulated time.
///
/// Instance `i` is in availability zone `i % zones`. The names of a zone's instances sort in the order of their numbers. The same seed
/// gives the same run.
class SimulatedStoreFleet {
public:
    /// Starts all instances. The store holds a sheet and four servers, named "s0" to "s3".
    ///
    /// @param changeDeadline see `Settings`
    /// @param keyRevocationDeadline see `Settings`
    SimulatedStoreFleet(std::size_t instances, std::size_t zones, Millis changeDeadline, std::uint64_t seed, std::optional<Millis> keyRevocationDeadline = {});
    SimulatedStoreFleet(SimulatedStoreFleet&&) noexcept;
    ~SimulatedStoreFleet();

    /// Lets time pass.
    void run(Duration time);

    std::size_t size() const;
    void setAccess(std::size_t instance, StoreAccess access);
    void setAccessOfAll(StoreAccess access);
    /// Starts or ends a cut between an instance and all others.
    void setIsolated(std::size_t instance, bool isolated);
    /// Stops an instance and starts it again without state.
    void restart(std::size_t instance);
    /// Stops an instance from running until `resume`. What reaches it meanwhile, and its timers, wait.
    void pause(std::size_t instance, Pause how);
    /// Lets an instance run again. What has waited follows with the next `run`, in its order.
    void resume(std::size_t instance);
    /// Delays each message that an instance sends.
    void setMessageDelay(std::size_t instance, Duration delay);

    /// Publishes the next version of the sheet.
    void publishSheet();
    /// Publishes the next version of the sheet, which lists these workspaces.
    void publishSheet(const Workspaces& workspaces);
    /// Sends a request, with an API key unless that is empty, to the path "/" or to the public path "/public".
    Verdict send(std::size_t instance, const std::string& apiKey, const std::string& path = "/");
    /// @return whether the instance tells the balancer to send requests
    bool isReady(std::size_t instance) const;
    void publishServer(const std::string& name, bool leaving);
    void removeServer(const std::string& name);
    /// Publishes a new start of a server. Its incarnation is lower than that of the start before.
    void restartServer(const std::string& name);

    /// Sets what replies say of the era from now on. A fleet starts with `EraHeader::None`.
    void setEraHeader(EraHeader header);
    /// Keeps a copy of the store.
    void copyStore();
    /// Sets the store back to the copy: revisions are given out again, and the era rises by one. Calls that wait are cut.
    void restoreStore();
    /// Changes a value that is no entry of a server and no sheet.
    void writeOther();
    /// The operator and the servers write what the store does not hold of what they last wrote.
    void writeAgain();

    /// @return whether the instance has the latest sheet and uses exactly the servers that the store publishes as not leaving
    bool isUpToDate(std::size_t instance) const;
    /// @return whether the instance has the latest sheet ever published and uses exactly the servers whose own latest statement is
    ///     that they are not leaving, whatever the store holds
    bool isTruthful(std::size_t instance) const;
    /// @return the number of other instances that the instance sees as alive
    std::size_t aliveMembers(std::size_t instance) const;
    /// @return the number of calls to the store so far, rejected ones included
    std::size_t calls() const;
    /// @return bytes of messages between availability zones so far
    std::size_t bytesBetweenZones() const;

private:
    class Play;

    std::unique_ptr<Play> m_play;
};

} // namespace cornelwind::test
