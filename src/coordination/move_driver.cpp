#include "coordination/move_driver.h"

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
constexpr std::array<std::int64_t, 5> standard_percent{1, 5, 25, 50, 100};
constexpr std::int64_t ppm_per_percent = 10'000;
constexpr std::int64_t whole_ppm = 100 * ppm_per_percent;
// Bounds the evidence message; moves beyond it are reported in turn of their keys once others have ended.
constexpr std::size_t max_reports = 32;
// Bounds the object, of which one may have 1 MB; older entries remain in the history records.
constexpr Json::ArrayIndex max_evidence_entries = 64;

std::string text_of(const Json::Value& value) {
    return value.isString() ? value.asString() : std::string();
}

std::int64_t number_of(const Json::Value& value) {
    return value.isInt64() ? value.asInt64() : 0;
}

std::string to_text(const Json::Value& value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::optional<Json::Value> parse_object(const std::string& text) {
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problems) || !value.isObject())
        return std::nullopt;
    return value;
}

bool has_ended(const Json::Value& value) {
    const auto state = text_of(value["state"]);
    return state == "done" || state == "taken_back";
}

// Whether a step has been written whose history record is not confirmed in the object.
bool record_due(const Json::Value& value) {
    return number_of(value["step"]) > number_of(value["recorded_step"]);
}

// Whether the version still receives evidence after it was declared done.
bool watched(const Json::Value& value) {
    return text_of(value["state"]) == "done" && value["watching"].isBool() && value["watching"].asBool();
}

// Distinguishes a request from an earlier one under the same key.
std::string request_of(const Json::Value& value) {
    return fmt::format("{} {}", number_of(value["requested_at"]), text_of(value["requested_by"]));
}

} // namespace

std::vector<std::int64_t> stage_shares(const Json::Value& cap_percent) {
    std::vector<std::int64_t> shares;
    const auto caps = cap_percent.isArray() ? cap_percent.size() : 0;
    for (Json::ArrayIndex i = 0; i < std::max<std::size_t>(caps, standard_percent.size()); ++i) {
        const auto standard = i < standard_percent.size() ? standard_percent.at(i) : 100;
        const auto cap = caps == 0 ? 100 : number_of(cap_percent[std::min(i, caps - 1)]);
        shares.push_back(std::clamp<std::int64_t>(cap, 0, standard) * ppm_per_percent);
    }
    return shares;
}

move_driver::move_driver(peer_id self, const move_settings& settings)
    : self_(std::move(self)), own_hex_(to_hex(self_.incarnation)), settings_(settings) {}

void move_driver::observe(time_ms now, const object_event& object) {
    const bool drain = object.key.starts_with(drains_prefix);
    if (!drain && !object.key.starts_with(moves_prefix)) return;
    const auto held = moves_.find(object.key);
    if (held != moves_.end() && object.revision <= held->second.revision) return;
    if (object.deleted()) {
        moves_.erase(object.key);
        return;
    }
    auto value = parse_object(*object.value);
    // A malformed object is rejected, and reported, by snapshot_builder.
    if (!value) return;
    const auto request = request_of(*value);
    if (held != moves_.end() &&
        (held->second.request != request ||
         (has_ended(held->second.value) && text_of((*value)["state"]) == "requested")))
        moves_.erase(held);
    auto [place, added] = moves_.try_emplace(object.key);
    auto& move = place->second;
    if (added) {
        move.key = object.key;
        move.drain = drain;
        move.request = request;
        move.own_judge = version_evaluator(settings_.judge);
        move.fleet_judge = version_evaluator(settings_.judge);
    }
    move.revision = object.revision;
    move.seen = now;
    move.value = std::move(*value);
    move.recorded = false;
    move.route = text_of(move.value["route"]);
    move.from = text_of(move.value["from"]);
    move.to = text_of(move.value["to"]);
    // Reading a member of a value that is not constant would create it.
    const auto& lease = std::as_const(move.value)["driver"];
    move.driver = lease.isObject() ? text_of(lease["incarnation"]) : std::string();
    move.stages = stage_shares(move.value["cap_percent"]);
    move.deadline = time_ms{number_of(move.value["deadline_s"]) * 1000};
    move.elapsed_before = time_ms{number_of(move.value["elapsed_ms"])};
    move.watch_until = time_ms{number_of(move.value["watch_until_ms"])};
    move.stage = static_cast<std::size_t>(std::max<std::int64_t>(number_of(move.value["stage"]), 0));
    move.ended = has_ended(move.value);
    move.watched = watched(move.value);
    move.needs_driver = !move.ended || record_due(move.value) || move.watched;
    const bool own = move.driver == own_hex_;
    if (own && !move.driving) {
        // Evidence that the earlier driver had in memory is gone; the stage collects its own.
        move.fleet_judge = version_evaluator(settings_.judge);
        move.reports.clear();
        move.stage_entered = now;
        move.next_window = now;
    }
    if (own && move.driving && move.stage != move.judged_stage) {
        move.fleet_judge.enter_stage();
        move.stage_entered = now;
    }
    move.judged_stage = move.stage;
    move.driving = own;
    // A write that was based on an older revision can no longer take effect.
    if (move.pending && move.pending->key == move.key) move.pending.reset();
}

