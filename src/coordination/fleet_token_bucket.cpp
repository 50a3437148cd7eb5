#include "coordination/fleet_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A VM saves at most its share of the refill of this many seconds.
constexpr double max_saved_refill_s = 0.5;
// Smallest rate of own tokens from which a wait is computed.
constexpr double min_own_rate_per_s = 0.1;

} // namespace

void fleet_token_bucket::configure(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst_);
}

void fleet_token_bucket::refill(time_ms now, double fraction, double share) {
    const double seconds = static_cast<double>((now - updated_).count) / 1000.0;
    if (seconds <= 0) return;
    updated_ = now;
    level_ = std::min(burst_, level_ + rate_ * fraction * seconds);
    const double own_rate = rate_ * fraction * share;
    const double max_own_tokens = std::max(1.0, own_rate * max_saved_refill_s);
    // Nothing is saved while the level is negative; otherwise all VMs would spend their saved tokens at once
    // when it is no longer negative.
    if (level_ >= 0) own_tokens_ = std::min(max_own_tokens, own_tokens_ + own_rate * seconds);
}

bool fleet_token_bucket::has_token(bool may_share) const {
    const bool well_filled = may_share && level_ >= std::max(1.0, burst_ / 2);
    // A negative level means that several VMs gave out the same tokens; the refill first makes up for them.
    return well_filled || (level_ >= 0 && own_tokens_ >= 1);
}

void fleet_token_bucket::take() {
    level_ -= 1;
    own_tokens_ = std::max(0.0, own_tokens_ - 1);
}

void fleet_token_bucket::refund() {
    level_ += 1;
    own_tokens_ += 1;
}

time_ms fleet_token_bucket::wait(double fraction, double share) const {
    const double own_rate = std::max(min_own_rate_per_s, rate_ * fraction * share);
    return time_ms{static_cast<std::int64_t>(std::ceil((1 - own_tokens_) * 1000 / own_rate))};
}

} // namespace lacewing
