#include "daemon/serve_state.h"

#include "protocol/caller_http.h"
#include "state/key_digest.h"
#include "transport/log.h"
#include "transport/monotonic_clock.h"

#include <fmt/format.h>
#include <json/json.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace lacewing {

namespace asio = boost::asio;

namespace {

// Longest time that a request waits for a loan of its account's rate or burst from another VM.
constexpr time_ms budget_wait_limit{150};
constexpr time_ms slot_refresh_interval{50};
// Time to wait for a slot_grant. A VM of the same zone answers within a few milliseconds.
constexpr time_ms grant_timeout{50};
// Pause after a VM lent no slot.
constexpr time_ms borrow_retry_delay{5};
constexpr time_ms move_sample_interval{1000};

// Names for the dump, in the order of circuit_breaker::state.
constexpr std::array breaker_names{"closed", "open", "half_open"};

} // namespace

// ---- endpoint_lease

endpoint_lease::endpoint_lease(serve_state& state, route_ticket ticket, time_ms started)
    : state_(&state), ticket_(ticket), started_(started) {}

endpoint_lease::endpoint_lease(serve_state& state, borrowed_slot slot, time_ms started)
    : state_(&state), started_(started), borrowed_(std::move(slot)) {}

endpoint_lease::~endpoint_lease() {
    finish(attempt_outcome::neutral);
}

endpoint_lease::endpoint_lease(endpoint_lease&& other) noexcept
    : state_(std::exchange(other.state_, nullptr)), ticket_(other.ticket_), started_(other.started_),
      reported_load_(other.reported_load_), borrowed_(std::move(other.borrowed_)),
      expiry_guard_(std::move(other.expiry_guard_)) {}

endpoint_lease& endpoint_lease::operator=(endpoint_lease&& other) noexcept {
    if (this == &other) return *this;
    finish(attempt_outcome::neutral);
    state_ = std::exchange(other.state_, nullptr);
    ticket_ = other.ticket_;
    started_ = other.started_;
    reported_load_ = other.reported_load_;
    borrowed_ = std::move(other.borrowed_);
    expiry_guard_ = std::move(other.expiry_guard_);
    return *this;
}

void endpoint_lease::close_on_expiry(boost::beast::tcp_stream& stream) {
    if (!borrowed_) return;
    expiry_guard_ =
        std::make_shared<expiry_guard>(expiry_guard{asio::steady_timer(state_->context_), &stream});
    const auto remaining_ms = std::max<std::int64_t>(0, (borrowed_->expires - monotonic_now()).count);
    expiry_guard_->timer.expires_after(std::chrono::milliseconds(remaining_ms));
    expiry_guard_->timer.async_wait([guard = expiry_guard_](boost::system::error_code) {
        if (guard->stream != nullptr) guard->stream->close();
    });
}

std::string_view endpoint_lease::address() const {
    if (borrowed_) return borrowed_->address;
    return state_->router_->view(ticket_.endpoint).address;
}

void endpoint_lease::report_load(std::string_view text) {
    double load = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), load);
    if (status == std::errc{} && end == text.data() + text.size() && load >= 0 && load <= 1)
        reported_load_ = load;
}

void endpoint_lease::finish(attempt_outcome outcome) {
    if (state_ == nullptr) return;
    if (expiry_guard_) {
        expiry_guard_->stream = nullptr;
        expiry_guard_->timer.cancel();
    }
    if (borrowed_) {
        const slot_return returned{borrowed_->loan, outcome, monotonic_now() - started_};
        std::exchange(state_, nullptr)->send_(send_action{borrowed_->lender, returned});
        return;
    }
    attempt_result result;
    result.outcome = outcome;
    result.latency = monotonic_now() - started_;
    result.reported_load = reported_load_;
    std::exchange(state_, nullptr)->finish_attempt(ticket_, result);
}

// ---- request_id_claim

request_id_claim::~request_id_claim() {
    finish(request_effect::outcome_unknown);
}

request_id_claim::request_id_claim(request_id_claim&& other) noexcept
    : state_(std::exchange(other.state_, nullptr)), ticket_(other.ticket_) {}

request_id_claim& request_id_claim::operator=(request_id_claim&& other) noexcept {
    if (this == &other) return *this;
    finish(request_effect::outcome_unknown);
    state_ = std::exchange(other.state_, nullptr);
    ticket_ = other.ticket_;
    return *this;
}

