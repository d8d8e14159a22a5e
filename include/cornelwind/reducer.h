#pragma once

#include "cornelwind/counters.h"
#include "cornelwind/decision.h"
#include "cornelwind/effect.h"
#include "cornelwind/event.h"
#include "cornelwind/idle_reason.h"
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
    /// Whether this entry instance sends it no requests although others may.
    bool avoided = false;
    /// Requests that this entry instance has in flight there.
    std::uint32_t inFlight = 0;
    /// Number of requests that it runs at the same time for the whole fleet.
    std::uint32_t slots = 0;
    /// Slots reserved for this entry instance.
    std::uint32_t ownSlots = 0;
    /// Score of the evidence of all entry instances against it, in nats.
    double score = 0;
    /// Score at which it counts as unhealthy, in nats.
    double threshold = 0;
    /// Observed share of bad outcomes, from 0 to 1.
    double badShare = 0;
    /// Share of bad outcomes expected of a healthy server, from 0 to 1.
    double expectedShare = 0;
    /// Requests a second that it takes from all entry instances together, as far as this one knows, since when it is known,
    /// and who said so; 0 and empty if it names no limit.
    double limit = 0;
    Duration limitAge {};
    std::string limitSource;
    /// Time for which it wants no requests from this entry instance; zero if it has not asked for that.
    Duration backoff {};
    /// Why it gets no requests; empty if an entry instance of this availability zone has sent it one in the last
    /// 2 s, or if it is in another availability zone.
    std::optional<IdleReason> idle;
};

/// State of another entry instance, as shown to operators.
struct MemberStatus {
    InstanceName name;
    ZoneName zone;
    /// Name of its `MemberState`.
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
    /// Whether it reports itself ready for callers; false once its shutdown has started.
    bool ready = false;
    /// Whether its shutdown has started.
    bool stopping = false;
    /// Whether it watches the platform for its zone.
    bool watching = false;
    /// Version of the sheet in force; zero if there is none.
    SheetVersion sheet;
    /// Time since the sheet came into force.
    Duration sheetAge {};
    /// Workspaces and API keys that the sheet lists.
    std::size_t workspaces = 0;
    std::size_t apiKeys = 0;
    /// Whether requests with API keys are accepted, as far as the age of the sheet is concerned.
    bool apiKeysConfirmed = false;
    /// Time since the moment up to which every sheet is known here; empty if there is none yet.
    std::optional<Duration> confirmationAge;
    /// Time since the platform last answered.
    Duration platformAge {};
    /// Time since an entry instance of the availability zone last reached the platform, as far as is known here.
    Duration zoneContactAge {};
    /// Requests in progress.
    std::size_t requests = 0;
    /// Used idempotency keys remembered.
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

    /// Sets the protocol version of a message and this entry instance as its sender.
    ///
    /// Only messages that the shell builds need this; the messages of effects have a sender already.
    ///
    /// @param message the message to complete; its body stays as it is
    void setSender(peer::Envelope& message) const;

    /// @param now current time, from which the ages are computed
    /// @return a snapshot of the state
    Status status(Time now) const;
    /// @return totals since the start
    Counters counters() const;

    /// @param subject name of a backend server, service or entry instance; empty for all
    /// @param maxCount maximum number of decisions returned
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
    /// Settings, already validated. Those that concern only the shell are ignored.
    Builder& settings(Settings settings);
    /// Random id of this process start; not zero.
    Builder& incarnation(Incarnation incarnation);
    /// Cryptographically random bytes. The tags of idempotency keys are computed with them.
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
