#include "coordination/version_mover.h"

#include <algorithm>
#include <array>

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
    /// Time since the order, as a fraction of the move's duration, after which the stage ends with fewer
    /// answers unless the version was found bad. At such low traffic, the limit on requests to a bad version
    /// is kept anyway.
    double forced_end_fraction;
};

// The small early stages limit how many requests of the whole move a bad version gets; the later ones reveal
// faults that appear only under load.
constexpr std::array<move_stage, 4> stages{
    {{0.05, 0.15, 4, 0.25}, {0.15, 0.12, 8, 0.45}, {0.40, 0.12, 12, 0.65}, {1.0, 0.12, 16, 0.80}}};
// The target version is bad when it has at least this many failed (or slow) answers and its rate of them
// exceeds that of the other versions by the given difference.
constexpr std::uint64_t min_failures = 3;
constexpr double min_failure_rate_excess = 0.12;
constexpr std::uint64_t min_slow_answers = 5;
constexpr double min_slow_rate_excess = 0.25;
// An answer is slow above this multiple of the latency that 19 of 20 answers of the old version stay below.
// Requests for objects that an endpoint has cached take about a third of the time; a version that is eight
// times as slow exceeds the limit even on those.
constexpr double slow_factor = 1.8;
// The same multiple for a request whose caller left. It is lower, because the time waited until then is only
// a lower bound of the latency.
constexpr double abandoned_factor = 1.2;
constexpr double baseline_quantile = 0.95;
// Step of the quantile estimate per answer, relative to the estimate. It follows a change within a few dozen
// answers.
constexpr double baseline_quantile_step = 0.05;
// Answers of the old version before its quantile estimate is used; until then, the estimate is the longest
// latency. A VM whose first answers were all quick sets it too low, but the other VMs outweigh its counts.
constexpr std::uint64_t min_baseline_answers = 6;
// Without a newer announcement for this long, the announced share is cut to that of the first stage.
constexpr time_ms announcement_lifetime{2000};
// Minimum time between two attempts to write the status of a move.
constexpr time_ms write_retry_interval{700};

double ratio(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Outcomes counted since `before`; 0 where a count fell, because a VM that restarts counts from zero.
version_tally tally_increase(const version_tally& before, const version_tally& now) {
    const auto increase = [](std::uint64_t later, std::uint64_t earlier) {
        return later > earlier ? later - earlier : 0;
    };
    return {increase(now.answered, before.answered), increase(now.failed, before.failed),
            increase(now.slow, before.slow)};
}

void add(version_tally& to, const version_tally& from) {
    to.answered += from.answered;
    to.failed += from.failed;
    to.slow += from.slow;
}

std::string tally_key(const std::string& service, const std::string& version, const std::string& route) {
    return service + '/' + version + '/' + route;
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
            updated.order_received_at = now;
            updated.stage_started_at = now;
        }
        updated.order = current;
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
    if (move.driven_here) return move.order.state == phase::active ? stages[move.stage].share : 0;
    if (now - move.announced_share_at > announcement_lifetime)
        return std::min(move.announced_share, stages[0].share);
    return move.announced_share;
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
    // The credit starts at half a request: with little traffic and no credit, the first request to the target
    // version would come too late to give evidence about it.
    if (current_share <= 0) move.target_credit = 0.5;
    move.target_credit += current_share;
    if (move.target_credit >= 1) {
        move.target_credit -= 1;
        return {target, false};
    }
    if (stable.empty() || stable == target) return {target, true};
    return {stable, false};
}

// Returns whether an answer is slow compared with the baseline of its route. Answers of versions other than
// the target also update the baseline.
bool version_mover::record_latency(const std::string& route, bool is_target, double latency_ms) {
    auto& baseline = baselines_[route];
    const bool baseline_known = baseline.answer_count >= min_baseline_answers;
    const bool slow = baseline_known && latency_ms > baseline.p95_ms * slow_factor;
    if (is_target) return slow;
    ++baseline.answer_count;
    if (!baseline_known) {
        baseline.p95_ms = std::max(baseline.p95_ms, latency_ms);
    } else {
        // Stochastic quantile estimate: with steps up by q and down by 1 - q, it settles at the quantile q.
        const double step = baseline_quantile_step * baseline.p95_ms;
        baseline.p95_ms +=
            latency_ms > baseline.p95_ms ? step * baseline_quantile : -step * (1 - baseline_quantile);
    }
    return slow;
}

void version_mover::on_outcome(const std::string& service, const std::string& version,
                               const std::string& route, bool failed, std::optional<double> latency_ms) {
    const auto found = moves_.find(service);
    const bool is_target = found != moves_.end() && version == found->second.order.target_version;
    const bool slow = latency_ms && record_latency(route, is_target, *latency_ms);
    if (found == moves_.end() || found->second.order.state == phase::completed) return;
    auto& tally = own_tallies_[tally_key(service, version, route)];
    ++tally.answered;
    if (failed) ++tally.failed;
    if (slow) ++tally.slow;
}

void version_mover::on_abandoned(const std::string& service, const std::string& version,
                                 const std::string& route, double waited_ms) {
    const auto found = moves_.find(service);
    if (found == moves_.end() || found->second.order.state == phase::completed) return;
    const auto baseline = baselines_.find(route);
    if (baseline == baselines_.end() || baseline->second.answer_count < min_baseline_answers) return;
    if (waited_ms <= baseline->second.p95_ms * abandoned_factor) return;
    auto& tally = own_tallies_[tally_key(service, version, route)];
    ++tally.answered;
    ++tally.slow;
}