void request_id_claim::before_send() {
    if (state_ == nullptr || state_->once_registry_.try_mark_sent(serve_state::clock_now(), ticket_)) return;
    throw error(error_kind::outcome_unknown, "the request id may no longer be sent");
}

void request_id_claim::attempt_not_run() {
    if (state_ != nullptr) state_->once_registry_.attempt_not_run(ticket_);
}

void request_id_claim::finish(request_effect effect) {
    if (state_ == nullptr) return;
    auto outcome = once_outcome::unknown;
    if (effect == request_effect::ran) outcome = once_outcome::ran;
    if (effect == request_effect::not_run) outcome = once_outcome::not_run;
    std::exchange(state_, nullptr)->once_registry_.finish(ticket_, outcome);
}

// ---- connection_registration

connection_registration::connection_registration(serve_state& state, boost::beast::tcp_stream& stream)
    : state_(state), stream_(stream), position_(state.connections_.insert(state.connections_.end(), this)) {}

connection_registration::~connection_registration() {
    set_busy(false);
    state_.connections_.erase(position_);
}

void connection_registration::set_busy(bool busy) {
    if (busy == busy_) return;
    busy_ = busy;
    had_request_ = true;
    if (busy) {
        ++state_.busy_connections_;
    } else {
        --state_.busy_connections_;
    }
}

// ---- disconnect_watch

