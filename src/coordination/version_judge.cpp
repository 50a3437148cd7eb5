#include "coordination/version_judge.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <fmt/format.h>

namespace lacewing {

namespace {

constexpr std::size_t latency_buckets = 48;
// Requests over which the error rate of the old version is averaged; fewer give no estimate of rates near 1
// %.
constexpr double averaged_requests = 1000;
// Lower limit of the old version's error rate: without it, the first error after a quiet time would decide.
constexpr double smallest_error_rate = 0.002;
constexpr double largest_error_rate = 0.98;
// Requests of the old version that a window needs.
constexpr std::uint64_t min_old_requests = 20;
// Weight of a window's requests to the new version, as a multiple of those to the old one. An error rate of
// few requests is uncertain; with more weight, a load peak in which both versions fail condemns the new one.
constexpr double max_weight = 2;
// Bound of the two-sided normal test of the fixed-size rule, 1 % false alarms per look.
constexpr double fixed_bound = 2.33;

// Four buckets per octave: neighbouring bounds differ by at most a quarter.
std::size_t bucket_of(time_ms latency) {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count, 0));
    if (value < 4) return value;
    const auto octave = static_cast<std::size_t>(std::bit_width(value)) - 1;
    return std::min(4 * (octave - 1) + ((value >> (octave - 2)) & 3U), latency_buckets - 1);
}

struct rank_result {
    double mean_excess = 0;
    double fresh = 0;
    double old = 0;
};

// Probability that a request of the new version takes longer than one of the old, minus one half.
rank_result compare_ranks(const version_counts& base, const version_counts& fresh) {
    rank_result result;
    double below = 0;
    double excess = 0;
    for (std::size_t i = 0; i < std::max(base.latency.size(), fresh.latency.size()); ++i) {
        const auto old_here = i < base.latency.size() ? static_cast<double>(base.latency[i]) : 0;
        const auto new_here = i < fresh.latency.size() ? static_cast<double>(fresh.latency[i]) : 0;
        excess += new_here * (below + old_here / 2);
        below += old_here;
        result.fresh += new_here;
    }
    result.old = below;
    if (result.fresh > 0 && below > 0) result.mean_excess = excess / (result.fresh * below) - 0.5;
    return result;
}

double rate_of(const version_counts& counts) {
    return counts.requests == 0 ? 0
                                : static_cast<double>(counts.errors) / static_cast<double>(counts.requests);
}

// Log likelihood ratio of "worse than the old version by the margin" against "as the old version".
double error_step(const version_counts& fresh, double old_rate, double margin) {
    const auto good = std::clamp(old_rate, smallest_error_rate, largest_error_rate);
    const auto bad = std::min(std::max(3 * good, good + margin), (1 + good) / 2);
    const auto errors = static_cast<double>(fresh.errors);
    const auto successes = static_cast<double>(fresh.requests - fresh.errors);
    return errors * std::log(bad / good) + successes * std::log((1 - bad) / (1 - good));
}

} // namespace

void add_outcome(version_counts& counts, bool failed, time_ms latency) {
    ++counts.requests;
    if (failed) {
        // A quick failure is not a quick response; it counts as an error only.
        ++counts.errors;
        return;
    }
    const auto bucket = bucket_of(latency);
    if (counts.latency.size() <= bucket) counts.latency.resize(bucket + 1);
    ++counts.latency[bucket];
}

void merge(version_counts& counts, const version_counts& other) {
    counts.requests += other.requests;
    counts.errors += other.errors;
    counts.latency.resize(std::max(counts.latency.size(), other.latency.size()));
    for (std::size_t i = 0; i < other.latency.size(); ++i)
        counts.latency[i] += other.latency[i];
}

version_counts growth(const version_counts& older, const version_counts& newer) {
    bool continues = newer.requests >= older.requests && newer.errors >= older.errors &&
                     newer.latency.size() >= older.latency.size();
    for (std::size_t i = 0; continues && i < older.latency.size(); ++i)
        continues = newer.latency[i] >= older.latency[i];
    if (!continues) return newer;
    auto result = newer;
    result.requests -= older.requests;
    result.errors -= older.errors;
    for (std::size_t i = 0; i < older.latency.size(); ++i)
        result.latency[i] -= older.latency[i];
    return result;
}

