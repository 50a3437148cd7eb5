#include "coordination/version_mover.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace lacewing {

namespace {

using phase = version_move_order::phase;

/// One stage of a move.
struct move_stage {
    double share;
    /// Least part of the move's duration in this stage.
    double duration_part;
    /// Least answers of the new version before the next stage.
    std::uint64_t answers;
    /// Part of the move's duration after which fewer answers suffice, as long as none speaks against it. A
    /// service with so little traffic stays below the bound on requests to a bad version.
    double latest_end;
};

// The early stages keep a bad version below its share of the whole move; later ones show faults that appear
// only under load.
constexpr std::array<move_stage, 4> stages{
    {{0.05, 0.15, 4, 0.25}, {0.15, 0.12, 8, 0.45}, {0.40, 0.12, 12, 0.65}, {1.0, 0.12, 16, 0.80}}};
// Evidence against a version: failures in number and in excess of the old version's share.
constexpr std::uint64_t least_failures = 3;
constexpr double failure_excess = 0.12;
constexpr std::uint64_t least_slow = 5;
constexpr double slow_excess = 0.25;
// An answer is slow when it takes this many times what 19 of 20 answers of the old version need. A version
// that is eight times as slow exceeds it even for objects that its endpoints know, which need about a third.
constexpr double slow_factor = 1.8;
// A request whose caller left took longer than the time that is known of it, so less shows that it was slow.
constexpr double abandoned_factor = 1.2;
constexpr double usual_quantile = 0.95;
// Part of the usual time by which one answer above it raises it; a few dozen answers follow a change.
constexpr double quantile_step = 0.05;
// Answers of the old version before its usual time is relied on; until then the longest counts. A VM whose
// first answers were all quick is outweighed by the others.
constexpr std::uint64_t least_usual = 6;
// The announcement of a driver that fell silent holds this long.
constexpr time_ms announcement_valid{2000};
// Longest time between two tries of a status write.
constexpr time_ms write_retry{700};

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Outcomes since an earlier time; a VM that started again counts from zero.
version_tally growth(const version_tally& before, const version_tally& now) {
    const auto less = [](std::uint64_t a, std::uint64_t b) { return a > b ? a - b : 0; };
    return {less(now.answered, before.answered), less(now.failed, before.failed),
            less(now.slow, before.slow)};
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
    std::map<std::string, move> kept;
    for (const auto& order : orders) {
        auto current = order;
        // A state about another version was written for an earlier order on the same service.
        if (current.state != phase::ordered && current.state_version != current.target_version) {
            current.state = phase::ordered;
        }
        const auto found = moves_.find(order.service);
        move made;
        const bool same = found != moves_.end() &&
                          found->second.order.target_version == order.target_version &&
                          found->second.order.created == order.created;
        if (same) {
            made = found->second;
            if (order.revision < made.order.revision) current = made.order;
        } else {
            made.seen = now;
            made.stage_since = now;
        }
        made.order = current;
        if (current.state == phase::completed) settled_[order.service] = order.target_version;
        kept[order.service] = made;
    }
    moves_ = std::move(kept);
}

void version_mover::observe_versions(const endpoint_registry& registry,
                                     const std::vector<std::string>& services) {
    for (const auto& service : services) {
        auto& settled = settled_[service];
        if (!settled.empty()) continue;
        const auto moving = moves_.find(service);
        std::map<std::string, int> counts;
        for (const auto& endpoint : registry.endpoints_of_service(service)) {
            const auto& version = endpoint->registration.version;
            if (moving != moves_.end() && version == moving->second.order.target_version) continue;
            ++counts[version];
        }
        int most = 0;
        for (const auto& [version, count] : counts) {
            if (count <= most) continue;
            most = count;
            settled = version;
        }
    }
}

double version_mover::share_of(time_ms now, const move& of) const {
    if (of.order.state == phase::completed) return 1;
    if (of.order.state == phase::reverted || of.judged_bad) return 0;
    if (of.driven) return of.order.state == phase::active ? stages[of.stage].share : 0;
    if (now - of.announced_at > announcement_valid) return std::min(of.announced, stages[0].share);
    return of.announced;
}

version_choice version_mover::choose(time_ms now, const std::string& service) {
    const auto found = moves_.find(service);
    const auto settled = settled_.find(service);
    const std::string& stable = settled == settled_.end() ? std::string() : settled->second;
    if (found == moves_.end()) return {stable, false};
    auto& of = found->second;
    const auto& target = of.order.target_version;
    if (of.order.state == phase::completed) return {target, false};
    const double part = share_of(now, of);
    // Half a request in advance: with little traffic, the first one would come too late to say anything.
    if (part <= 0) of.credit = 0.5;
    of.credit += part;
    if (of.credit >= 1) {
        of.credit -= 1;
        return {target, false};
    }
    if (stable.empty() || stable == target) return {target, true};
    return {stable, false};
}

// Learns from the answers of the old version what is usual; returns whether an answer is slow against that.
bool version_mover::learn_or_judge(const std::string& route, bool of_target, double taken_ms) {
    auto& usual = usual_times_[route];
    const bool known = usual.samples >= least_usual;
    const bool slow = known && taken_ms > usual.high_ms * slow_factor;
    if (of_target) return slow;
    ++usual.samples;
    if (!known) {
        usual.high_ms = std::max(usual.high_ms, taken_ms);
    } else {
        // Steps up and down in the relation of 1 - q to q settle at the quantile q.
        const double step = quantile_step * usual.high_ms;
        usual.high_ms += taken_ms > usual.high_ms ? step * usual_quantile : -step * (1 - usual_quantile);
    }
    return slow;
}

void version_mover::on_outcome(const std::string& service, const std::string& version,
                               const std::string& route, bool failed, std::optional<double> taken_ms) {
    const auto found = moves_.find(service);
    const bool of_target = found != moves_.end() && version == found->second.order.target_version;
    const bool slow = taken_ms && learn_or_judge(route, of_target, *taken_ms);
    if (found == moves_.end() || found->second.order.state == phase::completed) return;
    auto& tally = own_[tally_key(service, version, route)];
    ++tally.answered;
    if (failed) ++tally.failed;
    if (slow) ++tally.slow;
}

void version_mover::on_abandoned(const std::string& service, const std::string& version,
                                 const std::string& route, double waited_ms) {
    const auto found = moves_.find(service);
    if (found == moves_.end() || found->second.order.state == phase::completed) return;
    const auto usual = usual_times_.find(route);
    if (usual == usual_times_.end() || usual->second.samples < least_usual) return;
    if (waited_ms <= usual->second.high_ms * abandoned_factor) return;
    auto& tally = own_[tally_key(service, version, route)];
    ++tally.answered;
    ++tally.slow;
}

void version_mover::on_report(time_ms now, const vm_report& report) {
    auto& of_peer = peers_[report.vm.value + '/' + to_hex(report.incarnation)];
    for (const auto& [key, tally] : report.outcomes)
        of_peer[key] = tally;
    for (const auto& [service, announced] : report.move_shares) {
        const auto found = moves_.find(service);
        if (found == moves_.end()) continue;
        found->second.announced = announced;
        found->second.announced_at = now;
    }
}

std::map<std::string, version_mover::evidence> version_mover::evidence_of(const move& of) const {
    std::map<std::string, evidence> made;
    const auto prefix = of.order.service + '/';
    const auto collect = [&](const std::map<std::string, version_tally>& tallies) {
        for (auto at = tallies.lower_bound(prefix); at != tallies.end() && at->first.starts_with(prefix);
             ++at) {
            const auto version_end = at->first.find('/', prefix.size());
            const auto version = at->first.substr(prefix.size(), version_end - prefix.size());
            auto& entry = made[at->first.substr(version_end + 1)];
            add(version == of.order.target_version ? entry.target : entry.others, at->second);
        }
    };
    collect(own_);
    for (const auto& [peer, tallies] : peers_)
        collect(tallies);
    return made;
}

// Whether the target fails or is slow clearly more often than the other versions.
bool version_mover::speaks_against(const evidence& seen) {
    const double failed = share(seen.target.failed, seen.target.answered);
    const double usual = share(seen.others.failed, seen.others.answered);
    const double slow = share(seen.target.slow, seen.target.answered);
    const double usual_slow = share(seen.others.slow, seen.others.answered);
    const bool fails = seen.target.failed >= least_failures && failed > usual + failure_excess;
    return fails || (seen.target.slow >= least_slow && slow > usual_slow + slow_excess);
}

bool version_mover::is_bad(const move& of, std::string* why) const {
    for (const auto& [route, total] : evidence_of(of)) {
        auto seen = total;
        const auto before = of.before_stage.find(route);
        if (before != of.before_stage.end()) seen.target = growth(before->second.target, total.target);
        if (!speaks_against(seen)) seen = total;
        if (!speaks_against(seen)) continue;
        if (why != nullptr) {
            *why = fmt::format(
                "route {}: {} of {} answers failed, {} slow; old version {} of {} failed, {} slow", route,
                seen.target.failed, seen.target.answered, seen.target.slow, seen.others.failed,
                seen.others.answered, seen.others.slow);
        }
        return true;
    }
    return false;
}

// Goes on from the stage that the former driver announced.
void version_mover::take_over(time_ms now, move& of) {
    std::size_t stage = of.stage;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        if (of.announced >= stages[i].share) stage = std::max(stage, i);
    }
    enter_stage(now, of, stage);
}

