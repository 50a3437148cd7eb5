#include "coordination/stop_schedule.h"

#include <doctest/doctest.h>

#include <random>

using namespace lacewing;

// Guards against LOST in a planned stop: late requests are accepted without the time to answer them
// (review/4).
TEST_CASE("stop schedule: a late request is accepted that can outlast the process") {
    constexpr std::uint64_t seed = 35;
    std::mt19937_64 random(seed);
    const auto up_to = [&random](std::int64_t ms) {
        return time_ms{std::uniform_int_distribution<std::int64_t>(0, ms)(random)};
    };
    constexpr time_ms signalled{100'000};
    int accepted_late = 0;
    for (int run = 0; run < 100'000; ++run) {
        const auto grace = time_ms{500} + up_to(40'000);
        const stop_schedule schedule(signalled, grace);
        const auto now = signalled + up_to(grace.count);
        const auto deadline = now + up_to(12'000);
        const auto expected = now + up_to((deadline - now).count);
        CAPTURE(grace.count);
        CAPTURE((now - signalled).count);
        CAPTURE((deadline - now).count);
        const bool accepted = schedule.admits(now, expected, deadline);
        if (!accepted) continue;
        REQUIRE(expected <= schedule.end());
        if (now <= signalled + time_ms{3000} && now < schedule.restrict_at()) continue;
        ++accepted_late;
        REQUIRE(deadline < schedule.end());
    }
    CHECK(accepted_late > 0);
}

TEST_CASE(
    "stop schedule: requests in progress are given up before the last sixth of the grace, or after it") {
    for (const std::int64_t grace_ms : {500, 1000, 2000, 3000, 6000, 10'000, 30'000, 600'000}) {
        const stop_schedule schedule(time_ms{1000}, time_ms{grace_ms});
        CAPTURE(grace_ms);
        CHECK(schedule.end() >= time_ms{1000} + time_ms{grace_ms} * 5 / 6);
        CHECK(schedule.end() < schedule.exit_at());
        CHECK(schedule.exit_at() < time_ms{1000 + grace_ms});
        CHECK(schedule.close_idle_at() <= schedule.restrict_at());
        CHECK(schedule.restrict_at() < schedule.end());
        CHECK(schedule.restrict_at() < time_ms{1000} + time_ms{3000});
    }
}

TEST_CASE("stop schedule: requests are refused while callers cannot know of the stop yet") {
    const stop_schedule schedule(time_ms{0}, time_ms{6000});
    CHECK(schedule.admits(time_ms{100}, time_ms{600}, time_ms{8000}));
    CHECK(schedule.admits(time_ms{2500}, time_ms{3300}, time_ms{8000}));
    CHECK_FALSE(schedule.admits(time_ms{2500}, time_ms{5000}, time_ms{8000}));
    CHECK_FALSE(schedule.admits(time_ms{2900}, time_ms{3300}, time_ms{8000}));
    CHECK(schedule.admits(time_ms{2900}, time_ms{3300}, time_ms{5000}));
}
