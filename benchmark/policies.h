#pragma once

#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind::benchmark {

/// Decides from outcomes which backend servers take work. One object stands for the whole fleet.
class Policy {
public:
    virtual ~Policy() = default;

    virtual void sent(std::size_t instance, TryId id, ServerId server, Time now) = 0;
    /// @param failed nothing if the end says nothing about the server
    virtual void ended(std::size_t instance, TryId id, ServerId server, std::optional<bool> failed, Time now) = 0;
    /// Called every 10 ms.
    virtual void tick(Time now) = 0;
    virtual bool takesWork(std::size_t instance, ServerId server) const = 0;
    /// A server starts cold.
    virtual void joined(ServerId, Time) { }
};

/// Size of the fleet and its service.
struct PolicySetup {
    SheetPtr sheet;
    std::size_t instances = 15;
};

using PolicyFactory = std::unique_ptr<Policy> (*)(const PolicySetup& setup);

struct PolicyRow {
    const char* name;
    PolicyFactory make;
};

/// The product's policy first, then the baselines.
const std::vector<PolicyRow>& policies();

} // namespace cornelwind::benchmark
