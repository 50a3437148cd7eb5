#include "state/admission_ledger.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace lacewing;

namespace {

constexpr std::int64_t micro_tokens_per_request = 1'000'000;

// Checks the limit by its definition (INV-4): at most rate x window + burst admissions in every window that
// begins and ends with an admission.
bool all_windows_within_limits(const std::vector<std::int64_t>& times, std::int64_t rate,
                               std::int64_t burst) {
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size(); ++last) {
            const auto count = static_cast<std::int64_t>(last - first + 1);
            if (count * micro_tokens_per_request > rate * (times[last] - times[first]) + burst) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

TEST_CASE("ledger: the token bucket agrees with a comparison of all windows") {
    int runs_with_violation = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto rate = static_cast<std::int64_t>(random() % 200'000);
        const auto burst = static_cast<std::int64_t>(random() % 12 + 1) * micro_tokens_per_request / 2;
        admission_ledger ledger;
        ledger.set_limits({0}, "a", rate, burst);
        std::vector<std::int64_t> times;
        std::int64_t now = 0;
        bool all_within_limits = true;
        for (int i = 0; i < 40; ++i) {
            now += static_cast<std::int64_t>(random() % 30);
            const bool would_admit = ledger.would_admit({now}, "a");
            times.push_back(now);
            const bool within_limits = ledger.record({now}, "a");
            if (all_within_limits) {
                CHECK(would_admit == within_limits);
                CHECK(within_limits == all_windows_within_limits(times, rate, burst));
            }
            all_within_limits = all_within_limits && within_limits;
        }
        runs_with_violation += all_within_limits ? 0 : 1;
    }
    CHECK(runs_with_violation > 30);
    CHECK(runs_with_violation < 270);
}

TEST_CASE("ledger: after a reduction, windows that begin later are checked against the new limits") {
    admission_ledger ledger;
    ledger.set_limits({0}, "a", 1000, 10 * micro_tokens_per_request);
    ledger.set_limits({1000}, "a", 1000, 2 * micro_tokens_per_request);
    CHECK(ledger.record({1000}, "a"));
    CHECK(ledger.record({1000}, "a"));
    CHECK_FALSE(ledger.record({1000}, "a"));
    CHECK(ledger.violations() == 1);
    CHECK_FALSE(ledger.record({1000}, "unknown"));
}
