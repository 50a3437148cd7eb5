#include "coordination/move_driver.h"

#include "state/json_text.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <memory>

namespace lacewing {

namespace {

constexpr std::string_view drains_prefix = "drains/";
constexpr std::string_view moves_prefix = "moves/";
constexpr std::string_view history_prefix = "history/";
constexpr std::array<std::int64_t, 5> standard_stage_percent{1, 5, 25, 50, 100};
constexpr std::int64_t ppm_per_percent = 10'000;
constexpr std::int64_t whole_ppm = 100 * ppm_per_percent;
// Limits the size of the evidence messages. Moves are reported in the order of their keys; those beyond the
// limit follow when others have ended.
constexpr std::size_t max_reported_moves = 32;
// Keeps the object below its largest size of 1 MB; older entries remain in the history records.
constexpr Json::ArrayIndex max_evidence_entries = 64;

std::string string_or_empty(const Json::Value& value) {
    return value.isString() ? value.asString() : std::string();
}

std::int64_t integer_or_zero(const Json::Value& value) {
    return value.isInt64() ? value.asInt64() : 0;
}

std::optional<Json::Value> parse_object(const std::string& text) {
    auto value = read_json(text);
    if (value && !value->isObject()) value.reset();
    return value;
}

bool has_ended(const Json::Value& value) {
    const auto state = string_or_empty(value["state"]);
    return state == "done" || state == "taken_back";
}

// Whether the object does not yet confirm that the history record of its last step exists.
bool history_record_due(const Json::Value& value) {
    return integer_or_zero(value["step"]) > integer_or_zero(value["recorded_step"]);
}

// Whether the new version is still watched after the move was declared done.
bool is_watched(const Json::Value& value) {
    return string_or_empty(value["state"]) == "done" && value["watching"].isBool() &&
           value["watching"].asBool();
}

// Identifies a request, to tell it from an earlier one under the same key.
std::string request_identity_of(const Json::Value& value) {
    return fmt::format("{} {}", integer_or_zero(value["requested_at"]),
                       string_or_empty(value["requested_by"]));
}

} // namespace

std::vector<std::int64_t> stage_shares_ppm(const Json::Value& cap_percent) {
    std::vector<std::int64_t> shares;
    const auto caps = cap_percent.isArray() ? cap_percent.size() : 0;
    for (Json::ArrayIndex i = 0; i < std::max<std::size_t>(caps, standard_stage_percent.size()); ++i) {
        const auto standard = i < standard_stage_percent.size() ? standard_stage_percent.at(i) : 100;
        const auto cap = caps == 0 ? 100 : integer_or_zero(cap_percent[std::min(i, caps - 1)]);
        shares.push_back(std::clamp<std::int64_t>(cap, 0, standard) * ppm_per_percent);
    }
    return shares;
}

move_driver::move_driver(peer_id self, const move_settings& settings)
    : self_(std::move(self)), self_incarnation_hex_(to_hex(self_.incarnation)), settings_(settings) {}

void move_driver::observe(time_ms now, const object_event& object) {
    const bool is_drain = object.key.starts_with(drains_prefix);
    if (!is_drain && !object.key.starts_with(moves_prefix)) return;
    const auto existing = moves_.find(object.key);
    if (existing != moves_.end() && object.revision <= existing->second.revision) return;
    if (object.deleted()) {
        moves_.erase(object.key);
        return;
    }
    auto value = parse_object(*object.value);
    // A malformed object is rejected, and reported, by snapshot_builder.
    if (!value) return;
    const auto request_identity = request_identity_of(*value);
    if (existing != moves_.end() &&
        (existing->second.request_identity != request_identity ||
         (has_ended(existing->second.value) && string_or_empty((*value)["state"]) == "requested")))
        moves_.erase(existing);
    auto [position, added] = moves_.try_emplace(object.key);
    auto& move = position->second;
    if (added) {
        move.key = object.key;
        move.is_drain = is_drain;
        move.request_identity = request_identity;
        move.own_evaluator = version_evaluator(settings_.evaluator_settings);
        move.fleet_evaluator = version_evaluator(settings_.evaluator_settings);
    }
    move.revision = object.revision;
    move.revision_seen_at = now;
    move.value = std::move(*value);
    move.history_written = false;
    move.route = string_or_empty(move.value["route"]);
    move.from_version = string_or_empty(move.value["from"]);
    move.to_version = string_or_empty(move.value["to"]);
    // operator[] of a value that is not const would create a missing member.
    const auto& lease = std::as_const(move.value)["driver"];
    move.driver_incarnation = lease.isObject() ? string_or_empty(lease["incarnation"]) : std::string();
    move.stages = stage_shares_ppm(move.value["cap_percent"]);
    move.deadline = time_ms{integer_or_zero(move.value["deadline_s"]) * 1000};
    move.elapsed_before = time_ms{integer_or_zero(move.value["elapsed_ms"])};
    move.watch_until = time_ms{integer_or_zero(move.value["watch_until_ms"])};
    move.stage = static_cast<std::size_t>(std::max<std::int64_t>(integer_or_zero(move.value["stage"]), 0));
    move.ended = has_ended(move.value);
    move.watched = is_watched(move.value);
    move.needs_driver = !move.ended || history_record_due(move.value) || move.watched;
    const bool is_driver = move.driver_incarnation == self_incarnation_hex_;
    if (is_driver && !move.driving) {
        // The evidence of the former driver was only in its memory, so the stage collects evidence anew.
        move.fleet_evaluator = version_evaluator(settings_.evaluator_settings);
        move.reports.clear();
        move.stage_entered_at = now;
        move.next_window_at = now;
    }
    if (is_driver && move.driving && move.stage != move.evaluated_stage) {
        move.fleet_evaluator.enter_stage();
        move.stage_entered_at = now;
    }
    move.evaluated_stage = move.stage;
    move.driving = is_driver;
    // A pending write of the object expects an older revision and can no longer take effect.
    if (move.pending_write && move.pending_write->key == move.key) move.pending_write.reset();
}

void move_driver::update(const configuration& config) {
    drain_target_endpoints_.clear();
    configured_versions_.clear();
    for (const auto& route : config.routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto& name = endpoint.name.value;
            const auto* zone = config.find_zone(endpoint.zone.value);
            drain_target_endpoints_[{"endpoint", name}].insert(name);
            drain_target_endpoints_[{"zone", endpoint.zone.value}].insert(name);
            if (zone != nullptr) drain_target_endpoints_[{"region", zone->region.value}].insert(name);
            configured_versions_.emplace(route.name.value, endpoint.version);
        }
    }
}

