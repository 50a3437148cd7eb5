#include "coordination/retry_budget.h"

#include <algorithm>

namespace lacewing {

namespace {

using namespace literals;

constexpr std::int64_t tenths_per_retry = 10;
// Retries that may be saved up; bounds the burst when an endpoint with many requests in flight dies.
constexpr std::int64_t max_saved_tenths = 100 * tenths_per_retry;
constexpr std::uint32_t max_attempts = 3;
constexpr time_ms base_delay = 10_ms;
constexpr time_ms max_delay = 1_s;
// A retry that starts closer to the deadline than a typical answer takes only adds load.
constexpr time_ms min_time_for_attempt = 5_ms;

// Whether the kind of failure and the route permit another execution.
bool repeat_is_safe(const failed_attempt& attempt, const route& target) {
    switch (answer_for(attempt.kind).retry) {
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
    tenths_ = std::min(tenths_ + 1, max_saved_tenths);
}

bool retry_budget::take() {
    if (tenths_ < tenths_per_retry) return false;
    tenths_ -= tenths_per_retry;
    return true;
}

std::optional<time_ms> decide_retry(const failed_attempt& attempt, const route& target, retry_budget& budget,
                                    std::mt19937_64& random) {
    if (attempt.attempt >= max_attempts || !attempt.replayable) return std::nullopt;
    if (!repeat_is_safe(attempt, target)) return std::nullopt;
    const auto shift = std::min<std::uint32_t>(attempt.attempt - 1, 10);
    const auto ceiling = std::min(base_delay * (std::int64_t{1} << shift), max_delay);
    const time_ms delay{std::uniform_int_distribution<std::int64_t>{0, ceiling.count}(random)};
    if (delay + min_time_for_attempt > attempt.remaining) return std::nullopt;
    if (!budget.take()) return std::nullopt;
    return delay;
}

} // namespace lacewing
