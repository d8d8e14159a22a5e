#include "metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace cornelwind {
namespace {

    using prometheus::ClientMetric;
    using prometheus::MetricFamily;
    using prometheus::MetricType;

    class Families {
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

    void addCounters(Families& families, const Counters& counters)
    {
        families.counter("cornelwind_requests_total", "Requests received.", counters.requests);
        families.counter("cornelwind_relayed_total", "Answers of backend servers passed on.", counters.relayed);
        families.counter("cornelwind_refused_total", "Answers made by the fleet.", counters.refused);
        families.counter("cornelwind_tries_total", "Sends to backend servers.", counters.tries);
        families.counter("cornelwind_retries_total", "Sends after a failed one.", counters.retries);
        families.counter("cornelwind_hedges_total", "Second sends before the first ended.", counters.hedges);
        families.counter("cornelwind_forwarded_total", "Requests passed to the owner of their key.", counters.forwarded);
        families.counter("cornelwind_joined_total", "Requests that waited for another send of their key.", counters.joined);
        families.counter("cornelwind_repeated_total", "Requests answered from the ledger.", counters.repeated);
        families.counter("cornelwind_sheds_total", "Shed answers of backend servers.", counters.sheds);
    }

    void addStatus(Families& families, const Status& status)
    {
        families.gauge("cornelwind_ready", "1 if ready for callers.", status.ready);
        families.gauge("cornelwind_sheet_version", "Version of the sheet in force.", static_cast<double>(status.sheet.value()));
        families.gauge("cornelwind_sheet_age_seconds", "Time since the sheet came into force here.", seconds(status.sheetAge));
        families.gauge("cornelwind_platform_age_seconds", "Time since the platform answered.", seconds(status.platformAge));
        families.gauge("cornelwind_requests_in_progress", "Requests in progress.", static_cast<double>(status.requests));
        families.gauge("cornelwind_keys_used", "Used keys held.", static_cast<double>(status.keys));
        MetricFamily& scores = families.family("cornelwind_server_score", "Evidence against a backend server, in nats.", MetricType::Gauge);
        MetricFamily& standings = families.family("cornelwind_server_standing", "1 for the present standing of a backend server.", MetricType::Gauge);
        for (const ServerStatus& server : status.servers) {
            ClientMetric metric;
            metric.label = { { "server", server.name.value() }, { "service", server.service.value() } };
            metric.gauge.value = server.score;
            scores.metric.push_back(metric);
            metric.label.push_back({ "standing", server.avoided ? "avoided" : server.standing });
            metric.gauge.value = 1;
            standings.metric.push_back(metric);
        }
        MetricFamily& members = families.family("cornelwind_member_state", "1 for the present state of another entry instance.", MetricType::Gauge);
        for (const MemberStatus& member : status.members) {
            ClientMetric metric;
            metric.label = { { "instance", member.name.value() }, { "state", member.state } };
            metric.gauge.value = 1;
            members.metric.push_back(metric);
        }
    }

} // namespace

std::string renderMetrics(const Status& status, const Counters& counters, const ShellFigures& figures, std::vector<prometheus::MetricFamily> requests)
{
    Families families;
    addCounters(families, counters);
    addStatus(families, status);
    families.gauge("cornelwind_connections", "Connections of callers.", static_cast<double>(figures.connections));
    families.counter("cornelwind_peer_sent_bytes_total", "Bytes sent to other entry instances.", figures.peerBytesSent);
    families.counter("cornelwind_peer_received_bytes_total", "Bytes received from other entry instances.", figures.peerBytesReceived);
    families.counter("cornelwind_control_sent_bytes_total", "Bytes sent to other entry instances without forwarded requests.", figures.controlBytesSent);
    families.counter("cornelwind_platform_calls_total", "Calls to the platform.", figures.platformCalls);
    families.counter("cornelwind_spans_dropped_total", "Spans that were not exported.", figures.spansDropped);
    MetricFamily& decisions = families.family("cornelwind_decisions_total", "Decisions by kind.", MetricType::Counter);
    for (std::size_t i = 0; i < figures.decisions.size(); ++i) {
        ClientMetric metric;
        metric.label = { { "kind", toString(static_cast<DecisionKind>(i)) } };
        metric.counter.value = static_cast<double>(figures.decisions[i]);
        decisions.metric.push_back(metric);
    }
    families.counter("cornelwind_log_lines_dropped_total", "Log lines that standard output did not take in time.", figures.logLinesDropped);
    std::move(families.all().begin(), families.all().end(), std::back_inserter(requests));
    return prometheus::TextSerializer().Serialize(requests);
}

} // namespace cornelwind
