#include "coordination/version_mover.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <fmt/format.h>

namespace lacewing {

namespace {

using phase = version_move_order::phase;

/// One stage of a move.
struct move_stage {
    /// Share of the requests that go to the target version.
    double share;
    /// Minimum time in this stage, as a fraction of the move's duration.
    double min_duration_fraction;
    /// Answers of the target version needed in this stage.
    std::uint64_t min_answers;
    /// Time since the order, as a fraction of the move's duration, after which the stage ends with less
    /// evidence of its own, if the target is good by all evidence or its exposure stays within the limit.
    double forced_end_fraction;
};

// The small early stages limit how many requests of the whole move a bad version gets; the later ones reveal
// faults that appear only under load.
constexpr std::array<move_stage, 4> stages{
    {{0.05, 0.15, 4, 0.25}, {0.15, 0.12, 8, 0.45}, {0.40, 0.12, 12, 0.65}, {1.0, 0.12, 16, 0.80}}};
// Log likelihood ratios that a stage after the first needs on its own, and a move at the end of its time, in
// favour of the target.
constexpr double stage_llr = -1;
// Log likelihood ratio up to which a target that is not judged may go on if its exposure stays within the
// limit; one slow answer among few is no more.
constexpr double max_llr_without_verdict = 1.5;
// A single failure or slow answer in a stage may be chance.
constexpr std::uint64_t min_events_to_worry = 2;
// With this many timed answers, a target must look good in the end, and not only not bad.
constexpr std::uint64_t min_timed_to_lean = 15;
// Answers that usually suffice to judge a version, and the part of the move's duration that is spent on them.
constexpr double answers_to_judge = 40;
constexpr double judging_fraction = 0.35;
// Largest share of the first stage: little traffic allows more by the limit on exposure, but then a bad
// version would be most of what some callers see.
constexpr double max_first_share = 0.3;
// Part of the limit on exposure that a move plans with; the rest is for requests in flight and for traffic
// that falls.
constexpr double exposure_margin = 0.8;
// A target that is not completed at this part of the duration is completed or reverted by what is known, so
// that the write is in time.
constexpr double decision_fraction = 0.92;
// Part of the limit on exposure for that last decision, after which little traffic is left.
constexpr double last_exposure_margin = 1;
// A request without an answer is slow after this multiple of what is slow for an answer. It is lower than 1,
// because the time waited until then is only a lower bound of the latency.
constexpr double unfinished_factor = 1.2 / 1.3;
// Requests that a VM keeps until their route has a baseline.
constexpr std::size_t max_untimed_requests = 256;
// Without a newer announcement for this long, the announced share is cut to that of the first stage.
constexpr time_ms announcement_lifetime{2000};
// A VM that finds a running move learns from others for this long: a full report of each of them and some
// margin.
constexpr time_ms learning_time{1500};
// Ages of a move that differ by no more than this are equal, but for the delay of reports.
constexpr time_ms max_age_difference{500};
// A VM that drives a move stops after a report of another driver, for twice the interval between regions.
constexpr time_ms takeover_window{600};
// Minimum time between two attempts to write the status of a move.
constexpr time_ms write_retry_interval{700};

std::string tally_key(const sent_request& request) {
    return request.service + '/' + request.version + '/' + request.route;
}

double worst_llr(const version_judgement& judgement) {
    return std::max(judgement.failure_llr, judgement.slow_llr);
}

// Whether the evidence points against the target, though it does not suffice to find it bad.
bool leans_bad(const version_judgement& judgement) {
    return worst_llr(judgement) > max_llr_without_verdict;
}

bool is_running(phase state) {
    return state == phase::ordered || state == phase::active;
}

std::uint64_t excess(std::uint64_t of, std::uint64_t over) {
    return of > over ? of - over : 0;
}

// Counts that are larger in the first tally, by how much.
version_tally excess(const version_tally& of, const version_tally& over) {
    return {.sent = excess(of.sent, over.sent),
            .answered = excess(of.answered, over.answered),
            .failed = excess(of.failed, over.failed),
            .timed = excess(of.timed, over.timed),
            .slow = excess(of.slow, over.slow),
            .timed_cold = excess(of.timed_cold, over.timed_cold),
            .slow_cold = excess(of.slow_cold, over.slow_cold)};
}

} // namespace

void version_mover::set_orders(time_ms now, const std::vector<version_move_order>& orders) {
    std::map<std::string, move_state> updated_moves;
    for (const auto& order : orders) {
        auto current = order;
        // A state that names another version was written for an earlier order of this service.
        if (current.state != phase::ordered && current.state_version != current.target_version) {
            current.state = phase::ordered;
        }
        const auto found = moves_.find(order.service);
        move_state updated;
        const bool same_order = found != moves_.end() &&
                                found->second.order.target_version == order.target_version &&
                                found->second.order.created == order.created;
        if (same_order) {
            updated = found->second;
            if (order.revision < updated.order.revision) current = updated.order;
        } else {
            updated.ordered_at = now;
            if (current.state != phase::ordered) updated.learns_until = now + learning_time;
            updated.stage_started_at = now;
            updated.target_credit = random_credit();
        }
        updated.order = current;
        if (!same_order) {
            const auto outcomes = outcomes_of(updated);
            updated.sent_to_target_before = sent_to_target(updated, outcomes);
            updated.sent_before = sent_since_order(updated, outcomes);
        }
        if (current.state == phase::completed) stable_versions_[order.service] = order.target_version;
        updated_moves[order.service] = updated;
    }
    moves_ = std::move(updated_moves);
}

void version_mover::observe_versions(const endpoint_registry& registry,
                                     const std::vector<std::string>& services) {
    for (const auto& service : services) {
        auto& stable_version = stable_versions_[service];
        if (!stable_version.empty()) continue;
        const auto running_move = moves_.find(service);
        std::map<std::string, int> counts;
        for (const auto& endpoint : registry.endpoints_of_service(service)) {
            const auto& version = endpoint->registration.version;
            if (running_move != moves_.end() && version == running_move->second.order.target_version)
                continue;
            ++counts[version];
        }
        int highest_count = 0;
        for (const auto& [version, count] : counts) {
            if (count <= highest_count) continue;
            highest_count = count;
            stable_version = version;
        }
    }
}

double version_mover::target_share(time_ms now, const move_state& move) const {
    if (move.order.state == phase::completed) return 1;
    if (move.order.state == phase::reverted || move.judged_bad) return 0;
    if (move.driven_here) return move.order.state == phase::active ? move.share : 0;
    if (now - move.announced_share_at > announcement_lifetime)
        return std::min(move.announced_share, stages[0].share);
    return move.announced_share;
}

double version_mover::random_credit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

version_choice version_mover::choose(time_ms now, const std::string& service) {
    const auto found = moves_.find(service);
    const auto stable_version = stable_versions_.find(service);
    const std::string& stable =
        stable_version == stable_versions_.end() ? std::string() : stable_version->second;
    if (found == moves_.end()) return {stable, false};
    auto& move = found->second;
    const auto& target = move.order.target_version;
    if (move.order.state == phase::completed) return {target, false};
    const double current_share = target_share(now, move);
    if (current_share <= 0) move.target_credit = random_credit();
    move.target_credit += current_share;
    if (move.target_credit >= 1) {
        move.target_credit -= 1;
        return {target, false};
    }
    if (stable.empty() || stable == target) return {target, true};
    return {stable, false};
}

std::optional<time_ms> version_mover::slow_limit(const sent_request& request) const {
    const auto found = moves_.find(request.service);
    if (found == moves_.end() || !is_running(found->second.order.state)) return std::nullopt;
    const auto limit = baselines_.slow_latency_ms(request.route);
    if (!limit) return std::nullopt;
    return time_ms{static_cast<std::int64_t>(std::ceil(*limit))};
}

version_mover::timed_tally version_mover::timed_tally_of(const sent_request& request) {
    return {tally_key(request), request.cold_object};
}

void version_mover::count_timed(const timed_tally& counted, bool slow) {
    auto& tally = own_tallies_[counted.key];
    ++tally.timed;
    if (slow) ++tally.slow;
    if (!counted.cold_object) return;
    ++tally.timed_cold;
    if (slow) ++tally.slow_cold;
}

// Compares the latency of a request with the baseline of its route, or keeps it until there is one.
void version_mover::time_request(const untimed_request& request) {
    const auto limit = baselines_.slow_latency_ms(request.route);
    if (!limit) {
        if (untimed_.size() == max_untimed_requests) untimed_.pop_front();
        untimed_.push_back(request);
        return;
    }
    const double slow_above = request.answered ? *limit : *limit * unfinished_factor;
    if (request.latency_ms > slow_above) {
        count_timed(request.tally, true);
    } else if (request.answered && !request.failed) {
        const auto left = static_cast<std::int64_t>(std::ceil(*limit - request.latency_ms));
        maturing_.emplace(request.ended_at + time_ms{left}, request.tally);
    }
}

// Without this, a service with little traffic would lose the first requests of a move as evidence.
void version_mover::time_earlier_requests() {
    const auto waiting = std::exchange(untimed_, {});
    for (const auto& request : waiting)
        time_request(request);
}

void version_mover::on_sent(const sent_request& request) {
    const auto found = moves_.find(request.service);
    if (found == moves_.end() || !is_running(found->second.order.state)) return;
    ++own_tallies_[tally_key(request)].sent;
}

void version_mover::on_overdue(const sent_request& request) {
    count_timed(timed_tally_of(request), true);
}

void version_mover::on_outcome(time_ms now, const sent_request& request, request_outcome outcome,
                               std::optional<answer_timing> timing) {
    const auto found = moves_.find(request.service);
    const bool in_move = found != moves_.end() && found->second.order.state != phase::completed;
    if (outcome == request_outcome::caller_left ||
        (outcome == request_outcome::deadline_passed && request.cold_object)) {
        if (timing && in_move) {
            time_request({.tally = timed_tally_of(request),
                          .route = request.route,
                          .ended_at = now,
                          .latency_ms = timing->latency_ms});
        }
        return;
    }
    const bool failed = outcome != request_outcome::answered;
    const bool is_target = found != moves_.end() && request.version == found->second.order.target_version;
    baselines_.on_service_time(request.service, request.route, request.cold);
    if (timing && !failed && !is_target) {
        const time_ms latency{std::llround(timing->latency_ms)};
        baselines_.on_answer(request.service, request.route, latency, timing->queued);
    }
    if (!in_move) return;
    auto& tally = own_tallies_[tally_key(request)];
    ++tally.answered;
    if (failed) ++tally.failed;
    if (timing) {
        time_request({.tally = timed_tally_of(request),
                      .route = request.route,
                      .ended_at = now,
                      .latency_ms = timing->latency_ms,
                      .answered = true,
                      .failed = failed});
    }
}

// Counts the requests that were answered in time and are now old enough to be compared with slow ones.
void version_mover::count_matured(time_ms now) {
    const auto end = maturing_.upper_bound(now);
    for (auto it = maturing_.begin(); it != end; ++it)
        count_timed(it->second, false);
    maturing_.erase(maturing_.begin(), end);
}

void version_mover::on_report(time_ms now, const vm_report& report) {
    const auto process = report.vm.value + '/' + to_hex(report.incarnation);
    if (!report.latencies.empty()) baselines_.on_report(now, process, report.latencies);
    if (!report.outcomes.empty()) {
        auto& tallies_of_peer = peer_tallies_[process];
        for (const auto& [key, tally] : report.outcomes) {
            auto& known = tallies_of_peer[key];
            auto& total = peer_totals_[key];
            subtract(total, known);
            add(total, tally);
            known = tally;
        }
    }
    for (const auto& [service, announced_share] : report.move_shares) {
        const auto found = moves_.find(service);
        if (found == moves_.end()) continue;
        found->second.announced_share = announced_share;
        found->second.announced_share_at = now;
    }
    for (const auto& known : report.moves) {
        const auto found = moves_.find(known.service);
        if (found != moves_.end() && found->second.order.created == known.created)
            learn(now, found->second, known);
    }
}

// Takes over what another VM knows of a move, unless this VM knows the move for longer.
void version_mover::learn(time_ms now, move_state& move, const move_knowledge& known) const {
    if (now >= move.learns_until || known.age + max_age_difference < now - move.ordered_at) return;
    move.ordered_at = std::min(move.ordered_at, now - known.age);
    const auto counted = counted_outcomes(move);
    // Nobody announces the share while there is no driver.
    if (now - move.announced_share_at > announcement_lifetime)
        move.announced_share = std::clamp(known.share, 0.0, 1.0);
    move.inherited.clear();
    for (const auto& [route, target, others] : known.routes) {
        const auto own = counted.find(route);
        const auto tallies = own == counted.end() ? route_outcomes{} : own->second;
        move.inherited[route] = {excess(target, tallies.target), excess(others, tallies.others)};
    }
    const auto outcomes = outcomes_of(move);
    move.sent_to_target_before +=
        sent_to_target(move, outcomes) - static_cast<std::int64_t>(known.sent_to_target);
    move.sent_before += sent_since_order(move, outcomes) - static_cast<std::int64_t>(known.sent);
}

service_outcomes version_mover::outcomes_of(const move_state& move) const {
    auto outcomes = counted_outcomes(move);
    for (const auto& [route, inherited] : move.inherited) {
        auto& entry = outcomes[route];
        add(entry.target, inherited.target);
        add(entry.others, inherited.others);
    }
    return outcomes;
}

std::int64_t version_mover::sent_to_target(const move_state& move, const service_outcomes& outcomes) {
    return static_cast<std::int64_t>(target_total(outcomes).sent) - move.sent_to_target_before;
}

std::int64_t version_mover::sent_since_order(const move_state& move, const service_outcomes& outcomes) {
    return static_cast<std::int64_t>(sent_total(outcomes)) - move.sent_before;
}

// Outcomes that this VM and the reports of others count.
service_outcomes version_mover::counted_outcomes(const move_state& move) const {
    service_outcomes outcomes;
    const auto prefix = move.order.service + '/';
    const auto collect = [&](const std::map<std::string, version_tally>& tallies) {
        for (auto it = tallies.lower_bound(prefix); it != tallies.end() && it->first.starts_with(prefix);
             ++it) {
            const auto version_end = it->first.find('/', prefix.size());
            const auto version = it->first.substr(prefix.size(), version_end - prefix.size());
            auto& entry = outcomes[it->first.substr(version_end + 1)];
            add(version == move.order.target_version ? entry.target : entry.others, it->second);
        }
    };
    collect(own_tallies_);
    collect(peer_totals_);
    return outcomes;
}

// Judges the target by all outcomes, and by those of the stage alone if they show that it is bad.
version_judgement version_mover::judge(const move_state& move) const {
    const auto outcomes = outcomes_of(move);
    auto of_stage = judge_version(target_outcomes_since(move.outcomes_before_stage, outcomes));
    if (of_stage.verdict == version_verdict::bad) return of_stage;
    return judge_version(outcomes);
}

// What a move has sent, and what its service will still get at the same rate.
version_mover::traffic version_mover::traffic_of(time_ms now, const move_state& move) const {
    const auto outcomes = outcomes_of(move);
    const auto elapsed = static_cast<double>((now - move.ordered_at).count);
    traffic seen;
    seen.to_target = static_cast<double>(sent_to_target(move, outcomes));
    if (elapsed <= 0) return seen;
    seen.duration_fraction =
        elapsed / static_cast<double>(std::max<std::int64_t>(1, move.order.duration.count));
    seen.expected = static_cast<double>(sent_since_order(move, outcomes)) / seen.duration_fraction;
    seen.exposure_limit = exposure_share_ * seen.expected + exposure_slack_;
    return seen;
}

// Whether a bad target stays within a part of the limit on its exposure when it gets a share of the requests
// until a fraction of the move's duration.
bool version_mover::exposure_allows(const traffic& seen, double share, double until, double margin) {
    const auto further = share * seen.expected * std::max(0.0, until - seen.duration_fraction);
    return seen.duration_fraction > 0 && seen.to_target + further <= margin * seen.exposure_limit;
}

// Share of the target in the first stage. A service with little traffic gives the target the share that lets
// it be judged in time, as far as the limit on its exposure leaves room for the stage that tests it under
// load.
double version_mover::first_stage_share(const move_state& move, const traffic& seen) const {
    const double least = stages[0].share;
    const bool may_be_cold = seen.duration_fraction < stages[0].min_duration_fraction;
    if (seen.expected <= 0 || (may_be_cold && target_total(outcomes_of(move)).timed == 0)) return least;
    const double load_test =
        stages[2].share * (stages[2].forced_end_fraction - stages[1].forced_end_fraction);
    const double wanted = answers_to_judge / (judging_fraction * seen.expected);
    const double affordable =
        (exposure_margin * seen.exposure_limit / seen.expected - load_test) / stages[1].forced_end_fraction;
    return std::clamp(std::min(wanted, affordable), least, max_first_share);
}

// Whether the answers of the current stage point against a target that is good by all evidence: a fault that
// appears only under load shows in the last stages.
bool version_mover::stage_worries(const move_state& move) const {
    const auto outcomes = target_outcomes_since(move.outcomes_before_stage, outcomes_of(move));
    const auto target = target_total(outcomes);
    return target.failed + target.slow >= min_events_to_worry && leans_bad(judge_version(outcomes));
}

// Share of the target now. A target that is not found good keeps the share of its stage until the stage is
// over, and then gets what the limit on its exposure still allows.
double version_mover::current_share(time_ms now, const move_state& move, bool good) const {
    const auto seen = traffic_of(now, move);
    const auto& stage = stages[move.stage];
    const double planned =
        move.stage == 0 ? first_stage_share(move, seen) : std::max(stage.share, move.first_share);
    if (good || seen.expected <= 0) return planned;
    const double allowed = exposure_margin * seen.exposure_limit - seen.to_target;
    if (allowed <= 0) return 0;
    if (seen.duration_fraction < stage.forced_end_fraction) return planned;
    const double further = seen.expected * (1 - seen.duration_fraction);
    return further <= allowed ? planned : std::min(planned, allowed / further);
}

// Whether this VM drives the move now.
bool version_mover::drives(time_ms now, const move_state& move, driver_rank rank) {
    if (rank == driver_rank::none || now < move.learns_until) return false;
    return rank == driver_rank::first ||
           (move.driven_here && now - move.announced_share_at > takeover_window);
}

// Continues at the stage whose share the previous driver announced last.
void version_mover::become_driver(time_ms now, move_state& move) {
    std::size_t stage = move.stage;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (move.announced_share >= stages[i].share) stage = std::max(stage, i);
    }
    enter_stage(now, move, stage);
}