std::uint64_t move_driver::in_flight_to(const Json::Value& target, const move_sample& sample) const {
    const auto found =
        drain_target_endpoints_.find({string_or_empty(target["kind"]), string_or_empty(target["name"])});
    if (found == drain_target_endpoints_.end()) return 0;
    std::uint64_t sum = 0;
    for (const auto& entry : sample.drained) {
        if (found->second.contains(entry.endpoint.value)) sum += entry.in_flight;
    }
    return sum;
}

void move_driver::sample(time_ms now, const move_sample& sample) {
    last_sample_ = sample;
    for (auto& [key, move] : moves_) {
        if (!move.is_drain) evaluate_own_counts(move, sample);
        if (!move.driving) continue;
        move_report own{key, move.is_drain ? in_flight_to(move.value["target"], sample) : 0, move.own_old,
                        move.own_new, move.stop_reason};
        receive(now, self_, {sample.revision, {std::move(own)}});
    }
}

// Stops the new version on this VM at once when this VM's own counts show that it is bad.
void move_driver::evaluate_own_counts(move_state& move, const move_sample& sample) {
    version_counts old_now;
    version_counts new_now;
    if (!move.needs_driver) return;
    for (const auto& entry : sample.versions) {
        if (entry.route.value != move.route) continue;
        if (entry.version == move.from_version) old_now = entry.counts;
        if (entry.version == move.to_version) new_now = entry.counts;
    }
    // The first sample is only the baseline: attempts before the move are no evidence about it.
    if (std::exchange(move.has_own_baseline, true))
        move.own_evaluator.add(growth(move.own_old, old_now), growth(move.own_new, new_now));
    move.own_old = std::move(old_now);
    move.own_new = std::move(new_now);
    if (move.stop_reason.empty() && move.own_evaluator.verdict() == version_verdict::bad &&
        old_version_configured(move))
        move.stop_reason = fmt::format("judged bad by {}: {}", self_.vm.value, move.own_evaluator.evidence());
}

