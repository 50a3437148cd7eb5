#include "coordination/repeat_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace lacewing;

namespace {

constexpr std::size_t vms = 8;
constexpr double ratio = 0.2;
constexpr double slack = 56;

/// VMs at which every request fails and would be repeated three times.
struct failing_fleet {
    failing_fleet() {
        for (std::size_t i = 0; i < vms; ++i)
            start(i, true);
    }

    // Starts the process of a VM.
    void start(std::size_t index, bool fleet_start) {
        budgets.at(index) = repeat_budget(ratio, slack, now, fleet_start);
        budgets.at(index).set_fleet(vms);
    }

    void run(time_ms span, time_ms request_interval) {
        for (const auto end = now + span; now < end; now += request_interval) {
            auto& budget = budgets.at(std::uniform_int_distribution<std::size_t>(0, vms - 1)(random));
            budget.on_request(now, "s");
            requests.push_back(now);
            for (int i = 0; i < 3; ++i) {
                if (budget.take(now, "s")) repeats.push_back(now);
            }
        }
    }

    // Checks that no window of 10 s has more repeats than are allowed for its requests.
    void check() const {
        constexpr time_ms window{10'000};
        const auto count = [window](const std::vector<time_ms>& times, time_ms start) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), start + window) -
                                       std::lower_bound(times.begin(), times.end(), start));
        };
        for (time_ms start{0}; start + window < now; start += time_ms{500})
            CHECK(count(repeats, start) <= ratio * count(requests, start) + slack);
    }

    time_ms now{0};
    std::mt19937_64 random{3};
    std::vector<repeat_budget> budgets{vms, repeat_budget(ratio, slack, now, true)};
    std::vector<time_ms> requests;
    std::vector<time_ms> repeats;
};

} // namespace

TEST_CASE("repeat budget: all VMs together exceed the limit in some window") {
    failing_fleet fleet;
    fleet.run(time_ms{60'000}, time_ms{5});
    fleet.check();
}

// The limit is over all VMs, so what the ended process has used counts for the one that follows it.
TEST_CASE("repeat budget: processes that replace others use the slack a second time") {
    failing_fleet fleet;
    for (int series = 0; series < 3; ++series) {
        fleet.run(time_ms{5000}, time_ms{50});
        for (std::size_t i = 0; i < vms; ++i) {
            fleet.start(i, false);
            fleet.run(time_ms{100}, time_ms{50});
        }
    }
    fleet.run(time_ms{12'000}, time_ms{50});
    fleet.check();
    CHECK_FALSE(fleet.repeats.empty());
}

TEST_CASE("repeat budget: one service uses up the budget of another") {
    repeat_budget budget(0.2, 10, time_ms{0}, true);
    while (budget.take(time_ms{0}, "a")) {
    }
    CHECK(budget.take(time_ms{0}, "b"));
}
