#pragma once

#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind::benchmark {

/// An outlier ejection policy: decides from the results of tries which backend servers are eligible for requests.
///
/// One object represents all entry instances of the fleet. A try is one send of a request to a backend server.
class Policy {
public:
    virtual ~Policy() = default;

    /// Reports that an instance sent a try.
    ///
    /// @param instance index of the entry instance
    virtual void onTrySent(std::size_t instance, TryId id, ServerId server, Time now) = 0;
    /// Reports the end of a try.
    ///
    /// @param instance index of the entry instance
    /// @param failed whether the try failed, or `std::nullopt` if the result is no evidence about the server
    virtual void onTryEnded(std::size_t instance, TryId id, ServerId server, std::optional<bool> failed, Time now) = 0;
    /// Advances the policy. Called every 10 ms of virtual time.
    virtual void tick(Time now) = 0;
    /// @return whether the instance may send requests to the server
    virtual bool isEligible(std::size_t instance, ServerId server) const = 0;
    /// Reports that a server has started with cold caches.
    virtual void onServerJoined(ServerId, Time) { }
};

/// Configuration of the simulated fleet. The first service of the sheet is simulated.
struct PolicySetup {
    SheetPtr sheet;
    std::size_t instances = 15;
};

using PolicyFactory = std::unique_ptr<Policy> (*)(const PolicySetup& setup);

/// A policy and its name in the printed table.
struct NamedPolicy {
    const char* name;
    PolicyFactory make;
};

/// @return the policy of cornelwind, followed by the baselines
const std::vector<NamedPolicy>& policies();

} // namespace cornelwind::benchmark
