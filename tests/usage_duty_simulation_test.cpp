#include "tests/usage_duty_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

using namespace lacewing;
using lacewing::tests::usage_duty_simulation;

namespace {

constexpr std::uint64_t seeds_by_default = 50;

// Number of seeds, more of them by hand.
std::uint64_t seed_count() {
    const char* text = std::getenv("USAGE_DUTY_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    return text != nullptr ? std::stoull(text) : seeds_by_default;
}

} // namespace

// Guards against issue 47: windows that are reported late, wrong or not at all in a calm fleet.
TEST_CASE("usage duty simulation: in calm every window is reported in time with the right counts") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        const auto result = usage_duty_simulation(seed, 0).run();
        for (const auto& rule : result.broken)
            FAIL_CHECK(rule);
        CHECK(result.windows_due > 15);
        CHECK(result.windows_on_time == result.windows_due);
        CHECK(result.highest_token == 1);
    }
}

// Guards against issue 47: two counts for a window, two holders under one token, a token that falls, a holder
// that returns too soon, and windows that are reported late although nothing excuses it.
TEST_CASE("usage duty simulation: no rule is broken whatever fails") {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        CAPTURE(seed);
        const auto result = usage_duty_simulation(seed, 1 + static_cast<int>(seed % 6)).run();
        for (const auto& rule : result.broken)
            FAIL_CHECK(rule);
    }
}
