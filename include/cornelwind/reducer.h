#pragma once

#include "cornelwind/counters.h"
#include "cornelwind/decision.h"
#include "cornelwind/effect.h"
#include "cornelwind/event.h"
#include "cornelwind/key.h"
#include "cornelwind/settings.h"
#include "cornelwind/sheet.h"
#include "cornelwind/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelwind {

/// State of a backend server as shown to operators.
struct ServerStatus {
    ServerName name;
    ServiceName service;
    std::string standing;
    bool avoided = false;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    std::uint32_t ownSlots = 0;
    double score = 0;
    double threshold = 0;
    double badShare = 0;
    double expectedShare = 0;
};

/// State of another entry instance as shown to operators.
struct MemberStatus {
    InstanceName name;
    ZoneName zone;
    std::string state;
    bool listed = false;
    bool direct = true;
};

/// State of an entry instance as shown to operators.
struct Status {
    InstanceName name;
    Incarnation incarnation;
    bool ready = false;
    bool stopping = false;
    bool watching = false;
    SheetVersion sheet;
    Duration sheetAge {};
    Duration platformAge {};
    std::size_t requests = 0;
    std::size_t keys = 0;
    std::vector<ServerStatus> servers;
    std::vector<MemberStatus> members;
};

/// Every decision of one entry instance: events in, effects out.
///
/// Touches no socket, clock, thread or random source; the same events give the
/// same effects. Not thread-safe. Nothing throws.
class Reducer {
public:
    class Builder;

    Reducer(Reducer&&) noexcept;
    Reducer& operator=(Reducer&&) noexcept;
    ~Reducer();

    /// Handles one event.
    ///
    /// @param effects receives what is to be done, in order; not cleared before
    void apply(const Event& event, EffectList& effects);

    /// Names this entry instance as the sender of a message that the shell makes.
    void sign(peer::Envelope& message) const;

    Status status(Time now) const;
    Counters counters() const;

    /// @param subject name of a backend server, service or entry instance; empty for all
    /// @return the latest decisions about it, newest first
    std::vector<Decision> explain(const std::string& subject, std::size_t maxCount) const;

private:
    class State;

    explicit Reducer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/// Builds a reducer. Every part has a default but the settings and the secret.
class Reducer::Builder {
public:
    /// Checked settings; only name, zone, addresses and limits are used.
    Builder& settings(Settings settings);
    /// Random id of this start; not zero.
    Builder& incarnation(Incarnation incarnation);
    /// Cryptographically random bytes.
    Builder& secret(const KeySecret& secret);
    /// Time of the first event.
    Builder& start(Time start);
    /// Reads the form in which sheets are published; TOML by default.
    Builder& sheetReader(SheetReader reader);

    Reducer build();

private:
    Settings m_settings;
    Incarnation m_incarnation { 1 };
    KeySecret m_secret {};
    Time m_start;
    SheetReader m_reader = readSheet;
};

} // namespace cornelwind
