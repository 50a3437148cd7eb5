#include "bench/bench.h"
#include "bench/move_simulation.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <span>
#include <thread>

namespace lacewing::bench {

namespace {

constexpr int moves_per_scenario = 1000;
constexpr int deadline_s = 600;
constexpr unsigned worker_count = 8;
constexpr double min_good_done_percent = 99;
constexpr double min_bad_reverted_percent = 99;
constexpr double max_to_bad_percent = 1.5;
constexpr double max_false_alarms_percent = 1;

struct scenario {
    const char* name;
    bool bad;
};
enum scenario_index {
    good,
    good_old_fails,
    fails_at_once,
    fails_late,
    slow,
    fails_under_load,
    fails_on_one_route,
    fails_after_done,
    scenario_count
};
constexpr std::array<scenario, scenario_count> scenarios{scenario{"good", false},
                                                         scenario{"good, old version fails as well", false},
                                                         scenario{"fails at once", true},
                                                         scenario{"fails late", true},
                                                         scenario{"slow", true},
                                                         scenario{"fails under load only", true},
                                                         scenario{"fails on one route only", true},
                                                         scenario{"fails after done", true}};

struct rule_combination {
    const char* name;
    evaluation_rule evaluation;
    pacing_rule pacing;
};
constexpr std::array combinations{
    rule_combination{"sequential, evidence", evaluation_rule::sequential, pacing_rule::evidence},
    rule_combination{"sequential, immediate", evaluation_rule::sequential, pacing_rule::immediate},
    rule_combination{"sequential, even", evaluation_rule::sequential, pacing_rule::even},
    rule_combination{"fixed size, evidence", evaluation_rule::fixed_size, pacing_rule::evidence},
    rule_combination{"fixed size, immediate", evaluation_rule::fixed_size, pacing_rule::immediate},
    rule_combination{"fixed size, even", evaluation_rule::fixed_size, pacing_rule::even},
};

struct outcome {
    bool done = false;
    bool reverted = false;
    /// Reverted although the new version was not bad, or before it became bad.
    bool false_alarm = false;
    /// Whether the good version on the second route of `fails_on_one_route` became done.
    bool other_done = true;
    int seconds = 0;
    std::uint64_t requests = 0;
    std::uint64_t requests_to_failing = 0;
};

// Runs one move to its end, including the watch period that follows it.
outcome run_move(std::uint64_t seed, scenario_index index, const rule_combination& combination) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto error_rate = 0.05 + 0.25 * uniform(random);
    const auto latency_factor = 1.5 + 2.5 * uniform(random);
    const auto phase = uniform(random) * 6.28;
    const time_ms onset{static_cast<std::int64_t>((20 + 200 * uniform(random)) * 1000)};
    const time_ms onset_after_done{static_cast<std::int64_t>((5 + 200 * uniform(random)) * 1000)};
    const auto base_error_rate = 0.01 * uniform(random);

