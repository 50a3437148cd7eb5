#include "coordination/version_judge.h"

#include "coordination/sequential_test.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

/// Rates that a sequential test tells apart.
struct test_rates {
    /// The lower rate is that of the other versions, but not below this: with few answers, a lower one cannot
    /// be estimated, and endpoints that have just started do a little worse.
    double min_low_rate;
    /// Smallest excess over the other versions that should be detected.
    double margin;
    /// Log likelihood ratio below which the target has no such excess.
    double good_llr;
};

// By Wald's bounds, a version with the smallest excess is found good with a probability of 8 % and 3 %.
// Versions that fail do so in a larger part of their answers.
constexpr test_rates failure_rates{0.02, 0.12, -2.5};
constexpr test_rates slow_rates{0.06, 0.15, -3.5};
constexpr double max_low_rate = 0.7;
// By Wald's bound, a good version is found bad with a probability of 0.5 %.
constexpr double bad_llr = 5.3;
// Failures, or slow answers, without which no route is bad.
constexpr std::uint64_t min_failures = 3;
constexpr std::uint64_t min_slow_answers = 5;
// A route is also bad when its failures, or slow answers, would come by chance, at the others' rate, with
// less than this probability. It is small because the test is repeated many times during a move.
constexpr double max_chance = 0.00014;
// With fewer answers of the other versions to requests for cold objects (or for others), the rate of all
// their answers is taken.
constexpr std::uint64_t min_answers_of_kind = 8;
// Rate of slow answers that endpoints which have just started may show beside others that have none.
constexpr double min_usual_slow_rate = 0.02;
// A route is also bad when five answers failed (or were slow) and their rate exceeds that of the other
// versions by the given difference. The tests above cannot tell rates apart where the others fail often.
constexpr std::uint64_t min_events_for_excess = 5;
constexpr double min_failure_rate_excess = 0.12;
constexpr double min_slow_rate_excess = 0.25;

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Estimates a rate from few events: one event more than were seen, so that none are not taken for a rate of
// zero, and the standard error of the count.
double cautious_rate(std::uint64_t events, std::uint64_t trials) {
    const auto seen = static_cast<double>(events);
    return std::min(1.0, (seen + 1 + std::sqrt(seen)) / static_cast<double>(trials + 1));
}

// Log likelihood ratio of a rate above that of the other versions, given the target's counts.
double excess_llr(std::uint64_t events, std::uint64_t trials, double others_rate, const test_rates& rates) {
    const double low = std::clamp(others_rate, rates.min_low_rate, max_low_rate);
    const auto hits = static_cast<double>(events);
    return rate_llr(hits, static_cast<double>(trials) - hits, low, low + rates.margin);
}

// Count since an earlier state; 0 where a count fell, because a VM that restarts counts from zero.
std::uint64_t increase(std::uint64_t later, std::uint64_t earlier) {
    return later > earlier ? later - earlier : 0;
}

/// Requests for cold objects, or for others, that were timed and that were slow.
struct timed_requests {
    std::uint64_t timed = 0;
    std::uint64_t slow = 0;
};

timed_requests all_timed(const version_tally& tally) {
    return {std::max(tally.timed, tally.slow), tally.slow};
}

timed_requests cold_timed(const version_tally& tally) {
    return {std::max(tally.timed_cold, tally.slow_cold), tally.slow_cold};
}

timed_requests warm_timed(const version_tally& tally) {
    const auto all = all_timed(tally);
    const auto cold = cold_timed(tally);
    return {increase(all.timed, cold.timed), increase(all.slow, cold.slow)};
}

/// What the slow answers on a route say about the target.
struct slow_evidence {
    /// Log likelihood ratio of an excess.
    double llr = 0;
    /// Slow answers that the other versions would have had, and a cautious estimate of their number.
    double usual = 0;
    double expected = 0;
};

// Compares the slow answers to requests for cold objects and to the others each on their own. A new version
// gets more requests for cold objects, which take longer, than the version that has handled the objects
// before.
slow_evidence compare_slow(const route_outcomes& compared) {
    slow_evidence evidence;
    for (const auto kind : {cold_timed, warm_timed}) {
        const auto target = kind(compared.target);
        auto others = kind(compared.others);
        if (others.timed < min_answers_of_kind) others = all_timed(compared.others);
        const auto timed = static_cast<double>(target.timed);
        const double rate = ratio(others.slow, others.timed);
        evidence.llr += excess_llr(target.slow, target.timed, rate, slow_rates);
        evidence.usual += timed * rate;
        evidence.expected += timed * std::max(min_usual_slow_rate, cautious_rate(others.slow, others.timed));
    }
    return evidence;
}