void version_mover::enter_stage(time_ms now, move_state& move, std::size_t stage) {
    if (stage > 0 && move.stage == 0) move.first_share = move.share;
    move.stage = stage;
    move.stage_started_at = now;
    move.outcomes_before_stage = outcomes_of(move);
}

// Whether the outcomes of the current stage alone suffice to leave it.
bool version_mover::shown_in_stage(const move_state& move) const {
    const auto outcomes = target_outcomes_since(move.outcomes_before_stage, outcomes_of(move));
    return target_total(outcomes).answered >= stages[move.stage].min_answers &&
           (move.stage == 0 || worst_llr(judge_version(outcomes)) <= stage_llr);
}

// Whether the target has shown enough in its stage to get the share of the next one.
bool version_mover::stage_passed(time_ms now, const move_state& move, const version_judgement& total) const {
    const auto& stage = stages[move.stage];
    const auto duration = static_cast<double>(move.order.duration.count);
    const auto time_in_stage = static_cast<double>((now - move.stage_started_at).count);
    const auto time_since_order = static_cast<double>((now - move.ordered_at).count);
    const bool good = total.verdict == version_verdict::good_enough;
    if (good && shown_in_stage(move) && time_in_stage >= duration * stage.min_duration_fraction) return true;
    if (time_since_order < duration * stage.forced_end_fraction) return false;
    if (time_in_stage < duration * stage.min_duration_fraction / 2) return false;
    const auto outcomes = target_outcomes_since(move.outcomes_before_stage, outcomes_of(move));
    if (target_total(outcomes).timed >= min_timed_to_lean && worst_llr(judge_version(outcomes)) > 0)
        return false;
    const auto seen = target_total(outcomes_of(move));
    if (seen.answered == 0) return false;
    if (good) return true;
    const bool last = move.stage + 1 == stages.size();
    // The last stages leave the old version few requests or none with which to compare the target.
    if (seen.timed == 0 && move.stage + 2 >= stages.size()) return false;
    const double next_share = last ? 1 : stages[move.stage + 1].share;
    const double until = last ? 1 : stages[move.stage + 1].forced_end_fraction;
    return !leans_bad(total) && exposure_allows(traffic_of(now, move), next_share, until, exposure_margin);
}

