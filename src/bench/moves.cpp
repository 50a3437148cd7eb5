#include "bench/bench.h"
#include "bench/move_world.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <span>
#include <thread>

namespace lacewing::bench {

namespace {

constexpr int moves_per_kind = 1000;
constexpr int deadline_s = 600;
constexpr unsigned threads = 8;
constexpr double target_good_done = 99;
constexpr double target_bad_back = 99;
constexpr double target_to_bad = 1.5;
constexpr double target_false_alarms = 1;

struct kind {
    const char* name;
    bool bad;
};
enum kind_index { good, good_old_fails, at_once, late, slow, under_load, one_route, after_done, kind_count };
constexpr std::array<kind, kind_count> kinds{kind{"good", false},
                                             kind{"good, old version fails as well", false},
                                             kind{"fails at once", true},
                                             kind{"fails late", true},
                                             kind{"slow", true},
                                             kind{"fails under load only", true},
                                             kind{"fails on one route only", true},
                                             kind{"fails after done", true}};

struct rule {
    const char* name;
    evaluation_rule judging;
    pacing_rule pacing;
};
constexpr std::array rules{
    rule{"sequential, evidence", evaluation_rule::sequential, pacing_rule::evidence},
    rule{"sequential, immediate", evaluation_rule::sequential, pacing_rule::immediate},
    rule{"sequential, even", evaluation_rule::sequential, pacing_rule::even},
    rule{"fixed size, evidence", evaluation_rule::fixed_size, pacing_rule::evidence},
    rule{"fixed size, immediate", evaluation_rule::fixed_size, pacing_rule::immediate},
    rule{"fixed size, even", evaluation_rule::fixed_size, pacing_rule::even},
};

struct outcome {
    bool done = false;
    bool taken_back = false;
    /// Taken back although no version was bad, or before it was.
    bool false_alarm = false;
    /// A good version on the other route of a move with one bad route.
    bool other_done = true;
    int seconds = 0;
    std::uint64_t requests = 0;
    std::uint64_t to_failing = 0;
};

// Runs one move to its end and the watch that follows it.
outcome run_move(std::uint64_t seed, kind_index of, const rule& by) {
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto error_rate = 0.05 + 0.25 * uniform(random);
    const auto slowness = 1.5 + 2.5 * uniform(random);
    const auto phase = uniform(random) * 6.28;
    const time_ms onset{static_cast<std::int64_t>((20 + 200 * uniform(random)) * 1000)};
    const time_ms onset_after_done{static_cast<std::int64_t>((5 + 200 * uniform(random)) * 1000)};
    const auto base = 0.01 * uniform(random);

    move_settings settings;
    settings.judge.rule = by.judging;
    settings.pacing = by.pacing;
    // No driver dies here; renewals every 3 s would take most of the run time.
    settings.lease = time_ms{120'000};
    move_world world(seed, 3, settings);
    const std::string key = "moves/a";
    time_ms done_at{-1};
    time_ms ended{-1};
    world.on_write = [&](const std::string& name, const Json::Value& value) {
        if (name != key) return;
        if (value["state"] == "done" && done_at.count < 0) done_at = world.now();
        if (ended.count < 0 && (value["state"] == "taken_back" || value.isMember("reverted_after_done")))
            ended = world.now();
    };
    if (of == one_route) world.add_route("b", "moves/b");
    auto& route = world.add_route("a", key);
    for (auto& item : world.routes())
        item.load.load = [phase](time_ms now) { return swinging_load(now, time_ms{60'000}, phase); };
    route.failing = [&, of](time_ms now, double load) {
        switch (of) {
        case at_once:
        case slow:
        case one_route:
            return true;
        case late:
            return now >= onset;
        case under_load:
            return load > 1.2;
        case after_done:
            return done_at.count >= 0 && now >= done_at + onset_after_done;
        default:
            return false;
        }
    };
    const auto failing = route.failing;
    route.behaviour = [&, of](const std::string& version, time_ms now, double load) {
        version_behaviour result{base, 1};
        if (of == good_old_fails) result.error_rate = error_rate;
        if (version == "v2" && failing(now, load)) {
            if (of == slow) {
                result.slowness = slowness;
            } else {
                result.error_rate = base + error_rate;
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
            const bool closed = !value["watching"].asBool() && (value["state"] == "done" || ended.count >= 0);
            return closed && (of != one_route || !world.state("moves/b").starts_with("r"));
        },
        2 * deadline_s);
    const auto deadline = time_ms{1000} * (deadline_s + 5);
    result.done = done_at.count >= 0 && done_at <= deadline && ended.count < 0;
    result.taken_back = ended.count >= 0;
    result.false_alarm = (!kinds.at(of).bad && result.taken_back) ||
                         (of == late && result.taken_back && ended < onset) ||
                         (of == after_done && result.taken_back && done_at.count < 0);
    if (of == one_route) result.other_done = world.state("moves/b") == "done";
    result.seconds = static_cast<int>((done_at.count >= 0 ? done_at : ended).count / 1000);
    const auto& ran = world.routes().back();
    result.requests = ran.requests;
    result.to_failing = ran.to_failing;
    return result;
}

struct summary {
    double done = 0;
    double taken_back = 0;
    double false_alarms = 0;
    double other_done = 0;
    double to_failing = 0;
    int median_s = 0;
    int p99_s = 0;
};

summary run_kind(std::uint64_t seed, kind_index of, const rule& by) {
    std::vector<outcome> outcomes(moves_per_kind);
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (auto n = next++; n < outcomes.size(); n = next++)
                outcomes[n] = run_move(seed * 1'000'003 + n, of, by);
        });
    }
    for (auto& worker : workers)
        worker.join();
    summary result;
    std::vector<int> seconds;
    double requests = 0;
    double to_failing = 0;
    const double percent = 100.0 / moves_per_kind;
    for (const auto& item : outcomes) {
        result.done += item.done ? percent : 0;
        result.taken_back += item.taken_back ? percent : 0;
        result.false_alarms += item.false_alarm ? percent : 0;
        result.other_done += item.other_done ? percent : 0;
        requests += static_cast<double>(item.requests);
        to_failing += static_cast<double>(item.to_failing);
        seconds.push_back(item.seconds);
    }
    std::sort(seconds.begin(), seconds.end());
    result.to_failing = 100 * to_failing / std::max(1.0, requests);
    result.median_s = seconds[seconds.size() / 2];
    result.p99_s = seconds[seconds.size() * 99 / 100];
    return result;
}

bool meets_targets(const summary& result, kind_index of) {
    constexpr double tolerance = 1e-9;
    if (result.false_alarms > target_false_alarms + tolerance) return false;
    if (!kinds.at(of).bad) return result.done >= target_good_done - tolerance;
    return result.taken_back >= target_bad_back - tolerance && result.to_failing <= target_to_bad &&
           result.other_done >= target_good_done - tolerance;
}

} // namespace

int run_moves(std::uint64_t seed) {
    fmt::print("{} moves per row, deadline {} s; requests to a version while it misbehaves, of the route's "
               "requests until the end of the watch; seconds to the first declared result\n",
               moves_per_kind, deadline_s);
    fmt::print("{:<24}{:<34}{:>8}{:>8}{:>8}{:>8}{:>9}{:>7}{:>7}\n", "rules", "kind", "done %", "back %",
               "false %", "other %", "to bad %", "p50 s", "p99 s");
    bool met = true;
    for (const auto& by : rules) {
        for (int i = 0; i < kind_count; ++i) {
            const auto of = static_cast<kind_index>(i);
            const auto result = run_kind(seed, of, by);
            const bool passes = meets_targets(result, of);
            if (&by == rules.data()) met = met && passes;
            fmt::print("{:<24}{:<34}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.1f}{:>9.3f}{:>7}{:>7}{}\n", by.name,
                       kinds.at(of).name, result.done, result.taken_back, result.false_alarms,
                       result.other_done, result.to_failing, result.median_s, result.p99_s,
                       passes ? "" : "  misses");
            std::fflush(stdout);
        }
    }
    return met ? 0 : 1;
}

} // namespace lacewing::bench
