#include "daemon/serve_metrics.h"

namespace lacewing {

namespace {

// Upper bounds in seconds. They start at 1 ms because the system should add less than that to a request, and
// end at 60 s, the longest deadline.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                              0.2,   0.5,   1,     2,    5,    10,   60};

} // namespace

serve_metrics::serve_metrics(prometheus::Registry& registry)
    : request_family_(prometheus::BuildCounter()
                          .Name("lacewing_requests_total")
                          .Help("Finished requests by account, route and outcome.")
                          .Register(registry)),
      latency_family_(prometheus::BuildHistogram()
                          .Name("lacewing_request_seconds")
                          .Help("Time from the header of a request to the end of its answer.")
                          .Register(registry)),
      lookup_counter_(prometheus::BuildCounter()
                          .Name("lacewing_lookups_total")
                          .Help("Answered entry lookups.")
                          .Register(registry)
                          .Add({})),
      retry_counter_(prometheus::BuildCounter()
                         .Name("lacewing_retries_total")
                         .Help("Attempts beyond the first one of a request.")
                         .Register(registry)
                         .Add({})),
      shed_family_(prometheus::BuildCounter()
                       .Name("lacewing_callers_shed_total")
                       .Help("Caller connections closed or refused for lack of memory or connections.")
                       .Register(registry)),
      caller_memory_(prometheus::BuildGauge()
                         .Name("lacewing_caller_memory_bytes")
                         .Help("Memory that the connections of callers hold.")
                         .Register(registry)
                         .Add({})) {}

void serve_metrics::count_shed(std::string_view cause, std::size_t connections) {
    shed_family_.Add({{"cause", std::string(cause)}}).Increment(static_cast<double>(connections));
}

void serve_metrics::record(std::string_view account, std::string_view route, std::optional<error_kind> kind,
                           time_ms latency) {
    const std::string_view outcome = kind ? error_answer_for(*kind).name : "answered";
    map_key_.assign(account).append("\n").append(route).append("\n").append(outcome);
    auto& counter = request_counters_[map_key_];
    if (counter == nullptr) {
        counter = &request_family_.Add({{"account", std::string(account)},
                                        {"route", std::string(route)},
                                        {"outcome", std::string(outcome)}});
    }
    counter->Increment();
    if (kind) return;
    map_key_.assign(route);
    auto& histogram = latency_histograms_[map_key_];
    if (histogram == nullptr)
        histogram = &latency_family_.Add({{"route", std::string(route)}}, latency_buckets);
    histogram->Observe(static_cast<double>(latency.count) / 1000.0);
}

} // namespace lacewing
