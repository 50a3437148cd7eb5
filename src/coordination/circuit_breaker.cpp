#include "coordination/circuit_breaker.h"

#include <algorithm>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::uint32_t failures_in_row_to_open = 5;
// A failure rate is judged only on this many requests, so that one failure of two does not open the breaker.
constexpr std::uint32_t min_window_requests = 20;
constexpr time_ms window_length = 10_s;
constexpr time_ms first_open_time = 1_s;
// 2^5 s; an endpoint that comes back is found again within half a minute.
constexpr std::uint8_t max_doublings = 5;
constexpr std::uint8_t probes_to_close = 3;

} // namespace

bool circuit_breaker::allows(time_ms now) const {
    if (state_ == state::closed) return true;
    return !probe_in_flight_ && now >= retry_at_;
}

bool circuit_breaker::on_send(time_ms now) {
    if (state_ == state::closed) return false;
    if (state_ == state::open && now >= retry_at_) {
        state_ = state::half_open;
        probe_successes_ = 0;
    }
    probe_in_flight_ = true;
    return true;
}

bool circuit_breaker::on_success(time_ms now, bool probe) {
    if (state_ == state::closed) {
        roll_window(now);
        ++window_requests_;
        consecutive_failures_ = 0;
        return false;
    }
    // A late success of a request sent before the breaker opened is no evidence of recovery.
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
    roll_window(now);
    ++window_requests_;
    ++window_failures_;
    ++consecutive_failures_;
    const bool rate_too_high =
        window_requests_ >= min_window_requests && window_failures_ * 2 >= window_requests_;
    if (consecutive_failures_ >= failures_in_row_to_open || rate_too_high) open(now);
}

void circuit_breaker::on_neutral(bool probe) {
    if (probe) probe_in_flight_ = false;
}

// Opens the breaker for a time that doubles with each failed probe.
void circuit_breaker::open(time_ms now) {
    state_ = state::open;
    retry_at_ = now + first_open_time * (std::int64_t{1} << reopenings_);
    reopenings_ = std::min<std::uint8_t>(static_cast<std::uint8_t>(reopenings_ + 1), max_doublings);
}

// Starts a new counting window when the current one is over.
void circuit_breaker::roll_window(time_ms now) {
    if (now - window_start_ < window_length) return;
    window_start_ = now;
    window_requests_ = 0;
    window_failures_ = 0;
}

} // namespace lacewing