void move_driver::receive(time_ms now, const peer_id& from, const move_evidence& evidence) {
    for (const auto& report : evidence.reports) {
        const auto found = moves_.find(report.key);
        if (found == moves_.end()) continue;
        auto& move = found->second;
        if (!move.driving) {
            // A verdict for the whole fleet counts only from the driver.
            const bool from_driver = move.driver_incarnation == to_hex(from.incarnation);
            if (from_driver && !move.is_drain && !report.stopped.empty() && old_version_configured(move))
                move.stop_reason = report.stopped;
            continue;
        }
        const auto [position, added] = move.reports.try_emplace(from.incarnation);
        auto& stored_report = position->second;
        if (added) {
            // Attempts before the first report to this driver belong to none of its windows.
            stored_report.evaluated_old = report.old_version;
            stored_report.evaluated_new = report.new_version;
        }
        stored_report.received_at = now;
        stored_report.revision = evidence.revision;
        stored_report.report = report;
    }
}

time_ms move_driver::elapsed(time_ms now, const move_state& move) {
    return move.elapsed_before + (now - move.revision_seen_at);
}

// Whether the lease has expired by this VM's own clock. The VMs wait for different times, so that normally
// only one of them writes.
bool move_driver::may_take_over(time_ms now, const move_state& move) const {
    const auto own_weight = rendezvous_weight(move.key, self_.incarnation);
    const auto vms_ahead = std::count_if(fleet_.begin(), fleet_.end(), [&](const auto& vm) {
        return rendezvous_weight(move.key, vm.id.incarnation) > own_weight;
    });
    const auto stagger = settings_.takeover_stagger * vms_ahead;
    const bool has_driver = !move.driver_incarnation.empty();
    return now - move.revision_seen_at >=
           (has_driver ? settings_.lease + settings_.lease_clock_drift : time_ms{}) + stagger;
}

bool move_driver::old_version_configured(const move_state& move) const {
    return configured_versions_.contains({move.route, move.from_version});
}

std::size_t move_driver::count_fresh_reports(time_ms now, const move_state& move) const {
    return static_cast<std::size_t>(std::count_if(fleet_.begin(), fleet_.end(), [&](const auto& vm) {
        const auto found = move.reports.find(vm.id.incarnation);
        return found != move.reports.end() && now - found->second.received_at <= settings_.max_report_age;
    }));
}

// Adds the growth of the counts of all VMs to the fleet's evaluation, as one window.
void move_driver::evaluate_fleet_counts(time_ms now, move_state& move) {
    if (now < move.next_window_at) return;
    move.next_window_at = now + settings_.sample_interval;
    version_counts old_window;
    version_counts new_window;
    for (auto& [incarnation, stored_report] : move.reports) {
        merge(old_window, growth(stored_report.evaluated_old, stored_report.report.old_version));
        merge(new_window, growth(stored_report.evaluated_new, stored_report.report.new_version));
        stored_report.evaluated_old = stored_report.report.old_version;
        stored_report.evaluated_new = stored_report.report.new_version;
    }
    move.fleet_evaluator.add(old_window, new_window);
}

