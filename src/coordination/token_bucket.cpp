#include "coordination/token_bucket.h"

#include <algorithm>
#include <stdexcept>

namespace lacewing {

namespace {

// With a clock that runs 1 % fast, the true refill rate is 0.99 × 1.01 < 1 of the nominal rate.
constexpr std::int64_t refill_percent = 99;

// Longest interval counted in one refill, long enough to fill any bucket. It keeps the products below within
// 64 bits.
constexpr std::int64_t max_refill_interval_ms = 3'600'000;

} // namespace

std::int64_t token_bucket::max_level() const {
    return std::max<std::int64_t>(0, capacity_ - rate_);
}

void token_bucket::advance(time_ms now) {
    if (now <= last_refill_) {
        return;
    }
    const std::int64_t elapsed = std::min((now - last_refill_).count, max_refill_interval_ms);
    last_refill_ = now;
    const std::int64_t full_level = max_level();
    if (rate_ == 0 || level_ >= full_level) {
        refill_remainder_ = 0;
        return;
    }
    // Dividing first avoids an overflow with a large rate after a long pause.
    if (elapsed > (full_level / rate_ + 1) * 2) {
        level_ = full_level;
        refill_remainder_ = 0;
        return;
    }
    const std::int64_t hundredths = rate_ * elapsed * refill_percent + refill_remainder_;
    level_ += hundredths / 100;
    refill_remainder_ = hundredths % 100;
    if (level_ >= full_level) {
        level_ = full_level;
        refill_remainder_ = 0;
    }
}

void token_bucket::set_limits(std::int64_t rate, std::int64_t capacity) {
    if (rate < 0 || capacity < 0) {
        throw std::invalid_argument("token bucket: negative rate or capacity");
    }
    rate_ = rate;
    capacity_ = capacity;
    level_ = std::min(level_, max_level());
}

void token_bucket::add(std::int64_t tokens) {
    if (tokens < 0) {
        throw std::invalid_argument("token bucket: cannot add a negative number of tokens");
    }
    level_ = std::max(level_, std::min(level_ + tokens, max_level()));
}

bool token_bucket::try_take(std::int64_t tokens) {
    if (tokens < 0 || level_ < tokens) {
        return false;
    }
    level_ -= tokens;
    return true;
}

time_ms token_bucket::time_of_level(std::int64_t tokens) const {
    if (level_ >= tokens) {
        return last_refill_;
    }
    if (rate_ == 0 || tokens > max_level()) {
        return far_future;
    }
    const std::int64_t missing = (tokens - level_) * 100;
    const std::int64_t per_ms = rate_ * refill_percent;
    return last_refill_ + time_ms{(missing + per_ms - 1) / per_ms};
}

} // namespace lacewing
