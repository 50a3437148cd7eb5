#include "coordination/usage_reporter.h"

#include <algorithm>

namespace lacewing {

namespace {

// Counts settle for at least this long after the end of a window: they reach the holder in two steps.
constexpr time_ms min_settling{1500};
// A new holder has to learn the counts first.
constexpr time_ms min_holding{1600};
constexpr time_ms holding_per_window{500};
constexpr time_ms max_holding{30'000};
// Part of the time that a report has for which missing counts are waited for.
constexpr std::int64_t waiting_tenths = 6;
constexpr time_ms first_back_off{250};
constexpr time_ms max_back_off{2000};

} // namespace

duty_progress usage_reporter::without_accepted(const duty_progress& stored) const {
    auto kept = stored;
    while (!kept.fixed.empty() && accepted_.contains(kept.next_window)) {
        kept.fixed.erase(kept.next_window);
        ++kept.next_window;
    }
    return kept;
}

// A window is fixed when the counts of all live VMs are there, and in any case when most of the time that
// its report has is over.
bool usage_reporter::may_fix(time_ms now, time_ms held, std::int64_t window, bool complete) const {
    const auto since_end = now - length_ * (window + 1);
    if (since_end < min_settling || held < min_holding) return false;
    if (complete) return true;
    // The VMs send their backlog piece by piece.
    const auto backlog = since_end.count / length_.count;
    return since_end >= late_ * waiting_tenths / 10 &&
           held >= min_holding + std::min(holding_per_window * backlog, max_holding);
}

std::optional<std::int64_t> usage_reporter::next_report(time_ms now, const duty_progress& stored) const {
    if (now < next_try_) return std::nullopt;
    for (const auto& [window, counts] : stored.fixed) {
        if (!accepted_.contains(window)) return window;
    }
    return std::nullopt;
}

void usage_reporter::on_accepted(std::int64_t window) {
    accepted_.insert(window);
    // Windows that long ago have left the store's record.
    while (accepted_.size() > 4 * max_fixed)
        accepted_.erase(accepted_.begin());
    next_try_ = time_ms{0};
    failures_ = 0;
}

void usage_reporter::on_failed(time_ms now) {
    auto pause = first_back_off;
    for (int i = 0; i < failures_ && pause < max_back_off; ++i)
        pause = pause * 2;
    next_try_ = now + std::min(pause, max_back_off);
    ++failures_;
}

} // namespace lacewing
