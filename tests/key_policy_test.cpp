#include "coordination/key_policy.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace lacewing::literals;

namespace {

constexpr time_ms now = 10'000'000_ms;

bool usable(key_verdict verdict, std::optional<time_ms> age, const key_policy_settings& policy) {
    return keys_valid_until(now, verdict, verdict, age, policy) >= now;
}

} // namespace

TEST_CASE("keys are used during a partition although the policy refuses it") {
    CHECK_FALSE(usable(key_verdict::serve_under_partition_policy, 5_s, {}));
}

TEST_CASE("keys are used during a partition beyond the bound of the policy") {
    key_policy_settings policy;
    policy.serve_on_partition = true;
    policy.partition_bound = 60_s;
    CHECK(usable(key_verdict::serve_under_partition_policy, 59_s, policy));
    CHECK_FALSE(usable(key_verdict::serve_under_partition_policy, 61_s, policy));
}

TEST_CASE("keys are used during a store outage beyond the bound of the policy, or although it refuses") {
    key_policy_settings policy;
    CHECK(usable(key_verdict::serve_under_outage_policy, 899_s, policy));
    CHECK_FALSE(usable(key_verdict::serve_under_outage_policy, 901_s, policy));
    policy.serve_on_store_outage = false;
    CHECK_FALSE(usable(key_verdict::serve_under_outage_policy, 5_s, policy));
}

TEST_CASE("a paused process goes on using a list that was fresh before the pause") {
    const auto until = keys_valid_until(now, key_verdict::fresh, key_verdict::fresh, 1_s, {});
    CHECK(until == now + 2_s);
    const auto outage = key_verdict::serve_under_outage_policy;
    CHECK(keys_valid_until(now, outage, outage, 5_s, {}) < now + 1_s);
}

TEST_CASE("keys are used although the list was never confirmed") {
    for (const auto verdict :
         {key_verdict::fresh, key_verdict::serve_under_outage_policy, key_verdict::stale}) {
        CHECK_FALSE(usable(verdict, std::nullopt, {}));
    }
}

TEST_CASE("keys run out between their last confirmation and the verdict of a store outage") {
    const auto age = freshness_settings{}.bound - 100_ms;
    const auto until =
        keys_valid_until(now, key_verdict::fresh, key_verdict::serve_under_outage_policy, age, {});
    CHECK(until >= now + 100_ms + verdict_lookahead);
    // A partition that is coming does not end the time for which the list is still fresh, and a policy
    // against serving then is kept.
    CHECK(keys_valid_until(now, key_verdict::fresh, key_verdict::serve_under_partition_policy, age, {}) ==
          now + 100_ms);
    CHECK(keys_valid_until(now, key_verdict::fresh, key_verdict::stale, age, {}) == now + 100_ms);
}