void version_evaluator::add(const version_counts& old_version, const version_counts& new_version) {
    merge(window_old_, old_version);
    merge(window_new_, new_version);
    add_gross_errors(new_version);
    if (window_old_.requests < min_old_requests) return;
    add_window(window_old_, window_new_);
    window_old_ = {};
    window_new_ = {};
}

void version_evaluator::add_window(const version_counts& old_version, const version_counts& new_version) {
    merge(stage_old_, old_version);
    merge(stage_new_, new_version);
    old_requests_ += static_cast<double>(old_version.requests);
    old_errors_ += static_cast<double>(old_version.errors);
    const auto scale = averaged_requests / std::max(averaged_requests, old_requests_);
    old_requests_ *= scale;
    old_errors_ *= scale;
    if (new_version.requests == 0) return;
    add_errors(old_version, new_version);
    add_latencies(old_version, new_version);
    if (settings_.rule == evaluation_rule::fixed_size) {
        decide_fixed_size();
    } else {
        bad_ = bad_ || std::max(error_alarm_, rank_alarm_) >= settings_.bad_bound;
    }
}

void version_evaluator::decide_fixed_size() {
    if (stage_new_.requests < settings_.fixed_requests) return;
    const auto base_rate = std::max(old_errors_ / old_requests_, smallest_error_rate);
    const auto count = static_cast<double>(stage_new_.requests);
    const auto ranks = compare_ranks(stage_old_, stage_new_);
    const bool ranked = ranks.old > 0 && ranks.fresh > 0;
    const auto rank_deviation = ranked ? std::sqrt((1 / ranks.fresh + 1 / ranks.old) / 12) : 1.0;
    bad_ = bad_ || rate_of(stage_new_) - base_rate > fixed_bound * std::sqrt(base_rate / count) ||
           ranks.mean_excess > fixed_bound * rank_deviation;
}

void version_evaluator::add_gross_errors(const version_counts& new_version) {
    if (old_requests_ < static_cast<double>(min_old_requests)) return;
    const auto good = std::max(old_errors_ / old_requests_, settings_.tolerated_error_rate);
    gross_alarm_ = std::max(0.0, gross_alarm_ + error_step(new_version, good, settings_.gross_error_margin));
    bad_ = bad_ || gross_alarm_ >= settings_.bad_bound;
}

void version_evaluator::add_errors(const version_counts& old_version, const version_counts& new_version) {
    // The higher of the average and the present rate: a load peak that makes both versions fail is no
    // evidence.
    const auto good = std::max(old_errors_ / old_requests_, rate_of(old_version));
    const auto weight = std::min(1.0, max_weight * static_cast<double>(old_version.requests) /
                                          static_cast<double>(new_version.requests));
    const auto step = weight * error_step(new_version, good, settings_.error_margin);
    error_ratio_ += step;
    error_alarm_ = std::max(0.0, error_alarm_ + step);
}

// The mean rank of a window is close to normal; its variance follows from both numbers of requests.
void version_evaluator::add_latencies(const version_counts& old_version, const version_counts& new_version) {
    const auto margin = settings_.rank_margin;
    const auto ranks = compare_ranks(old_version, new_version);
    if (ranks.old < 2 || ranks.fresh == 0) return;
    const auto variance = (1 / ranks.fresh + 1 / ranks.old) / 12;
    const auto step = (margin * ranks.mean_excess - margin * margin / 2) / variance;
    rank_ratio_ += step;
    rank_alarm_ = std::max(0.0, rank_alarm_ + step);
}

void version_evaluator::enter_stage() {
    error_ratio_ = 0;
    rank_ratio_ = 0;
    stage_old_ = {};
    stage_new_ = {};
}

version_verdict version_evaluator::verdict() const {
    if (bad_) return version_verdict::bad;
    const bool enough = settings_.rule == evaluation_rule::fixed_size
                            ? stage_new_.requests >= settings_.fixed_requests
                            : std::max(error_ratio_, rank_ratio_) <= -settings_.good_bound;
    return enough ? version_verdict::good_enough : version_verdict::undecided;
}

std::string version_evaluator::evidence() const {
    return fmt::format(
        "new {}/{} errors, old {}/{} errors, alarm errors {:.1f} (gross {:.1f}) latency {:.1f}, "
        "ratio errors {:.1f} latency {:.1f}",
        stage_new_.errors, stage_new_.requests, stage_old_.errors, stage_old_.requests, error_alarm_,
        gross_alarm_, rank_alarm_, error_ratio_, rank_ratio_);
}

} // namespace lacewing