void version_mover::advance_move(time_ms now, move_state& move, std::vector<move_write>& writes) {
    if (!is_running(move.order.state)) return;
    const auto request_state = [&](phase state, const std::string& reason) {
        if (now - move.last_write_at < write_retry_interval) return;
        move.last_write_at = now;
        auto order = move.order;
        order.state = state;
        writes.push_back({order, reason});
    };
    const auto judgement = judge(move);
    if (move.judged_bad || judgement.verdict == version_verdict::bad) {
        move.judged_bad = true;
        request_state(phase::reverted,
                      judgement.reason.empty() ? "target version was found bad earlier" : judgement.reason);
        return;
    }
    if (move.order.state == phase::ordered) {
        move.stage_started_at = now;
        request_state(phase::active, "ordered");
        return;
    }
    const bool good = judgement.verdict == version_verdict::good_enough && !stage_worries(move);
    move.share = current_share(now, move, good);
    if (stage_passed(now, move, judgement)) {
        if (move.stage + 1 < stages.size()) {
            enter_stage(now, move, move.stage + 1);
        } else {
            request_state(phase::completed, describe(move, judgement));
        }
        return;
    }
    const auto time_since_order = static_cast<double>((now - move.ordered_at).count);
    if (time_since_order < static_cast<double>(move.order.duration.count) * decision_fraction) return;
    const bool seen_under_load = move.stage + 1 == stages.size();
    const bool allowed = worst_llr(judgement) <= stage_llr &&
                         exposure_allows(traffic_of(now, move), 1, 1, last_exposure_margin);
    if (seen_under_load && (allowed || (good && shown_in_stage(move)))) {
        request_state(phase::completed, "time is up: " + describe(move, judgement));
    } else {
        move.judged_bad = true;
        request_state(phase::reverted, undecided_reason(move, judgement));
    }
}

