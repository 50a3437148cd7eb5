#include "coordination/token_bucket.h"

#include <algorithm>
#include <stdexcept>

namespace lacewing {

namespace {

// A clock that runs 1 % fast refills 0.99 × 1.01 < 1 of the nominal rate.
constexpr std::int64_t refill_percent = 99;

// Longer intervals fill any bucket; the bound keeps the products below within 64 bits.
constexpr std::int64_t longest_refill_ms = 3'600'000;

} // namespace

std::int64_t token_bucket::limit() const {
    return std::max<std::int64_t>(0, capacity_ - rate_);
}

void token_bucket::advance(time_ms now) {
    if (now <= updated_) {
        return;
    }
    const std::int64_t elapsed = std::min((now - updated_).count, longest_refill_ms);
    updated_ = now;
    const std::int64_t full = limit();
    if (rate_ == 0 || level_ >= full) {
        remainder_ = 0;
        return;
    }
    // Comparing by division first avoids an overflow for a large rate after a long pause.
    if (elapsed > (full / rate_ + 1) * 2) {
        level_ = full;
        remainder_ = 0;
        return;
    }
    const std::int64_t hundredths = rate_ * elapsed * refill_percent + remainder_;
    level_ += hundredths / 100;
    remainder_ = hundredths % 100;
    if (level_ >= full) {
        level_ = full;
        remainder_ = 0;
    }
}

void token_bucket::set_limits(std::int64_t rate, std::int64_t capacity) {
    if (rate < 0 || capacity < 0) {
        throw std::invalid_argument("token bucket: negative rate or capacity");
    }
    rate_ = rate;
    capacity_ = capacity;
    level_ = std::min(level_, limit());
}

void token_bucket::add(std::int64_t tokens) {
    if (tokens < 0) {
        throw std::invalid_argument("token bucket: negative tokens");
    }
    level_ = std::max(level_, std::min(level_ + tokens, limit()));
}

bool token_bucket::take(std::int64_t tokens) {
    if (tokens < 0 || level_ < tokens) {
        return false;
    }
    level_ -= tokens;
    return true;
}

time_ms token_bucket::time_of(std::int64_t tokens) const {
    if (level_ >= tokens) {
        return updated_;
    }
    if (rate_ == 0 || tokens > limit()) {
        return far_future;
    }
    const std::int64_t missing = (tokens - level_) * 100;
    const std::int64_t per_ms = rate_ * refill_percent;
    return updated_ + time_ms{(missing + per_ms - 1) / per_ms};
}

} // namespace lacewing
