// Guards against a store outage, lost answers or concurrent operators that stop the service or lose a change.
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
using clock_type = std::chrono::steady_clock;

namespace {

std::string plan_file(const deployment& system, std::string_view name, int burst) {
    return system.write_file(name, fmt::format("plans:\n"
                                               "  - {{name: wide, rate: 20000/s, burst: 20000, weight: 4, "
                                               "routes: [balance, payments, scans]}}\n"
                                               "  - {{name: narrow, rate: 20000/s, burst: {}, "
                                               "routes: [balance]}}\n",
                                               burst));
}

// Burst of the plan "narrow" in the stored configuration.
std::string stored_burst(const deployment& system) {
    const auto current = system.stored("config/current");
    for (const auto& plan : current["value"]["plans"])
        if (plan["name"].asString() == "narrow") return plan["burst"].asString();
    return {};
}

} // namespace

TEST_CASE("store: an outage stops the service, or a VM that starts meanwhile stays without configuration") {
    deployment system;
    const auto guest = system.give_key("guest");
    std::atomic<bool> stop{false};
    std::atomic<int> good{0};
    std::mutex guard;
    std::map<std::string, int> bad;
    std::vector<std::thread> callers;
    for (const std::size_t vm : {std::size_t{0}, std::size_t{2}}) {
        callers.emplace_back([&, vm] {
            while (!stop) {
                const auto answer = system.ask(vm, "/r/balance/x", system.office_key());
                if (answer.status == 200) {
                    ++good;
                    continue;
                }
                const std::scoped_lock lock(guard);
                ++bad[fmt::format("VM {}: {} {}", vm + 1, answer.status, answer.error())];
            }
        });
    }
    system.store_faults(R"({"outage":true})");
    const auto begin = clock_type::now();
    system.vm(1).kill();
    system.start_vm(1);
    CHECK(system.wait_healthy(1, {5'000}));
    // The verdict on the plan needs the configuration and the key list, which only the peers can have sent.
    CHECK(wait_until([&] { return system.ask(1, "/r/scans/x", guest).error() == "route_not_in_plan"; },
                     {5'000}));
    CHECK(!system.bound_id(0, 1, "x").empty());
    CHECK(system.dump(1)["control"]["config_revision"].asUInt64() ==
          system.dump(0)["control"]["config_revision"].asUInt64());
    // Longer than the 3 s for which a key list is fresh.
    const int good_at_end = good;
    CHECK(wait_until([&] { return clock_type::now() - begin > std::chrono::seconds(5); }, {6'000}));
    CHECK(good > good_at_end);
    stop = true;
    for (auto& caller : callers)
        caller.join();
    const auto outage = std::chrono::duration<double>(clock_type::now() - begin).count();
    MESSAGE(fmt::format("{} requests succeeded in an outage of {:.1f} s", good.load(), outage));
    for (const auto& [error, count] : bad)
        MESSAGE(fmt::format("{} times: {}", count, error));
    CHECK(bad.empty());
    CHECK(system.ctl({"get"}).status == 4);
    system.store_faults(R"({"outage":false})");
    CHECK(system.wait_serving(1));
    CHECK(system.ctl({"apply", plan_file(system, "later.yaml", 19'000)}).status == 0);
}

TEST_CASE("store: a change whose answer was lost is lost or recorded twice") {
    auto& system = shared_deployment();
    system.store_faults(R"({"lose_answers":0.4})");
    for (int i = 0; i < 6; ++i) {
        const auto burst = 15'000 + i;
        const auto file = plan_file(system, "lossy.yaml", burst);
        program_result applied;
        // Every command is safe to repeat.
        CHECK(wait_until(
            [&] {
                applied = system.ctl({"apply", file});
                return applied.status == 0;
            },
            {20'000}));
        INFO(applied.out << applied.err);
        CHECK(stored_burst(system) == std::to_string(burst));
    }
    system.store_faults(R"({"lose_answers":0})");
    const auto history = system.ctl({"--json", "history"});
    REQUIRE(history.status == 0);
    std::set<std::uint64_t> revisions;
    http_answer parsed;
    parsed.body = history.out;
    const auto records = parsed.json();
    int accepted = 0;
    for (const auto& record : records["history"]) {
        CHECK(revisions.insert(record["revision"].asUInt64()).second);
        accepted += record["decided"].asString() == "configuration accepted" ? 1 : 0;
    }
    CHECK(accepted >= 6);
    CHECK(records["history"].size() > 0);
    CHECK(revisions.contains(system.stored("config/current")["revision"].asUInt64()));
    CHECK(system.recover());
}

TEST_CASE("store: two operators at the same time overwrite each other's change") {
    auto& system = shared_deployment();
    // Both commands read before either writes.
    system.store_faults(R"({"delay_ms":300})");
    const std::array files{plan_file(system, "first.yaml", 11'001), plan_file(system, "second.yaml", 11'002)};
    std::array<program_result, 2> results;
    std::thread other([&] { results[1] = system.ctl({"apply", files[1]}); });
    results[0] = system.ctl({"apply", files[0]});
    other.join();
    system.store_faults(R"({"delay_ms":0})");
    const std::size_t loser = results[0].status == 3 ? 0 : 1;
    INFO(results[0].out << results[0].err << results[1].out << results[1].err);
    CHECK(results[loser].status == 3);
    CHECK(results[1 - loser].status == 0);
    CHECK(stored_burst(system) == (loser == 0 ? "11002" : "11001"));
    const auto winning = system.stored("config/current")["revision"].asUInt64();
    CHECK(results[loser].err.find(fmt::format("revision {}", winning)) != std::string::npos);
    CHECK(system.recover());
}