void version_mover::on_report(time_ms now, const vm_report& report) {
    auto& tallies_of_peer = peer_tallies_[report.vm.value + '/' + to_hex(report.incarnation)];
    for (const auto& [key, tally] : report.outcomes)
        tallies_of_peer[key] = tally;
    for (const auto& [service, announced_share] : report.move_shares) {
        const auto found = moves_.find(service);
        if (found == moves_.end()) continue;
        found->second.announced_share = announced_share;
        found->second.announced_share_at = now;
    }
}

std::map<std::string, version_mover::route_outcomes>
version_mover::outcomes_by_route(const move_state& move) const {
    std::map<std::string, route_outcomes> outcomes;
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
    for (const auto& [peer, tallies] : peer_tallies_)
        collect(tallies);
    return outcomes;
}

// Whether the target version fails, or answers slowly, clearly more often than the other versions.
bool version_mover::is_significantly_worse(const route_outcomes& compared) {
    const double failure_rate = ratio(compared.target.failed, compared.target.answered);
    const double old_failure_rate = ratio(compared.others.failed, compared.others.answered);
    const double slow_rate = ratio(compared.target.slow, compared.target.answered);
    const double old_slow_rate = ratio(compared.others.slow, compared.others.answered);
    const bool fails =
        compared.target.failed >= min_failures && failure_rate > old_failure_rate + min_failure_rate_excess;
    return fails ||
           (compared.target.slow >= min_slow_answers && slow_rate > old_slow_rate + min_slow_rate_excess);
}

bool version_mover::target_is_bad(const move_state& move, std::string* bad_reason) const {
    for (const auto& [route, total] : outcomes_by_route(move)) {
        auto compared = total;
        const auto before = move.outcomes_before_stage.find(route);
        if (before != move.outcomes_before_stage.end())
            compared.target = tally_increase(before->second.target, total.target);
        if (!is_significantly_worse(compared)) compared = total;
        if (!is_significantly_worse(compared)) continue;
        if (bad_reason != nullptr) {
            *bad_reason = fmt::format(
                "route {}: {} of {} answers failed, {} slow; old version {} of {} failed, {} slow", route,
                compared.target.failed, compared.target.answered, compared.target.slow,
                compared.others.failed, compared.others.answered, compared.others.slow);
        }
        return true;
    }
    return false;
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
    move.stage = stage;
    move.stage_started_at = now;
    move.outcomes_before_stage = outcomes_by_route(move);
    move.answers_before_stage = 0;
    for (const auto& [route, compared] : move.outcomes_before_stage)
        move.answers_before_stage += compared.target.answered;
}

void version_mover::advance_move(time_ms now, move_state& move, std::vector<move_write>& writes) {
    if (move.order.state == phase::completed || move.order.state == phase::reverted) return;
    const bool may_write = now - move.last_write_at >= write_retry_interval;
    const auto request_state = [&](phase state, const std::string& reason) {
        if (!may_write) return;
        move.last_write_at = now;
        auto order = move.order;
        order.state = state;
        writes.push_back({order, reason});
    };
    std::string bad_reason;
    if (move.judged_bad || target_is_bad(move, &bad_reason)) {
        move.judged_bad = true;
        request_state(phase::reverted,
                      bad_reason.empty() ? "target version was found bad earlier" : bad_reason);
        return;
    }
    if (move.order.state == phase::ordered) {
        move.stage_started_at = now;
        request_state(phase::active, "ordered");
        return;
    }
    std::uint64_t answers = 0;
    for (const auto& [route, compared] : outcomes_by_route(move))
        answers += compared.target.answered;
    const auto duration = static_cast<double>(move.order.duration.count);
    const auto time_in_stage = static_cast<double>((now - move.stage_started_at).count);
    const auto time_since_order = static_cast<double>((now - move.order_received_at).count);
    const auto& stage = stages[move.stage];
    const bool enough_answers = answers - move.answers_before_stage >= stage.min_answers;
    const bool stage_complete = time_in_stage >= duration * stage.min_duration_fraction && enough_answers;
    const bool overdue = time_since_order >= duration * stage.forced_end_fraction && answers > 0;
    if (!stage_complete && !overdue) return;
    if (move.stage + 1 < stages.size()) {
        enter_stage(now, move, move.stage + 1);
    } else {
        request_state(phase::completed, fmt::format("{} answers without excess failures", answers));
    }
}

void version_mover::fill(vm_report& report) const {
    for (const auto& [service, move] : moves_) {
        if (move.order.state == phase::completed || move.order.state == phase::reverted) continue;
        if (move.driven_here) {
            const double announced_share =
                move.judged_bad || move.order.state != phase::active ? 0 : stages[move.stage].share;
            report.move_shares.emplace_back(service, announced_share);
        }
    }
    if (!has_running_move()) return;
    for (const auto& [key, tally] : own_tallies_)
        report.outcomes.emplace_back(key, tally);
}

bool version_mover::has_running_move() const {
    return std::any_of(moves_.begin(), moves_.end(), [](const auto& entry) {
        const auto state = entry.second.order.state;
        return state == phase::ordered || state == phase::active;
    });
}

} // namespace lacewing
