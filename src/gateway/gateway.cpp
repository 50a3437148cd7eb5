#include "gateway/gateway.h"

#include "coordination/memory_plan.h"
#include "gateway/placement_log.h"
#include "platform/dialect.h"
#include "platform/object_codec.h"
#include "platform/object_filters.h"
#include "protocol/caller_http.h"
#include "protocol/report_codec.h"
#include "protocol/usage_codec.h"
#include "state/configuration.h"
#include "state/yaml_reader.h"
#include "transport/detached.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>

#include <cmath>
#include <csignal>
#include <fstream>
#include <sstream>

namespace lacewing {

namespace asio = boost::asio;

namespace {

// Interval at which deadlines are checked, and so the delay that a timeout may have.
constexpr time_ms tick_interval{50};
// Reports to VMs of the same region.
constexpr time_ms report_interval{100};
// Every tenth report is full: it also has what rarely changes.
constexpr std::uint64_t full_report_every = 10;
// Other regions get every third report, because traffic between regions costs most.
constexpr std::uint64_t remote_report_every = 3;
constexpr std::uint64_t full_remote_report_every = 3;
// After a change of stored objects, all reports carry the revisions for this long, so that the loss of some
// of them delays no VM.
constexpr time_ms revision_repeat_time{1000};
// A smaller lag is ignored, because timers are always late by a few milliseconds.
constexpr time_ms min_compensated_lag{20};
// A larger lag is logged: it is a noticeable part of the latency target of any service.
constexpr time_ms min_logged_lag{100};
constexpr time_ms maintenance_interval{1000};
// Time constant of the average load.
constexpr double load_memory_ms = 2500;
// Lifetime of a lookup answer: long enough to save lookups, short enough for callers to leave a dead VM soon.
constexpr time_ms max_lookup_lifetime{2000};
constexpr time_ms store_write_timeout{1000};
constexpr time_ms stop_poll_interval{10};
// In a graceful stop, a connection that is younger may still get its first request.
constexpr time_ms stop_min_idle_time{250};
// Longest time by which the handling of a signal is assumed to be late.
constexpr time_ms max_signal_delay{200};
// VMs listed in one lookup answer.
constexpr std::size_t max_lookup_addresses = 64;
// Share of the file descriptors that callers may use. The others are for endpoints, peers and the store,
// which used 400 of 4,100 on the busiest day.
constexpr double caller_descriptor_share = 0.75;

std::vector<mirrored_kind> mirrored_kinds(const gateway_settings& settings) {
    std::vector<mirrored_kind> kinds{
        {std::string(platform::configuration_kind), platform::configuration_filter()},
        {std::string(platform::endpoint_kind), platform::endpoint_filter(), false, true},
        {std::string(platform::move_kind), platform::move_filter()},
        {std::string(platform::drain_kind), platform::drain_filter(settings.zone_regions)},
        {std::string(platform::vm_kind), platform::vm_filter(), true, true}};
    for (auto& kind : kinds)
        kind.filter.max_bytes = memory_plan(settings.memory_mb).stored_kind_bytes();
    return kinds;
}

vm_report initial_report(const gateway_settings& settings, std::uint64_t seed) {
    vm_report made;
    made.vm = settings.vm;
    made.zone = settings.zone;
    made.region = settings.region;
    made.incarnation = incarnation_id{seed};
    made.peer_address = settings.peer_listen;
    made.caller_address = settings.caller_listen;
    made.processor_millicores = settings.processor_millicores;
    made.link_mbps = settings.link_mbps;
    return made;
}

asio::awaitable<void> sleep(asio::io_context& context, time_ms span) {
    asio::steady_timer timer(context, std::chrono::milliseconds(span.count));
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string limit_text(std::optional<double> per_s) {
    return per_s ? fmt::format("{}", *per_s) : "none";
}

// Logs a new limit of an endpoint with what this VM sent under the one before.
void log_limit_change(time_ms now, const endpoint_state& endpoint, const endpoint_limit::period& before,
                      std::string_view source) {
    // An endpoint may adjust its limit with every answer.
    const bool adjusted = before.per_s && endpoint.limit.per_s();
    log(adjusted ? log_level::debug : log_level::warn, "endpoint_limit",
        {{"endpoint", endpoint.registration.id.value},
         {"service", endpoint.registration.service},
         {"per_s", limit_text(endpoint.limit.per_s())},
         {"from_vm", source},
         {"previous_per_s", limit_text(before.per_s)},
         {"previous_ms", before.per_s ? (now - before.begin).count : 0},
         {"previous_sent", before.sent}});
}

// Logs connections that were closed, or a request that was refused, for lack of memory or connections.
void log_shedding(const memory_shedding& shed) {
    log(log_level::warn, "callers_shed",
        {{"cause", to_string(shed.cause)},
         {"connections", shed.connections},
         {"bytes", shed.bytes},
         {"longest_stall_ms", shed.longest_stall.count},
         {"held_before", shed.held_before},
         {"budget", shed.budget}});
}

// Limits of the ports for readiness checks, lookups and metrics, whose requests need no body.
http_limits internal_limits() {
    http_limits made;
    made.idle_timeout = time_ms{15'000};
    made.body_bytes = std::uint64_t{4} * 1024;
    made.body_timeout = time_ms{5'000};
    made.connections = 256;
    return made;
}

} // namespace

gateway::gateway(const gateway_settings& settings, std::string settings_file, std::uint64_t seed)
    : settings_(settings), settings_file_(std::move(settings_file)),
      bounds_(platform::decode_bounds(settings.encoded_bounds)), random_(seed),
      fleet_(initial_report(settings, seed)), registry_(settings.zone_regions),
      selector_(registry_, settings.zone.value, settings.region.value, seed, bounds_.max_region_shift),
      limiter_(settings.fleet_start),
      repeats_(bounds_.retry_budget_ratio, bounds_.retry_budget_slack, monotonic_now(), settings.fleet_start),
      moves_(bounds_.exposure_share, bounds_.exposure_slack, seed), pool_(context_.get_executor()),
      flow_(deadlines_, pool_, platform::dialect, registry_, selector_, limiter_, repeats_, moves_, seed),
      store_(context_.get_executor(), settings.store),
      mirror_(context_, store_, mirrored_kinds(settings), seed,
              [this](const mirror_change& change) { apply(change); }),
      callers_(
          context_, deadlines_,
          [this] {
              return flow_.routes() != nullptr ? flow_.routes()->configuration().bounds : caller_bounds{};
          },
          [this](caller_request& request, answer_sink sink) {
              return flow_.handle(request, std::move(sink));
          }),
      relay_(seed), catch_up_(seed) {
    selector_.owns_cold_endpoint = [this](const std::string& id) { return fleet_.owns(id, monotonic_now()); };
    registry_.on_limit_change = log_limit_change;
    registry_.on_reported_leaving = [](const endpoint_state& endpoint, std::string_view vm) {
        log(log_level::info, "endpoint_leaving",
            {{"endpoint", endpoint.registration.id.value}, {"from_vm", vm}});
    };
    // Until the fleet is known, two VMs per zone are assumed, so that this VM takes no excessive part of the
    // slack of the repeat budget.
    repeats_.set_fleet(settings.zone_regions.size() * 2);
    peers_ = std::make_unique<peer_exchange>(
        context_, settings.peer_listen, [this](std::string_view datagram) { on_datagram(datagram); },
        [this](const std::string& kind) -> std::optional<std::string> {
            if (!mirror_.complete_revision(kind)) return std::nullopt;
            if (!snapshot_budget_.may_send(monotonic_now())) {
                log(log_level::info, "snapshot_refused", {{"kind", kind}, {"reason", "link budget used up"}});
                return std::nullopt;
            }
            auto text = mirror_.snapshot(kind);
            snapshot_budget_.on_sent(text.size());
            return text;
        });
    if (duty_runner::wanted(settings)) {
        duty_ = std::make_unique<duty_runner>(
            context_, store_, fleet_, settings, bounds_, seed,
            [this](time_ms now) { return mirror_.is_reachable(now); },
            [this](const std::string& address, std::string_view datagram) {
                peers_->send_datagram(address, datagram);
            });
        flow_.set_usage_counter(&duty_->counter());
    }
    callers_.memory().set_budget(memory_plan(settings.memory_mb).caller_bytes());
    callers_.memory().on_shed = log_shedding;
    flow_.buffered_answers().set_budget(memory_plan(settings.memory_mb).answer_bytes());
    callers_.set_patience([](const boost::beast::http::fields& fields) {
        return request_flow::patience(fields, platform::dialect);
    });
    store_.on_era = [this](std::uint64_t era, bool first) { on_store_era(era, first); };
    callers_.listen(
        settings.caller_listen,
        static_cast<std::size_t>(static_cast<double>(settings.descriptors) * caller_descriptor_share));
    const auto executor = context_.get_executor();
    ready_server_ =
        std::make_unique<http_server>(executor, settings.ready_listen, internal_limits(),
                                      [this](http_request request) { return readiness(std::move(request)); });
    if (!settings.lookup_listen.empty()) {
        lookup_server_ = std::make_unique<http_server>(
            executor, settings.lookup_listen, internal_limits(),
            [this](http_request request) { return lookup(std::move(request)); });
    }
    if (!settings.metrics_listen.empty()) {
        metrics_server_ = std::make_unique<http_server>(
            executor, settings.metrics_listen, internal_limits(),
            [this](http_request) -> asio::awaitable<http_response> {
                co_return make_response(200, metrics(), "text/plain; version=0.0.4");
            });
    }
}

void gateway::run() {
    log(log_level::info, "started",
        {{"vm", settings_.vm.value},
         {"zone", settings_.zone.value},
         {"callers", settings_.caller_listen},
         {"store", settings_.store},
         {"version", LACEWING_VERSION}});
    mirror_.start();
    spawn_lasting(context_, "tick", [this] { return tick(); });
    spawn_lasting(context_, "maintenance", [this] { return run_maintenance(); });
    spawn_lasting(context_, "register_vm", [this] { return register_vm(); });
    asio::signal_set signals(context_, SIGTERM, SIGINT, SIGHUP);
    std::function<void(const boost::system::error_code&, int)> on_signal =
        [&](const boost::system::error_code& failure, int number) {
            if (failure) return;
            if (number == SIGHUP) {
                reload();
            } else if (!leaving_) {
                asio::co_spawn(context_, stop(), log_exception{"stop"});
            }
            signals.async_wait(on_signal);
        };
    signals.async_wait(on_signal);
    run_event_loop(context_);
    log(log_level::info, "stopped", {{"vm", settings_.vm.value}, {"requests", flow_.counters().requests}});
}

bool gateway::ready() const {
    return !leaving_ && flow_.routes() != nullptr &&
           mirror_.partly_known(std::string(platform::endpoint_kind));
}

// Applies changed objects of one kind.
void gateway::apply(const mirror_change& change) {
    revisions_changed_ = monotonic_now();
    try {
        if (change.kind == platform::configuration_kind) apply_configuration(change.source);
        if (change.kind == platform::endpoint_kind) apply_endpoints(change);
        if (change.kind == platform::move_kind) apply_moves();
        if (change.kind == platform::drain_kind) apply_drains();
        if (change.kind == platform::vm_kind) apply_registrations();
    } catch (const std::exception& problem) {
        log(log_level::error, "object_rejected", {{"kind", change.kind}, {"reason", problem.what()}});
    }
}

// Puts a newer configuration into force; an older or invalid one is ignored.
void gateway::apply_configuration(change_source source) {
    const auto& objects = mirror_.objects(std::string(platform::configuration_kind));
    const auto found = objects.find(std::string(platform::configuration_name));
    if (found == objects.end()) return;
    try {
        auto made = platform::decode_configuration(platform::to_json(found->first, found->second)["spec"]);
        const auto& current = flow_.routes();
        if (current != nullptr && made.version <= current->configuration().version) return;
        limiter_.configure(monotonic_now(), made.accounts);
        const auto version = made.version;
        flow_.set_routes(
            std::make_shared<route_table>(std::make_shared<service_configuration>(std::move(made))));
        log(log_level::info, "configuration_applied",
            {{"version", version},
             {"revision", found->second.revision},
             {"by", source == change_source::store ? "store" : "other_vm"}});
    } catch (const config_error& problem) {
        log(log_level::error, "configuration_rejected",
            {{"field", problem.field()}, {"reason", problem.reason()}});
    }
}

void gateway::apply_endpoints(const mirror_change& change) {
    const auto now = monotonic_now();
    const auto& objects = mirror_.objects(change.kind);
    for (const auto& id : change.removed) {
        registry_.remove(now, id, change.lapsed_return_by);
        log(log_level::info, "endpoint_removed",
            {{"endpoint", id},
             {"kept_ms", change.lapsed_return_by ? (*change.lapsed_return_by - now).count : 0}});
    }
    for (const auto& id : change.unusable) {
        registry_.remove(now, id);
        log(log_level::warn, "endpoint_rejected", {{"endpoint", id}});
    }
    for (const auto& id : change.changed) {
        const auto made = platform::decode_endpoint(platform::to_json(id, objects.at(id)));
        registry_.put(now, made);
        log(log_level::info, "endpoint_registered",
            {{"endpoint", id},
             {"service", made.service},
             {"zone", made.zone.value},
             {"version", made.version},
             {"draining", made.draining},
             {"warmup_ms", made.warmup_left.count},
             {"revision", made.revision}});
    }
}

void gateway::apply_moves() {
    std::vector<version_move_order> orders;
    for (const auto& [name, object] : mirror_.objects(std::string(platform::move_kind)))
        orders.push_back(platform::decode_move(platform::to_json(name, object)));
    moves_.set_orders(monotonic_now(), orders);
}

void gateway::apply_drains() {
    std::set<std::string> zones;
    for (const auto& [zone, object] : mirror_.objects(std::string(platform::drain_kind))) {
        if (!object.deleting) zones.insert(zone);
    }
    // Endpoints of a zone that is taken back into service are cold for the longest warm-up of any service.
    time_ms warmup{3000};
    if (flow_.routes() != nullptr) {
        for (const auto& [name, service] : flow_.routes()->configuration().services)
            warmup = std::max(warmup, service.warmup);
    }
    std::string listed;
    for (const auto& zone : zones)
        listed += (listed.empty() ? "" : ",") + zone;
    log(log_level::info, "zones_drained", {{"zones", listed}});
    registry_.set_drained_zones(monotonic_now(), std::move(zones), warmup);
}

void gateway::apply_registrations() {
    const auto now = monotonic_now();
    for (const auto& [name, object] : mirror_.objects(std::string(platform::vm_kind))) {
        const auto made = platform::decode_vm(platform::to_json(name, object));
        fleet_.on_registration(now, made);
        if (made.vm != settings_.vm && contacted_peers_.insert(made.peer_address).second)
            send_report(made.peer_address);
    }
}

// Registers this VM in the store, so that the other VMs find it; tries again until it succeeds.
asio::awaitable<void> gateway::register_vm() {
    Json::Value spec;
    spec["zone"] = settings_.zone.value;
    spec["region"] = settings_.region.value;
    spec["peer"] = settings_.peer_listen;
    spec["caller"] = settings_.caller_listen;
    const std::string kind(platform::vm_kind);
    for (;;) {
        auto result = co_await store_.create(kind, settings_.vm.value, spec, store_write_timeout);
        if (std::holds_alternative<platform::write_conflict>(result)) {
            result = co_await store_.replace(kind, settings_.vm.value, spec, store_write_timeout);
        }
        if (std::holds_alternative<platform::write_done>(result)) co_return;
        co_await sleep(context_, maintenance_interval);
    }
}

// Writes again what a store that was restored from an older copy may have lost of this VM's own.
void gateway::on_store_era(std::uint64_t era, bool first) {
    if (duty_ != nullptr) duty_->on_store_era(era);
    if (!first) spawn_lasting(context_, "register_vm", [this] { return register_vm(); });
}

// Handles the report of the sender and those that it passes on.
void gateway::on_datagram(std::string_view datagram) {
    if (is_usage_message(datagram)) {
        if (duty_ != nullptr) duty_->on_datagram(datagram);
        return;
    }
    bool direct = true;
    try {
        for (const auto text : split_report_datagram(datagram))
            on_encoded_report(text, std::exchange(direct, false));
    } catch (const error& problem) {
        log(log_level::warn, "peer_message_rejected", {{"reason", problem.what()}});
    }
}

void gateway::on_encoded_report(std::string_view text, bool direct) {
    ++reports_received_;
    // Reports come by several ways, and may overtake each other and be duplicated.
    if (fleet_.outdated(decode_report_header(text))) {
        ++outdated_reports_;
        return;
    }
    const auto report = decode_report(text);
    if (direct && report.pass_on) relay_.hold(text);
    on_report(report, direct);
}

void gateway::on_report(const vm_report& report, bool direct) {
    const auto now = monotonic_now();
    if (fleet_.on_report(now, report)) {
        log(log_level::info, "vm_seen", {{"vm", report.vm.value}, {"zone", report.zone.value}});
        if (direct && report.has_identity) send_report(report.peer_address);
    }
    limiter_.on_report(now, report);
    moves_.on_report(now, report);
    registry_.on_report(now, report.vm.value, report);
    // Most reports leave out the region, so it is taken from the VM's last report that had it.
    const auto sender = fleet_.members().find(report.vm.value);
    if (sender != fleet_.members().end() && sender->second.report.region == settings_.region)
        selector_.shift_limiter().on_report(now, report);
    catch_up_with(report);
}

// Fetches snapshots of the kinds of which another VM has known a newer revision for some time.
void gateway::catch_up_with(const vm_report& report) {
    if (report.revisions.empty()) return;
    const auto now = monotonic_now();
    const auto member = fleet_.members().find(report.vm.value);
    if (member == fleet_.members().end()) return;
    const auto& address = member->second.report.peer_address;
    if (!is_socket_address(address)) return;
    for (const auto& [kind, revision] : report.revisions) {
        const auto own = mirror_.complete_revision(kind);
        if (!own || !catch_up_.on_report(now, kind, revision, *own)) continue;
        log(log_level::info, "behind_another_vm",
            {{"kind", kind}, {"revision", *own}, {"vm", report.vm.value}, {"reported", revision}});
        asio::co_spawn(context_, fetch_snapshot(address, kind), log_exception{"fetch_snapshot"});
    }
}

asio::awaitable<void> gateway::fetch_snapshot(std::string address, std::string kind) {
    platform::page_reader reader(mirror_.filter(kind), platform::page_reader::content::objects);
    const bool fetched = co_await peers_->fetch_snapshot(
        address, kind, [&reader](std::string_view bytes) { return reader.feed(bytes); });
    catch_up_.finished(monotonic_now(), kind);
    if (!fetched) co_return;
    try {
        if (mirror_.apply_snapshot(kind, reader)) {
            log(log_level::info, "snapshot_applied",
                {{"kind", kind},
                 {"from", address},
                 {"revision", mirror_.complete_revision(kind).value_or(0)}});
        }
    } catch (const std::exception& problem) {
        log(log_level::warn, "snapshot_rejected",
            {{"kind", kind}, {"from", address}, {"reason", problem.what()}});
    }
}

vm_report gateway::make_report(bool full, report_audience audience) {
    auto made = fleet_.self();
    made.sequence = ++report_sequence_;
    made.made_at = monotonic_now();
    made.has_identity = full;
    made.ready = ready();
    made.leaving = leaving_;
    const auto now = monotonic_now();
    made.store_reached = mirror_.is_reachable(now);
    if (flow_.routes() != nullptr) made.configuration_version = flow_.routes()->configuration().version;
    if (full || now - revisions_changed_ < revision_repeat_time) made.revisions = mirror_.change_revisions();
    registry_.fill(monotonic_now(), made, audience, full);
    if (audience == report_audience::same_region) selector_.shift_limiter().fill(made);
    made.usage = limiter_.usage(full);
    moves_.fill(now, made, full);
    return made;
}

void gateway::send_report(const std::string& address) {
    const auto report = encode_report(make_report(true, report_audience::same_region));
    for (const auto& datagram : encode_report_datagrams(report))
        peers_->send_datagram(address, datagram);
}

void gateway::send_reports() {
    const auto turn = report_count_++;
    send_region_reports(leaving_ || turn % full_report_every == 0);
    if (!leaving_ && turn % remote_report_every != 0) return;
    send_remote_reports(leaving_ || turn % (full_remote_report_every * remote_report_every) == 0);
    // Reports also go to the seed addresses until more VMs than seeds are known from the store or from
    // reports.
    if (fleet_.members().size() > settings_.seeds.size()) return;
    for (const auto& seed : settings_.seeds) {
        if (seed != settings_.peer_listen) send_report(seed);
    }
}

// Reports to all VMs of the own region, together with the reports of other regions.
void gateway::send_region_reports(bool full) {
    const auto report = encode_report(make_report(full, report_audience::same_region));
    const auto datagrams = encode_report_datagrams(report, relay_.take_held());
    registry_.clear_unreported(report_audience::same_region);
    std::set<std::string> sent{settings_.peer_listen};
    for (const auto& [name, member] : fleet_.members()) {
        const auto& address = member.report.peer_address;
        if (address.empty() || member.report.region != settings_.region) continue;
        if (!sent.insert(address).second) continue;
        for (const auto& datagram : datagrams)
            peers_->send_datagram(address, datagram);
    }
}

// Reports to some VMs of each other region, which pass the report on.
void gateway::send_remote_reports(bool full) {
    auto report = make_report(full, report_audience::other_regions);
    report.pass_on = true;
    const auto datagrams = encode_report_datagrams(encode_report(report));
    registry_.clear_unreported(report_audience::other_regions);
    for (const auto& address : relay_.receivers(monotonic_now(), fleet_)) {
        for (const auto& datagram : datagrams)
            peers_->send_datagram(address, datagram);
    }
}

asio::awaitable<void> gateway::tick() {
    time_ms next_report{0};
    for (;;) {
        const auto due = monotonic_now() + tick_interval;
        co_await sleep(context_, tick_interval);
        const auto now = monotonic_now();
        // The delay of the tick shows how long other events wait. At least half of the last value is kept,
        // because a backlog is processed in batches.
        const auto lag = std::max(now - due, loop_lag_ / 2);
        loop_lag_ = lag > min_compensated_lag ? lag : time_ms{0};
        callers_.set_lag(loop_lag_);
        measure_load();
        if (now - due > min_logged_lag)
            log(log_level::warn, "thread_late", {{"ms", (now - due).count}, {"busy", callers_.busy()}});
        deadlines_.tick(now);
        registry_.expire(now);
        selector_.fleet = fleet_.alive_vm_count(now);
        if (now < next_report) continue;
        next_report = now + report_interval;
        const auto writes = moves_.advance(now, [&](const std::string& service) {
            const bool store_reached = mirror_.is_reachable(now);
            if (!store_reached) return driver_rank::none;
            return fleet_.owns_writes(service, now, store_reached) ? driver_rank::first
                                                                   : driver_rank::stand_by;
        });
        for (const auto& write : writes)
            asio::co_spawn(context_, write_move(write), log_exception{"write_move"});
        send_reports();
        if (duty_ != nullptr) duty_->on_tick(now);
    }
}

// Periodic maintenance, about once a second.
asio::awaitable<void> gateway::run_maintenance() {
    for (;;) {
        co_await sleep(context_, maintenance_interval);
        const auto now = monotonic_now();
        fleet_.remove_silent(now);
        pool_.close_expired(now);
        mirror_.set_live_vms(fleet_.alive_vm_count(now));
        const bool watches = fleet_.watches_for_region(now);
        mirror_.set_watches_for_region(watches);
        const auto listed = entry_vms(now, settings_.region.value).size();
        if (std::exchange(listed_vms_, listed) != listed ||
            std::exchange(watches_store_, watches) != watches) {
            log(log_level::info, "entry_role",
                {{"listed_vms", listed},
                 {"busy_permille", fleet_.self().busy_permille},
                 {"watches_store", watches}});
        }
        catch_up_.set_live_vms(fleet_.alive_vm_count(now));
        const auto known = fleet_.known_vm_count();
        limiter_.set_fleet(known, fleet_.alive_vm_count(now), fleet_.in_majority(now));
        if (known > 1) repeats_.set_fleet(known);
        moves_.set_fleet(std::max<std::size_t>(1, known));
        for (const auto& [name, member] : fleet_.members()) {
            if (!fleet_view::alive(member, now)) registry_.on_report(now, name, {});
        }
        if (flow_.routes() == nullptr) continue;
        log_shifts(now);
        log_placement(now, selector_.placement());
        std::vector<std::string> services;
        for (const auto& [name, service] : flow_.routes()->configuration().services)
            services.push_back(name);
        moves_.observe_versions(registry_, services);
        for (const auto& [service, text] : moves_.evidence(now))
            log(log_level::info, "move_evidence", {{"service", service}, {"evidence", text}});
    }
}

// Updates the part of the time that events wait for the event loop, smoothed over some seconds. A process
// cannot tell how much of its processor time is left on a machine that it shares, but it sees the wait.
void gateway::measure_load() {
    const auto lag = static_cast<double>(loop_lag_.count);
    const double busy = lag / (lag + static_cast<double>(tick_interval.count));
    // A late tick stands for more time.
    const double weight = 1 - std::exp(-(lag + static_cast<double>(tick_interval.count)) / load_memory_ms);
    busy_permille_ += weight * (1000 * busy - busy_permille_);
    fleet_.set_own_load(static_cast<std::uint32_t>(busy_permille_));
}

// Logs what the limit on shifts between regions is based on, while requests come.
void gateway::log_shifts(time_ms now) {
    const auto view = selector_.shift_limiter().take_view(now);
    if (view.requests_now == 0) return;
    log(log_level::info, "region_shift",
        {{"requests_before", view.requests_before},
         {"requests_now", view.requests_now},
         {"shift", fmt::format("{:.3f}", view.shift)},
         {"without_history", view.decisions.without_history},
         {"below_share", view.decisions.below_share},
         {"within_limit", view.decisions.within_limit},
         {"refused", view.decisions.refused},
         {"with_failed_slots", view.decisions.with_failed_slots},
         {"report_age_ms", fmt::format("{:.0f}", view.report_age_ms)},
         {"longest_report_age_ms", view.longest_report_age.count},
         {"reports", reports_received_},
         {"cpu_ms", process_cpu_time().count}});
}

asio::awaitable<void> gateway::write_move(move_write write) {
    const auto status = platform::encode_move_status(write.order);
    log(log_level::info, "move_declared",
        {{"service", write.order.service},
         {"version", write.order.target_version},
         {"state", status["state"].asString()},
         {"reason", write.reason},
         {"revision", write.order.revision}});
    const auto result = co_await store_.update_status(std::string(platform::move_kind), write.order.service,
                                                      status, write.order.revision, store_write_timeout);
    if (const auto* problem = std::get_if<platform::call_failed>(&result)) {
        log(log_level::warn, "move_write_failed",
            {{"service", write.order.service}, {"reason", problem->reason}});
    }
}

// Addresses of the VMs that callers of a region are told: ready ones of the region, or of other regions if it
// has none.
std::vector<std::string> gateway::entry_vms(time_ms now, std::string_view region) const {
    std::vector<sized_entry> near_vms;
    std::vector<sized_entry> far_vms;
    const auto add = [&](const vm_report& report) {
        (report.region.value == region ? near_vms : far_vms)
            .push_back(
                {report.caller_address, report.processor_millicores, report.link_mbps, report.busy_permille});
    };
    if (ready()) add(fleet_.self());
    for (const auto& [name, member] : fleet_.members()) {
        if (fleet_view::alive(member, now) && member.report.ready) add(member.report);
    }
    return select_entry_vms(near_vms.empty() ? far_vms : near_vms, max_lookup_addresses);
}

asio::awaitable<http_response> gateway::lookup(http_request request) {
    const std::string target(request.target());
    if (!target.starts_with(platform::dialect.lookup_path)) co_return make_response(404, "{}");
    const auto now = monotonic_now();
    const auto region = query_value(target, "region").value_or(settings_.region.value);
    const auto addresses = entry_vms(now, region);
    if (addresses.empty()) co_return make_response(503, "{}");
    co_return make_response(200, platform::encode_lookup_response(
                                     addresses, std::min(max_lookup_lifetime, bounds_.lookup_lifetime)));
}

asio::awaitable<http_response> gateway::readiness(http_request request) {
    if (request.target() != platform::dialect.ready_path) co_return make_response(404, "{}");
    co_return make_response(ready() ? 200 : 503, "{}");
}

// Stops gracefully within the grace: announces the stop to the other VMs, gives callers time to use other
// VMs, and finishes the requests that it accepts. Requests that cannot be answered before the end are
// refused.
asio::awaitable<void> gateway::stop() {
    const stop_schedule schedule(monotonic_now() - std::min(loop_lag_, max_signal_delay), bounds_.stop_grace);
    leaving_ = true;
    if (duty_ != nullptr) duty_->begin_stop();
    log(log_level::info, "stopping",
        {{"busy", callers_.busy()},
         {"connections", callers_.connections()},
         {"grace_ms", bounds_.stop_grace.count}});
    callers_.begin_stop();
    flow_.begin_stop(schedule);
    send_reports();
    co_await sleep(context_, schedule.close_idle_at() - monotonic_now());
    callers_.close_idle(stop_min_idle_time);
    co_await sleep(context_, schedule.restrict_at() - monotonic_now());
    while (callers_.busy() > 0 && monotonic_now() < schedule.end()) {
        co_await sleep(context_, std::min(tick_interval, schedule.end() - monotonic_now()));
        callers_.close_idle(stop_min_idle_time);
    }
    callers_.stop_accepting();
    // Connections that have just been accepted still get an answer to their first request.
    while (callers_.connections() > 0 && monotonic_now() < schedule.end()) {
        co_await sleep(context_, std::min(tick_interval, schedule.end() - monotonic_now()));
        callers_.close_idle(stop_min_idle_time);
    }
    const auto given_up = callers_.busy();
    flow_.give_up_requests();
    while (callers_.busy() > 0 && monotonic_now() < schedule.exit_at()) {
        co_await sleep(context_, stop_poll_interval);
    }
    log(log_level::info, "stop_finished", {{"given_up", given_up}, {"busy", callers_.busy()}});
    context_.stop();
}

// Reads the settings file again; an invalid file leaves the current settings in force.
void gateway::reload() {
    std::ifstream in(settings_file_);
    std::ostringstream text;
    text << in.rdbuf();
    try {
        if (!in) throw config_error(settings_file_, 0, "", "the file cannot be read");
        const auto made = parse_gateway_settings(text.str(), settings_file_);
        bounds_ = platform::decode_bounds(made.encoded_bounds);
        selector_.shift_limiter().set_max_shift(bounds_.max_region_shift);
        settings_.seeds = made.seeds;
        log(log_level::info, "reloaded", {{"file", settings_file_}});
    } catch (const config_error& problem) {
        log(log_level::error, "reload_rejected", {{"reason", problem.what()}});
    }
}

} // namespace lacewing
