#pragma once

#include "cornelwind/request_record.h"
#include "log_budget.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace cornelwind {

/// Writes and counts what is decided about requests.
class RequestLog {
public:
    RequestLog();

    void add(const RequestRecord& record, Time now);

    /// Says how many lines were left out since the last call.
    void reportSuppressed();

    /// @return histograms and counters by service
    std::vector<prometheus::MetricFamily> metrics() const { return m_registry.Collect(); }

private:
    void count(const RequestRecord& record);

    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Histogram>& m_times;
    prometheus::Family<prometheus::Histogram>& m_waits;
    prometheus::Family<prometheus::Counter>& m_refusals;
    prometheus::Family<prometheus::Counter>& m_failures;
    prometheus::Family<prometheus::Counter>& m_notSentAgain;
    LogBudget m_budget;
};

/// @return the fields of a record as they stand in its log line, each preceded by a space
std::string formatFields(const RequestRecord& record);

/// @return whether the record tells of a failure
bool tellsFailure(const RequestRecord& record);

} // namespace cornelwind