move_actions move_driver::tick(time_ms now) {
    move_actions out;
    for (auto& [key, move] : moves_) {
        if (!move.needs_driver) continue;
        if (move.pending_write && now - move.pending_write_since < settings_.write_retry_delay) continue;
        if (move.driving) {
            advance_move(now, move, out);
        } else if (may_take_over(now, move)) {
            auto value = move.value;
            std::optional<step_decision> new_step;
            if (history_record_due(value)) {
                // The former driver was lost between a step and its history record.
                if (!move.history_written) {
                    write_history_record(now, move, out);
                    continue;
                }
                value["recorded_step"] = value["step"];
            }
            if (string_or_empty(value["state"]) == "requested") {
                new_step = step_decision{"running", fmt::format("taken up by {}", self_.vm.value), {}};
                value["state"] = "running";
                value["in_force_revision"] = Json::UInt64(move.revision.value);
                if (!move.is_drain) {
                    value["stage"] = 0;
                    value["share_ppm"] = Json::Int64(stage_shares_ppm(value["cap_percent"]).front());
                    new_step->step = "stage 1";
                }
            }
            write_object(now, move, std::move(value), new_step, out);
        }
    }
    send_reports(now, out);
    return out;
}

// Writes what is due for a move of which this VM is the driver: a history record, a step or a lease renewal.
void move_driver::advance_move(time_ms now, move_state& move, move_actions& out) {
    if (history_record_due(move.value) && !move.history_written) {
        write_history_record(now, move, out);
        return;
    }
    std::optional<step_decision> new_step;
    if (move.is_drain) {
        new_step = decide_drain_step(now, move);
    } else {
        evaluate_fleet_counts(now, move);
        new_step = decide_version_step(now, move);
    }
    const bool renewal_due =
        now - move.revision_seen_at >= settings_.lease / 3 && (!move.ended || move.watched);
    const bool confirmation_due = move.ended && history_record_due(move.value);
    if (!new_step && !renewal_due && !confirmation_due) return;
    auto value = move.value;
    if (history_record_due(value)) value["recorded_step"] = value["step"];
    write_object(now, move, std::move(value), new_step, out);
}

std::optional<move_driver::step_decision> move_driver::decide_drain_step(time_ms now,
                                                                         const move_state& move) const {
    if (has_ended(move.value)) return std::nullopt;
    const auto required = move.value["in_force_revision"].asUInt64();
    std::string missing;
    for (const auto& vm : fleet_) {
        const auto found = move.reports.find(vm.id.incarnation);
        if (found == move.reports.end() || now - found->second.received_at > settings_.max_report_age) {
            missing += fmt::format(" {}: no report;", vm.id.vm.value);
        } else if (found->second.revision.value < required) {
            missing += fmt::format(" {}: revision {} of {};", vm.id.vm.value, found->second.revision.value,
                                   required);
        } else if (found->second.report.in_flight > 0) {
            missing += fmt::format(" {}: {} in flight;", vm.id.vm.value, found->second.report.in_flight);
        }
    }
    if (missing.empty() && !fleet_.empty()) {
        return ending_step("done", fmt::format("no request in flight on {} VMs at revision {} or later",
                                               fleet_.size(), required));
    }
    if (elapsed(now, move) >= move.deadline) return ending_step("taken_back", "deadline passed;" + missing);
    return std::nullopt;
}

// Why this VM, a reporting VM or the evaluation of the whole fleet found the new version bad; empty when none
// did.
std::string move_driver::bad_version_reason(const move_state& move) {
    if (!move.stop_reason.empty()) return move.stop_reason;
    for (const auto& [incarnation, stored_report] : move.reports) {
        if (!stored_report.report.stopped.empty()) return stored_report.report.stopped;
    }
    if (move.fleet_evaluator.verdict() == version_verdict::bad)
        return "judged bad by the fleet: " + move.fleet_evaluator.evidence();
    return {};
}

std::string move_driver::evidence_text(time_ms now, const move_state& move) const {
    return fmt::format("{}; {} of {} VMs reporting", move.fleet_evaluator.evidence(),
                       count_fresh_reports(now, move), fleet_.size());
}

