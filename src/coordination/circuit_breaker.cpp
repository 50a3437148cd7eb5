#include "coordination/circuit_breaker.h"

#include <algorithm>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::uint32_t consecutive_failures_to_open = 5;
// Requests in a window before its failure rate counts, so that one failure out of two does not open the
// breaker.
constexpr std::uint32_t min_window_requests = 20;
constexpr time_ms window_length = 10_s;
constexpr time_ms initial_open_time = 1_s;
// Limits the open time to 2^5 s, so that a recovered endpoint is probed again after about half a minute at
// most.
constexpr std::uint8_t max_open_time_doublings = 5;
constexpr std::uint8_t probes_to_close = 3;

} // namespace

bool circuit_breaker::allows(time_ms now) const {
    if (state_ == state::closed) return true;
    return !probe_in_flight_ && now >= probe_allowed_at_;
}

bool circuit_breaker::on_send(time_ms now) {
    if (state_ == state::closed) return false;
    if (state_ == state::open && now >= probe_allowed_at_) {
        state_ = state::half_open;
        probe_successes_ = 0;
    }
    probe_in_flight_ = true;
    return true;
}

bool circuit_breaker::on_success(time_ms now, bool probe) {
    if (state_ == state::closed) {
        reset_expired_window(now);
        ++window_requests_;
        consecutive_failures_ = 0;
        return false;
    }
    // A request that was sent before the breaker opened says nothing about recovery.
    if (!probe) return false;
    probe_in_flight_ = false;
    if (++probe_successes_ < probes_to_close) return false;
    *this = circuit_breaker{};
    window_start_ = now;
    return true;
}

void circuit_breaker::on_failure(time_ms now, bool probe) {
    if (state_ != state::closed) {
        if (!probe) return;
        probe_in_flight_ = false;
        open(now);
        return;
    }
    reset_expired_window(now);
    ++window_requests_;
    ++window_failures_;
    ++consecutive_failures_;
    const bool failure_rate_exceeded =
        window_requests_ >= min_window_requests && window_failures_ * 2 >= window_requests_;
    if (consecutive_failures_ >= consecutive_failures_to_open || failure_rate_exceeded) open(now);
}

void circuit_breaker::on_neutral(bool probe) {
    if (probe) probe_in_flight_ = false;
}

// Opens the breaker. The time until the next probe doubles with each failed probe.
void circuit_breaker::open(time_ms now) {
    state_ = state::open;
    probe_allowed_at_ = now + initial_open_time * (std::int64_t{1} << open_time_doublings_);
    open_time_doublings_ =
        std::min<std::uint8_t>(static_cast<std::uint8_t>(open_time_doublings_ + 1), max_open_time_doublings);
}

// Starts a new window of counts when the current one is over.
void circuit_breaker::reset_expired_window(time_ms now) {
    if (now - window_start_ < window_length) return;
    window_start_ = now;
    window_requests_ = 0;
    window_failures_ = 0;
}

} // namespace lacewing
