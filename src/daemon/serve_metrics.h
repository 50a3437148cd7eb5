#pragma once

#include "state/error_kind.h"
#include "state/time_ms.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lacewing {

/// @brief Metrics of the request path. Only the serve thread updates them; other threads may read the
/// registry meanwhile.
class serve_metrics {
public:
    explicit serve_metrics(prometheus::Registry& registry);

    /// @brief Counts a finished request.
    /// @param account Name of the account, or "-" for a caller without an accepted key.
    /// @param route Name of the route, or "-" when the request names none that exists.
    /// @param kind Error that was answered; nothing when an answer of the endpoint was passed on.
    /// @param latency Time since the request header arrived; observed only for answers of the endpoint.
    void record(std::string_view account, std::string_view route, std::optional<error_kind> kind,
                time_ms latency);
    void count_lookup() { lookup_counter_.Increment(); }
    /// @brief Counts connections that were closed, or a request that was refused, for lack of memory or
    /// connections.
    void count_shed(std::string_view cause, std::size_t connections);
    void set_caller_memory(std::size_t bytes) { caller_memory_.Set(static_cast<double>(bytes)); }
    /// @brief Counts an attempt after the first one of a request.
    void count_retry() { retry_counter_.Increment(); }

private:
    prometheus::Family<prometheus::Counter>& request_family_;
    prometheus::Family<prometheus::Histogram>& latency_family_;
    prometheus::Counter& lookup_counter_;
    prometheus::Counter& retry_counter_;
    prometheus::Family<prometheus::Counter>& shed_family_;
    prometheus::Gauge& caller_memory_;
    // Metrics by label values. Looking up labels in the registry takes a lock, which these maps avoid after
    // the first request with the same labels.
    std::unordered_map<std::string, prometheus::Counter*> request_counters_;
    std::unordered_map<std::string, prometheus::Histogram*> latency_histograms_;
    // Kept between calls so that building a key allocates no memory.
    std::string map_key_;
};

} // namespace lacewing
