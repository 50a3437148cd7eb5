#include "coordination/latency_baselines.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double baseline_quantile = 0.95;
// An answer is slow above this multiple of the baseline, the latency that 19 of 20 answers of the old version
// stay below, and above this multiple of the cold service time: the old version may have nearly all objects
// cached.
constexpr double slow_factor = 1.3;
constexpr double cold_slow_factor = 1.65;
// Latest answers of each kind and route that the VMs of a fleet report together.
constexpr std::size_t fleet_answers = 640;
// Limits of the answers that one VM reports: a small fleet needs no more, and in a large one the few answers
// of a route with little traffic must not be lost.
constexpr std::size_t max_reported_answers = 64;
constexpr std::size_t min_reported_answers = 4;
// With fewer answers of the fleet, the longest latency stands for the quantile.
constexpr std::uint64_t full_baseline_answers = 40;
// Answers of the fleet before the baseline is used; the first few may all be quick.
constexpr std::uint64_t min_baseline_answers = 20;
// Answers on which the fleet's cold service time must rest.
constexpr std::uint64_t min_service_time_answers = 8;
// Answers of one VM that count for the fleet's cold service time at most.
constexpr std::uint64_t max_service_time_answers = 64;
// Time after which the report of a process that has ended is forgotten. Until then it stands for the answers
// that the VM's next process does not know.
constexpr time_ms report_lifetime{30'000};
constexpr time_ms silence_check_interval{1'000};

void add(route_latencies& to, const route_latencies& from) {
    to.queued.add(from.queued);
    to.unqueued.add(from.unqueued);
    to.cold_service_time.add(from.cold_service_time);
}

void subtract(route_latencies& from, const route_latencies& added) {
    from.queued.subtract(added.queued);
    from.unqueued.subtract(added.unqueued);
    from.cold_service_time.subtract(added.cold_service_time);
}

} // namespace

latency_baselines::latency_baselines() : reported_answers_(max_reported_answers) {}

void latency_baselines::set_fleet(std::size_t vms) {
    reported_answers_ = std::clamp(fleet_answers / vms, min_reported_answers, max_reported_answers);
}

void latency_baselines::recent_latencies::add(time_ms latency, std::size_t max_answers) {
    buckets.push_back(latency_counts::bucket_of(latency));
    counts.add(buckets.back(), 1);
    while (buckets.size() > max_answers) {
        counts.subtract(buckets.front(), 1);
        buckets.pop_front();
    }
}

route_latencies latency_baselines::own_latencies::reported(const std::string& route) const {
    route_latencies result{route, queued.counts, unqueued.counts, {}};
    if (cold.ms > 0) {
        result.cold_service_time.add(latency_counts::bucket_of({std::llround(cold.ms)}),
                                     std::min(cold.samples, max_service_time_answers));
    }
    return result;
}

void latency_baselines::on_answer(const std::string& service, const std::string& route, time_ms latency,
                                  bool queued) {
    auto& known = own_[route];
    known.service = service;
    (queued ? known.queued : known.unqueued).add(latency, reported_answers_);
}

void latency_baselines::on_service_time(const std::string& service, const std::string& route,
                                        const service_time_estimate& cold) {
    auto& known = own_[route];
    known.service = service;
    known.cold = cold;
}

void latency_baselines::on_report(time_ms now, const std::string& process,
                                  std::span<const route_latencies> latencies) {
    auto& known = others_[process];
    remove(known);
    known.reported_at = now;
    known.routes.assign(latencies.begin(), latencies.end());
    for (const auto& route : known.routes)
        add(totals_of_others_[route.route], route);
}

void latency_baselines::remove(const process_latencies& process) {
    for (const auto& route : process.routes)
        subtract(totals_of_others_[route.route], route);
}

void latency_baselines::forget_silent(time_ms now) {
    if (now - looked_for_silent_at_ < silence_check_interval) return;
    looked_for_silent_at_ = now;
    std::erase_if(others_, [&](const auto& entry) {
        const bool expired = now - entry.second.reported_at > report_lifetime;
        if (expired) remove(entry.second);
        return expired;
    });
}

void latency_baselines::update(time_ms now) {
    forget_silent(now);
    auto fleet = totals_of_others_;
    for (const auto& [route, known] : own_)
        add(fleet[route], known.reported(route));
    slow_latencies_ms_.clear();
    for (const auto& [route, latencies] : fleet) {
        if (const auto limit = slow_latency_ms(latencies)) slow_latencies_ms_[route] = *limit;
    }
}

std::optional<double> latency_baselines::slow_latency_ms(const route_latencies& fleet) {
    // The expected wait is uncertain under load, so answers to requests that had to wait count only where
    // there are too few others.
    auto answers = fleet.unqueued;
    if (answers.total() < min_baseline_answers) answers.add(fleet.queued);
    if (answers.total() < min_baseline_answers || fleet.cold_service_time.total() < min_service_time_answers)
        return std::nullopt;
    const double quantile = answers.total() < full_baseline_answers ? 1 : baseline_quantile;
    return std::max(slow_factor * answers.quantile_ms(quantile),
                    cold_slow_factor * fleet.cold_service_time.quantile_ms(0.5));
}

std::optional<double> latency_baselines::slow_latency_ms(const std::string& route) const {
    const auto found = slow_latencies_ms_.find(route);
    if (found == slow_latencies_ms_.end()) return std::nullopt;
    return found->second;
}

std::vector<route_latencies>
latency_baselines::own(const std::function<bool(const std::string&)>& wanted) const {
    std::vector<route_latencies> routes;
    for (const auto& [route, known] : own_) {
        if (wanted(known.service)) routes.push_back(known.reported(route));
    }
    return routes;
}

} // namespace lacewing
