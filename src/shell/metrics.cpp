#include "metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace cornelwind {
namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    /// Collects metric families for serialization.
    class MetricFamilies {
    public:
        void counter(const char* name, const char* help, std::uint64_t value)
        {
            ClientMetric metric;
            metric.counter.value = static_cast<double>(value);
            m_families.push_back({ name, help, MetricType::Counter, { metric } });
        }

        void gauge(const char* name, const char* help, double value)
        {
            ClientMetric metric;
            metric.gauge.value = value;
            m_families.push_back({ name, help, MetricType::Gauge, { metric } });
        }

        MetricFamily& family(const char* name, const char* help, MetricType type)
        {
            return m_families.emplace_back(MetricFamily { name, help, type, {} });
        }

        std::vector<MetricFamily>& all() { return m_families; }

    private:
        std::vector<MetricFamily> m_families;
    };

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void addCounters(MetricFamilies& families, const Counters& counters)
    {
        families.counter("cornelwind_requests_total", "Requests received from callers and other entry instances.", counters.requests);
        families.counter("cornelwind_relayed_total", "Responses of backend servers passed on to callers.", counters.relayed);
        families.counter("cornelwind_refused_total", "Requests refused by the fleet itself.", counters.refused);
        families.counter("cornelwind_tries_total", "Tries sent to backend servers, including retries and hedged tries.", counters.tries);
        families.counter("cornelwind_retries_total", "Tries sent after an earlier try failed.", counters.retries);
        families.counter("cornelwind_hedges_total", "Hedged tries: second tries sent while the first is in progress.", counters.hedges);
        families.counter("cornelwind_forwarded_total", "Requests forwarded to the owner of their idempotency key.", counters.forwarded);
        families.counter("cornelwind_joined_total", "Requests that waited for the result of an earlier request with the same idempotency key.", counters.joined);
        families.counter("cornelwind_repeated_total", "Requests answered with the stored response of their idempotency key.", counters.repeated);
        families.counter("cornelwind_sheds_total", "Tries that a backend server shed without running the request.", counters.sheds);
        families.counter("cornelwind_quota_tokens_total", "Tokens of workspace quotas granted by this instance, to itself and to others.", counters.quotaTokens);
        families.counter("cornelwind_quota_refusals_total", "Requests refused because the quota of their workspace was used up.", counters.quotaRefusals);
        families.counter("cornelwind_quota_waits_total", "Requests that waited for a token of the quota of their workspace.", counters.quotaWaits);
        families.counter("cornelwind_displaced_total", "Waiting requests refused because others took their places in a full queue.", counters.displaced);
        families.counter("cornelwind_refused_too_late_total", "Requests refused on arrival because they could not be done before their deadlines.", counters.refusedTooLate);
        families.counter("cornelwind_served_late_total", "Requests that waited and were sent although expected to miss their target latency.", counters.servedLate);
        families.counter("cornelwind_quarantined_total", "Requests refused because such requests crash backend servers.", counters.quarantined);
        families.counter("cornelwind_api_keys_rejected_total", "Requests refused because they have no valid API key.", counters.apiKeysRejected);
        families.counter("cornelwind_api_keys_unconfirmed_total", "Requests refused because this instance cannot confirm its API keys.", counters.apiKeysUnconfirmed);
    }

    void addIdleServers(MetricFamilies& families, const Status& status)
    {
        std::map<std::pair<std::string, IdleReason>, std::size_t> counts;
        for (const ServerStatus& server : status.servers) {
            if (server.idle)
                ++counts[{ server.service.value(), *server.idle }];
        }
        MetricFamily& idle = families.family("cornelwind_idle_servers", "Backend servers of the availability zone without a request for 2 s, by reason.", MetricType::Gauge);
        for (const auto& [key, count] : counts) {
            ClientMetric metric;
            metric.label = { { "service", key.first }, { "reason", toString(key.second) } };
            metric.gauge.value = static_cast<double>(count);
            idle.metric.push_back(metric);
        }
    }

    void addNotices(MetricFamilies& families, const Status& status)
    {
        MetricFamily& limits = families.family("cornelwind_server_limit", "Requests a second that a backend server takes from all entry instances together.", MetricType::Gauge);
        MetricFamily& ages = families.family("cornelwind_server_limit_age_seconds", "Time since this instance learned of the limit of a backend server, in seconds.", MetricType::Gauge);
        MetricFamily& backoffs = families.family("cornelwind_server_backoff_seconds", "Time for which a backend server wants no requests from this instance, in seconds.", MetricType::Gauge);
        const auto add = [](MetricFamily& family, const ServerStatus& server, double value) {
            ClientMetric metric;
            metric.label = { { "server", server.name.value() }, { "service", server.service.value() } };
            metric.gauge.value = value;
            family.metric.push_back(metric);
        };
        for (const ServerStatus& server : status.servers) {
            if (server.limit > 0) {
                add(limits, server, server.limit);
                add(ages, server, seconds(server.limitAge));
            }
            if (server.backoff > Duration {})
                add(backoffs, server, seconds(server.backoff));
        }
    }

    void addStatus(MetricFamilies& families, const Status& status)
    {
        families.gauge("cornelwind_ready", "1 if ready to serve callers, else 0.", status.ready);
        families.gauge("cornelwind_sheet_version", "Version of the routing configuration (sheet) in use.", static_cast<double>(status.sheet.value()));
        families.gauge("cornelwind_sheet_age_seconds", "Time since this instance adopted the routing configuration (sheet), in seconds.", seconds(status.sheetAge));
        families.gauge("cornelwind_platform_age_seconds", "Time since the last response of the platform, in seconds.", seconds(status.platformAge));
        families.gauge("cornelwind_watching", "1 if this instance watches the platform for its availability zone, else 0.", status.watching);
        families.gauge("cornelwind_zone_contact_age_seconds", "Time since an instance of the availability zone last reached the platform, in seconds.", seconds(status.zoneContactAge));
        families.gauge("cornelwind_requests_in_progress", "Requests currently in progress.", static_cast<double>(status.requests));
        families.gauge("cornelwind_keys_used", "Idempotency keys currently stored.", static_cast<double>(status.keys));
        families.gauge("cornelwind_workspaces", "Workspaces that the routing configuration (sheet) lists.", static_cast<double>(status.workspaces));
        families.gauge("cornelwind_api_keys", "API keys that the routing configuration (sheet) lists.", static_cast<double>(status.apiKeys));
        families.gauge("cornelwind_api_keys_confirmed", "1 if requests with API keys are accepted, else 0.", status.apiKeysConfirmed);
        if (status.confirmationAge)
            families.gauge("cornelwind_confirmation_age_seconds", "Time since the moment up to which this instance knows every routing configuration (sheet), in seconds.", seconds(*status.confirmationAge));
        MetricFamily& scores = families.family("cornelwind_server_score", "Evidence that a backend server is unhealthy (log-likelihood ratio), in nats.", MetricType::Gauge);
        MetricFamily& states = families.family("cornelwind_server_standing", "1 for the current standing of a backend server.", MetricType::Gauge);
        for (const ServerStatus& server : status.servers) {
            ClientMetric metric;
            metric.label = { { "server", server.name.value() }, { "service", server.service.value() } };
            metric.gauge.value = server.score;
            scores.metric.push_back(metric);
            metric.label.push_back({ "standing", server.avoided ? "avoided" : server.state });
            metric.gauge.value = 1;
            states.metric.push_back(metric);
        }
        addIdleServers(families, status);
        addNotices(families, status);
        MetricFamily& members = families.family("cornelwind_member_state", "1 for the current state of another entry instance.", MetricType::Gauge);
        for (const MemberStatus& member : status.members) {
            ClientMetric metric;
            metric.label = { { "instance", member.name.value() }, { "state", member.state } };
            metric.gauge.value = 1;
            members.metric.push_back(metric);
        }
    }

    void addMemory(MetricFamilies& families, const IoStats& stats)
    {
        MetricFamily& bytes = families.family("cornelwind_body_bytes", "Bytes of request and response bodies held in memory, by kind.", MetricType::Gauge);
        for (std::size_t i = 0; i < MEMORY_KINDS; ++i) {
            ClientMetric metric;
            metric.label = { { "kind", toString(static_cast<MemoryKind>(i)) } };
            metric.gauge.value = static_cast<double>(stats.bodyBytes.at(i));
            bytes.metric.push_back(metric);
        }
        MetricFamily& ended = families.family("cornelwind_ended_for_memory_total", "Transfers of bodies ended because all bodies together took too much memory, by direction.", MetricType::Counter);
        for (std::size_t i = 0; i < TRANSFERS; ++i) {
            ClientMetric metric;
            metric.label = { { "transfer", toString(static_cast<Transfer>(i)) } };
            metric.counter.value = static_cast<double>(stats.endedForMemory.at(i));
            ended.metric.push_back(metric);
        }
    }

} // namespace