// Why a move is reverted at the end of its time although the target was not found bad.
std::string version_mover::undecided_reason(const move_state& move,
                                            const version_judgement& judgement) const {
    const auto outcomes = outcomes_of(move);
    if (sent_since_order(move, outcomes) <= 0)
        return "not judged: the service got no requests since the order; order the move again when it does";
    if (target_total(outcomes).timed == 0) {
        return "not judged: no answer of the target version could be compared with those of the old one: " +
               describe(move, judgement);
    }
    return "not judged in time: " + describe(move, judgement);
}

std::string version_mover::describe(const move_state& move, const version_judgement& judgement) const {
    const auto outcomes = outcomes_of(move);
    const auto target = target_total(outcomes);
    return fmt::format(
        "stage {}, {} of {} requests, {} failed, {} of {} timed slow, llr failures {:.1f} slow {:.1f}",
        move.stage, target.sent, sent_total(outcomes), target.failed, target.slow, target.timed,
        judgement.failure_llr, judgement.slow_llr);
}

std::vector<std::pair<std::string, std::string>> version_mover::evidence(time_ms now) const {
    std::vector<std::pair<std::string, std::string>> texts;
    for (const auto& [service, move] : moves_) {
        if (!move.driven_here || !is_running(move.order.state)) continue;
        auto text = fmt::format("share {:.2f}, {}", target_share(now, move), describe(move, judge(move)));
        for (const auto& [route, tallies] : outcomes_of(move)) {
            const auto limit = baselines_.slow_latency_ms(route);
            text += limit ? fmt::format(", route {} slow above {:.0f} ms", route, *limit)
                          : fmt::format(", route {} without baseline", route);
        }
        texts.emplace_back(service, text);
    }
    return texts;
}

