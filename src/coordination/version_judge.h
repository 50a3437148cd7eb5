#pragma once

#include "coordination/peer_message.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>

namespace lacewing {

/// @brief Result of comparing a new version with the old one on one route.
enum class version_verdict : std::uint8_t { undecided, good_enough, bad };

/// @brief Adds one finished attempt.
void add_outcome(version_counts& counts, bool failed, time_ms latency);
/// @brief Adds the counts of another VM or another time.
void merge(version_counts& counts, const version_counts& other);
/// @brief Growth of cumulative counts; all of `newer` when it is not a continuation of `older`.
version_counts growth(const version_counts& older, const version_counts& newer);

/// @brief Rule that a judge applies; the fixed-size rule serves comparison runs.
enum class evaluation_rule : std::uint8_t { sequential, fixed_size };

struct version_evaluator_settings {
    evaluation_rule rule = evaluation_rule::sequential;
    /// Log likelihood ratio at which a version is bad. Wald's bound gives one false alarm in e^14, about 1.2
    /// million, starts of the cumulative sum.
    double bad_bound = 14;
    /// Log likelihood ratio against a bad version that a stage needs: a bad version passes at most about 5 %
    /// of its tests.
    double good_bound = 3;
    /// Smallest harm worth detecting: error rate above the old version's, and the distance of the rank
    /// statistic from one half (0.10 is 1.5 times the latency of exponentially distributed latencies).
    double error_margin = 0.03;
    /// Error rate that both versions may show under load. Only a rate that is higher by gross_error_margin is
    /// recognised without requests of the old version at the same time; rates below about 27 % are not.
    double tolerated_error_rate = 0.1;
    double gross_error_margin = 0.4;
    double rank_margin = 0.10;
    /// Requests to the new version after which the fixed-size rule decides.
    std::uint64_t fixed_requests = 200;
};

/// @brief Sequential comparison of two versions under the same load at the same time.
///
/// Each window is compared within itself, so a change of the load between windows does not count for or
/// against a version. Small windows are joined until they hold enough requests of the old version. A version
/// that fails in most requests is recognised without waiting for that, against the last error rate of the old
/// one.
class version_evaluator {
public:
    explicit version_evaluator(const version_evaluator_settings& settings = {}) : settings_(settings) {}

    /// @brief Adds what both versions did in one window of about a second.
    void add(const version_counts& old_version, const version_counts& new_version);
    /// @brief Starts a stage: evidence for the version starts anew, evidence against it stays.
    void enter_stage();
    [[nodiscard]] version_verdict verdict() const;
    /// @brief Figures on which the verdict rests.
    [[nodiscard]] std::string evidence() const;

private:
    void add_window(const version_counts& old_version, const version_counts& new_version);
    void decide_fixed_size();
    void add_gross_errors(const version_counts& new_version);
    void add_errors(const version_counts& old_version, const version_counts& new_version);
    void add_latencies(const version_counts& old_version, const version_counts& new_version);

    version_evaluator_settings settings_;
    version_counts window_old_;
    version_counts window_new_;
    // Recent counts of the old version; older windows fade.
    double old_requests_ = 0;
    double old_errors_ = 0;
    // Cumulative sums against the version, never below zero.
    double gross_alarm_ = 0;
    double error_alarm_ = 0;
    double rank_alarm_ = 0;
    // Log likelihood ratios of this stage; negative speaks for the version.
    double error_ratio_ = 0;
    double rank_ratio_ = 0;
    version_counts stage_old_;
    version_counts stage_new_;
    bool bad_ = false;
};

} // namespace lacewing