bool move_driver::stage_is_complete(time_ms now, const move_state& move) const {
    if (count_fresh_reports(now, move) * 100 <
        fleet_.size() * static_cast<std::size_t>(settings_.min_reporting_percent))
        return false;
    if (move.fleet_evaluator.verdict() != version_verdict::good_enough) return false;
    const auto stage_duration = now - move.stage_entered_at;
    switch (settings_.pacing) {
    case pacing_rule::evidence:
        return stage_duration >= settings_.min_stage_duration;
    case pacing_rule::immediate:
        return true;
    case pacing_rule::even: {
        const auto stage_count = static_cast<std::int64_t>(move.stages.size());
        return stage_duration >= move.deadline / (stage_count + 1);
    }
    }
    return false;
}

std::optional<move_driver::step_decision> move_driver::decide_version_step(time_ms now,
                                                                           move_state& move) const {
    const auto reason = bad_version_reason(move);
    if (move.watched) {
        if (!reason.empty() && old_version_configured(move)) {
            move.stop_reason = reason;
            return step_decision{"reverted_after_done",
                                 reason,
                                 {{"share_ppm", 0}, {"watching", false}, {"reverted_after_done", reason}}};
        }
        if (elapsed(now, move) < move.watch_until) return std::nullopt;
        return step_decision{"watch_ended",
                             move.fleet_evaluator.evidence(),
                             {{"watching", false}, {"share_ppm", Json::Int64(move.stages.back())}}};
    }
    if (move.ended) return std::nullopt;
    if (!reason.empty()) {
        move.stop_reason = reason;
        auto rollback = ending_step("taken_back", reason);
        rollback.changes.emplace_back("share_ppm", 0);
        return rollback;
    }
    const auto next = move.stage + 1;
    if (stage_is_complete(now, move)) {
        const auto evidence = evidence_text(now, move);
        if (next < move.stages.size()) {
            const auto share = std::min(move.stages[next], whole_ppm - settings_.min_old_version_ppm);
            return step_decision{fmt::format("stage {}", next + 1),
                                 evidence,
                                 {{"stage", Json::UInt64(next)}, {"share_ppm", Json::Int64(share)}}};
        }
        auto done = ending_step("done", evidence);
        done.changes.emplace_back("watching", true);
        done.changes.emplace_back("watch_until_ms",
                                  Json::Int64((elapsed(now, move) + settings_.watch_duration).count));
        return done;
    }
    if (elapsed(now, move) < move.deadline) return std::nullopt;
    auto rollback =
        ending_step("taken_back", "deadline passed without enough evidence: " + evidence_text(now, move));
    rollback.changes.emplace_back("share_ppm", 0);
    return rollback;
}

// Step that ends a move with this state and result.
move_driver::step_decision move_driver::ending_step(const std::string& state, const std::string& reason) {
    return {state, reason, {{"state", state}, {"result", reason}}};
}

// Writes the object with a renewed lease and, when there is a new step, its changes and evidence.
void move_driver::write_object(time_ms now, move_state& move, Json::Value value,
                               const std::optional<step_decision>& new_step, move_actions& out) const {
    value["elapsed_ms"] = Json::Int64(elapsed(now, move).count);
    value["driver"] = Json::Value(Json::objectValue);
    value["driver"]["incarnation"] = to_hex(self_.incarnation);
    value["driver"]["vm"] = self_.vm.value;
    value["driver"]["lease_s"] = Json::Int64(settings_.lease.count / 1000);
    if (new_step) {
        for (const auto& [name, changed] : new_step->changes)
            value[name] = changed;
        value["step"] = Json::Int64(integer_or_zero(value["step"]) + 1);
        value["last_step"] = new_step->step;
        auto& entries = value["evidence"];
        if (!entries.isArray()) entries = Json::Value(Json::arrayValue);
        Json::Value removed;
        while (entries.size() >= max_evidence_entries)
            entries.removeIndex(0, &removed);
        entries.append(new_step->step + ": " + new_step->evidence);
    }
    move.pending_write = conditional_write{move.key, move.revision, compact_json(value)};
    move.pending_write_since = now;
    out.writes.push_back(*move.pending_write);
}