void version_mover::fill(time_ms now, vm_report& report, bool full) const {
    for (const auto& [service, move] : moves_) {
        if (!is_running(move.order.state)) continue;
        if (move.driven_here) {
            const bool sends = !move.judged_bad && move.order.state == phase::active;
            report.move_shares.emplace_back(service, sends ? move.share : 0);
        }
        if (full && now >= move.learns_until) report.moves.push_back(knowledge_of(now, move));
    }
    if (!has_running_move()) return;
    if (full) {
        report.latencies = baselines_.own([&](const std::string& service) {
            const auto found = moves_.find(service);
            return found != moves_.end() && is_running(found->second.order.state);
        });
    }
    for (const auto& [key, tally] : own_tallies_)
        report.outcomes.emplace_back(key, tally);
}

move_knowledge version_mover::knowledge_of(time_ms now, const move_state& move) const {
    const auto outcomes = outcomes_of(move);
    const auto count = [](std::int64_t value) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value));
    };
    move_knowledge known;
    known.service = move.order.service;
    known.created = move.order.created;
    known.age = now - move.ordered_at;
    known.share = move.driven_here ? move.share : move.announced_share;
    known.sent_to_target = count(sent_to_target(move, outcomes));
    known.sent = count(sent_since_order(move, outcomes));
    for (const auto& [route, tallies] : outcomes)
        known.routes.push_back({route, tallies.target, tallies.others});
    return known;
}

bool version_mover::has_running_move() const {
    return std::any_of(moves_.begin(), moves_.end(),
                       [](const auto& entry) { return is_running(entry.second.order.state); });
}

} // namespace lacewing
