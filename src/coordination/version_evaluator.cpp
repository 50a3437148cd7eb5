#include "coordination/version_evaluator.h"

#include "coordination/sequential_test.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace lacewing {

namespace {

// Requests over which the error rate of the old version is averaged; with fewer, rates near 1 % cannot be
// estimated.
constexpr double old_error_rate_requests = 1000;
// Limits of the old version's error rate in the likelihood ratio. Without the lower one, the first error
// after an error-free period would make the new version count as bad.
constexpr double min_error_rate = 0.002;
constexpr double max_error_rate = 0.98;
// Requests to the old version that a window needs for a comparison.
constexpr std::uint64_t min_old_requests = 20;
// Limit on the weight of a window's requests to the new version, as a multiple of those to the old one. The
// old version's error rate is uncertain when it has few requests; with more weight, a load peak in which both
// versions fail would make the new one count as bad.
constexpr double max_weight_ratio = 2;
// Critical value of the fixed-size rule's normal tests: 1 % false alarms per test.
constexpr double fixed_size_critical_value = 2.33;

struct rank_comparison {
    /// Probability that a request to the new version takes longer than one to the old, minus one half.
    double excess_probability = 0;
    double new_count = 0;
    double old_count = 0;
};

// Compares the latencies of two versions by rank (Mann-Whitney); requests in the same bucket count as ties.
rank_comparison compare_ranks(const version_counts& old_version, const version_counts& new_version) {
    rank_comparison result;
    double old_below = 0;
    double excess = 0;
    const auto count_in = [](const latency_counts& counts, std::size_t bucket) {
        const auto& buckets = counts.buckets();
        return bucket < buckets.size() ? static_cast<double>(buckets[bucket]) : 0;
    };
    for (std::size_t bucket = 0; bucket < latency_counts::bucket_count; ++bucket) {
        const auto old_in_bucket = count_in(old_version.latency, bucket);
        const auto new_in_bucket = count_in(new_version.latency, bucket);
        excess += new_in_bucket * (old_below + old_in_bucket / 2);
        old_below += old_in_bucket;
        result.new_count += new_in_bucket;
    }
    result.old_count = old_below;
    if (result.new_count > 0 && old_below > 0)
        result.excess_probability = excess / (result.new_count * old_below) - 0.5;
    return result;
}

double error_rate(const version_counts& counts) {
    return counts.requests == 0 ? 0
                                : static_cast<double>(counts.errors) / static_cast<double>(counts.requests);
}

// Log likelihood ratio of the hypotheses that the new version's error rate exceeds the old version's by the
// margin (and is at least three times as high, as far as rates allow) and that it equals the old version's.
double error_llr(const version_counts& new_version, double old_rate, double margin) {
    const auto good_rate = std::clamp(old_rate, min_error_rate, max_error_rate);
    const auto bad_rate = std::min(std::max(3 * good_rate, good_rate + margin), (1 + good_rate) / 2);
    const auto errors = static_cast<double>(new_version.errors);
    const auto successes = static_cast<double>(new_version.requests - new_version.errors);
    return rate_llr(errors, successes, good_rate, bad_rate);
}

} // namespace

void add_outcome(version_counts& counts, bool failed, time_ms latency) {
    ++counts.requests;
    if (failed) {
        // The latency of a failure is not counted: a quick failure is not a quick response.
        ++counts.errors;
        return;
    }
    counts.latency.add(latency_counts::bucket_of(latency), 1);
}

void merge(version_counts& counts, const version_counts& other) {
    counts.requests += other.requests;
    counts.errors += other.errors;
    counts.latency.add(other.latency);
}

version_counts growth(const version_counts& older, const version_counts& newer) {
    const bool continues = newer.requests >= older.requests && newer.errors >= older.errors &&
                           newer.latency.includes(older.latency);
    if (!continues) return newer;
    auto result = newer;
    result.requests -= older.requests;
    result.errors -= older.errors;
    result.latency.subtract(older.latency);
    return result;
}

void version_evaluator::add(const version_counts& old_version, const version_counts& new_version) {
    merge(pending_old_, old_version);
    merge(pending_new_, new_version);
    add_gross_errors(new_version);
    if (pending_old_.requests < min_old_requests) return;
    add_window(pending_old_, pending_new_);
    pending_old_ = {};
    pending_new_ = {};
}