bool has_disconnected(boost::beast::tcp_stream& caller) {
    char byte = 0;
    // A synchronous receive of Asio would wait for data.
    const auto size = ::recv(caller.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

disconnect_watch::disconnect_watch(boost::beast::tcp_stream& caller, boost::beast::tcp_stream& endpoint)
    : shared_(std::make_shared<shared_flags>()) {
    shared_->endpoint = &endpoint;
    shared_->caller = &caller;
    caller.socket().async_wait(asio::ip::tcp::socket::wait_read,
                               [shared = shared_](boost::system::error_code failure) {
                                   if (shared->stopped || failure == asio::error::operation_aborted) return;
                                   // Data means a pipelined request, which stays in the socket.
                                   if (!failure && !has_disconnected(*shared->caller)) return;
                                   shared->caller_disconnected = true;
                                   shared->endpoint->cancel();
                               });
}

void disconnect_watch::stop() {
    if (std::exchange(shared_->stopped, true)) return;
    boost::system::error_code ignored;
    shared_->caller->socket().cancel(ignored);
}

// ---- serve_state

serve_state::serve_state(asio::io_context& context, const process_settings& settings, const peer_id& self,
                         std::uint64_t seed, prometheus::Registry& registry, send_function send)
    : context_(context), settings_(settings), memory_(caller_memory::budget_of(settings.limits.memory_mb)),
      self_(self), send_(std::move(send)), random_(seed), budgets_(std::make_unique<budget_manager>(self)),
      budget_timer_(context), once_registry_(self.incarnation), pool_(context.get_executor()),
      metrics_(registry) {
    memory_.on_shed = [this](const memory_shedding& shed) {
        metrics_.count_shed(to_string(shed.cause), shed.connections);
        log(log_level::warn, "callers_shed",
            {{"cause", to_string(shed.cause)},
             {"connections", shed.connections},
             {"bytes", shed.bytes},
             {"longest_stall_ms", shed.longest_stall.count},
             {"held_before", shed.held_before},
             {"budget", shed.budget}});
    };
}

void serve_state::apply(std::shared_ptr<const serving_snapshot> snapshot) {
    if (snapshot_ && snapshot->revision < snapshot_->revision) {
        log(log_level::error, "older_snapshot_rejected",
            {{"held", snapshot_->revision.value}, {"offered", snapshot->revision.value}});
        return;
    }
    snapshot_ = std::move(snapshot);
    const auto& config = *snapshot_->config;
    if (!router_) router_.emplace(config, settings_.zone, random_());
    router_->update(config, snapshot_->drained, snapshot_->shares);
    while (queues_.size() < config.routes.size()) {
        queues_.emplace_back(static_cast<std::size_t>(settings_.limits.queue_length));
    }
    apply_slot_shares(monotonic_now());
}

void serve_state::apply(const peer_message& message) {
    const auto now = monotonic_now();
    if (const auto* query = std::get_if<once_query>(&message.payload)) {
        send_(send_action{message.from, once_reply{query->sequence, once_registry_.answer_query(
                                                                        clock_now(), query->request_id)}});
        return;
    }
    if (const auto* reply = std::get_if<once_reply>(&message.payload)) {
        const auto answered = once_queries_.on_reply(message.from.incarnation, *reply);
        if (answered) complete_query(*answered);
        return;
    }
    if (const auto* request = std::get_if<slot_request>(&message.payload)) {
        lend_slot(message.from, *request);
        return;
    }
    if (const auto* grant = std::get_if<slot_grant>(&message.payload)) {
        on_slot_grant(message.from, *grant);
        return;
    }
    if (const auto* returned = std::get_if<slot_return>(&message.payload)) {
        const auto ticket = lender_.end_loan(message.from.incarnation, returned->loan);
        if (ticket) finish_attempt(*ticket, {returned->outcome, returned->latency, {}, 0});
        return;
    }
    budgets_->on_message(now, message.from, message.payload);
    process_budget_output();
}

void serve_state::apply(const home_batch& batch) {
    const auto now = monotonic_now();
    // Loans that exceed a reduced share expire within max_loan_lifetime.
    home_batch_confirmation confirmation{batch.sequence, now + max_loan_lifetime};
    for (const auto& update : batch.homes) {
        if (update.held) {
            budgets_->set_home_share(now, update.budget, update.amount, update.lease_expiry,
                                     update.usable_from);
        } else {
            confirmation.clear =
                std::max(confirmation.clear, budgets_->release_home_share(now, update.budget));
        }
    }
    for (const auto& update : batch.lenders)
        budgets_->set_lenders(update.budget, update.lenders);
    for (const auto& update : batch.slots)
        slot_shares_[{update.route, update.endpoint}] = update;
    for (const auto& update : batch.slot_lenders)
        lenders_by_route_[update.route] = update.lenders;
    process_budget_output();
    unconfirmed_batch_ = confirmation;
    apply_slot_shares(now);
    confirm_batch();
}

// Sets the number of slots of each endpoint that this VM may use now: its share while the share's lease is
// valid, else none.
void serve_state::apply_slot_shares(time_ms now) {
    slots_refreshed_at_ = now;
    if (!router_) return;
    for (const auto& route : snapshot_->config->routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto index = router_->find_endpoint(route.name.value, endpoint.name.value);
            if (!index) continue;
            const auto share = slot_shares_.find({route.name.value, endpoint.name.value});
            const bool held = share != slot_shares_.end() && now >= share->second.usable_from &&
                              now < share->second.lease_expiry;
            router_->set_slot_limit(*index, held ? share->second.slots : 0);
        }
    }
}

// Confirms the last batch once no endpoint has more requests in flight from this VM than its slots under the
// batch. Other VMs may use the given-up slots only after the confirmation.
void serve_state::confirm_batch() {
    if (!unconfirmed_batch_ || !router_) return;
    for (const auto& [name, share] : slot_shares_) {
        const auto index = router_->find_endpoint(name.first, name.second);
        if (index && router_->view(*index).in_flight > share.slots) return;
    }
    unconfirmed_batch_->clear = std::max(unconfirmed_batch_->clear, monotonic_now());
    send_(*unconfirmed_batch_);
    unconfirmed_batch_.reset();
}

void serve_state::apply(const stop_notice& notice) {
    leaving_ = true;
    stop_ = notice.schedule;
    if (notice.stage != stop_stage::refusing) return;
    refusing_ = true;
    // A slot that becomes free late would be of no use to a request that can outlast the process.
    std::vector<std::uint64_t> too_late;
    for (const auto& [id, waiter] : slot_waiters_) {
        if (waiter->deadline > stop_->end()) too_late.push_back(id);
    }
    refuse_waiters(too_late);
    budgets_->stop(monotonic_now());
    process_budget_output();
    close_idle_connections();
}

// Shares and loans belong to an incarnation, so a fenced process starts again without any.
void serve_state::apply(const new_incarnation& changed) {
    self_ = changed.self;
    budgets_ = std::make_unique<budget_manager>(self_);
    once_registry_.change_incarnation(self_.incarnation);
    key_validity_ = {};
    slot_shares_.clear();
    lenders_by_route_.clear();
    unconfirmed_batch_.reset();
    apply_slot_shares(monotonic_now());
    process_budget_output();
}

// Sends the messages of the budget manager and wakes the requests whose budget may now admit them.
void serve_state::process_budget_output() {
    for (auto& action : budgets_->take_actions())
        send_(std::move(action));
    for (const auto& budget : budgets_->take_ready_budgets()) {
        const auto [begin, end] = budget_waiters_.equal_range(budget);
        for (auto waiter = begin; waiter != end; ++waiter) {
            waiter->second->notified = true;
            waiter->second->timer.cancel();
        }
    }
    arm_budget_timer();
}

void serve_state::arm_budget_timer() {
    const auto wakeup = budgets_->next_wakeup();
    if (wakeup == armed_wakeup_) return;
    armed_wakeup_ = wakeup;
    const auto delay = std::clamp<std::int64_t>((wakeup - monotonic_now()).count, 0, 60'000);
    budget_timer_.expires_after(std::chrono::milliseconds(delay));
    budget_timer_.async_wait([this](boost::system::error_code failure) {
        if (failure) return;
        armed_wakeup_ = time_ms{-1};
        budgets_->on_tick(monotonic_now());
        process_budget_output();
    });
}

request_identity serve_state::find_route(std::string_view name) const {
    if (!snapshot_) throw error(error_kind::not_configured, "no configuration has been received yet");
    request_identity identity;
    identity.snapshot = snapshot_;
    identity.route = snapshot_->config->find_route(name);
    const auto index = router_->find_route(name);
    if (identity.route == nullptr || !index) {
        // The answer doesn't repeat the name, because it may be a key that was sent in the wrong place.
        throw error(error_kind::no_such_route, "there is no such route");
    }
    identity.route_index = *index;
    return identity;
}

void serve_state::refuse_new_when_stopping() const {
    if (refusing_) throw error(error_kind::vm_leaving, "this VM is leaving; ask for the entry VMs again");
}

void serve_state::refuse_unless_in_time(std::optional<time_ms> deadline) const {
    if (!stop_ || (deadline && stop_->admits(monotonic_now(), *deadline, *deadline))) return;
    throw error(error_kind::vm_leaving, "this VM ends before the request could be answered");
}

// A key in the path or the query would reach the endpoint, so the whole request is rejected.
void serve_state::reject_key_in_target(std::string_view target, std::string_view key) const {
    const auto parts = target_parts(target);
    const bool found = std::any_of(parts.begin(), parts.end(), [&](const std::string& part) {
        if (!key.empty() && part.find(key) != std::string::npos) return true;
        return snapshot_->keys->find(digest_of(part)).has_value();
    });
    if (found)
        throw error(error_kind::bad_request, "the target holds a key; send it in the Authorization header");
}

bool serve_state::contains_key(std::string_view text) const {
    constexpr std::size_t min_key_length = 16;
    constexpr std::string_view separators = " \t,;:=\"'()<>/&?";
    while (!text.empty()) {
        const auto end = std::min(text.find_first_of(separators), text.size());
        const auto word = text.substr(0, end);
        if (word.size() >= min_key_length && snapshot_->keys->find(digest_of(word))) return true;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return false;
}

void serve_state::authenticate(request_identity& identity, std::string_view key) const {
    if (key.empty()) throw error(error_kind::key_rejected, "the route needs a key");
    if (monotonic_now() > key_validity_.valid_until) {
        throw error(error_kind::keys_stale, "this VM cannot show that its key list is current");
    }
    const auto owner = snapshot_->keys->find(digest_of(key));
    const auto& config = *snapshot_->config;
    if (owner) identity.account = config.find_account(snapshot_->keys->account(*owner).value);
    if (identity.account == nullptr)
        throw error(error_kind::key_rejected, "the key is unknown or was withdrawn");
    identity.account_index = static_cast<std::uint32_t>(identity.account - config.accounts.data());
    identity.plan = config.find_plan(identity.account->plan.value);
    const auto& routes = identity.plan->routes;
    if (std::find(routes.begin(), routes.end(), identity.route->name) == routes.end()) {
        throw error(error_kind::route_not_in_plan,
                    fmt::format("plan '{}' has no route '{}'", identity.plan->name.value,
                                identity.route->name.value));
    }
}

void serve_state::set_caller_class(request_identity& identity, std::string_view class_name) {
    const auto& classes = identity.snapshot->config->classes;
    for (std::size_t i = 0; i < classes.size() && i < max_caller_classes; ++i) {
        if (classes[i].name.value != class_name) continue;
        identity.class_index = static_cast<std::uint8_t>(i);
        identity.class_weight = classes[i].weight;
    }
}

asio::awaitable<void> serve_state::admit(request_identity& identity, time_ms deadline) {
    if (identity.account == nullptr) co_return;
    const auto budget = account_budget_name(identity.account->name);
    const auto wait_end = std::min(monotonic_now() + budget_wait_limit, deadline);
    auto attempt = admission_attempt::first;
    while (true) {
        const auto verdict = budgets_->try_admit(monotonic_now(), budget, attempt);
        process_budget_output();
        if (verdict == admission::admitted) co_return;
        if (verdict == admission::refused || attempt == admission_attempt::last) break;
        budget_waiter waiter{asio::steady_timer(context_)};
        waiter.timer.expires_after(
            std::chrono::milliseconds(std::max<std::int64_t>(0, (wait_end - monotonic_now()).count)));
        const auto position = budget_waiters_.emplace(budget, &waiter);
        boost::system::error_code ignored;
        co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        budget_waiters_.erase(position);
        attempt = monotonic_now() >= wait_end ? admission_attempt::last : admission_attempt::again;
    }
    throw error(error_kind::rate_exceeded,
                fmt::format("account '{}' is over its rate or burst", identity.account->name.value));
}

asio::awaitable<request_id_claim> serve_state::claim_request_id(request_identity& identity,
                                                                const std::string& request_id) {
    if (request_id.empty()) {
        throw error(error_kind::bad_request,
                    fmt::format("route '{}' needs an X-Request-Id", identity.route->name.value));
    }
    const auto begun = once_registry_.begin(clock_now(), request_id);
    if (begun.decision == at_most_once_registry::verdict::execute)
        co_return request_id_claim(*this, begun.ticket);
    if (begun.decision == at_most_once_registry::verdict::answer) {
        throw error(begun.kind, "the request id was used before or is not acceptable");
    }
    const auto kind = co_await query_bound_vm(begun.bound, request_id);
    throw error(kind, "the request id is bound to another VM");
}

// Asks the VM to which a request id is bound how its request ended, and returns the error kind to answer
// with: outcome_unknown when that VM is unknown or doesn't reply in time.
asio::awaitable<error_kind> serve_state::query_bound_vm(incarnation_id bound, std::string_view request_id) {
    const auto peer = entry_view_ ? entry_view_->peers_by_incarnation.find(bound)
                                  : decltype(entry_view_->peers_by_incarnation.find(bound)){};
    if (!entry_view_ || peer == entry_view_->peers_by_incarnation.end())
        co_return error_kind::outcome_unknown;
    query_waiter waiter{asio::steady_timer(context_), std::nullopt};
    const auto waiter_id = ++last_waiter_id_;
    query_waiters_.emplace(waiter_id, &waiter);
    send_(send_action{peer->second, once_queries_.ask(monotonic_now(), bound, request_id, waiter_id)});
    waiter.timer.expires_after(std::chrono::milliseconds(outcome_queries::reply_timeout.count));
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    query_waiters_.erase(waiter_id);
    co_return waiter.answer.value_or(error_kind::outcome_unknown);
}

void serve_state::complete_query(const outcome_queries::answered& answered) {
    const auto waiter = query_waiters_.find(answered.request);
    if (waiter == query_waiters_.end()) return;
    waiter->second->answer = answered.kind;
    waiter->second->timer.cancel();
}

asio::awaitable<endpoint_lease> serve_state::acquire_endpoint(request_identity& identity,
                                                              const std::vector<std::uint32_t>& tried,
                                                              time_ms deadline) {
    const auto now = monotonic_now();
    // tick() runs less often while the VM is idle; without this check, a request could use a share for longer
    // than slot_refresh_interval after its lease has expired.
    if (now - slots_refreshed_at_ >= slot_refresh_interval) apply_slot_shares(now);
    // The configuration may have changed since the request arrived.
    const auto route = router_->find_route(identity.route->name.value);
    if (!route) throw error(error_kind::no_such_route, "the route was removed");
    auto& queue = queues_[*route];
    if (queue.size() == 0 || !tried.empty()) {
        const auto ticket = router_->choose(now, *route, tried);
        if (ticket) co_return endpoint_lease(*this, *ticket, now);
        if (!tried.empty()) throw error(error_kind::no_capacity, "no other endpoint has headroom");
    }
    queued_request entry;
    entry.id = ++last_waiter_id_;
    entry.account = identity.account_index;
    entry.account_weight = identity.plan != nullptr ? identity.plan->weight : 1;
    entry.caller_class = identity.class_index;
    entry.class_weight = identity.class_weight;
    entry.deadline = deadline;
    const auto pushed = queue.push(now, entry);
    if (pushed.evicted) refuse_waiters({*pushed.evicted});
    if (!pushed.accepted) throw error(error_kind::no_capacity, "the queue of the route is full");

    slot_waiter waiter{asio::steady_timer(context_), std::nullopt, std::nullopt, deadline, false};
    slot_waiters_.emplace(entry.id, &waiter);
    waiter.timer.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(0, (deadline - now).count)));
    start_borrowing(identity.route->name.value);
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    slot_waiters_.erase(entry.id);
    if (waiter.ticket) co_return endpoint_lease(*this, *waiter.ticket, monotonic_now());
    if (waiter.borrowed) co_return endpoint_lease(*this, std::move(*waiter.borrowed), monotonic_now());
    queue.cancel(entry.id, entry.account, entry.caller_class);
    throw error(error_kind::no_capacity, "no endpoint became free in time");
}

void serve_state::finish_attempt(const route_ticket& ticket, const attempt_result& result) {
    count_outcome(ticket, result);
    router_->finish(monotonic_now(), ticket, result);
    for (std::uint32_t route = 0; route < queues_.size(); ++route) {
        if (queues_[route].size() > 0) dispatch_queue(route);
    }
}

// Counts an attempt as evidence for version moves. A request that the endpoint shed counts as an error, since
// a version that sheds more than the other one under the same load serves fewer requests.
void serve_state::count_outcome(const route_ticket& ticket, const attempt_result& result) {
    if (snapshot_->shares.empty() || result.outcome == attempt_outcome::neutral) return;
    const auto endpoint = router_->view(ticket.endpoint);
    if (endpoint.generation != ticket.generation) return;
    auto& counts = version_outcomes_[{std::string(endpoint.route), std::string(endpoint.version)}];
    add_outcome(counts, result.outcome != attempt_outcome::success, result.latency);
}

// Sends the control thread the measurements for moves. Counts are cumulative, so a sample that does not fit
// into the ring is replaced by the next one.
void serve_state::send_move_sample(time_ms now) {
    if (!snapshot_ || now < next_move_sample_) return;
    next_move_sample_ = now + move_sample_interval;
    if (snapshot_->shares.empty()) version_outcomes_.clear();
    if (snapshot_->shares.empty() && snapshot_->drained.empty()) return;
    move_sample sample;
    sample.revision = snapshot_->revision;
    for (const auto& [name, counts] : version_outcomes_)
        sample.versions.push_back({{name.first}, name.second, counts});
    for (const auto& route : snapshot_->config->routes) {
        for (const auto& endpoint : route.endpoints) {
            const auto index = router_->find_endpoint(route.name.value, endpoint.name.value);
            if (!index) continue;
            const auto state = router_->view(*index);
            if (state.drained && state.in_flight > 0)
                sample.drained.push_back({endpoint.name, static_cast<std::uint64_t>(state.in_flight)});
        }
    }
    send_(std::move(sample));
}

// Assigns free slots to the waiting requests of a route and refuses those whose deadline has passed.
void serve_state::dispatch_queue(std::uint32_t route) {
    const auto now = monotonic_now();
    while (queues_[route].size() > 0) {
        const auto ticket = router_->choose(now, route);
        if (!ticket) break;
        auto* waiter = pop_slot_waiter(route);
        if (waiter == nullptr) {
            router_->finish(now, *ticket, {attempt_outcome::neutral, {}, {}, 0});
            continue;
        }
        waiter->ticket = ticket;
        waiter->timer.cancel();
    }
    std::vector<std::uint64_t> expired;
    queues_[route].expire(now, expired);
    refuse_waiters(expired);
}

// Removes the next request from the queue and returns its waiter; null when there is none.
serve_state::slot_waiter* serve_state::pop_slot_waiter(std::uint32_t route) {
    std::vector<std::uint64_t> expired;
    const auto next = queues_[route].pop(monotonic_now(), expired);
    refuse_waiters(expired);
    if (!next) return nullptr;
    const auto waiter = slot_waiters_.find(next->id);
    return waiter == slot_waiters_.end() ? nullptr : waiter->second;
}

// Lends a free slot to another VM of the zone, unless requests of this VM wait for the route.
void serve_state::lend_slot(const peer_id& borrower, const slot_request& request) {
    const auto now = monotonic_now();
    slot_grant grant{request.sequence, 0, {}};
    const auto route = router_ ? router_->find_route(request.route) : std::nullopt;
    const bool valid = request.term.count > 0 && request.term <= max_slot_loan;
    if (route && valid && !refusing_ && queues_[*route].size() == 0) {
        const auto ticket = router_->choose(now, *route);
        if (ticket) {
            grant.loan = lender_.lend(now, borrower.incarnation, *ticket, request.term);
            grant.endpoint = router_->view(ticket->endpoint).name;
        }
    }
    send_(send_action{borrower, grant});
}

void serve_state::on_slot_grant(const peer_id& lender, const slot_grant& grant) {
    const auto waiter = grant_waiters_.find(grant.sequence);
    if (waiter != grant_waiters_.end()) {
        waiter->second->grant = grant;
        waiter->second->timer.cancel();
    } else if (grant.loan != 0) {
        // The wait for the grant has timed out, so the slot is returned unused.
        send_(send_action{lender, slot_return{grant.loan, attempt_outcome::neutral, {}}});
    }
}

void serve_state::start_borrowing(const std::string& route) {
    const auto lenders = lenders_by_route_.find(route);
    if (lenders == lenders_by_route_.end() || lenders->second.empty()) return;
    if (!borrowing_routes_.insert(route).second) return;
    asio::co_spawn(context_, borrow_slots(route), asio::detached);
}

// Borrows slots from the lenders in turn while requests of the route wait.
asio::awaitable<void> serve_state::borrow_slots(std::string route) {
    std::size_t lender_position = random_();
    while (true) {
        const auto index = router_->find_route(route);
        const auto lenders = lenders_by_route_[route];
        if (!index || queues_[*index].size() == 0 || lenders.empty()) break;
        auto slot = co_await borrow_from(lenders[++lender_position % lenders.size()], route);
        if (!slot) {
            co_await sleep(borrow_retry_delay);
            continue;
        }
        // The configuration may have changed meanwhile.
        const auto current_index = router_->find_route(route);
        auto* waiter = current_index ? pop_slot_waiter(*current_index) : nullptr;
        if (waiter == nullptr) {
            send_(send_action{slot->lender, slot_return{slot->loan, attempt_outcome::neutral, {}}});
            continue;
        }
        waiter->borrowed = std::move(*slot);
        waiter->timer.cancel();
    }
    borrowing_routes_.erase(route);
}

// Asks one VM for a slot; nothing when it lends none or does not reply in time.
asio::awaitable<std::optional<borrowed_slot>> serve_state::borrow_from(peer_id lender, std::string route) {
    const auto asked_at = monotonic_now();
    const auto sequence = ++last_waiter_id_;
    grant_waiter waiter{asio::steady_timer(context_, std::chrono::milliseconds(grant_timeout.count)),
                        std::nullopt};
    grant_waiters_.emplace(sequence, &waiter);
    send_(send_action{lender, slot_request{route, sequence, max_slot_loan}});
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    grant_waiters_.erase(sequence);
    if (!waiter.grant || waiter.grant->loan == 0) co_return std::nullopt;
    const auto endpoint = router_->find_endpoint(route, waiter.grant->endpoint);
    if (!endpoint) {
        send_(send_action{lender, slot_return{waiter.grant->loan, attempt_outcome::neutral, {}}});
        co_return std::nullopt;
    }
    borrowed_slot slot;
    slot.lender = std::move(lender);
    slot.loan = waiter.grant->loan;
    slot.endpoint = *endpoint;
    slot.address = router_->view(*endpoint).address;
    slot.expires = asked_at + max_slot_loan;
    co_return slot;
}

void serve_state::refuse_waiters(const std::vector<std::uint64_t>& ids) {
    for (const auto id : ids) {
        const auto waiter = slot_waiters_.find(id);
        if (waiter == slot_waiters_.end()) continue;
        waiter->second->refused = true;
        waiter->second->timer.cancel();
    }
}

std::optional<time_ms> serve_state::retry_delay(const request_identity& identity,
                                                const failed_attempt& attempt) {
    const auto delay = decide_retry(attempt, *identity.route, retry_budget_, random_);
    if (delay) metrics_.count_retry();
    return delay;
}

std::function<void()> serve_state::count_connection(std::uint32_t endpoint) {
    router_->connection_opened(endpoint);
    return [this, endpoint] { router_->connection_closed(endpoint); };
}

asio::awaitable<void> serve_state::sleep(time_ms duration) {
    asio::steady_timer timer(context_, std::chrono::milliseconds(duration.count));
    co_await timer.async_wait(asio::use_awaitable);
}

void serve_state::record(const request_identity& identity, std::optional<error_kind> kind, time_ms latency) {
    const std::string_view account =
        identity.account != nullptr ? std::string_view(identity.account->name.value) : "-";
    const std::string_view route =
        identity.route != nullptr ? std::string_view(identity.route->name.value) : "-";
    metrics_.record(account, route, kind, latency);
}

// Closes the connections without a request in flight. Shutting down the read side ends their wait for the
// next request without resetting the connection.
void serve_state::close_idle_connections() {
    for (auto* connection : connections_) {
        if (connection->busy_) continue;
        boost::system::error_code ignored;
        connection->stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
    }
}

// Queues are dispatched here as well, because slots can become free without a finished attempt, for example
// when an endpoint warms up.
void serve_state::tick() {
    const auto now = monotonic_now();
    for (std::uint32_t route = 0; route < queues_.size(); ++route) {
        if (queues_[route].size() > 0) dispatch_queue(route);
    }
    if (now - slots_refreshed_at_ >= slot_refresh_interval) apply_slot_shares(now);
    for (const auto& ticket : lender_.expire(now))
        finish_attempt(ticket, {attempt_outcome::neutral, {}, {}, 0});
    metrics_.set_caller_memory(memory_.held());
    confirm_batch();
    send_move_sample(now);
    pool_.close_expired(now);
    std::vector<outcome_queries::answered> unanswered;
    once_queries_.expire(now, unanswered);
    for (const auto& query : unanswered)
        complete_query(query);
}

std::string serve_state::dump() {
    Json::Value root;
    root["revision"] = Json::UInt64(snapshot_ ? snapshot_->revision.value : 0);
    root["keys"]["verdict"] = key_validity_.verdict;
    root["keys"]["valid_for_ms"] = Json::Int64((key_validity_.valid_until - monotonic_now()).count);
    root["connections"] = Json::UInt64(connections_.size());
    root["requests_in_flight"] = Json::UInt64(busy_connections());
    root["leaving"] = leaving_;
    root["idle_endpoint_connections"] = Json::UInt64(pool_.idle_count());
    root["slots_lent"] = Json::UInt64(lender_.size());
    root["request_ids"] = Json::UInt64(once_registry_.size());
    if (snapshot_) {
        for (const auto& route : snapshot_->config->routes)
            dump_route(route, root["routes"][route.name.value]);
        for (const auto& account : snapshot_->config->accounts) {
            const auto held = budgets_->held(monotonic_now(), account_budget_name(account.name));
            auto& entry = root["accounts"][account.name.value];
            entry["rate_per_s"] = static_cast<double>(held.rate) / 1000.0;
            entry["burst"] = static_cast<double>(held.capacity) / 1e6;
            entry["tokens"] = static_cast<double>(held.tokens) / 1e6;
        }
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "  ";
    return Json::writeString(writer, root);
}

void serve_state::dump_route(const route& route_config, Json::Value& out) const {
    const auto now = monotonic_now();
    const auto route_index = router_->find_route(route_config.name.value);
    if (route_index) out["queued"] = Json::UInt64(queues_[*route_index].size());
    for (const auto& endpoint : route_config.endpoints) {
        const auto index = router_->find_endpoint(route_config.name.value, endpoint.name.value);
        if (!index) continue;
        const auto state = router_->view(*index);
        auto& entry = out["endpoints"][endpoint.name.value];
        entry["in_flight"] = Json::Int64(state.in_flight);
        entry["drained"] = state.drained;
        entry["connections"] = Json::Int64(state.connections);
        entry["free_slots"] = Json::Int64(router_->headroom(now, *index));
        entry["breaker"] = breaker_names.at(static_cast<std::size_t>(state.breaker));
        entry["version"] = std::string(state.version);
    }
}

clock_reading serve_state::clock_now() {
    return {monotonic_now(), unix_seconds_now()};
}

} // namespace lacewing
