#include "coordination/account_limiter.h"
#include "sliding_window.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace lacewing;

namespace {

constexpr double rate = 136;
constexpr double burst = 136;

service_account limited_account() {
    service_account made;
    made.name = {"ward"};
    made.rate_per_s = rate;
    made.burst = burst;
    return made;
}

/// Simulates VMs with one limiter each that exchange reports at an interval, across a network partition if
/// one is set.
struct limiter_fleet {
    limiter_fleet(std::size_t vms, time_ms interval, bool first_start, std::uint64_t seed)
        : report_interval(interval), random(seed) {
        for (std::size_t i = 0; i < vms; ++i) {
            limiters.emplace_back(first_start);
            limiters.back().configure(now, {limited_account()});
            limiters.back().set_fleet(vms, vms, true);
        }
    }

    // Runs for a time span with a demand in requests per second and VM; records the time of each admission.
    void run(time_ms span, double demand_per_vm) {
        const auto end = now + span;
        std::bernoulli_distribution arrives(demand_per_vm / 1000);
        for (; now < end; now += time_ms{1}) {
            for (auto& limiter : limiters) {
                if (!arrives(random)) continue;
                ++asked;
                if (limiter.ask(now, "ward").admitted) admitted.push_back(now);
            }
            if (now.count % report_interval.count == 0) report();
        }
    }

    void report() {
        for (std::size_t from = 0; from < limiters.size(); ++from) {
            vm_report message;
            message.vm = {"vm-" + std::to_string(from)};
            message.incarnation = incarnation_id{from + 1};
            message.usage = limiters[from].usage(true);
            for (std::size_t to = 0; to < limiters.size(); ++to) {
                const bool crosses_cut = (from < cut_off) != (to < cut_off);
                if (from != to && !crosses_cut) limiters[to].on_report(now, message);
            }
        }
    }

    // Partitions the network between the first `count` VMs and the others; both sides notice it at once.
    void cut(std::size_t count) {
        cut_off = count;
        notice_cut();
    }

    // Tells each VM how many VMs are on its side of the partition.
    void notice_cut() {
        const auto count = cut_off;
        for (std::size_t i = 0; i < limiters.size(); ++i) {
            const auto heard = i < count ? count : limiters.size() - count;
            const bool majority = heard * 2 > limiters.size() || (heard * 2 == limiters.size() && i < count);
            limiters[i].set_fleet(limiters.size(), heard, majority);
        }
    }

    // Largest number of admissions in any window of 5 s.
    [[nodiscard]] std::size_t most_in_window() const {
        return testing::most_in_window(admitted, time_ms{5000});
    }

    time_ms now{1'000'000};
    time_ms report_interval;
    std::size_t cut_off = 0;
    std::mt19937_64 random;
    std::vector<account_limiter> limiters;
    std::vector<time_ms> admitted;
    std::size_t asked = 0;
};

// Admissions allowed in a window of 5 s: rate x window + burst, with a tolerance of 10 % and 20 requests
// [INV-4].
constexpr double allowed_in_window = (rate * 5 + burst) * 1.1 + 20;

} // namespace

TEST_CASE("account limiter: several VMs give out the same tokens before their reports arrive") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        limiter_fleet fleet(8, time_ms{300}, true, seed);
        fleet.run(time_ms{3000}, rate * 0.6 / 8);
        fleet.run(time_ms{9000}, rate * 8 / 8);
        CHECK(fleet.most_in_window() <= allowed_in_window);
    }
}

TEST_CASE("account limiter: both sides of a network partition together give out more than the rate") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const std::size_t cut : {1U, 2U, 3U, 4U}) {
            CAPTURE(seed);
            CAPTURE(cut);
            limiter_fleet fleet(8, time_ms{300}, true, seed);
            fleet.run(time_ms{2000}, rate * 5 / 8);
            fleet.cut(cut);
            fleet.run(time_ms{12000}, rate * 5 / 8);
            CHECK(fleet.most_in_window() <= allowed_in_window);
        }
    }
}

TEST_CASE(
    "account limiter: both sides of a network partition give out the same tokens until they notice it") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& size : std::vector<std::pair<std::size_t, std::size_t>>{{8, 3}, {11, 5}, {11, 3}}) {
            const auto vms = size.first;
            const auto cut = size.second;
            CAPTURE(seed);
            CAPTURE(vms);
            CAPTURE(cut);
            limiter_fleet fleet(vms, time_ms{300}, true, seed);
            const double overload_per_vm = rate * 8 / static_cast<double>(vms);
            fleet.run(time_ms{4000}, rate * 0.6 / static_cast<double>(vms));
            fleet.run(time_ms{2000}, overload_per_vm);
            fleet.cut_off = cut;
            // The partition is noticed 2.2 s later: 1.2 s of silence and up to 1 s until the VMs are counted.
            fleet.run(time_ms{2200}, overload_per_vm);
            fleet.notice_cut();
            fleet.run(time_ms{8000}, overload_per_vm);
            CHECK(static_cast<double>(fleet.most_in_window()) <= allowed_in_window);
        }
    }
}

