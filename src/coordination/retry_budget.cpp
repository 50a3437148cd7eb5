#include "coordination/retry_budget.h"

#include <algorithm>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::int64_t tenths_per_retry = 10;
// At most 100 retries accumulate, which limits the burst when an endpoint with many requests in flight fails.
constexpr std::int64_t max_saved_tenths = 100 * tenths_per_retry;
constexpr std::uint32_t max_attempts = 3;
// Limits of the random delay: before the first retry, doubling with each attempt, and in total.
constexpr time_ms initial_delay_ceiling = 10_ms;
constexpr time_ms max_delay_ceiling = 1_s;
// A retry that starts closer to the deadline than this would rarely be answered in time and only add load.
constexpr time_ms min_remaining_after_delay = 5_ms;

// Whether the request may be sent again, given what the failure says about its execution and whether the
// route permits a second execution.
bool repeat_is_safe(const failed_attempt& attempt, const route& target) {
    switch (error_answer_for(attempt.kind).retry) {
    case retry_rule::never:
        return false;
    case retry_rule::always:
        return attempt.proven_not_run || (target.idempotent && !target.once);
    case retry_rule::idempotent_only:
        return target.idempotent && !target.once;
    }
    return false;
}

} // namespace

void retry_budget::on_request() {
    saved_tenths_ = std::min(saved_tenths_ + 1, max_saved_tenths);
}

bool retry_budget::try_spend() {
    if (saved_tenths_ < tenths_per_retry) return false;
    saved_tenths_ -= tenths_per_retry;
    return true;
}

std::optional<time_ms> decide_retry(const failed_attempt& attempt, const route& target, retry_budget& budget,
                                    std::mt19937_64& random) {
    if (attempt.attempt >= max_attempts || !attempt.replayable) return std::nullopt;
    if (!repeat_is_safe(attempt, target)) return std::nullopt;
    const auto doublings = std::min<std::uint32_t>(attempt.attempt - 1, 10);
    const auto delay_ceiling =
        std::min(initial_delay_ceiling * (std::int64_t{1} << doublings), max_delay_ceiling);
    const time_ms delay{std::uniform_int_distribution<std::int64_t>{0, delay_ceiling.count}(random)};
    if (delay + min_remaining_after_delay > attempt.remaining) return std::nullopt;
    if (!budget.try_spend()) return std::nullopt;
    return delay;
}

} // namespace lacewing
