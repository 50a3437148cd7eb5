// Guards against a store outage that stops the service, and against configuration changes that are lost or
// recorded twice because the store's answer was lost or two operators wrote at the same time.
#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace lacewing;
using namespace lacewing::testing;
using steady_clock = std::chrono::steady_clock;

namespace {

std::string write_plan_file(const deployment& system, std::string_view name, int burst) {
    return system.write_file(name, fmt::format("plans:\n"
                                               "  - {{name: wide, rate: 20000/s, burst: 20000, weight: 4, "
                                               "routes: [balance, payments, scans]}}\n"
                                               "  - {{name: narrow, rate: 20000/s, burst: {}, "
                                               "routes: [balance]}}\n",
                                               burst));
}

// Burst of the plan "narrow" in the stored configuration.
std::string stored_burst(const deployment& system) {
    const auto current = system.read_object("config/current");
    for (const auto& plan : current["value"]["plans"])
        if (plan["name"].asString() == "narrow") return plan["burst"].asString();
    return {};
}

} // namespace

TEST_CASE("store: an outage stops the service, or a VM that starts meanwhile stays without configuration") {
    deployment system;
    const auto guest = system.give_key("guest");
    std::atomic<bool> stop{false};
    std::atomic<int> succeeded{0};
    std::mutex failures_mutex;
    std::map<std::string, int> failures;
    std::vector<std::thread> callers;
    for (const std::size_t vm : {std::size_t{0}, std::size_t{2}}) {
        callers.emplace_back([&, vm] {
            while (!stop) {
                const auto answer = system.send_to_vm(vm, "/r/balance/x", system.office_key());
                if (answer.status == 200) {
                    ++succeeded;
                    continue;
                }
                const std::scoped_lock lock(failures_mutex);
                ++failures[fmt::format("VM {}: {} {}", vm + 1, answer.status, answer.error())];
            }
        });
    }
    system.set_store_faults(R"({"outage":true})");
    const auto begin = steady_clock::now();
    system.vm_process(1).kill();
    system.start_vm(1);
    CHECK(system.wait_healthy(1, {5'000}));
    // This answer requires the configuration and the key list, which the VM can only have received from its
    // peers.
    CHECK(wait_until([&] { return system.send_to_vm(1, "/r/scans/x", guest).error() == "route_not_in_plan"; },
                     {5'000}));
    CHECK(!system.bound_request_id(0, 1, "x").empty());
    CHECK(system.dump(1)["control"]["config_revision"].asUInt64() ==
          system.dump(0)["control"]["config_revision"].asUInt64());
    // The outage lasts longer than the 3 s for which a key list is fresh without a confirmation.
    const int succeeded_before = succeeded;
    CHECK(wait_until([&] { return steady_clock::now() - begin > std::chrono::seconds(5); }, {6'000}));
    CHECK(succeeded > succeeded_before);
    stop = true;
    for (auto& caller : callers)
        caller.join();
    const auto outage_s = std::chrono::duration<double>(steady_clock::now() - begin).count();
    MESSAGE(fmt::format("{} requests succeeded in an outage of {:.1f} s", succeeded.load(), outage_s));
    for (const auto& [error, count] : failures)
        MESSAGE(fmt::format("{} times: {}", count, error));
    CHECK(failures.empty());
    CHECK(system.run_lacewingctl({"get"}).status == 4);
    system.set_store_faults(R"({"outage":false})");
    CHECK(system.wait_serving(1));
    CHECK(system.run_lacewingctl({"apply", write_plan_file(system, "later.yaml", 19'000)}).status == 0);
}

TEST_CASE("store: a change is lost or recorded twice when the answer to its write is lost") {
    auto& system = shared_deployment();
    system.set_store_faults(R"({"lose_answers":0.4})");
    for (int i = 0; i < 6; ++i) {
        const auto burst = 15'000 + i;
        const auto file = write_plan_file(system, "lossy.yaml", burst);
        program_result applied;
        // The command is safe to repeat after a failure.
        CHECK(wait_until(
            [&] {
                applied = system.run_lacewingctl({"apply", file});
                return applied.status == 0;
            },
            {20'000}));
        INFO(applied.out << applied.err);
        CHECK(stored_burst(system) == std::to_string(burst));
    }
    system.set_store_faults(R"({"lose_answers":0})");
    const auto history = system.run_lacewingctl({"--json", "history"});
    REQUIRE(history.status == 0);
    std::set<std::uint64_t> revisions;
    http_answer history_answer;
    history_answer.body = history.out;
    const auto records = history_answer.json();
    int accepted = 0;
    for (const auto& record : records["history"]) {
        CHECK(revisions.insert(record["revision"].asUInt64()).second);
        accepted += record["decided"].asString() == "configuration accepted" ? 1 : 0;
    }
    CHECK(accepted >= 6);
    CHECK(records["history"].size() > 0);
    CHECK(revisions.contains(system.read_object("config/current")["revision"].asUInt64()));
    CHECK(system.reset_endpoint_behaviour());
}

TEST_CASE("store: two operators at the same time overwrite each other's change") {
    auto& system = shared_deployment();
    // The delay makes both commands read the configuration before either writes it.
    system.set_store_faults(R"({"delay_ms":300})");
    const std::array files{write_plan_file(system, "first.yaml", 11'001),
                           write_plan_file(system, "second.yaml", 11'002)};
    std::array<program_result, 2> results;
    std::thread other([&] { results[1] = system.run_lacewingctl({"apply", files[1]}); });
    results[0] = system.run_lacewingctl({"apply", files[0]});
    other.join();
    system.set_store_faults(R"({"delay_ms":0})");
    const std::size_t loser = results[0].status == 3 ? 0 : 1;
    INFO(results[0].out << results[0].err << results[1].out << results[1].err);
    CHECK(results[loser].status == 3);
    CHECK(results[1 - loser].status == 0);
    CHECK(stored_burst(system) == (loser == 0 ? "11002" : "11001"));
    const auto winning_revision = system.read_object("config/current")["revision"].asUInt64();
    CHECK(results[loser].err.find(fmt::format("revision {}", winning_revision)) != std::string::npos);
    CHECK(system.reset_endpoint_behaviour());
}