void version_mover::enter_stage(time_ms now, move& of, std::size_t stage) {
    of.stage = stage;
    of.stage_since = now;
    of.before_stage = evidence_of(of);
    of.stage_answers = 0;
    for (const auto& [route, seen] : of.before_stage)
        of.stage_answers += seen.target.answered;
}

void version_mover::step(time_ms now, move& of, std::vector<move_write>& writes) {
    if (of.order.state == phase::completed || of.order.state == phase::reverted) return;
    const bool may_write = now - of.last_write >= write_retry;
    const auto request = [&](phase state, const std::string& reason) {
        if (!may_write) return;
        of.last_write = now;
        auto order = of.order;
        order.state = state;
        writes.push_back({order, reason});
    };
    std::string why;
    if (of.judged_bad || is_bad(of, &why)) {
        of.judged_bad = true;
        request(phase::reverted, why.empty() ? "judged bad before" : why);
        return;
    }
    if (of.order.state == phase::ordered) {
        of.stage_since = now;
        request(phase::active, "ordered");
        return;
    }
    std::uint64_t answers = 0;
    for (const auto& [route, seen] : evidence_of(of))
        answers += seen.target.answered;
    const auto duration = static_cast<double>(of.order.duration.count);
    const auto in_stage = static_cast<double>((now - of.stage_since).count);
    const auto since_order = static_cast<double>((now - of.seen).count);
    const auto& stage = stages[of.stage];
    const bool seen_enough = answers - of.stage_answers >= stage.answers;
    const bool due = in_stage >= duration * stage.duration_part && seen_enough;
    const bool late = since_order >= duration * stage.latest_end && answers > 0;
    if (!due && !late) return;
    if (of.stage + 1 < stages.size()) {
        enter_stage(now, of, of.stage + 1);
    } else {
        request(phase::completed, fmt::format("{} answers without excess failures", answers));
    }
}

void version_mover::fill(vm_report& report) const {
    for (const auto& [service, of] : moves_) {
        if (of.order.state == phase::completed || of.order.state == phase::reverted) continue;
        if (of.driven) {
            const double announced =
                of.judged_bad || of.order.state != phase::active ? 0 : stages[of.stage].share;
            report.move_shares.emplace_back(service, announced);
        }
    }
    if (!moving()) return;
    for (const auto& [key, tally] : own_)
        report.outcomes.emplace_back(key, tally);
}

bool version_mover::moving() const {
    return std::any_of(moves_.begin(), moves_.end(), [](const auto& entry) {
        const auto state = entry.second.order.state;
        return state == phase::ordered || state == phase::active;
    });
}

} // namespace lacewing
