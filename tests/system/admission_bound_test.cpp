// Guards against more admissions over all VMs than rate x time + burst (INV-4).
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;
using clock_type = std::chrono::steady_clock;

namespace {

constexpr double rate_per_s = 40;
constexpr double burst = 20;
constexpr int connections_per_vm = 4;

// Largest number by which a window between two executions exceeds the bound.
double worst_excess(const std::vector<std::int64_t>& times) {
    double worst = -burst;
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size(); ++last) {
            const auto seconds = static_cast<double>(times[last] - times[first]) / 1000;
            worst = std::max(worst, static_cast<double>(last - first + 1) - rate_per_s * seconds - burst);
        }
    }
    return worst;
}

} // namespace

TEST_CASE("budget: the fleet admits more than rate x time + burst while VMs are killed and paused") {
    deployment_options options;
    options.vm_zones = {"north", "north", "south", "south"};
    options.plans = "plans:\n"
                    "  - {name: wide, rate: 20000/s, burst: 20000, routes: [balance, payments, scans]}\n"
                    "  - {name: limited, rate: 40/s, burst: 20, routes: [balance]}\n"
                    "accounts:\n  - {name: office, plan: wide}\n  - {name: hungry, plan: limited}\n"
                    "classes: []\n";
    deployment system(options);
    const auto key = system.give_key("hungry");
    REQUIRE(wait_until([&] { return system.ask(0, "/r/balance/x", key).status == 200; }));
    const auto skipped = system.executed();

    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    const auto begin = clock_type::now();
    std::vector<std::thread> callers;
    for (std::size_t vm = 0; vm < system.vm_count(); ++vm) {
        for (int i = 0; i < connections_per_vm; ++i) {
            callers.emplace_back([&, vm] {
                while (!stop) {
                    ++sent;
                    if (system.ask(vm, "/r/balance/x", key, {}, "GET", {}, {500}).status == 200) ++answered;
                    // A refused connection or a refusal returns at once.
                    std::this_thread::sleep_for(std::chrono::milliseconds(3));
                }
            });
        }
    }
    const auto run_until = [&](int milliseconds) {
        return wait_until([&] { return clock_type::now() - begin > std::chrono::milliseconds(milliseconds); },
                          {milliseconds + 1'000});
    };
    CHECK(run_until(2'000));
    system.vm(0).kill();
    system.vm(3).signal(SIGSTOP);
    CHECK(run_until(3'500));
    system.start_vm(0);
    CHECK(run_until(5'500));
    system.vm(3).signal(SIGCONT);
    CHECK(run_until(9'000));
    stop = true;
    for (auto& caller : callers)
        caller.join();
    const auto seconds = std::chrono::duration<double>(clock_type::now() - begin).count();

    std::vector<std::int64_t> times;
    const auto ledger = system.ledger(skipped);
    for (const auto& entry : ledger["executions"])
        if (entry["account"].asString() == "hungry") times.push_back(entry["started_ms"].asInt64());
    std::sort(times.begin(), times.end());
    const auto bound = rate_per_s * seconds + burst;
    const auto excess = worst_excess(times);
    MESSAGE(
        fmt::format("{} requests sent, {} executed in {:.2f} s, bound {:.1f}; worst window exceeds by {:.1f}",
                    sent.load(), times.size(), seconds, bound, excess));
    CHECK(static_cast<double>(times.size()) <= bound);
    // Admission and execution of a request lie apart: 100 ms on a busy machine, and for the requests of the
    // paused VM, one for each of its connections, the whole pause.
    CHECK(excess <= rate_per_s * 0.1 + connections_per_vm);
    // The test means nothing when little of the rate was used.
    CHECK(static_cast<double>(times.size()) > 0.2 * bound);
    CHECK(static_cast<double>(sent) > 2 * bound);
}
