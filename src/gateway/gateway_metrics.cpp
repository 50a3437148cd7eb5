// The gateway's counters as text, for its metrics address.

#include "gateway/gateway.h"

#include "gateway/placement_log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

namespace lacewing {

std::string gateway::metrics() const {
    const auto& counted = flow_.counters();
    std::string out;
    const auto add = [&out](std::string_view name, auto value) {
        out += fmt::format("{} {}\n", name, value);
    };
    add("lacewing_requests_total", counted.requests);
    add("lacewing_answered_total", counted.answered);
    add("lacewing_endpoint_failures_total", counted.failed_by_endpoint);
    add("lacewing_repeats_total", counted.repeats);
    add("lacewing_stated_not_run_total", counted.stated_not_run);
    add("lacewing_unproven_refusals_total", counted.unproven_refusals);
    add("lacewing_callers_left_total", counted.callers_left);
    add("lacewing_refused_by_shift_limit_total", counted.refused_by_shift_limit);
    add("lacewing_refused_by_endpoint_limits_total", counted.refused_by_endpoint_limits);
    add("lacewing_sent_to_limited_endpoints_total", counted.sent_to_limited_endpoints);
    add("lacewing_refused_by_endpoint_pauses_total", counted.refused_by_endpoint_pauses);
    add("lacewing_endpoints_leaving_or_paused", registry_.endpoints_without_requests(monotonic_now()));
    add("lacewing_limited_endpoints", registry_.limited_endpoint_count());
    for (const auto& row : all_error_answers()) {
        const auto count = counted.refused[static_cast<std::size_t>(row.kind)];
        if (count != 0) out += fmt::format("lacewing_refused_total{{kind=\"{}\"}} {}\n", row.name, count);
    }
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counted.latency_counts.size(); ++i) {
        cumulative += counted.latency_counts[i];
        const auto bound = i < request_counters::latency_bounds_ms.size()
                               ? std::to_string(request_counters::latency_bounds_ms[i])
                               : "+Inf";
        out += fmt::format("lacewing_request_ms_bucket{{le=\"{}\"}} {}\n", bound, cumulative);
    }
    add("lacewing_request_ms_sum", counted.latency_sum_ms);
    add("lacewing_request_ms_count", cumulative);
    add("lacewing_store_calls_total", store_.calls());
    add("lacewing_buffered_answer_bytes", flow_.buffered_answers().held());
    add("lacewing_stored_object_bytes", mirror_.bytes());
    out += fmt::format("lacewing_objects_left_out_total{{cause=\"unusable\"}} {}\n",
                       mirror_.left_out().unusable);
    out += fmt::format("lacewing_objects_left_out_total{{cause=\"memory\"}} {}\n",
                       mirror_.left_out().beyond_memory);
    add("lacewing_peer_bytes_sent_total", peers_->bytes_sent());
    add("lacewing_reports_received_total", reports_received_);
    add("lacewing_outdated_reports_total", outdated_reports_);
    add("lacewing_dropped_relayed_reports_total", relay_.dropped());
    add("lacewing_cpu_ms_total", process_cpu_time().count);
    const auto& shifts = selector_.shift_limiter().decisions();
    add("lacewing_shift_decisions_without_history_total", shifts.without_history);
    add("lacewing_shift_decisions_below_share_total", shifts.below_share);
    add("lacewing_shift_decisions_within_limit_total", shifts.within_limit);
    add("lacewing_shift_decisions_refused_total", shifts.refused);
    add("lacewing_shift_decisions_with_failed_slots_total", shifts.with_failed_slots);
    add("lacewing_region_report_age_ms", selector_.shift_limiter().report_age_ms());
    out += placement_metrics(selector_.placement().changes());
    add("lacewing_endpoints", registry_.size());
    if (duty_ != nullptr) out += duty_->metrics();
    add("lacewing_vms_alive", fleet_.alive_vm_count(monotonic_now()));
    add("lacewing_listed_vms", listed_vms_);
    add("lacewing_busy_permille", fleet_.self().busy_permille);
    add("lacewing_watches_store", watches_store_ ? 1 : 0);
    add("lacewing_caller_connections", callers_.connections());
    const auto& memory = callers_.memory();
    add("lacewing_caller_memory_bytes", memory.held());
    add("lacewing_caller_memory_budget_bytes", memory.budget());
    for (const auto cause : {memory_cause::unfinished_request, memory_cause::unread_answer,
                             memory_cause::budget_used_up, memory_cause::no_connection_left}) {
        add(fmt::format("lacewing_callers_shed_total{{cause=\"{}\"}}", to_string(cause)),
            memory.count(cause));
    }
    add("lacewing_caller_connections_closed_for_others_total", callers_.evicted_connections());
    if (flow_.routes() != nullptr)
        add("lacewing_configuration_version", flow_.routes()->configuration().version);
    return out;
}

} // namespace lacewing