void move_driver::update(const configuration& config) {
    targets_.clear();
    versions_.clear();
    for (const auto& route : config.routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto& name = endpoint.name.value;
            const auto* zone = config.find_zone(endpoint.zone.value);
            targets_[{"endpoint", name}].insert(name);
            targets_[{"zone", endpoint.zone.value}].insert(name);
            if (zone != nullptr) targets_[{"region", zone->region.value}].insert(name);
            versions_.emplace(route.name.value, endpoint.version);
        }
    }
}

std::uint64_t move_driver::in_flight_to(const Json::Value& target, const move_sample& sample) const {
    const auto found = targets_.find({text_of(target["kind"]), text_of(target["name"])});
    if (found == targets_.end()) return 0;
    std::uint64_t sum = 0;
    for (const auto& entry : sample.drained) {
        if (found->second.contains(entry.endpoint.value)) sum += entry.in_flight;
    }
    return sum;
}

void move_driver::sample(time_ms now, const move_sample& sample) {
    last_sample_ = sample;
    for (auto& [key, move] : moves_) {
        if (!move.drain) judge_own(move, sample);
        if (!move.driving) continue;
        move_report own{key, move.drain ? in_flight_to(move.value["target"], sample) : 0, move.own_old,
                        move.own_new, move.stop_reason};
        receive(now, self_, {sample.revision, {std::move(own)}});
    }
}

// Stops the version on this VM at once when this VM's own evidence says that it is bad.
void move_driver::judge_own(move_state& move, const move_sample& sample) {
    version_counts old_now;
    version_counts new_now;
    if (!move.needs_driver) return;
    for (const auto& entry : sample.versions) {
        if (entry.route.value != move.route) continue;
        if (entry.version == move.from) old_now = entry.counts;
        if (entry.version == move.to) new_now = entry.counts;
    }
    // What the versions did before the move is not evidence about it.
    if (std::exchange(move.sampled, true))
        move.own_judge.add(growth(move.own_old, old_now), growth(move.own_new, new_now));
    move.own_old = std::move(old_now);
    move.own_new = std::move(new_now);
    if (move.stop_reason.empty() && move.own_judge.verdict() == version_verdict::bad &&
        old_version_stands(move))
        move.stop_reason = fmt::format("judged bad by {}: {}", self_.vm.value, move.own_judge.evidence());
}

void move_driver::receive(time_ms now, const peer_id& from, const move_evidence& evidence) {
    for (const auto& report : evidence.reports) {
        const auto found = moves_.find(report.key);
        if (found == moves_.end()) continue;
        auto& move = found->second;
        if (!move.driving) {
            // Only the driver speaks for the fleet.
            const bool driver = move.driver == to_hex(from.incarnation);
            if (driver && !move.drain && !report.stopped.empty() && old_version_stands(move))
                move.stop_reason = report.stopped;
            continue;
        }
        const auto [place, added] = move.reports.try_emplace(from.incarnation);
        auto& held = place->second;
        if (added) {
            // Counts from before this driver took over belong to no window of this driver.
            held.judged_old = report.old_version;
            held.judged_new = report.new_version;
        }
        held.at = now;
        held.revision = evidence.revision;
        held.report = report;
    }
}

time_ms move_driver::elapsed(time_ms now, const move_state& move) {
    return move.elapsed_before + (now - move.seen);
}

