#include "daemon/control_thread.h"

#include "coordination/key_policy.h"
#include "state/json_text.h"
#include "transport/detached.h"
#include "transport/host.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <malloc.h>
#include <random>

namespace lacewing {

namespace asio = boost::asio;

namespace {

constexpr std::size_t input_ring_capacity = 4096;
constexpr std::chrono::milliseconds tick_interval{50};
// Longest wait of one watch call for changes. Less than half of the freshness bound for keys, so that one
// lost answer does not make the keys stale.
constexpr time_ms watch_timeout{500};
// Interval at which the entry view, the shares and the moves are refreshed.
constexpr time_ms refresh_interval{250};
// The serve thread is woken for a longer key validity only when it has grown by at least this time. Well
// below the period for which a verdict under an outage or partition policy is valid (500 ms), so that the
// validity does not run out in the serve thread while the control thread works.
constexpr time_ms min_validity_advance{200};
// The entry view is rebuilt at least this often, because member records can change without a new version of
// the member list, for example when a caller address arrives late.
constexpr time_ms max_entry_view_age{2000};
// Delay from a new block table to the return of freed memory. By then the serve thread has released the
// previous table, and a series of changes has ended.
constexpr time_ms trim_delay{1000};
// In a graceful stop, time for callers to look up other entry VMs before this VM refuses their requests.
constexpr time_ms leave_notice_time{2000};
constexpr std::chrono::milliseconds leave_poll_interval{20};
// Longest wait, in a graceful stop, for the loans given to expire and for the write that removes the roster
// entry.
constexpr time_ms roster_removal_limit{6000};

std::string_view to_string(key_verdict verdict) {
    switch (verdict) {
    case key_verdict::fresh:
        return "fresh";
    case key_verdict::serve_under_outage_policy:
        return "store_outage";
    case key_verdict::serve_under_partition_policy:
        return "partition";
    case key_verdict::stale:
        return "stale";
    }
    return "stale";
}

std::string_view to_string(member_state state) {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

// Returns the value to write; audit records (history/...) get the wall-clock time. It is added at the write
// because the code that decides on moves has no access to the wall clock.
std::string with_history_timestamp(const conditional_write& write) {
    if (!write.key.starts_with("history/")) return write.value;
    auto record = read_json(write.value);
    if (!record || !record->isObject()) return write.value;
    (*record)["at"] = Json::Int64(unix_seconds_now());
    return compact_json(*record);
}

// Whether the serve thread handles the message, and not the control thread.
bool is_for_serve_thread(const peer_payload& payload) {
    return std::holds_alternative<loan_request>(payload) || std::holds_alternative<loan_grant>(payload) ||
           std::holds_alternative<loan_return>(payload) || std::holds_alternative<once_query>(payload) ||
           std::holds_alternative<once_reply>(payload) || std::holds_alternative<slot_request>(payload) ||
           std::holds_alternative<slot_grant>(payload) || std::holds_alternative<slot_return>(payload);
}

// Returns the snapshot with a share of 0 for the versions that this VM has stopped by its own evidence.
std::shared_ptr<const serving_snapshot>
with_stopped_versions(const std::shared_ptr<const serving_snapshot>& snapshot,
                      const std::vector<stopped_version>& stopped) {
    if (stopped.empty()) return snapshot;
    auto changed = std::make_shared<serving_snapshot>(*snapshot);
    for (const auto& version : stopped)
        changed->shares.push_back({version.route, version.version, 0});
    return changed;
}

coordination_settings make_spread_settings(const process_settings& settings) {
    coordination_settings spread;
    spread.membership.seeds = settings.seeds;
    spread.freshness.outage_bound = settings.key_policy.outage_bound;
    return spread;
}

} // namespace

control_thread::control_thread(const process_settings& settings, const peer_id& self,
                               const std::string& caller_address, std::uint64_t seed,
                               ring<serve_input>& to_serve, std::function<std::size_t()> requests_in_flight)
    : settings_(settings), caller_address_(caller_address), to_serve_(to_serve),
      requests_in_flight_(std::move(requests_in_flight)),
      input_(input_ring_capacity, context_,
             [this](control_input input) { on_serve_message(std::move(input)); }),
      link_(context_, {}, seed, [this](std::string_view text) { on_peer_text(text); }),
      node_(self, caller_address, make_spread_settings(settings), seed, monotonic_now()),
      store_(context_.get_executor(), settings.store, self.incarnation),
      home_control_(std::in_place, self, host_boot_id()), move_driver_(std::in_place, self),
      boot_id_(host_boot_id()) {
    link_.listen(settings.peer_listen);
}

control_thread::~control_thread() {
    stop();
}

void control_thread::start() {
    asio::co_spawn(context_, tick_loop(), asio::detached);
    thread_ = std::thread([this] { run_event_loop(context_); });
}

void control_thread::stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
}

void control_thread::leave(std::function<void()> finished) {
    asio::post(context_, [this, finished = std::move(finished)]() mutable {
        if (std::exchange(leaving_, true)) return;
        asio::co_spawn(context_, run_graceful_stop(std::move(finished)), asio::detached);
    });
}

// Announces the stop, gives callers time to look up other VMs, then refuses new requests and waits until the
// requests in flight have ended and the shares are given up.
asio::awaitable<void> control_thread::run_graceful_stop(std::function<void()> finished) {
    const auto begun = monotonic_now();
    const stop_schedule schedule(begun, settings_.limits.stop_grace);
    log(log_level::info, "leaving",
        {{"vm", settings_.vm.value}, {"grace_ms", settings_.limits.stop_grace.count}});
    node_.members().leave();
    push_to_serve(stop_notice{stop_stage::leaving, schedule});
    const auto notice_time = std::min(leave_notice_time, schedule.restrict_at() - begun);
    asio::steady_timer timer(context_, std::chrono::milliseconds(notice_time.count));
    co_await timer.async_wait(asio::use_awaitable);
    push_to_serve(stop_notice{stop_stage::refusing, schedule});
    home_control_->leave();
    // The roster entry cannot be removed while the store is unreachable. Its lease then expires by itself.
    const auto roster_limit = monotonic_now() + roster_removal_limit;
    do {
        timer.expires_after(leave_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    } while (monotonic_now() < schedule.end() &&
             (requests_in_flight_() > 0 || (!home_control_->left() && monotonic_now() < roster_limit)));
    if (requests_in_flight_() > 0)
        log(log_level::warn, "stop_gave_up_requests", {{"count", requests_in_flight_()}});
    for (const auto& action : node_.members().announce_exit(monotonic_now()))
        send(action);
    // The peer link sends in the background. The exit announcement is optional, so a short fixed time for it
    // is enough.
    timer.expires_after(leave_poll_interval);
    co_await timer.async_wait(asio::use_awaitable);
    finished();
}

asio::awaitable<void> control_thread::tick_loop() {
    asio::steady_timer timer(context_);
    while (true) {
        timer.expires_after(tick_interval);
        co_await timer.async_wait(asio::use_awaitable);
        try {
            tick();
        } catch (const std::exception& problem) {
            log(log_level::error, "control_tick_failed", {{"reason", problem.what()}});
        }
    }
}

void control_thread::tick() {
    const auto now = monotonic_now();
    rejoin_if_fenced(now);
    execute_actions(node_.tick(now));
    refresh_snapshot();
    refresh_validity(now);
    if (now >= next_refresh_) {
        next_refresh_ = now + refresh_interval;
        refresh_entry_view(now);
        refresh_shares(now);
        refresh_moves(now);
    }
    send_unsent_states();
    return_freed_memory(now);
}

// Returns freed memory to the operating system after a change of the client blocks: building the table
// briefly takes several times its own size, which the allocator would keep.
void control_thread::return_freed_memory(time_ms now) {
    if (snapshot_builder_.blocks().get() != last_seen_blocks_) {
        last_seen_blocks_ = snapshot_builder_.blocks().get();
        trim_at_ = now + trim_delay;
    }
    if (!trim_at_ || now < *trim_at_) return;
    trim_at_.reset();
    malloc_trim(0);
}

void control_thread::on_peer_text(std::string_view text) {
    try {
        const auto message = decoder_.decode(text);
        const auto own = node_.self().incarnation;
        if (message.to.value != 0 && message.to != own) return;
        if (const auto* handover = std::get_if<home_handover>(&message.payload)) {
            home_control_->roster().on_message(monotonic_now(), message.from, *handover);
            return;
        }
        if (const auto* evidence = std::get_if<move_evidence>(&message.payload)) {
            move_driver_->receive(monotonic_now(), message.from, *evidence);
            apply_stopped_versions();
            return;
        }
        if (is_for_serve_thread(message.payload)) {
            push_to_serve(message);
            return;
        }
        execute_actions(node_.receive(message, monotonic_now()));
        refresh_snapshot();
    } catch (const error& problem) {
        ++rejected_messages_;
        log(log_level::warn, "peer_message_rejected", {{"reason", problem.what()}});
    }
}

void control_thread::on_serve_message(control_input input) {
    if (const auto* action = std::get_if<send_action>(&input)) send(*action);
    if (const auto* confirmation = std::get_if<home_batch_confirmation>(&input))
        home_control_->applied(*confirmation);
    if (const auto* sample = std::get_if<move_sample>(&input)) {
        move_driver_->sample(monotonic_now(), *sample);
        apply_stopped_versions();
    }
}

void control_thread::execute_actions(const replica_actions& actions) {
    for (const auto& action : actions.sends)
        send(action);
    for (const auto& call : actions.store_calls)
        asio::co_spawn(context_, call_store(call), asio::detached);
}

void control_thread::send(const send_action& action) {
    peer_message message;
    message.from = node_.self();
    message.to = action.to.incarnation;
    message.payload = action.payload;
    link_.send(action.to.address, encode_peer_message(message));
}

// Makes one store call for the replica and passes the result to it.
asio::awaitable<void> control_thread::call_store(store_action action) {
    store_result result;
    store_list_result answer;
    if (const auto* watch = std::get_if<store_watch>(&action)) {
        result.call = watch->call;
        answer = co_await store_.watch("", watch->after, watch_timeout);
    } else {
        result.call = std::get<store_list>(action).call;
        answer = co_await store_.list("");
    }
    if (auto* objects = std::get_if<store_objects>(&answer)) {
        result.outcome = store_outcome::success;
        result.revision = objects->revision;
        result.events = std::move(objects->objects);
    }
    execute_actions(node_.receive(result, monotonic_now()));
    refresh_snapshot();
}

void control_thread::refresh_snapshot() {
    const auto changed = node_.replica().take_changed_keys();
    if (!node_.replica().complete()) return;
    observe_rosters(changed);
    observe_moves(changed);
    const auto previous_revision = snapshot_builder_.config_revision();
    if (!snapshot_builder_.update(node_.replica().objects(), changed, node_.replica().revision())) return;
    if (previous_revision != snapshot_builder_.config_revision()) {
        log(log_level::info, "configuration_in_force",
            {{"revision", snapshot_builder_.config_revision().value}});
        home_control_->update(*snapshot_builder_.snapshot()->config);
        move_driver_->update(*snapshot_builder_.snapshot()->config);
        zones_.clear();
        for (const auto& zone : snapshot_builder_.snapshot()->config->zones)
            zones_.push_back(zone.name);
    }
    for (const auto& [key, rejected] : snapshot_builder_.rejected()) {
        if (std::find(changed.begin(), changed.end(), key) == changed.end()) continue;
        log(log_level::error, "object_rejected",
            {{"key", key}, {"revision", rejected.revision.value}, {"reason", rejected.reason}});
    }
    stopped_ = move_driver_->stopped();
    unsent_snapshot_ = with_stopped_versions(snapshot_builder_.snapshot(), stopped_);
    send_unsent_states();
}

void control_thread::observe_moves(const std::vector<std::string>& changed) {
    const auto now = monotonic_now();
    for (const auto& key : changed) {
        const auto found = node_.replica().objects().find(key);
        move_driver_->observe(now, found != node_.replica().objects().end()
                                       ? found->second
                                       : object_event{key, node_.replica().revision(), nullptr});
    }
}

// Sends a new snapshot when the set of versions that this VM has stopped has changed.
void control_thread::apply_stopped_versions() {
    auto stopped = move_driver_->stopped();
    if (stopped == stopped_ || !snapshot_builder_.snapshot()) return;
    for (const auto& version : stopped) {
        log(log_level::warn, "version_stopped",
            {{"route", version.route.value}, {"version", version.version}});
    }
    stopped_ = std::move(stopped);
    unsent_snapshot_ = with_stopped_versions(snapshot_builder_.snapshot(), stopped_);
    send_unsent_states();
}

void control_thread::refresh_moves(time_ms now) {
    std::vector<fleet_vm> fleet;
    for (const auto& record : node_.members().records()) {
        if (record.state == member_state::dead) continue;
        const bool own = record.id.incarnation == node_.self().incarnation;
        fleet.push_back({record.id, own ? node_.replica().revision() : record.revision});
    }
    move_driver_->set_fleet(std::move(fleet));
    auto actions = move_driver_->tick(now);
    // While leaving, this VM still reports its evidence, but no longer writes moves, so its leases expire.
    if (leaving_) actions.writes.clear();
    for (const auto& action : actions.sends)
        send(action);
    for (auto& write : actions.writes)
        asio::co_spawn(context_, write_move(std::move(write)), asio::detached);
    apply_stopped_versions();
}

asio::awaitable<void> control_thread::write_move(conditional_write write) {
    // The value in `write` stays without the timestamp, because the driver recognises its write by it.
    const std::string value = with_history_timestamp(write);
    const auto result = co_await store_.put(write.key, value, write.expected);
    const auto now = monotonic_now();
    if (const auto* done = std::get_if<store_write_applied>(&result)) {
        log(log_level::info, "move_step_written", {{"key", write.key}, {"revision", done->revision.value}});
        move_driver_->written(now, write, write_outcome::done, done->revision);
    } else if (std::holds_alternative<store_conflict>(result)) {
        move_driver_->written(now, write, write_outcome::conflict, {});
    } else {
        move_driver_->written(now, write, write_outcome::unknown, {});
    }
}

void control_thread::observe_rosters(const std::vector<std::string>& changed) {
    const auto now = monotonic_now();
    for (const auto& key : changed) {
        if (!key.starts_with("budget/")) continue;
        try {
            home_control_->observe(now, node_.replica().objects().at(key));
        } catch (const error& problem) {
            log(log_level::error, "object_rejected", {{"key", key}, {"reason", problem.what()}});
        }
    }
    const auto own = "budget/" + settings_.zone.value;
    if (!node_.replica().objects().contains(own)) home_control_->observe(now, {own, {}, nullptr});
}

void control_thread::send_unsent_states() {
    if (unsent_snapshot_ && to_serve_.push(unsent_snapshot_)) unsent_snapshot_.reset();
    if (unsent_home_batch_ && to_serve_.push(*unsent_home_batch_)) unsent_home_batch_.reset();
}

// Drops the message and logs a warning if the ring is full. Peers repeat their messages; snapshots, shares,
// validity and entry views are sent elsewhere, where they are kept or sent again.
void control_thread::push_to_serve(serve_input input) {
    if (!to_serve_.push(std::move(input))) log(log_level::warn, "serve_ring_full");
}

// A shorter validity or another verdict is always sent, a longer validity from min_validity_advance on.
bool control_thread::should_send_validity(const key_validity& validity) const {
    if (!sent_validity_ || sent_validity_->verdict != validity.verdict) return true;
    const auto advance = validity.valid_until - sent_validity_->valid_until;
    return advance < time_ms{} || advance >= min_validity_advance;
}

void control_thread::refresh_validity(time_ms now) {
    const auto verdict = node_.verdict(now, zones_);
    key_validity validity;
    validity.verdict = to_string(verdict);
    validity.valid_until = keys_valid_until(now, verdict, node_.verdict(now + verdict_lookahead, zones_),
                                            node_.freshness().age(now), settings_.key_policy);
    if (!should_send_validity(validity)) return;
    if (to_serve_.push(validity)) sent_validity_ = validity;
}

// Rebuilds and sends the entry view when the members or the configuration have changed, or when it is older
// than max_entry_view_age.
void control_thread::refresh_entry_view(time_ms now) {
    const auto snapshot = snapshot_builder_.snapshot();
    if (!snapshot) return;
    const auto members_version = node_.members().version();
    if (snapshot == sent_entry_view_.snapshot && members_version == sent_entry_view_.members_version &&
        now < sent_entry_view_.rebuild_at)
        return;
    auto view = std::make_shared<entry_view>();
    view->revision = snapshot->revision;
    view->blocks = snapshot_builder_.blocks();
    std::vector<entry_candidate> candidates;
    for (const auto& record : node_.members().records()) {
        if (record.state == member_state::dead) continue;
        view->peers_by_incarnation.emplace(record.id.incarnation, record.id);
        const auto* zone = snapshot->config->find_zone(record.id.zone.value);
        if (zone == nullptr || record.caller_address.empty()) continue;
        entry_candidate candidate;
        candidate.vm = static_cast<std::uint32_t>(view->vms.size());
        candidate.incarnation = record.id.incarnation;
        candidate.zone = zone->name;
        candidate.region = zone->region;
        candidate.state = record.state;
        candidates.push_back(candidate);
        view->vms.push_back({record.caller_address, zone->name, record.id.incarnation});
    }
    std::vector<std::pair<zone_name, region_name>> zones;
    for (const auto& zone : snapshot->config->zones)
        zones.emplace_back(zone.name, zone.region);
    view->selector = std::make_shared<entry_selector>(candidates, snapshot_builder_.sites(), zones);
    if (to_serve_.push(std::shared_ptr<const entry_view>(std::move(view))))
        sent_entry_view_ = {snapshot, members_version, now + max_entry_view_age};
}

// Renews the roster entry of this VM and sends the serve thread the shares that follow from the rosters.
void control_thread::refresh_shares(time_ms now) {
    if (auto write = home_control_->next_write(now))
        asio::co_spawn(context_, write_roster(std::move(*write)), asio::detached);
    for (const auto& action : home_control_->roster().take_actions(now))
        send(action);
    if (unsent_home_batch_) return;
    if (node_.replica().complete()) home_control_->replicated(node_.replica().revision());
    unsent_home_batch_ = home_control_->refresh(now);
    send_unsent_states();
}

asio::awaitable<void> control_thread::write_roster(conditional_write write) {
    const auto result = co_await store_.put(write.key, write.value, write.expected);
    const auto now = monotonic_now();
    if (const auto* done = std::get_if<store_write_applied>(&result)) {
        home_control_->observe(
            now, {write.key, done->revision, std::make_shared<const std::string>(std::move(write.value))});
    } else {
        // If another write has won, the watch delivers its state.
        home_control_->roster().write_failed(now);
    }
}

// Continues under a new incarnation, without shares and evidence, when this process was declared dead, for
// example because it was paused.
void control_thread::rejoin_if_fenced(time_ms now) {
    if (node_.members().status(now) != membership_status::fenced) return;
    std::random_device entropy;
    const incarnation_id fresh{(std::uint64_t{entropy()} << 32U) | entropy()};
    log(log_level::warn, "fenced", {{"old", to_hex(node_.self().incarnation)}, {"new", to_hex(fresh)}});
    node_.rejoin(fresh, now);
    push_to_serve(new_incarnation{node_.self()});
    sent_validity_.reset();
    home_control_.emplace(node_.self(), boot_id_);
    move_driver_.emplace(node_.self());
    unsent_home_batch_.reset();
    if (snapshot_builder_.snapshot()) {
        home_control_->update(*snapshot_builder_.snapshot()->config);
        move_driver_->update(*snapshot_builder_.snapshot()->config);
    }
    std::vector<std::string> keys;
    for (const auto& [key, object] : node_.replica().objects())
        keys.push_back(key);
    observe_rosters(keys);
    observe_moves(keys);
}

std::string control_thread::readiness() const {
    if (leaving_) return "leaving";
    const auto now = monotonic_now();
    if (!snapshot_builder_.snapshot()) return "no configuration yet";
    if (node_.members().status(now) != membership_status::member) return "not yet a member";
    if (!home_control_->ready(now)) return "shares of rates and slots not yet held";
    return "ready";
}

std::string control_thread::fleet() const {
    Json::Value root;
    root["vm"] = settings_.vm.value;
    root["revision"] = Json::UInt64(node_.replica().revision().value);
    root["config_revision"] = Json::UInt64(snapshot_builder_.config_revision().value);
    root["members"] = Json::Value(Json::arrayValue);
    for (const auto& record : node_.members().records()) {
        Json::Value member;
        member["vm"] = record.id.vm.value;
        member["zone"] = record.id.zone.value;
        member["address"] = record.caller_address;
        member["state"] = std::string(to_string(record.state));
        member["incarnation"] = to_hex(record.id.incarnation);
        const bool own = record.id.incarnation == node_.self().incarnation;
        member["revision"] = Json::UInt64(own ? node_.replica().revision().value : record.revision.value);
        root["members"].append(member);
    }
    return compact_json(root) + "\n";
}

std::string control_thread::dump() const {
    const auto now = monotonic_now();
    Json::Value root;
    root["vm"] = settings_.vm.value;
    root["zone"] = settings_.zone.value;
    root["incarnation"] = to_hex(node_.self().incarnation);
    root["revision"] = Json::UInt64(node_.replica().revision().value);
    root["config_revision"] = Json::UInt64(snapshot_builder_.config_revision().value);
    root["objects"] = Json::UInt64(node_.replica().objects().size());
    root["watches_store"] = node_.watcher();
    root["key_verdict"] = std::string(to_string(node_.verdict(now, zones_)));
    const auto age = node_.freshness().age(now);
    root["key_age_ms"] = Json::Int64(age ? age->count : -1);
    for (const auto& [key, rejected] : snapshot_builder_.rejected()) {
        root["rejected"][key]["revision"] = Json::UInt64(rejected.revision.value);
        root["rejected"][key]["reason"] = rejected.reason;
    }
    const auto& counters = link_.counters();
    root["peers"]["messages_sent"] = Json::UInt64(counters.messages_sent);
    root["peers"]["bytes_sent"] = Json::UInt64(counters.bytes_sent);
    root["peers"]["messages_received"] = Json::UInt64(counters.messages_received);
    root["peers"]["bytes_received"] = Json::UInt64(counters.bytes_received);
    root["peers"]["messages_dropped"] = Json::UInt64(counters.messages_dropped);
    root["peers"]["messages_rejected"] = Json::UInt64(rejected_messages_);
    return compact_json(root);
}

} // namespace lacewing
