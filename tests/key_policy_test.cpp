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

TEST_CASE("key policy: keys are used during a partition although the policy does not allow it") {
    CHECK_FALSE(usable(key_verdict::serve_under_partition_policy, 5_s, {}));
}

TEST_CASE("key policy: keys are refused within the bound of the partition policy, or used beyond it") {
    key_policy_settings policy;
    policy.serve_on_partition = true;
    policy.partition_bound = 60_s;
    CHECK(usable(key_verdict::serve_under_partition_policy, 59_s, policy));
    CHECK_FALSE(usable(key_verdict::serve_under_partition_policy, 61_s, policy));
}

TEST_CASE(
    "key policy: in a store outage, keys are refused within the bound, or used beyond it or when forbidden") {
    key_policy_settings policy;
    CHECK(usable(key_verdict::serve_under_outage_policy, 899_s, policy));
    CHECK_FALSE(usable(key_verdict::serve_under_outage_policy, 901_s, policy));
    policy.serve_on_store_outage = false;
    CHECK_FALSE(usable(key_verdict::serve_under_outage_policy, 5_s, policy));
}

// Guards against a process that pauses after a decision and then still uses an outdated key list.
TEST_CASE("key policy: a decision to use the key list is valid for too long") {
    const auto until = keys_valid_until(now, key_verdict::fresh, key_verdict::fresh, 1_s, {});
    CHECK(until == now + 2_s);
    const auto outage = key_verdict::serve_under_outage_policy;
    CHECK(keys_valid_until(now, outage, outage, 5_s, {}) < now + 1_s);
}

TEST_CASE("key policy: keys are used although the list was never confirmed") {
    for (const auto verdict :
         {key_verdict::fresh, key_verdict::serve_under_outage_policy, key_verdict::stale}) {
        CHECK_FALSE(usable(verdict, std::nullopt, {}));
    }
}

TEST_CASE(
    "key policy: keys become unusable between the end of a confirmation and the verdict of a store outage") {
    const auto age = freshness_settings{}.bound - 100_ms;
    const auto until =
        keys_valid_until(now, key_verdict::fresh, key_verdict::serve_under_outage_policy, age, {});
    CHECK(until >= now + 100_ms + verdict_lookahead);
    // An upcoming partition or an upcoming stale verdict neither shortens nor extends the time for which the
    // list is fresh.
    CHECK(keys_valid_until(now, key_verdict::fresh, key_verdict::serve_under_partition_policy, age, {}) ==
          now + 100_ms);
    CHECK(keys_valid_until(now, key_verdict::fresh, key_verdict::stale, age, {}) == now + 100_ms);
}
