#include "coordination/catch_up.h"

#include <algorithm>

namespace lacewing {

void catch_up::set_live_vms(std::size_t count) {
    const auto others = static_cast<std::int64_t>(std::max<std::size_t>(1, count) - 1);
    spread_ = std::min(max_spread, spread_per_vm * others);
}

time_ms catch_up::random_wait() {
    return {std::uniform_int_distribution<std::int64_t>(0, spread_.count)(random_)};
}

bool catch_up::on_report(time_ms now, const std::string& kind, std::uint64_t reported, std::uint64_t own) {
    auto found = missing_.find(kind);
    // Only the own copy ends the wait: a report of a VM that is behind as well says nothing about the change.
    if (found != missing_.end() && !found->second.fetching && own >= found->second.revision) {
        missing_.erase(found);
        found = missing_.end();
    }
    if (reported <= own) return false;
    if (found == missing_.end()) {
        const auto due = now + delay + random_wait();
        found = missing_.try_emplace(kind, missing_change{reported, due}).first;
    }
    auto& missing = found->second;
    if (missing.fetching || now < missing.due) return false;
    missing.fetching = true;
    return true;
}

void catch_up::finished(time_ms now, const std::string& kind) {
    const auto found = missing_.find(kind);
    if (found == missing_.end()) return;
    found->second.fetching = false;
    found->second.due = now + random_wait();
}

bool snapshot_budget::may_send(time_ms now) {
    level_ =
        std::min(burst_bytes, level_ + bytes_per_ms * std::max<std::int64_t>(0, (now - refilled_).count));
    refilled_ = std::max(refilled_, now);
    return level_ > 0;
}

} // namespace lacewing