// Writes the history record of the last step of the object. It has the same content whichever VM writes it.
void move_driver::write_history_record(time_ms now, move_state& move, move_actions& out) {
    Json::Value value;
    value["revision"] = Json::UInt64(move.revision.value);
    value["key"] = move.key;
    value["requested_by"] = move.value["requested_by"];
    value["decided"] = move.value["last_step"];
    value["evidence"] = Json::Value(Json::arrayValue);
    const auto& entries = move.value["evidence"];
    if (entries.isArray() && !entries.empty()) value["evidence"].append(entries[entries.size() - 1]);
    move.pending_write =
        conditional_write{fmt::format("{}{}", history_prefix, move.revision.value), {}, compact_json(value)};
    move.pending_write_since = now;
    out.writes.push_back(*move.pending_write);
}

void move_driver::written(time_ms now, const conditional_write& write, write_outcome outcome,
                          revision_id revision) {
    for (auto& [key, move] : moves_) {
        if (!move.pending_write || move.pending_write->key != write.key ||
            move.pending_write->expected != write.expected || move.pending_write->value != write.value)
            continue;
        // The write may have taken effect, so it stays pending until the replica delivers a newer object or
        // write_retry_delay has passed.
        if (outcome == write_outcome::unknown) return;
        if (write.key.starts_with(history_prefix)) {
            move.pending_write.reset();
            // A conflict means that the record exists already.
            move.history_written = write.key == fmt::format("{}{}", history_prefix, move.revision.value);
            return;
        }
        if (outcome == write_outcome::done) {
            observe(now, {write.key, revision, std::make_shared<const std::string>(write.value)});
        }
        // After a conflict the replica delivers the newer object. Until then, or until write_retry_delay has
        // passed, the write stays pending and nothing else is decided from the old revision.
        return;
    }
}

// Sends this VM's evidence to the drivers. For a move of which this VM is the driver, tells all VMs to stop a
// bad version.
void move_driver::send_reports(time_ms now, move_actions& out) {
    if (now < next_report_at_) return;
    next_report_at_ = now + settings_.sample_interval;
    std::map<incarnation_id, move_evidence> by_driver;
    move_evidence stop_notice;
    std::size_t count = 0;
    for (const auto& [key, move] : moves_) {
        if (!move.needs_driver || count == max_reported_moves) continue;
        ++count;
        if (move.driving) {
            const auto reason = move.is_drain ? std::string() : bad_version_reason(move);
            if (!reason.empty()) stop_notice.reports.push_back({key, 0, {}, {}, reason});
            continue;
        }
        const auto driver_incarnation = string_or_empty(move.value["driver"]["incarnation"]);
        const auto found = std::find_if(fleet_.begin(), fleet_.end(), [&](const auto& vm) {
            return to_hex(vm.id.incarnation) == driver_incarnation;
        });
        if (found == fleet_.end()) continue;
        by_driver[found->id.incarnation].reports.push_back(
            {key, move.is_drain ? in_flight_to(move.value["target"], last_sample_) : 0, move.own_old,
             move.own_new, move.stop_reason});
    }
    for (const auto& vm : fleet_) {
        if (vm.id.incarnation == self_.incarnation) continue;
        if (const auto found = by_driver.find(vm.id.incarnation); found != by_driver.end()) {
            found->second.revision = last_sample_.revision;
            out.sends.push_back({vm.id, found->second});
        }
        if (!stop_notice.reports.empty()) out.sends.push_back({vm.id, stop_notice});
    }
}

std::vector<stopped_version> move_driver::stopped() const {
    std::vector<stopped_version> result;
    for (const auto& [key, move] : moves_) {
        // From a stored share of 0 on, the stop on this VM is no longer needed.
        if (!move.stop_reason.empty() && integer_or_zero(move.value["share_ppm"]) > 0)
            result.push_back({{move.route}, move.to_version});
    }
    return result;
}

} // namespace lacewing
