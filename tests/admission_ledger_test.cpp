#include "state/admission_ledger.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace lacewing;

namespace {

constexpr std::int64_t request = 1'000'000;

// INV-4 by definition: compares every window that begins and ends with an admission.
bool holds_for_all_windows(const std::vector<std::int64_t>& times, std::int64_t rate, std::int64_t burst) {
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size(); ++last) {
            const auto count = static_cast<std::int64_t>(last - first + 1);
            if (count * request > rate * (times[last] - times[first]) + burst) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

TEST_CASE("ledger: the reference bucket agrees with the comparison of all windows") {
    int broken = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto rate = static_cast<std::int64_t>(random() % 200'000);
        const auto burst = static_cast<std::int64_t>(random() % 12 + 1) * request / 2;
        admission_ledger ledger;
        ledger.set_limits({0}, "a", rate, burst);
        std::vector<std::int64_t> times;
        std::int64_t now = 0;
        bool held = true;
        for (int i = 0; i < 40; ++i) {
            now += static_cast<std::int64_t>(random() % 30);
            const bool would = ledger.would_admit({now}, "a");
            times.push_back(now);
            const bool holds = ledger.record({now}, "a");
            if (held) {
                CHECK(would == holds);
                CHECK(holds == holds_for_all_windows(times, rate, burst));
            }
            held = held && holds;
        }
        broken += held ? 0 : 1;
    }
    CHECK(broken > 30);
    CHECK(broken < 270);
}

TEST_CASE("ledger: after a reduction windows within the new limits are checked against them") {
    admission_ledger ledger;
    ledger.set_limits({0}, "a", 1000, 10 * request);
    ledger.set_limits({1000}, "a", 1000, 2 * request);
    CHECK(ledger.record({1000}, "a"));
    CHECK(ledger.record({1000}, "a"));
    CHECK_FALSE(ledger.record({1000}, "a"));
    CHECK(ledger.violations() == 1);
    CHECK_FALSE(ledger.record({1000}, "unknown"));
}