bool has_clear_excess(std::uint64_t events, double rate, double others_rate, double min_excess) {
    return events >= min_events_for_excess && rate > others_rate + min_excess;
}

} // namespace

version_judgement judge_version(const service_outcomes& outcomes) {
    version_judgement judgement;
    for (const auto& [route, compared] : outcomes) {
        const auto& target = compared.target;
        const auto& others = compared.others;
        const auto timed = std::max(target.timed, target.slow);
        const double others_failure_rate = ratio(others.failed, others.answered);
        const double failure_llr =
            excess_llr(target.failed, target.answered, others_failure_rate, failure_rates);
        const auto slowness = compare_slow(compared);
        judgement.failure_llr += failure_llr;
        judgement.slow_llr += slowness.llr;
        const double expected_failures =
            static_cast<double>(target.answered) * cautious_rate(others.failed, others.answered);
        const bool fails =
            (target.failed >= min_failures &&
             (failure_llr >= bad_llr || tail_probability(target.failed, expected_failures) < max_chance)) ||
            has_clear_excess(target.failed, ratio(target.failed, target.answered), others_failure_rate,
                             min_failure_rate_excess);
        const double usual_slow_rate = timed == 0 ? 0 : slowness.usual / static_cast<double>(timed);
        const bool slow =
            (target.slow >= min_slow_answers &&
             (slowness.llr >= bad_llr || tail_probability(target.slow, slowness.expected) < max_chance)) ||
            has_clear_excess(target.slow, ratio(target.slow, timed), usual_slow_rate, min_slow_rate_excess);
        if (!(fails || slow) || judgement.verdict == version_verdict::bad) continue;
        judgement.verdict = version_verdict::bad;
        judgement.reason = fmt::format(
            "route {}: {} of {} answers failed, {} of {} slow, of these {} of {} for "
            "cold objects; old version {} of {} failed, {} of {} slow, {} of {} cold",
            route, target.failed, target.answered, target.slow, timed, target.slow_cold, target.timed_cold,
            others.failed, others.answered, others.slow, others.timed, others.slow_cold, others.timed_cold);
    }
    if (judgement.verdict == version_verdict::bad) return judgement;
    if (judgement.failure_llr <= failure_rates.good_llr && judgement.slow_llr <= slow_rates.good_llr)
        judgement.verdict = version_verdict::good_enough;
    return judgement;
}

service_outcomes target_outcomes_since(const service_outcomes& before, const service_outcomes& now) {
    service_outcomes result = now;
    for (auto& [route, compared] : result) {
        const auto found = before.find(route);
        if (found == before.end()) continue;
        const auto& earlier = found->second.target;
        auto& target = compared.target;
        target = {
            increase(target.sent, earlier.sent),          increase(target.answered, earlier.answered),
            increase(target.failed, earlier.failed),      increase(target.timed, earlier.timed),
            increase(target.slow, earlier.slow),          increase(target.timed_cold, earlier.timed_cold),
            increase(target.slow_cold, earlier.slow_cold)};
    }
    return result;
}

version_tally target_total(const service_outcomes& outcomes) {
    version_tally total;
    for (const auto& [route, compared] : outcomes)
        add(total, compared.target);
    return total;
}

std::uint64_t sent_total(const service_outcomes& outcomes) {
    std::uint64_t total = 0;
    for (const auto& [route, compared] : outcomes)
        total += compared.target.sent + compared.others.sent;
    return total;
}

void add(version_tally& to, const version_tally& from) {
    to.sent += from.sent;
    to.answered += from.answered;
    to.failed += from.failed;
    to.timed += from.timed;
    to.slow += from.slow;
    to.timed_cold += from.timed_cold;
    to.slow_cold += from.slow_cold;
}

void subtract(version_tally& from, const version_tally& added) {
    from.sent -= added.sent;
    from.answered -= added.answered;
    from.failed -= added.failed;
    from.timed -= added.timed;
    from.slow -= added.slow;
    from.timed_cold -= added.timed_cold;
    from.slow_cold -= added.slow_cold;
}

} // namespace lacewing
