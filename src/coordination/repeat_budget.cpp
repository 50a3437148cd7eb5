#include "coordination/repeat_budget.h"

namespace lacewing {

repeat_budget::second_counts& repeat_budget::slot(history& of, time_ms now) {
    const auto second = now.count / 1000;
    auto& entry = of[static_cast<std::size_t>(second) % seconds];
    if (entry.second != second) entry = {second, 0, 0};
    return entry;
}

void repeat_budget::on_request(time_ms now, const std::string& service) {
    slot(services_[service], now).requests += 1;
}

bool repeat_budget::take(time_ms now, const std::string& service) {
    auto& of = services_[service];
    const auto oldest = now.count / 1000 - static_cast<std::int64_t>(seconds);
    double requests = 0;
    double repeats = 0;
    for (const auto& entry : of) {
        if (entry.second <= oldest) continue;
        requests += entry.requests;
        repeats += entry.repeats;
    }
    const double allowed = used_part * (ratio_ * requests + slack_ / static_cast<double>(known_));
    if (repeats + 1 > allowed) return false;
    slot(of, now).repeats += 1;
    return true;
}

} // namespace lacewing