// Whether the lease has lapsed by this VM's own clock. VMs take their turns, so that one of them writes.
bool move_driver::may_take_over(time_ms now, const move_state& move) const {
    const auto own = rendezvous_weight(move.key, self_.incarnation);
    const auto before = std::count_if(fleet_.begin(), fleet_.end(), [&](const auto& vm) {
        return rendezvous_weight(move.key, vm.id.incarnation) > own;
    });
    const auto turn = settings_.takeover_stagger * before;
    const bool leased = !move.driver.empty();
    return now - move.seen >= (leased ? settings_.lease + settings_.lease_drift : time_ms{}) + turn;
}

bool move_driver::old_version_stands(const move_state& move) const {
    return versions_.contains({move.route, move.from});
}

std::size_t move_driver::fresh_reports(time_ms now, const move_state& move) const {
    return static_cast<std::size_t>(std::count_if(fleet_.begin(), fleet_.end(), [&](const auto& vm) {
        const auto found = move.reports.find(vm.id.incarnation);
        return found != move.reports.end() && now - found->second.at <= settings_.report_age;
    }));
}

// Feeds the growth of all VMs' counts as one window.
void move_driver::judge_fleet(time_ms now, move_state& move) {
    if (now < move.next_window) return;
    move.next_window = now + settings_.sample_interval;
    version_counts old_window;
    version_counts new_window;
    for (auto& [vm, held] : move.reports) {
        merge(old_window, growth(held.judged_old, held.report.old_version));
        merge(new_window, growth(held.judged_new, held.report.new_version));
        held.judged_old = held.report.old_version;
        held.judged_new = held.report.new_version;
    }
    move.fleet_judge.add(old_window, new_window);
}

move_actions move_driver::tick(time_ms now) {
    move_actions out;
    for (auto& [key, move] : moves_) {
        if (!move.needs_driver) continue;
        if (move.pending && now - move.pending_since < settings_.write_retry) continue;
        if (move.driving) {
            drive(now, move, out);
        } else if (may_take_over(now, move)) {
            auto value = move.value;
            std::optional<decision> made;
            if (record_due(value)) {
                // The earlier driver died between a step and its record.
                if (!move.recorded) {
                    record(now, move, out);
                    continue;
                }
                value["recorded_step"] = value["step"];
            }
            if (text_of(value["state"]) == "requested") {
                made = decision{"running", fmt::format("taken up by {}", self_.vm.value), {}};
                value["state"] = "running";
                value["in_force_revision"] = Json::UInt64(move.revision.value);
                if (!move.drain) {
                    value["stage"] = 0;
                    value["share_ppm"] = Json::Int64(stage_shares(value["cap_percent"]).front());
                    made->step = "stage 1";
                }
            }
            write(now, move, std::move(value), made, out);
        }
    }
    report(now, out);
    return out;
}

// One step of a move whose lease this VM holds.
void move_driver::drive(time_ms now, move_state& move, move_actions& out) {
    if (record_due(move.value) && !move.recorded) {
        record(now, move, out);
        return;
    }
    std::optional<decision> made;
    if (move.drain) {
        made = decide_drain(now, move);
    } else {
        judge_fleet(now, move);
        made = decide_version(now, move);
    }
    const bool renews = now - move.seen >= settings_.lease / 3 && (!move.ended || move.watched);
    const bool confirms = move.ended && record_due(move.value);
    if (!made && !renews && !confirms) return;
    auto value = move.value;
    if (record_due(value)) value["recorded_step"] = value["step"];
    write(now, move, std::move(value), made, out);
}

std::optional<move_driver::decision> move_driver::decide_drain(time_ms now, const move_state& move) const {
    if (has_ended(move.value)) return std::nullopt;
    const auto required = move.value["in_force_revision"].asUInt64();
    std::string missing;
    for (const auto& vm : fleet_) {
        const auto found = move.reports.find(vm.id.incarnation);
        if (found == move.reports.end() || now - found->second.at > settings_.report_age) {
            missing += fmt::format(" {}: no report;", vm.id.vm.value);
        } else if (found->second.revision.value < required) {
            missing += fmt::format(" {}: revision {} of {};", vm.id.vm.value, found->second.revision.value,
                                   required);
        } else if (found->second.report.in_flight > 0) {
            missing += fmt::format(" {}: {} in flight;", vm.id.vm.value, found->second.report.in_flight);
        }
    }
    if (missing.empty() && !fleet_.empty()) {
        return ending("done", fmt::format("no request in flight on {} VMs at revision {} or later",
                                          fleet_.size(), required));
    }
    if (elapsed(now, move) >= move.deadline) return ending("taken_back", "deadline passed;" + missing);
    return std::nullopt;
}

