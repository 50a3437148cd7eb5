// Guards against the VMs together admitting more requests of an account than rate x time + burst in any time
// window (INV-4), which can happen when a killed or paused VM returns and uses a share that others already
// have.
#include "deployment.h"

#include "transport/monotonic_clock.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace lacewing;
using namespace lacewing::testing;
using steady_clock = std::chrono::steady_clock;

namespace {

constexpr double rate_per_s = 40;
constexpr double burst = 20;
constexpr int connections_per_vm = 4;

/// A request that was executed; times in ms of the clock of the programs.
struct executed_request {
    std::int64_t sent_ms = 0;
    std::int64_t started_ms = 0;
};

// Returns the largest number by which the requests that were sent and begun in a window, and so were admitted
// in it, exceed rate x time + burst.
double max_certain_excess(const std::vector<executed_request>& requests) {
    double excess = -burst;
    for (const auto& first : requests) {
        for (const auto& last : requests) {
            const auto admitted = std::count_if(requests.begin(), requests.end(), [&](const auto& request) {
                return request.sent_ms >= first.sent_ms && request.started_ms <= last.started_ms;
            });
            if (admitted == 0) continue;
            // The clock counts whole milliseconds.
            const auto window_ms = static_cast<double>(last.started_ms - first.sent_ms + 1);
            excess = std::max(excess, static_cast<double>(admitted) - rate_per_s * window_ms / 1000 - burst);
        }
    }
    return excess;
}

// Returns the largest number by which the executions in a window exceed rate x time + burst. The times are
// sorted, in ms.
double max_excess(const std::vector<std::int64_t>& times) {
    double excess = -burst;
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size(); ++last) {
            const auto seconds = static_cast<double>(times[last] - times[first]) / 1000;
            excess = std::max(excess, static_cast<double>(last - first + 1) - rate_per_s * seconds - burst);
        }
    }
    return excess;
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
    REQUIRE(wait_until([&] { return system.send_to_vm(0, "/r/balance/x", key).status == 200; }));
    const auto executions_before = system.execution_count();

    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    const auto begin = steady_clock::now();
    std::vector<std::thread> callers;
    for (std::size_t vm = 0; vm < system.vm_count(); ++vm) {
        for (int i = 0; i < connections_per_vm; ++i) {
            callers.emplace_back([&, vm] {
                while (!stop) {
                    ++sent;
                    const auto id = fmt::format("{} vm-{} {}", monotonic_now().count, vm + 1, sent.load());
                    const header_list headers{{"X-Request-Id", id}};
                    if (system.send_to_vm(vm, "/r/balance/x", key, headers, "GET", {}, {500}).status == 200)
                        ++answered;
                    // Limits the request rate while connections or requests are refused at once.
                    std::this_thread::sleep_for(std::chrono::milliseconds(3));
                }
            });
        }
    }
    const auto run_until = [&](int milliseconds) {
        return wait_until(
            [&] { return steady_clock::now() - begin > std::chrono::milliseconds(milliseconds); },
            {milliseconds + 1'000});
    };
    CHECK(run_until(2'000));
    system.vm_process(0).kill();
    system.vm_process(3).signal(SIGSTOP);
    CHECK(run_until(3'500));
    system.start_vm(0);
    CHECK(run_until(5'500));
    system.vm_process(3).signal(SIGCONT);
    CHECK(run_until(9'000));
    stop = true;
    for (auto& caller : callers)
        caller.join();
    const auto seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();

    std::vector<std::int64_t> times;
    const auto ledger = system.ledger(executions_before);
    std::vector<executed_request> requests;
    std::set<std::string> ids;
    std::string timeline;
    for (const auto& entry : ledger["executions"]) {
        if (entry["account"].asString() != "hungry") continue;
        const auto id = entry["request_id"].asString();
        const auto started_ms = entry["started_ms"].asInt64();
        const auto sent_ms = std::stoll(id);
        times.push_back(started_ms);
        timeline += fmt::format("{}: {} ms after it was sent, id {}, {}\n", started_ms, started_ms - sent_ms,
                                id, entry["state"].asString());
        // A retry is not admitted again.
        if (ids.insert(id).second) requests.push_back({sent_ms, started_ms});
    }
    std::sort(times.begin(), times.end());
    CAPTURE(timeline);
    const auto bound = rate_per_s * seconds + burst;
    const auto excess = max_excess(times);
    MESSAGE(fmt::format(
        "{} requests sent, {} executed in {:.2f} s, bound {:.1f}; largest excess in a window {:.1f}",
        sent.load(), times.size(), seconds, bound, excess));
    CHECK(static_cast<double>(times.size()) <= bound);
    CHECK(max_certain_excess(requests) <= 0);
    // The VMs bound admissions, the test sees executions. A request can execute up to 100 ms after its
    // admission on a busy machine, and one request per connection of the paused VM only after the pause.
    CHECK(excess <= rate_per_s * 0.1 + connections_per_vm);
    // The test proves nothing unless the load exceeds the bound and much of the bound is used.
    CHECK(static_cast<double>(times.size()) > 0.2 * bound);
    CHECK(static_cast<double>(sent) > 2 * bound);
}
