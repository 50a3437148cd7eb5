#include "coordination/stop_schedule.h"

#include <algorithm>

namespace lacewing {

namespace {

// Longest stages, for a long grace; with a short one, each takes its part of the grace.
constexpr time_ms max_close_idle_after{2500};
// A request that is sent later than 3 s after the signal has to be answered whatever happens. The difference
// covers the delays of the signal and of the request.
constexpr time_ms max_restrict_after{2800};
constexpr std::int64_t announcement_divisor = 2;
// Time from end() to the kill, for the last answers and for a late signal.
constexpr time_ms max_end_margin{400};
constexpr std::int64_t end_margin_divisor = 10;
// Time that the answer to an expired request may take to be written.
constexpr time_ms answer_write_time{100};
// The expected time of an answer may be exceeded by this factor.
constexpr std::int64_t expected_time_factor = 2;

} // namespace

time_ms stop_schedule::close_idle_at() const {
    return signalled_ + std::min(max_close_idle_after, grace_ / announcement_divisor);
}

time_ms stop_schedule::restrict_at() const {
    return signalled_ + std::min(max_restrict_after, grace_ / announcement_divisor);
}

time_ms stop_schedule::end() const {
    return signalled_ + grace_ - end_margin();
}

time_ms stop_schedule::exit_at() const {
    return end() + end_margin() / 2;
}

time_ms stop_schedule::end_margin() const {
    return std::min(max_end_margin, grace_ / end_margin_divisor);
}

bool stop_schedule::admits(time_ms now, time_ms expected_answer, time_ms deadline) const {
    if (deadline + answer_write_time <= end()) return true;
    return now < restrict_at() && now + (expected_answer - now) * expected_time_factor <= end();
}

} // namespace lacewing