std::string renderMetrics(const Status& status, const Counters& counters, const IoStats& stats, std::vector<prometheus::MetricFamily> requests)
{
    MetricFamilies families;
    addCounters(families, counters);
    addStatus(families, status);
    families.gauge("cornelwind_connections", "Open connections of callers.", static_cast<double>(stats.connections));
    families.counter("cornelwind_peer_sent_bytes_total", "Bytes sent to other entry instances.", stats.peerBytesSent);
    families.counter("cornelwind_peer_received_bytes_total", "Bytes received from other entry instances.", stats.peerBytesReceived);
    families.counter("cornelwind_control_sent_bytes_total", "Bytes sent to other entry instances, excluding forwarded requests and their responses.", stats.controlBytesSent);
    families.counter("cornelwind_platform_calls_total", "Calls made to the platform.", stats.platformCalls);
    families.counter("cornelwind_spans_dropped_total", "Trace spans dropped without export.", stats.spansDropped);
    families.gauge("cornelwind_response_bytes", "Bytes of responses held in memory.", static_cast<double>(stats.responseBytes));
    families.counter("cornelwind_responses_over_memory_total", "Responses of backend servers given up because all bodies together took too much memory.", stats.responsesOverMemory);
    addMemory(families, stats);
    MetricFamily& decisions = families.family("cornelwind_decisions_total", "Decisions made, by kind.", MetricType::Counter);
    for (std::size_t i = 0; i < stats.decisions.size(); ++i) {
        ClientMetric metric;
        metric.label = { { "kind", toString(static_cast<DecisionKind>(i)) } };
        metric.counter.value = static_cast<double>(stats.decisions[i]);
        decisions.metric.push_back(metric);
    }
    families.counter("cornelwind_log_lines_dropped_total", "Log lines dropped because standard output was read too slowly.", stats.logLinesDropped);
    std::move(families.all().begin(), families.all().end(), std::back_inserter(requests));
    return prometheus::TextSerializer().Serialize(requests);
}

} // namespace cornelwind
