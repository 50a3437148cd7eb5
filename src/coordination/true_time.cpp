#include "coordination/true_time.h"

#include <algorithm>

namespace lacewing {

namespace {

// Part of a small deviation that each reading corrects.
constexpr std::int64_t correction_divisor = 16;

} // namespace

void true_time::on_reading(time_ms steady, time_ms time_of_day) {
    const auto measured = time_of_day - steady;
    if (!known_) {
        offset_ = measured;
        known_ = true;
        return;
    }
    if (agreed_at_ && steady - *agreed_at_ < agreement_lifetime) return;
    const auto deviation = measured - offset_;
    if (deviation < max_drift && time_ms{0} - deviation < max_drift) {
        offset_ += deviation / correction_divisor;
        step_since_.reset();
        return;
    }
    if (!step_since_) step_since_ = steady;
    if (steady - *step_since_ < step_adoption) return;
    offset_ = measured;
    step_since_.reset();
}

void true_time::on_agreement(time_ms steady, time_ms agreed) {
    offset_ = agreed - steady;
    known_ = true;
    agreed_at_ = steady;
    step_since_.reset();
}

std::optional<time_ms> majority_median(std::vector<time_ms> values) {
    constexpr std::size_t min_values = 3;
    if (values.size() < min_values) return std::nullopt;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace lacewing
