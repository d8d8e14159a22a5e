#pragma once

#include "cornelwind/request_record.h"
#include "log_rate_limiter.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace cornelwind {

/// Logs the steps of requests, at a limited rate, and counts them in metrics.
class RequestLog {
public:
    RequestLog();

    /// Counts a record in the metrics and logs it unless the rate limit is reached.
    void add(const RequestRecord& record, Time now);

    /// Logs how many lines the rate limit suppressed since the last call, if any.
    void reportSuppressed();

    /// @return histograms and counters of requests, by service
    std::vector<prometheus::MetricFamily> metrics() const { return m_registry.Collect(); }

private:
    void count(const RequestRecord& record);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Histogram>& m_durations;
    prometheus::Family<prometheus::Histogram>& m_placementTimes;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Counter>& m_notRetried;
    LogRateLimiter m_rateLimiter;
};

/// @return the fields of a record's log line as `key=value` pairs, each preceded by a space
std::string formatFields(const RequestRecord& record);

/// @return whether the record reports a failure: a failed try, a request not retried, a refusal or a response with a
///         status of 500 or higher
bool isFailure(const RequestRecord& record);

} // namespace cornelwind
