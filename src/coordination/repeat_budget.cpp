#include "coordination/repeat_budget.h"

namespace lacewing {

repeat_budget::second_counts& repeat_budget::counts_at(second_ring& counts, time_ms now) {
    const auto second = now.count / 1000;
    auto& entry = counts[static_cast<std::size_t>(second) % window_seconds];
    if (entry.second != second) entry = {second, 0, 0};
    return entry;
}

void repeat_budget::on_request(time_ms now, const std::string& service) {
    counts_at(services_[service], now).requests += 1;
}

bool repeat_budget::take(time_ms now, const std::string& service) {
    auto& counts = services_[service];
    const auto oldest = now.count / 1000 - static_cast<std::int64_t>(window_seconds);
    double requests = 0;
    double repeats = 0;
    for (const auto& entry : counts) {
        if (entry.second <= oldest) continue;
        requests += entry.requests;
        repeats += entry.repeats;
    }
    const double slack = now < slack_from_ ? 0 : slack_ / static_cast<double>(vms_);
    const double allowed = used_fraction * (ratio_ * requests + slack);
    if (repeats + 1 > allowed) return false;
    counts_at(counts, now).repeats += 1;
    return true;
}

} // namespace lacewing
