#pragma once

#include "coordination/peer_message.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>

namespace lacewing {

/// @brief Result of comparing a new version with the old one on one route.
enum class version_verdict : std::uint8_t { undecided, good_enough, bad };

/// @brief Counts one finished attempt.
void add_outcome(version_counts& counts, bool failed, time_ms latency);
/// @brief Adds the counts of another VM or another period.
void merge(version_counts& counts, const version_counts& other);
/// @brief Increase of cumulative counts from `older` to `newer`; all of `newer` when any count fell, because
/// the counting process then restarted.
version_counts growth(const version_counts& older, const version_counts& newer);

/// @brief How the evaluation decides; fixed_size is only a baseline for benchmarks.
enum class evaluation_rule : std::uint8_t { sequential, fixed_size };

/// @brief Thresholds of the evaluation.
struct version_evaluator_settings {
    evaluation_rule rule = evaluation_rule::sequential;
    /// Cumulative log likelihood ratio at which the new version is bad. By Wald's bound, one in e^14,
    /// about 1.2 million, starts of the cumulative sum ends in a false alarm.
    double bad_threshold = 14;
    /// Log likelihood ratio in favour of the new version that a stage needs. At 3, a bad version passes at
    /// most about 5 % of its stages.
    double good_threshold = 3;
    /// Smallest increase of the error rate over the old version's that should be detected.
    double error_margin = 0.03;
    /// Error rate that both versions may show under load, and the excess over it (or over the old version's
    /// rate, if higher) that is detected without concurrent requests to the old version. Error rates below
    /// about 27 % are not detected this way.
    double tolerated_error_rate = 0.1;
    double gross_error_margin = 0.4;
    /// Smallest increase of latency that should be detected: the excess over one half of the probability that
    /// a request to the new version takes longer than one to the old. With exponentially distributed
    /// latencies, 0.10 is 1.5 times the latency.
    double rank_margin = 0.10;
    /// Requests to the new version after which the fixed-size rule decides.
    std::uint64_t fixed_size_requests = 200;
};

/// @brief Compares a new version with the old one by sequential tests of error rate and latency.
///
/// The versions are compared within each window only, so a change of the load between windows counts neither
/// for nor against a version. Windows are merged until they hold enough requests to the old version. A
/// version that fails most requests is found bad without that wait, by comparison with the old version's
/// recent error rate.
class version_evaluator {
public:
    explicit version_evaluator(const version_evaluator_settings& settings = {}) : settings_(settings) {}

    /// @brief Adds the counts of both versions in one window of about one second.
    void add(const version_counts& old_version, const version_counts& new_version);
    /// @brief Starts a stage: resets the evidence in favour of the new version and keeps that against it.
    void enter_stage();
    [[nodiscard]] version_verdict verdict() const;
    /// @brief The statistics behind the verdict, as text for logs and status.
    [[nodiscard]] std::string evidence() const;

private:
    void add_window(const version_counts& old_version, const version_counts& new_version);
    void decide_fixed_size();
    void add_gross_errors(const version_counts& new_version);
    void add_errors(const version_counts& old_version, const version_counts& new_version);
    void add_latencies(const version_counts& old_version, const version_counts& new_version);

    version_evaluator_settings settings_;
    // Counts not compared yet, because they hold too few requests to the old version.
    version_counts pending_old_;
    version_counts pending_new_;
    // Counts of the old version, in which older windows weigh less.
    double recent_old_requests_ = 0;
    double recent_old_errors_ = 0;
    // Cumulative sums (CUSUM) of log likelihood ratios against the new version, never below zero.
    double gross_error_cusum_ = 0;
    double error_cusum_ = 0;
    double latency_cusum_ = 0;
    // Log likelihood ratios of this stage; negative values favour the new version.
    double error_llr_ = 0;
    double latency_llr_ = 0;
    // Counts of this stage.
    version_counts stage_old_;
    version_counts stage_new_;
    bool bad_ = false;
};

} // namespace lacewing