// Reason of any VM that has stopped the version, or of the fleet's judge.
std::string move_driver::reported_bad(const move_state& move) {
    if (!move.stop_reason.empty()) return move.stop_reason;
    for (const auto& [vm, held] : move.reports) {
        if (!held.report.stopped.empty()) return held.report.stopped;
    }
    if (move.fleet_judge.verdict() == version_verdict::bad)
        return "judged bad by the fleet: " + move.fleet_judge.evidence();
    return {};
}

std::string move_driver::evidence_of(time_ms now, const move_state& move) const {
    return fmt::format("{}; {} of {} VMs reporting", move.fleet_judge.evidence(), fresh_reports(now, move),
                       fleet_.size());
}

bool move_driver::stage_may_end(time_ms now, const move_state& move) const {
    if (fresh_reports(now, move) * 100 <
        fleet_.size() * static_cast<std::size_t>(settings_.reporting_percent))
        return false;
    if (move.fleet_judge.verdict() != version_verdict::good_enough) return false;
    const auto held = now - move.stage_entered;
    switch (settings_.pacing) {
    case pacing_rule::evidence:
        return held >= settings_.min_stage;
    case pacing_rule::immediate:
        return true;
    case pacing_rule::even: {
        const auto stages = static_cast<std::int64_t>(move.stages.size());
        return held >= move.deadline / (stages + 1);
    }
    }
    return false;
}

std::optional<move_driver::decision> move_driver::decide_version(time_ms now, move_state& move) const {
    const auto reason = reported_bad(move);
    if (move.watched) {
        if (!reason.empty() && old_version_stands(move)) {
            move.stop_reason = reason;
            return decision{"reverted_after_done",
                            reason,
                            {{"share_ppm", 0}, {"watching", false}, {"reverted_after_done", reason}}};
        }
        if (elapsed(now, move) < move.watch_until) return std::nullopt;
        return decision{"watch_ended",
                        move.fleet_judge.evidence(),
                        {{"watching", false}, {"share_ppm", Json::Int64(move.stages.back())}}};
    }
    if (move.ended) return std::nullopt;
    if (!reason.empty()) {
        move.stop_reason = reason;
        auto back = ending("taken_back", reason);
        back.changes.emplace_back("share_ppm", 0);
        return back;
    }
    const auto next = move.stage + 1;
    if (stage_may_end(now, move)) {
        const auto evidence = evidence_of(now, move);
        if (next < move.stages.size()) {
            const auto share = std::min(move.stages[next], whole_ppm - settings_.comparison_ppm);
            return decision{fmt::format("stage {}", next + 1),
                            evidence,
                            {{"stage", Json::UInt64(next)}, {"share_ppm", Json::Int64(share)}}};
        }
        auto done = ending("done", evidence);
        done.changes.emplace_back("watching", true);
        done.changes.emplace_back("watch_until_ms",
                                  Json::Int64((elapsed(now, move) + settings_.watch_after_done).count));
        return done;
    }
    if (elapsed(now, move) < move.deadline) return std::nullopt;
    auto back = ending("taken_back", "deadline passed without enough evidence: " + evidence_of(now, move));
    back.changes.emplace_back("share_ppm", 0);
    return back;
}

// The declared result of a move.
move_driver::decision move_driver::ending(const std::string& state, const std::string& reason) {
    return {state, reason, {{"state", state}, {"result", reason}}};
}

