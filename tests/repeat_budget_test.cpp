#include "coordination/repeat_budget.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace lacewing;

TEST_CASE("repeat budget: all VMs together exceed the limit in some window") {
    // Limit of all VMs in any window of 10 s: 0.2 repeats per request and 56 more.
    constexpr std::size_t vms = 8;
    std::mt19937_64 random(3);
    std::vector<repeat_budget> budgets(vms, repeat_budget(0.2, 56));
    for (auto& budget : budgets)
        budget.set_fleet(vms);
    std::vector<std::pair<std::int64_t, bool>> events;
    std::uniform_int_distribution<std::size_t> pick(0, vms - 1);
    for (std::int64_t ms = 0; ms < 60'000; ms += 5) {
        auto& budget = budgets[pick(random)];
        budget.on_request(time_ms{ms}, "s");
        events.emplace_back(ms, false);
        // Every request fails and would be repeated three times.
        for (int i = 0; i < 3; ++i) {
            if (budget.take(time_ms{ms}, "s")) events.emplace_back(ms, true);
        }
    }
    for (std::int64_t start = 0; start < 50'000; start += 500) {
        double requests = 0;
        double repeats = 0;
        for (const auto& [ms, repeat] : events) {
            if (ms < start || ms >= start + 10'000) continue;
            (repeat ? repeats : requests) += 1;
        }
        CHECK(repeats <= 0.2 * requests + 56);
    }
}

TEST_CASE("repeat budget: one service uses up the budget of another") {
    repeat_budget budget(0.2, 10);
    while (budget.take(time_ms{0}, "a")) {
    }
    CHECK(budget.take(time_ms{0}, "b"));
}