void version_evaluator::add_window(const version_counts& old_version, const version_counts& new_version) {
    merge(stage_old_, old_version);
    merge(stage_new_, new_version);
    recent_old_requests_ += static_cast<double>(old_version.requests);
    recent_old_errors_ += static_cast<double>(old_version.errors);
    const auto scale = old_error_rate_requests / std::max(old_error_rate_requests, recent_old_requests_);
    recent_old_requests_ *= scale;
    recent_old_errors_ *= scale;
    if (new_version.requests == 0) return;
    add_errors(old_version, new_version);
    add_latencies(old_version, new_version);
    if (settings_.rule == evaluation_rule::fixed_size) {
        decide_fixed_size();
    } else {
        bad_ = bad_ || std::max(error_cusum_, latency_cusum_) >= settings_.bad_threshold;
    }
}

void version_evaluator::decide_fixed_size() {
    if (stage_new_.requests < settings_.fixed_size_requests) return;
    const auto old_error_rate = std::max(recent_old_errors_ / recent_old_requests_, min_error_rate);
    const auto count = static_cast<double>(stage_new_.requests);
    const auto ranks = compare_ranks(stage_old_, stage_new_);
    const bool comparable = ranks.old_count > 0 && ranks.new_count > 0;
    const auto rank_deviation =
        comparable ? std::sqrt((1 / ranks.new_count + 1 / ranks.old_count) / 12) : 1.0;
    bad_ = bad_ ||
           error_rate(stage_new_) - old_error_rate >
               fixed_size_critical_value * std::sqrt(old_error_rate / count) ||
           ranks.excess_probability > fixed_size_critical_value * rank_deviation;
}

void version_evaluator::add_gross_errors(const version_counts& new_version) {
    if (recent_old_requests_ < static_cast<double>(min_old_requests)) return;
    const auto good_rate =
        std::max(recent_old_errors_ / recent_old_requests_, settings_.tolerated_error_rate);
    gross_error_cusum_ =
        std::max(0.0, gross_error_cusum_ + error_llr(new_version, good_rate, settings_.gross_error_margin));
    bad_ = bad_ || gross_error_cusum_ >= settings_.bad_threshold;
}

void version_evaluator::add_errors(const version_counts& old_version, const version_counts& new_version) {
    // The higher of the old version's average and current rate, so that a load peak in which both versions
    // fail does not count against the new one.
    const auto good_rate = std::max(recent_old_errors_ / recent_old_requests_, error_rate(old_version));
    const auto weight = std::min(1.0, max_weight_ratio * static_cast<double>(old_version.requests) /
                                          static_cast<double>(new_version.requests));
    const auto step = weight * error_llr(new_version, good_rate, settings_.error_margin);
    error_llr_ += step;
    error_cusum_ = std::max(0.0, error_cusum_ + step);
}

// The rank statistic of a window is approximately normal, with a variance that follows from the numbers of
// requests to both versions.
void version_evaluator::add_latencies(const version_counts& old_version, const version_counts& new_version) {
    const auto margin = settings_.rank_margin;
    const auto ranks = compare_ranks(old_version, new_version);
    if (ranks.old_count < 2 || ranks.new_count == 0) return;
    const auto variance = (1 / ranks.new_count + 1 / ranks.old_count) / 12;
    const auto step = (margin * ranks.excess_probability - margin * margin / 2) / variance;
    latency_llr_ += step;
    latency_cusum_ = std::max(0.0, latency_cusum_ + step);
}

void version_evaluator::enter_stage() {
    error_llr_ = 0;
    latency_llr_ = 0;
    stage_old_ = {};
    stage_new_ = {};
}

version_verdict version_evaluator::verdict() const {
    if (bad_) return version_verdict::bad;
    const bool accepted = settings_.rule == evaluation_rule::fixed_size
                              ? stage_new_.requests >= settings_.fixed_size_requests
                              : std::max(error_llr_, latency_llr_) <= -settings_.good_threshold;
    return accepted ? version_verdict::good_enough : version_verdict::undecided;
}

std::string version_evaluator::evidence() const {
    return fmt::format(
        "new {}/{} errors, old {}/{} errors, alarm errors {:.1f} (gross {:.1f}) latency {:.1f}, "
        "ratio errors {:.1f} latency {:.1f}",
        stage_new_.errors, stage_new_.requests, stage_old_.errors, stage_old_.requests, error_cusum_,
        gross_error_cusum_, latency_cusum_, error_llr_, latency_llr_);
}

} // namespace lacewing