// Writes the object with a renewed lease and, when a decision was made, its evidence.
void move_driver::write(time_ms now, move_state& move, Json::Value value, const std::optional<decision>& made,
                        move_actions& out) const {
    value["elapsed_ms"] = Json::Int64(elapsed(now, move).count);
    value["driver"] = Json::Value(Json::objectValue);
    value["driver"]["incarnation"] = to_hex(self_.incarnation);
    value["driver"]["vm"] = self_.vm.value;
    value["driver"]["lease_s"] = Json::Int64(settings_.lease.count / 1000);
    if (made) {
        for (const auto& [name, changed] : made->changes)
            value[name] = changed;
        value["step"] = Json::Int64(number_of(value["step"]) + 1);
        value["last_step"] = made->step;
        auto& entries = value["evidence"];
        if (!entries.isArray()) entries = Json::Value(Json::arrayValue);
        Json::Value removed;
        while (entries.size() >= max_evidence_entries)
            entries.removeIndex(0, &removed);
        entries.append(made->step + ": " + made->evidence);
    }
    move.pending = conditional_write{move.key, move.revision, to_text(value)};
    move.pending_since = now;
    out.writes.push_back(*move.pending);
}

// Writes the audit record of the step that the object holds. All VMs write the same record for a revision.
void move_driver::record(time_ms now, move_state& move, move_actions& out) {
    Json::Value value;
    value["revision"] = Json::UInt64(move.revision.value);
    value["key"] = move.key;
    value["requested_by"] = move.value["requested_by"];
    value["decided"] = move.value["last_step"];
    value["evidence"] = Json::Value(Json::arrayValue);
    const auto& entries = move.value["evidence"];
    if (entries.isArray() && !entries.empty()) value["evidence"].append(entries[entries.size() - 1]);
    move.pending =
        conditional_write{fmt::format("{}{}", history_prefix, move.revision.value), {}, to_text(value)};
    move.pending_since = now;
    out.writes.push_back(*move.pending);
}

void move_driver::written(time_ms now, const conditional_write& write, write_outcome outcome,
                          revision_id revision) {
    for (auto& [key, move] : moves_) {
        if (!move.pending || move.pending->key != write.key || move.pending->expected != write.expected ||
            move.pending->value != write.value)
            continue;
        // A write without a known result stays pending until write_retry has passed.
        if (outcome == write_outcome::unknown) return;
        if (write.key.starts_with(history_prefix)) {
            move.pending.reset();
            // A conflict means that the record exists.
            move.recorded = write.key == fmt::format("{}{}", history_prefix, move.revision.value);
            return;
        }
        if (outcome == write_outcome::done) {
            observe(now, {write.key, revision, std::make_shared<const std::string>(write.value)});
        }
        // After a conflict or a lost answer, the watch delivers the object that won; until then, or until
        // write_retry has passed, nothing else is decided on the old revision.
        return;
    }
}

// Sends this VM's evidence to the drivers, and a driver's stop to all VMs.
void move_driver::report(time_ms now, move_actions& out) {
    if (now < next_report_) return;
    next_report_ = now + settings_.sample_interval;
    std::map<incarnation_id, move_evidence> by_driver;
    move_evidence stops;
    std::size_t count = 0;
    for (const auto& [key, move] : moves_) {
        if (!move.needs_driver || count == max_reports) continue;
        ++count;
        if (move.driving) {
            const auto reason = move.drain ? std::string() : reported_bad(move);
            if (!reason.empty()) stops.reports.push_back({key, 0, {}, {}, reason});
            continue;
        }
        const auto driver = text_of(move.value["driver"]["incarnation"]);
        const auto found = std::find_if(fleet_.begin(), fleet_.end(),
                                        [&](const auto& vm) { return to_hex(vm.id.incarnation) == driver; });
        if (found == fleet_.end()) continue;
        by_driver[found->id.incarnation].reports.push_back(
            {key, move.drain ? in_flight_to(move.value["target"], last_sample_) : 0, move.own_old,
             move.own_new, move.stop_reason});
    }
    for (const auto& vm : fleet_) {
        if (vm.id.incarnation == self_.incarnation) continue;
        if (const auto found = by_driver.find(vm.id.incarnation); found != by_driver.end()) {
            found->second.revision = last_sample_.revision;
            out.sends.push_back({vm.id, found->second});
        }
        if (!stops.reports.empty()) out.sends.push_back({vm.id, stops});
    }
}

std::vector<stopped_version> move_driver::stopped() const {
    std::vector<stopped_version> result;
    for (const auto& [key, move] : moves_) {
        // The stored share of 0 takes over once the move has been taken back.
        if (!move.stop_reason.empty() && number_of(move.value["share_ppm"]) > 0)
            result.push_back({{move.route}, move.to});
    }
    return result;
}

} // namespace lacewing
