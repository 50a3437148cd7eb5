#include "bench/bench.h"
#include "coordination/router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <queue>
#include <random>
#include <utility>

namespace lacewing::bench {

namespace {

using namespace literals;

constexpr int endpoint_count = 20;
constexpr std::int64_t slots_per_endpoint = 4;
constexpr time_ms simulated_time = 120_s;

configuration make_config() {
    configuration config;
    config.regions = {{{"r"}, 1000}};
    config.zones = {{{"z"}, {"r"}}};
    route route_config;
    route_config.name = {"work"};
    for (int i = 0; i < endpoint_count; ++i) {
        const auto name = fmt::format("e{}", i);
        route_config.endpoints.push_back({{name}, {"z"}, name + ":80", slots_per_endpoint, 400, "v1"});
    }
    config.routes = {route_config};
    return config;
}

struct simulated_endpoint {
    double mean_ms = 20;
    bool reports_zero_load = false;
    time_ms dead_from{-1};
    time_ms dead_until{-1};
    time_ms cold_from{-1};
    int running = 0;
};

struct running_request {
    time_ms end;
    time_ms start;
    route_ticket ticket;
    bool failed = false;
    bool operator<(const running_request& other) const { return end > other.end; }
};

struct simulation_result {
    std::vector<std::int64_t> latencies;
    std::int64_t offered = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
};

// Two endpoints are slow, one is slow and always reports no load, one is dead for a time, and four have cold
// caches for a time.
std::vector<simulated_endpoint> make_endpoints() {
    std::vector<simulated_endpoint> endpoints(endpoint_count);
    // Slower than the others, but not by enough to be ejected.
    endpoints[0].mean_ms = endpoints[1].mean_ms = 50;
    endpoints[2].mean_ms = 40;
    endpoints[2].reports_zero_load = true;
    endpoints[3].dead_from = 30_s;
    endpoints[3].dead_until = 60_s;
    for (std::size_t i = 4; i < 8; ++i)
        endpoints[i].cold_from = 80_s;
    return endpoints;
}

// Service time of a request in milliseconds. A cold cache makes it five times slower for ten seconds, and
// each further request in flight on the endpoint adds 20 %.
double service_ms(const simulated_endpoint& endpoint, time_ms now, std::mt19937_64& random) {
    const bool cold =
        endpoint.cold_from.count >= 0 && now >= endpoint.cold_from && now < endpoint.cold_from + 10_s;
    const double mean = endpoint.mean_ms * (cold ? 5 : 1) * (1 + 0.2 * (endpoint.running - 1));
    return std::lognormal_distribution<double>{std::log(mean), 0.4}(random);
}

simulation_result simulate(selection_rule rule, double requests_per_ms, std::uint64_t seed) {
    const auto config = make_config();
    router routing(config, {"z"}, seed, rule);
    auto endpoints = make_endpoints();
    std::mt19937_64 random(seed);
    std::priority_queue<running_request> running;
    simulation_result result;
    std::poisson_distribution<int> arrivals{requests_per_ms};
    for (time_ms now{1}; now < simulated_time; now += 1_ms) {
        while (!running.empty() && running.top().end <= now) {
            const auto done = running.top();
            running.pop();
            auto& endpoint = endpoints[done.ticket.endpoint];
            --endpoint.running;
            attempt_result outcome;
            outcome.outcome = done.failed ? attempt_outcome::failure : attempt_outcome::success;
            outcome.latency = now - done.start;
            outcome.reported_load =
                endpoint.reports_zero_load ? 0.0 : static_cast<double>(endpoint.running) / slots_per_endpoint;
            routing.finish(now, done.ticket, outcome);
            if (done.failed) {
                ++result.failed;
            } else if (now > 10_s) {
                result.latencies.push_back(outcome.latency.count);
            }
        }
        for (int i = arrivals(random); i > 0; --i) {
            ++result.offered;
            const auto ticket = routing.choose(now, 0);
            if (!ticket) {
                ++result.refused;
                continue;
            }
            auto& endpoint = endpoints[ticket->endpoint];
            ++endpoint.running;
            const bool dead = now >= endpoint.dead_from && now < endpoint.dead_until;
            const auto duration = dead ? 1.0 : std::ceil(service_ms(endpoint, now, random));
            running.push({now + time_ms{static_cast<std::int64_t>(duration)}, now, *ticket, dead});
        }
    }
    return result;
}

std::int64_t quantile(std::vector<std::int64_t>& values, double fraction) {
    const auto nth =
        values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

// Mean time of choose() and finish() together, in nanoseconds, with 30 requests in flight.
double measure_decision_ns(std::uint64_t seed) {
    using clock = std::chrono::steady_clock;
    router routing(make_config(), {"z"}, seed);
    std::vector<route_ticket> in_flight;
    time_ms now{1};
    constexpr int count = 2'000'000;
    std::size_t next = 0;
    const auto start = clock::now();
    for (int i = 0; i < count; ++i) {
        if (i % 10 == 0) now += 1_ms;
        const auto ticket = routing.choose(now, 0);
        if (in_flight.size() < 30) {
            if (ticket) in_flight.push_back(*ticket);
            continue;
        }
        if (!ticket) continue;
        routing.finish(now, std::exchange(in_flight[next++ % in_flight.size()], *ticket),
                       {attempt_outcome::success, 10_ms, 0.3, 0});
    }
    return std::chrono::duration<double, std::nano>(clock::now() - start).count() / count;
}

} // namespace

int run_routing(std::uint64_t seed) {
    fmt::print("choose and finish: {:.0f} ns\n", measure_decision_ns(seed));
    fmt::print("seed {}, {} endpoints of {} slots, {} s simulated\n", seed, endpoint_count,
               slots_per_endpoint, simulated_time.count / 1000);
    fmt::print("{:>10} {:>18} {:>8} {:>8} {:>8} {:>8}\n", "requests/s", "rule", "p50 ms", "p99 ms", "refused",
               "failed");
    constexpr std::pair<selection_rule, const char*> rules[] = {
        {selection_rule::power_of_two, "power of two"},
        {selection_rule::least_in_flight, "least in flight"},
        {selection_rule::round_robin, "round robin"},
    };
    for (const double load : {0.6, 1.2, 1.8}) {
        for (const auto& [rule, name] : rules) {
            auto result = simulate(rule, load, seed);
            fmt::print("{:>10.0f} {:>18} {:>8} {:>8} {:>8} {:>8}\n", load * 1000, name,
                       quantile(result.latencies, 0.5), quantile(result.latencies, 0.99), result.refused,
                       result.failed);
        }
    }
    return 0;
}

} // namespace lacewing::bench