TEST_CASE("account limiter: a fleet that restarts after a crash gives out a second burst") {
    limiter_fleet before(8, time_ms{300}, true, 7);
    before.run(time_ms{4000}, rate * 5 / 8);
    limiter_fleet after(8, time_ms{300}, false, 8);
    after.now = before.now + time_ms{500};
    for (auto& limiter : after.limiters)
        limiter.configure(after.now, {});
    for (auto& limiter : after.limiters)
        limiter.configure(after.now, {limited_account()});
    after.run(time_ms{5000}, rate * 5 / 8);
    before.admitted.insert(before.admitted.end(), after.admitted.begin(), after.admitted.end());
    CHECK(before.most_in_window() <= allowed_in_window);
}

TEST_CASE("account limiter: an account within its rate is refused") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        limiter_fleet fleet(8, time_ms{300}, true, seed);
        fleet.run(time_ms{20000}, rate * 0.9 / 8);
        const auto refused = fleet.asked - fleet.admitted.size();
        // At most 0.1 % of the requests may be refused at 90 % of the rate.
        CHECK(static_cast<double>(refused) <= 0.001 * static_cast<double>(fleet.asked));
    }
}

TEST_CASE("account limiter: an account without a limit is limited") {
    account_limiter limiter(true);
    service_account open;
    open.name = {"open"};
    limiter.configure(time_ms{0}, {open});
    for (int i = 0; i < 10'000; ++i)
        CHECK(limiter.ask(time_ms{i / 100}, "open").admitted);
}

TEST_CASE("account limiter: a lower limit of a new configuration does not apply at once") {
    account_limiter limiter(true);
    limiter.configure(time_ms{0}, {limited_account()});
    auto lower = limited_account();
    lower.rate_per_s = 10;
    lower.burst = 10;
    limiter.configure(time_ms{10}, {lower});
    int admitted = 0;
    for (int i = 0; i < 1000; ++i)
        admitted += limiter.ask(time_ms{10 + i}, "ward").admitted ? 1 : 0;
    CHECK(admitted <= 10 + 10 + 1);
}

TEST_CASE("account limiter: the token of a refunded admission is lost") {
    account_limiter limiter(true);
    auto small = limited_account();
    small.rate_per_s = 1;
    small.burst = 2;
    limiter.configure(time_ms{0}, {small});
    for (int i = 0; i < 50; ++i) {
        CHECK(limiter.ask(time_ms{0}, "ward").admitted);
        limiter.refund("ward");
    }
}

namespace {

// Time in microseconds that a VM takes for one report of another one, in a fleet of that many others, each
// with requests of the same accounts. The least of several rounds, because other processes share the machine.
double report_cost_us(std::size_t others) {
    constexpr std::size_t accounts = 16;
    std::vector<service_account> configured(accounts, limited_account());
    for (std::size_t i = 0; i < accounts; ++i)
        configured[i].name = {"account-" + std::to_string(i)};
    account_limiter limiter(true);
    time_ms now{1'000'000};
    limiter.configure(now, configured);
    limiter.set_fleet(others + 1, others + 1, true);
    std::vector<vm_report> reports(others);
    for (std::size_t i = 0; i < others; ++i) {
        reports[i].vm = {"vm-" + std::to_string(i)};
        reports[i].incarnation = incarnation_id{i + 1};
        for (const auto& account : configured)
            reports[i].usage.push_back({account.name.value, {}});
    }
    double least = std::numeric_limits<double>::max();
    for (int round = 0; round < 8; ++round) {
        for (auto& report : reports) {
            for (auto& [account, usage] : report.usage) {
                ++usage.asked;
                ++usage.admitted;
            }
        }
        const auto begin = std::chrono::steady_clock::now();
        for (const auto& report : reports)
            limiter.on_report(now, report);
        const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - begin;
        // In the first rounds, rates are measured for the first time.
        if (round >= 2) least = std::min(least, taken.count() / static_cast<double>(others));
        // All others are silent for a part of the time, as between their full reports.
        now += time_ms{900};
        limiter.ask(now, configured[0].name.value);
    }
    return least;
}

} // namespace

TEST_CASE("account limiter: the cost of a report grows with the number of VMs") {
    const double small_fleet = report_cost_us(30);
    const double large_fleet = report_cost_us(300);
    MESSAGE("microseconds a report: " << small_fleet << " with 30 other VMs, " << large_fleet << " with 300");
    // Ten times as many VMs, and the same work for each; the factor is for the processor's caches.
    CHECK(large_fleet <= 2 * small_fleet);
}
