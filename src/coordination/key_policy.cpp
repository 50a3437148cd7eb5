#include "coordination/key_policy.h"

#include <algorithm>

namespace lacewing {

namespace {

// A verdict under a policy is renewed several times in this period; it must not outlive a thread that
// stopped.
constexpr time_ms policy_validity{500};
constexpr time_ms never_valid{-1};

// What one verdict allows.
time_ms valid_until(time_ms now, key_verdict verdict, std::optional<time_ms> age,
                    const key_policy_settings& policy) {
    if (!age) return never_valid;
    const auto confirmed_at = now - *age;
    switch (verdict) {
    case key_verdict::fresh:
        return confirmed_at + freshness_settings{}.bound;
    case key_verdict::serve_under_outage_policy:
        if (!policy.serve_on_store_outage) return never_valid;
        return std::min(now + policy_validity, confirmed_at + policy.outage_bound);
    case key_verdict::serve_under_partition_policy:
        if (!policy.serve_on_partition) return never_valid;
        return std::min(now + policy_validity, confirmed_at + policy.partition_bound);
    case key_verdict::stale:
        return never_valid;
    }
    return never_valid;
}

} // namespace

time_ms keys_valid_until(time_ms now, key_verdict verdict, key_verdict next, std::optional<time_ms> age,
                         const key_policy_settings& policy) {
    const auto current = valid_until(now, verdict, age, policy);
    return verdict == key_verdict::fresh ? std::max(current, valid_until(now, next, age, policy)) : current;
}

} // namespace lacewing
