#include "daemon/control_thread.h"

#include "coordination/key_policy.h"
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

constexpr std::size_t input_ring_entries = 4096;
constexpr std::chrono::milliseconds tick_interval{50};
// Shorter than half of the freshness bound, so that a lost answer does not make the keys stale.
constexpr time_ms watch_wait{500};
constexpr time_ms entries_interval{250};
// Smaller advances of the validity are not worth a wake-up of the serve thread. Well below the period for
// which a verdict under a policy is valid, so that the serve thread never runs out of time while the control
// thread works.
constexpr time_ms validity_step{200};
// Records can change without a new version of the member list, for example by a caller address that arrives
// late.
constexpr time_ms full_entries_interval{2000};
// By then the serve thread has released the previous table, and a series of changes is over.
constexpr time_ms trim_delay{1000};
// Time in which callers ask again for entry VMs before a leaving VM refuses them (design 4.10).
constexpr std::chrono::milliseconds leave_notice{2000};
constexpr std::chrono::milliseconds leave_poll{20};
// Time for the loans given to run out and for the write that removes the roster entry.
constexpr time_ms roster_removal_limit{6000};

std::string write_json(const Json::Value& value) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

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

// Adds the time to an audit record. Decisions know no wall clock, so it is added when the record is written.
std::string with_wall_clock(const conditional_write& write) {
    if (!write.key.starts_with("history/")) return write.value;
    Json::Value record;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    const auto* begin = write.value.data();
    if (!reader->parse(begin, begin + write.value.size(), &record, nullptr) || !record.isObject())
        return write.value;
    record["at"] = Json::Int64(unix_seconds_now());
    return write_json(record);
}

// Whether the serve thread handles a message.
bool concerns_serving(const peer_payload& payload) {
    return std::holds_alternative<loan_request>(payload) || std::holds_alternative<loan_grant>(payload) ||
           std::holds_alternative<loan_return>(payload) || std::holds_alternative<once_query>(payload) ||
           std::holds_alternative<once_reply>(payload) || std::holds_alternative<slot_request>(payload) ||
           std::holds_alternative<slot_grant>(payload) || std::holds_alternative<slot_return>(payload);
}

// The snapshot with a share of 0 for versions that this VM has stopped.
std::shared_ptr<const serving_snapshot> with_stops(const std::shared_ptr<const serving_snapshot>& snapshot,
                                                   const std::vector<stopped_version>& stopped) {
    if (stopped.empty()) return snapshot;
    auto changed = std::make_shared<serving_snapshot>(*snapshot);
    for (const auto& version : stopped)
        changed->shares.push_back({version.route, version.version, 0});
    return changed;
}