    move_settings settings;
    settings.evaluator_settings.rule = combination.evaluation;
    settings.pacing = combination.pacing;
    // No driver fails here, and renewing leases every 3 s would take most of the run time.
    settings.lease = time_ms{120'000};
    move_simulation world(seed, 3, settings);
    const std::string key = "moves/a";
    time_ms done_at{-1};
    time_ms reverted_at{-1};
    world.on_write = [&](const std::string& name, const Json::Value& value) {
        if (name != key) return;
        if (value["state"] == "done" && done_at.count < 0) done_at = world.now();
        if (reverted_at.count < 0 &&
            (value["state"] == "taken_back" || value.isMember("reverted_after_done")))
            reverted_at = world.now();
    };
    if (index == fails_on_one_route) world.add_route("b", "moves/b");
    auto& route = world.add_route("a", key);
    for (auto& item : world.routes())
        item.load.load = [phase](time_ms now) { return sinusoidal_load(now, time_ms{60'000}, phase); };
    route.failing = [&, index](time_ms now, double load) {
        switch (index) {
        case fails_at_once:
        case slow:
        case fails_on_one_route:
            return true;
        case fails_late:
            return now >= onset;
        case fails_under_load:
            return load > 1.2;
        case fails_after_done:
            return done_at.count >= 0 && now >= done_at + onset_after_done;
        default:
            return false;
        }
    };
    const auto failing = route.failing;
    route.behaviour = [&, index](const std::string& version, time_ms now, double load) {
        version_behaviour result{base_error_rate, 1};
        if (index == good_old_fails) result.error_rate = error_rate;
        if (version == "v2" && failing(now, load)) {
            if (index == slow) {
                result.latency_factor = latency_factor;
            } else {
                result.error_rate = base_error_rate + error_rate;
            }
        }
        return result;
    };
    for (auto& item : world.routes())
        world.request_version(item.name, deadline_s);
    outcome result;
    world.run_until(
        [&] {
            const auto& value = world.object(key).value;
            const bool closed =
                !value["watching"].asBool() && (value["state"] == "done" || reverted_at.count >= 0);
            return closed && (index != fails_on_one_route || !world.state("moves/b").starts_with("r"));
        },
        2 * deadline_s);
    const auto deadline = time_ms{1000} * (deadline_s + 5);
    result.done = done_at.count >= 0 && done_at <= deadline && reverted_at.count < 0;
    result.reverted = reverted_at.count >= 0;
    result.false_alarm = (!scenarios.at(index).bad && result.reverted) ||
                         (index == fails_late && result.reverted && reverted_at < onset) ||
                         (index == fails_after_done && result.reverted && done_at.count < 0);
    if (index == fails_on_one_route) result.other_done = world.state("moves/b") == "done";
    result.seconds = static_cast<int>((done_at.count >= 0 ? done_at : reverted_at).count / 1000);
    const auto& measured_route = world.routes().back();
    result.requests = measured_route.requests;
    result.requests_to_failing = measured_route.requests_to_failing;
    return result;
}

struct summary {
    double done = 0;
    double reverted = 0;
    double false_alarms = 0;
    double other_done = 0;
    double to_failing_percent = 0;
    int median_s = 0;
    int p99_s = 0;
};

summary run_scenario(std::uint64_t seed, scenario_index index, const rule_combination& combination) {
    std::vector<outcome> outcomes(moves_per_scenario);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < worker_count; ++i) {
        workers.emplace_back([&] {
            for (auto n = next++; n < outcomes.size(); n = next++)
                outcomes[n] = run_move(seed * 1'000'003 + n, index, combination);
        });
    }
    for (auto& worker : workers)
        worker.join();
    summary result;
    std::vector<int> seconds;
    double requests = 0;
    double requests_to_failing = 0;
    const double percent = 100.0 / moves_per_scenario;
    for (const auto& item : outcomes) {
        result.done += item.done ? percent : 0;
        result.reverted += item.reverted ? percent : 0;
        result.false_alarms += item.false_alarm ? percent : 0;
        result.other_done += item.other_done ? percent : 0;
        requests += static_cast<double>(item.requests);
        requests_to_failing += static_cast<double>(item.requests_to_failing);
        seconds.push_back(item.seconds);
    }
    std::sort(seconds.begin(), seconds.end());
    result.to_failing_percent = 100 * requests_to_failing / std::max(1.0, requests);
    result.median_s = seconds[seconds.size() / 2];
    result.p99_s = seconds[seconds.size() * 99 / 100];
    return result;
}

bool meets_targets(const summary& result, scenario_index index) {
    // Covers rounding in the sums of percentages.
    constexpr double tolerance = 1e-9;
    if (result.false_alarms > max_false_alarms_percent + tolerance) return false;
    if (!scenarios.at(index).bad) return result.done >= min_good_done_percent - tolerance;
    return result.reverted >= min_bad_reverted_percent - tolerance &&
           result.to_failing_percent <= max_to_bad_percent &&
           result.other_done >= min_good_done_percent - tolerance;
}

} // namespace

int run_moves(std::uint64_t seed) {
    fmt::print("{} moves per row, deadline {} s; requests to a version while it misbehaves, of the route's "
               "requests until the end of the watch; seconds to the first declared result\n",
               moves_per_scenario, deadline_s);
    fmt::print("{:<24}{:<34}{:>8}{:>8}{:>8}{:>8}{:>9}{:>7}{:>7}\n", "rules", "kind", "done %", "back %",
               "false %", "other %", "to bad %", "p50 s", "p99 s");
    bool met = true;
    for (const auto& combination : combinations) {
        for (int i = 0; i < scenario_count; ++i) {
            const auto index = static_cast<scenario_index>(i);
            const auto result = run_scenario(seed, index, combination);
            const bool passes = meets_targets(result, index);
            if (&combination == combinations.data()) met = met && passes;
            fmt::print("{:<24}{:<34}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.1f}{:>9.3f}{:>7}{:>7}{}\n", combination.name,
                       scenarios.at(index).name, result.done, result.reverted, result.false_alarms,
                       result.other_done, result.to_failing_percent, result.median_s, result.p99_s,
                       passes ? "" : "  misses");
            std::fflush(stdout);
        }
    }
    return met ? 0 : 1;
}

} // namespace lacewing::bench
