#pragma once

#include "coordination/version_evaluator.h"
#include "coordination/vm_report.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/// @brief Outcomes on one route over all VMs: of the target version of a move and of all others.
struct route_outcomes {
    version_tally target;
    version_tally others;
};
/// By route.
using service_outcomes = std::map<std::string, route_outcomes>;

/// @brief What the outcomes say about the target version, and why.
struct version_judgement {
    version_verdict verdict = version_verdict::undecided;
    /// Log likelihood ratios against the target, summed over the routes: of failures and of slow answers.
    double failure_llr = 0;
    double slow_llr = 0;
    /// For a bad version, the route and its counts.
    std::string reason;
};

/// @brief Compares the target version with the others by sequential tests of the rates of failures and of
/// slow answers. Without evidence that the target is good, the verdict is undecided.
///
/// A target is bad when one route shows a clear excess, and good when the routes together show that there is
/// none. Slow answers are compared among the requests that were timed, because the others say nothing about
/// latency, and those for cold objects only with others of their kind.
version_judgement judge_version(const service_outcomes& outcomes);

/// @brief Outcomes of the target version since an earlier state, compared with all outcomes of the others.
service_outcomes target_outcomes_since(const service_outcomes& before, const service_outcomes& now);

/// @brief Outcomes of the target version over all routes.
version_tally target_total(const service_outcomes& outcomes);
/// @brief Requests to all versions over all routes.
std::uint64_t sent_total(const service_outcomes& outcomes);

/// @brief Adds counts.
void add(version_tally& to, const version_tally& from);
/// @brief Subtracts counts that were added before.
void subtract(version_tally& from, const version_tally& added);

} // namespace lacewing