coordination_settings spread_settings_of(const process_settings& settings) {
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
      input_(input_ring_entries, context_, [this](control_input input) { on_input(std::move(input)); }),
      link_(context_, {}, seed, [this](std::string_view text) { on_text(text); }),
      node_(self, caller_address, spread_settings_of(settings), seed, monotonic_now()),
      store_(context_.get_executor(), settings.store, self.incarnation),
      homes_(std::in_place, self, host_boot_id()), moves_(std::in_place, self), boot_id_(host_boot_id()) {
    link_.listen(settings.peer_listen);
}

control_thread::~control_thread() {
    stop();
}

void control_thread::start() {
    asio::co_spawn(context_, tick_loop(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

void control_thread::stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
}

void control_thread::leave(std::function<void()> finished) {
    asio::post(context_, [this, finished = std::move(finished)]() mutable {
        if (std::exchange(leaving_, true)) return;
        asio::co_spawn(context_, leave_steps(std::move(finished)), asio::detached);
    });
}

// Announces the stop, gives callers time to learn of other VMs, then waits for the requests in flight.
asio::awaitable<void> control_thread::leave_steps(std::function<void()> finished) {
    log(log_level::info, "leaving", {{"vm", settings_.vm.value}});
    node_.members().leave();
    push(stop_stage::leaving);
    asio::steady_timer timer(context_, leave_notice);
    co_await timer.async_wait(asio::use_awaitable);
    push(stop_stage::refusing);
    homes_->leave();
    // Without the store the entry cannot be removed; its lease then ends by itself.
    const auto roster_limit = monotonic_now() + roster_removal_limit;
    do {
        timer.expires_after(leave_poll);
        co_await timer.async_wait(asio::use_awaitable);
    } while (requests_in_flight_() > 0 || (!homes_->left() && monotonic_now() < roster_limit));
    for (const auto& action : node_.members().announce_exit(monotonic_now()))
        send(action);
    // The links write in the background; the announcement is a courtesy, so a fixed time for it is enough.
    timer.expires_after(leave_poll);
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
    carry_out(node_.tick(now));
    refresh_snapshot();
    refresh_validity(now);
    if (now >= next_entries_) {
        next_entries_ = now + entries_interval;
        refresh_entries(now);
        refresh_budgets(now);
        refresh_moves(now);
    }
    flush_pending();
    return_freed_memory(now);
}

// Reading the blocks takes several times the memory of the table for a moment, which the allocator would
// keep.
void control_thread::return_freed_memory(time_ms now) {
    if (builder_.blocks().get() != seen_blocks_) {
        seen_blocks_ = builder_.blocks().get();
        trim_at_ = now + trim_delay;
    }
    if (!trim_at_ || now < *trim_at_) return;
    trim_at_.reset();
    malloc_trim(0);
}

void control_thread::on_text(std::string_view text) {
    try {
        const auto message = decoder_.decode(text);
        const auto own = node_.self().incarnation;
        if (message.to.value != 0 && message.to != own) return;
        if (const auto* handover = std::get_if<home_handover>(&message.payload)) {
            homes_->roster().on_message(monotonic_now(), message.from, *handover);
            return;
        }
        if (const auto* evidence = std::get_if<move_evidence>(&message.payload)) {
            moves_->receive(monotonic_now(), message.from, *evidence);
            offer_snapshot();
            return;
        }
        if (concerns_serving(message.payload)) {
            push(message);
            return;
        }
        carry_out(node_.receive(message, monotonic_now()));
        refresh_snapshot();
    } catch (const error& problem) {
        ++bad_messages_;
        log(log_level::warn, "peer_message_rejected", {{"reason", problem.what()}});
    }
}

void control_thread::on_input(control_input input) {
    if (const auto* action = std::get_if<send_action>(&input)) send(*action);
    if (const auto* confirmation = std::get_if<home_batch_confirmation>(&input))
        homes_->applied(*confirmation);
    if (const auto* sample = std::get_if<move_sample>(&input)) {
        moves_->sample(monotonic_now(), *sample);
        offer_snapshot();
    }
}

void control_thread::carry_out(const replica_actions& actions) {
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

// Makes one store call for the replica and hands its result back.
asio::awaitable<void> control_thread::call_store(store_action action) {
    store_result result;
    store_list_result answer;
    if (const auto* watch = std::get_if<store_watch>(&action)) {
        result.call = watch->call;
        answer = co_await store_.watch("", watch->after, watch_wait);
    } else {
        result.call = std::get<store_list>(action).call;
        answer = co_await store_.list("");
    }
    if (auto* objects = std::get_if<store_objects>(&answer)) {
        result.outcome = store_outcome::success;
        result.revision = objects->revision;
        result.events = std::move(objects->objects);
    }
    carry_out(node_.receive(result, monotonic_now()));
    refresh_snapshot();
}

void control_thread::refresh_snapshot() {
    const auto changed = node_.replica().take_changed_keys();
    if (!node_.replica().complete()) return;
    observe_rosters(changed);
    observe_moves(changed);
    const auto before = builder_.config_revision();
    if (!builder_.update(node_.replica().objects(), changed, node_.replica().revision())) return;
    if (before != builder_.config_revision()) {
        log(log_level::info, "configuration_in_force", {{"revision", builder_.config_revision().value}});
        homes_->update(*builder_.snapshot()->config);
        moves_->update(*builder_.snapshot()->config);
        zones_.clear();
        for (const auto& zone : builder_.snapshot()->config->zones)
            zones_.push_back(zone.name);
    }
    for (const auto& [key, rejected] : builder_.rejected()) {
        if (std::find(changed.begin(), changed.end(), key) == changed.end()) continue;
        log(log_level::error, "object_rejected",
            {{"key", key}, {"revision", rejected.revision.value}, {"reason", rejected.reason}});
    }
    stopped_ = moves_->stopped();
    unsent_snapshot_ = with_stops(builder_.snapshot(), stopped_);
    flush_pending();
}

void control_thread::observe_moves(const std::vector<std::string>& changed) {
    const auto now = monotonic_now();
    for (const auto& key : changed) {
        const auto found = node_.replica().objects().find(key);
        moves_->observe(now, found != node_.replica().objects().end()
                                 ? found->second
                                 : object_event{key, node_.replica().revision(), nullptr});
    }
}

// Puts a version that this VM has stopped, or no longer stops, into force.
void control_thread::offer_snapshot() {
    auto stopped = moves_->stopped();
    if (stopped == stopped_ || !builder_.snapshot()) return;
    for (const auto& version : stopped) {
        log(log_level::warn, "version_stopped",
            {{"route", version.route.value}, {"version", version.version}});
    }
    stopped_ = std::move(stopped);
    unsent_snapshot_ = with_stops(builder_.snapshot(), stopped_);
    flush_pending();
}

void control_thread::refresh_moves(time_ms now) {
    std::vector<fleet_vm> fleet;
    for (const auto& record : node_.members().records()) {
        if (record.state == member_state::dead) continue;
        const bool own = record.id.incarnation == node_.self().incarnation;
        fleet.push_back({record.id, own ? node_.replica().revision() : record.revision});
    }
    moves_->set_fleet(std::move(fleet));
    auto actions = moves_->tick(now);
    // A VM that leaves reports until its end, but lets its leases lapse.
    if (leaving_) actions.writes.clear();
    for (const auto& action : actions.sends)
        send(action);
    for (auto& write : actions.writes)
        asio::co_spawn(context_, write_move(std::move(write)), asio::detached);
    offer_snapshot();
}

asio::awaitable<void> control_thread::write_move(conditional_write write) {
    // The value is unchanged in `write`, by which the driver recognises the result.
    const std::string value = with_wall_clock(write);
    const auto result = co_await store_.put(write.key, value, write.expected);
    const auto now = monotonic_now();
    if (const auto* done = std::get_if<store_write_applied>(&result)) {
        log(log_level::info, "move_step_written", {{"key", write.key}, {"revision", done->revision.value}});
        moves_->written(now, write, write_outcome::done, done->revision);
    } else if (std::holds_alternative<store_conflict>(result)) {
        moves_->written(now, write, write_outcome::conflict, {});
    } else {
        moves_->written(now, write, write_outcome::unknown, {});
    }
}

void control_thread::observe_rosters(const std::vector<std::string>& changed) {
    const auto now = monotonic_now();
    for (const auto& key : changed) {
        if (!key.starts_with("budget/")) continue;
        try {
            homes_->observe(now, node_.replica().objects().at(key));
        } catch (const error& problem) {
            log(log_level::error, "object_rejected", {{"key", key}, {"reason", problem.what()}});
        }
    }
    const auto own = "budget/" + settings_.zone.value;
    if (!node_.replica().objects().contains(own)) homes_->observe(now, {own, {}, nullptr});
}

void control_thread::flush_pending() {
    if (unsent_snapshot_ && to_serve_.push(unsent_snapshot_)) unsent_snapshot_.reset();
    if (unsent_homes_ && to_serve_.push(*unsent_homes_)) unsent_homes_.reset();
}

// A full ring drops the entry: validity, entries and shares are sent again, messages are repeated by their
// senders.
void control_thread::push(serve_input input) {
    if (!to_serve_.push(std::move(input))) log(log_level::warn, "serve_ring_full");
}

// A shorter validity or another verdict is always sent.
bool control_thread::needs_sending(const key_validity& validity) const {
    if (!sent_validity_ || sent_validity_->verdict != validity.verdict) return true;
    const auto advance = validity.valid_until - sent_validity_->valid_until;
    return advance < time_ms{} || advance >= validity_step;
}

void control_thread::refresh_validity(time_ms now) {
    const auto verdict = node_.verdict(now, zones_);
    key_validity validity;
    validity.verdict = to_string(verdict);
    validity.valid_until = keys_valid_until(now, verdict, node_.verdict(now + verdict_lookahead, zones_),
                                            node_.freshness().age(now), settings_.key_policy);
    if (!needs_sending(validity)) return;
    if (to_serve_.push(validity)) sent_validity_ = validity;
}

// Rebuilds what lookups answer from the membership and the configuration.
void control_thread::refresh_entries(time_ms now) {
    const auto snapshot = builder_.snapshot();
    if (!snapshot) return;
    const auto version = node_.members().version();
    if (snapshot == sent_entries_.snapshot && version == sent_entries_.version &&
        now < sent_entries_.renew_at)
        return;
    auto view = std::make_shared<entry_view>();
    view->revision = snapshot->revision;
    view->blocks = builder_.blocks();
    std::vector<entry_candidate> candidates;
    for (const auto& record : node_.members().records()) {
        if (record.state == member_state::dead) continue;
        view->peers.emplace(record.id.incarnation, record.id);
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
    view->selector = std::make_shared<entry_selector>(candidates, builder_.sites(), zones);
    if (to_serve_.push(std::shared_ptr<const entry_view>(std::move(view))))
        sent_entries_ = {snapshot, version, now + full_entries_interval};
}

// Keeps the roster entry of this VM and hands the shares that follow from it to the serve thread.
void control_thread::refresh_budgets(time_ms now) {
    if (auto write = homes_->next_write(now))
        asio::co_spawn(context_, write_roster(std::move(*write)), asio::detached);
    for (const auto& action : homes_->roster().take_actions(now))
        send(action);
    if (unsent_homes_) return;
    if (node_.replica().complete()) homes_->replicated(node_.replica().revision());
    unsent_homes_ = homes_->refresh(now);
    flush_pending();
}

asio::awaitable<void> control_thread::write_roster(conditional_write write) {
    const auto result = co_await store_.put(write.key, write.value, write.expected);
    const auto now = monotonic_now();
    if (const auto* done = std::get_if<store_write_applied>(&result)) {
        homes_->observe(
            now, {write.key, done->revision, std::make_shared<const std::string>(std::move(write.value))});
    } else {
        // The watch delivers the state that won.
        homes_->roster().write_failed(now);
    }
}

// A paused process may have been declared dead; it continues as a new one, without shares and evidence.
void control_thread::rejoin_if_fenced(time_ms now) {
    if (node_.members().status(now) != membership_status::fenced) return;
    std::random_device entropy;
    const incarnation_id fresh{(std::uint64_t{entropy()} << 32U) | entropy()};
    log(log_level::warn, "fenced", {{"old", to_hex(node_.self().incarnation)}, {"new", to_hex(fresh)}});
    node_.rejoin(fresh, now);
    push(new_incarnation{node_.self()});
    sent_validity_.reset();
    homes_.emplace(node_.self(), boot_id_);
    moves_.emplace(node_.self());
    unsent_homes_.reset();
    if (builder_.snapshot()) {
        homes_->update(*builder_.snapshot()->config);
        moves_->update(*builder_.snapshot()->config);
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
    if (!builder_.snapshot()) return "no configuration yet";
    if (node_.members().status(now) != membership_status::member) return "not yet a member";
    if (!homes_->ready(now)) return "shares of rates and slots not yet held";
    return "ready";
}

std::string control_thread::fleet() const {
    Json::Value root;
    root["vm"] = settings_.vm.value;
    root["revision"] = Json::UInt64(node_.replica().revision().value);
    root["config_revision"] = Json::UInt64(builder_.config_revision().value);
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
    return write_json(root) + "\n";
}

std::string control_thread::dump() const {
    const auto now = monotonic_now();
    Json::Value root;
    root["vm"] = settings_.vm.value;
    root["zone"] = settings_.zone.value;
    root["incarnation"] = to_hex(node_.self().incarnation);
    root["revision"] = Json::UInt64(node_.replica().revision().value);
    root["config_revision"] = Json::UInt64(builder_.config_revision().value);
    root["objects"] = Json::UInt64(node_.replica().objects().size());
    root["watches_store"] = node_.watcher();
    root["key_verdict"] = std::string(to_string(node_.verdict(now, zones_)));
    const auto age = node_.freshness().age(now);
    root["key_age_ms"] = Json::Int64(age ? age->count : -1);
    for (const auto& [key, rejected] : builder_.rejected()) {
        root["rejected"][key]["revision"] = Json::UInt64(rejected.revision.value);
        root["rejected"][key]["reason"] = rejected.reason;
    }
    const auto& counters = link_.counters();
    root["peers"]["messages_sent"] = Json::UInt64(counters.messages_sent);
    root["peers"]["bytes_sent"] = Json::UInt64(counters.bytes_sent);
    root["peers"]["messages_received"] = Json::UInt64(counters.messages_received);
    root["peers"]["bytes_received"] = Json::UInt64(counters.bytes_received);
    root["peers"]["messages_dropped"] = Json::UInt64(counters.messages_dropped);
    root["peers"]["messages_rejected"] = Json::UInt64(bad_messages_);
    return write_json(root);
}

} // namespace lacewing
