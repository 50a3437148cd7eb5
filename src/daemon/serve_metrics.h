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

/// @brief Counters of the request path. The registry may be read by another thread.
class serve_metrics {
public:
    explicit serve_metrics(prometheus::Registry& registry);

    /// @brief Counts a finished request.
    /// @param kind Error kind, or nothing for an answer of the endpoint.
    void record(std::string_view account, std::string_view route, std::optional<error_kind> kind,
                time_ms latency);
    void count_lookup() { lookups_.Increment(); }
    void count_retry() { retries_.Increment(); }

private:
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Counter& lookups_;
    prometheus::Counter& retries_;
    // Label lookups in the registry take a lock; these maps avoid them after the first request.
    std::unordered_map<std::string, prometheus::Counter*> counters_;
    std::unordered_map<std::string, prometheus::Histogram*> histograms_;
    std::string scratch_;
};

} // namespace lacewing
