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

/// State of a backend server, as shown to operators.
struct ServerStatus {
    ServerName name;
    ServiceName service;
    /// Name of its `ServerState`.
    std::string state;
    /// Whether this entry instance alone does not use it.
    bool avoided = false;
    /// Requests of this entry instance in progress.
    std::uint32_t inFlight = 0;
    /// Concurrent requests that it runs for the whole fleet.
    std::uint32_t slots = 0;
    /// Slots reserved for this entry instance.
    std::uint32_t ownSlots = 0;
    /// Outlier score of the fleet's evidence, in nats.
    double score = 0;
    /// Score from which the server counts as failing, in nats.
    double threshold = 0;
    /// Observed share of bad results, from 0 to 1.
    double badShare = 0;
    /// Share of bad results expected without a fault of this server, from 0 to 1.
    double expectedShare = 0;
};

/// State of another entry instance, as shown to operators.
struct MemberStatus {
    InstanceName name;
    ZoneName zone;
    /// Name of its member state.
    std::string state;
    /// Whether the platform's instance list contains it.
    bool listed = false;
    /// Whether this entry instance reaches it without a relay.
    bool answersDirectly = true;
};

/// State of this entry instance, as shown to operators.
struct Status {
    InstanceName name;
    Incarnation incarnation;
    /// Whether it reports itself ready for callers; false once it stops.
    bool ready = false;
    bool stopping = false;
    /// Whether it watches the platform for its zone.
    bool watching = false;
    /// Version of the sheet in force; zero if there is none.
    SheetVersion sheet;
    /// Time since the sheet came into force.
    Duration sheetAge {};
    /// Time since the platform last answered.
    Duration platformAge {};
    /// Requests in progress.
    std::size_t requests = 0;
    /// Used idempotency keys held.
    std::size_t keys = 0;
    std::vector<ServerStatus> servers;
    std::vector<MemberStatus> members;
};

/// Decision logic of one entry instance: takes events and emits effects.
///
/// Deterministic: the reducer uses no socket, clock, thread or random source, so
/// that the same events give the same effects. Not thread-safe. Never throws.
class Reducer {
public:
    class Builder;

    Reducer(Reducer&&) noexcept;
    Reducer& operator=(Reducer&&) noexcept;
    ~Reducer();

    /// Handles one event.
    ///
    /// @param event the event; its time is not earlier than that of the previous event
    /// @param effects the effects to carry out, in order, are appended to it
    void apply(const Event& event, EffectList& effects);

    /// Sets this entry instance as the sender of a message, together with the protocol version.
    ///
    /// Needed for messages that the shell builds; those of effects have their sender.
    ///
    /// @param message the message to complete; its body stays as it is
    void setSender(peer::Envelope& message) const;

    /// @param now current time, for the ages
    /// @return a snapshot of the state
    Status status(Time now) const;
    /// @return totals since the start
    Counters counters() const;

    /// @param subject name of a backend server, service or entry instance; empty for all
    /// @param maxCount largest number of decisions returned
    /// @return the latest decisions about the subject, newest first
    std::vector<Decision> explain(const std::string& subject, std::size_t maxCount) const;

private:
    class State;

    explicit Reducer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/// Builds a reducer. Settings and secret are required; all other parts have defaults.
class Reducer::Builder {
public:
    /// Settings, already validated. Only names, addresses, limits and the form of the platform are used.
    Builder& settings(Settings settings);
    /// Random id of this start of the process; not zero.
    Builder& incarnation(Incarnation incarnation);
    /// Cryptographically random bytes that authenticate idempotency keys.
    Builder& secret(const KeySecret& secret);
    /// Time of the first event.
    Builder& start(Time start);
    /// Parser for the format in which sheets are published; `readSheet` (TOML) by default.
    Builder& sheetReader(SheetReader reader);

    /// @return a reducer without sheet or members, which is not ready yet
    Reducer build();

private:
    Settings m_settings;
    Incarnation m_incarnation { 1 };
    KeySecret m_secret {};
    Time m_start;
    SheetReader m_reader = readSheet;
};

} // namespace cornelwind
