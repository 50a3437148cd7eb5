#include "coordination/key_policy.h"

#include <algorithm>

namespace lacewing {

namespace {

// How long a decision under a policy is valid. The control thread renews it several times in this period; it
// must expire soon when that thread stops.
constexpr time_ms policy_decision_lifetime{500};
constexpr time_ms never_valid{-1};

// Time until which the key list may be used under one verdict.
time_ms valid_until(time_ms now, key_verdict verdict, std::optional<time_ms> age,
                    const key_policy_settings& policy) {
    if (!age) return never_valid;
    const auto confirmed_at = now - *age;
    switch (verdict) {
    case key_verdict::fresh:
        return confirmed_at + freshness_settings{}.bound;
    case key_verdict::serve_under_outage_policy:
        if (!policy.serve_on_store_outage) return never_valid;
        return std::min(now + policy_decision_lifetime, confirmed_at + policy.outage_bound);
    case key_verdict::serve_under_partition_policy:
        if (!policy.serve_on_partition) return never_valid;
        return std::min(now + policy_decision_lifetime, confirmed_at + policy.partition_bound);
    case key_verdict::stale:
        return never_valid;
    }
    return never_valid;
}

} // namespace

time_ms keys_valid_until(time_ms now, key_verdict verdict, key_verdict upcoming, std::optional<time_ms> age,
                         const key_policy_settings& policy) {
    const auto current = valid_until(now, verdict, age, policy);
    return verdict == key_verdict::fresh ? std::max(current, valid_until(now, upcoming, age, policy))
                                         : current;
}

} // namespace lacewing
