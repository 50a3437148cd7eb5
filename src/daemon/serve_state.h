#pragma once

#include "coordination/admission_queue.h"
#include "coordination/at_most_once_registry.h"
#include "coordination/budget_manager.h"
#include "coordination/caller_memory.h"
#include "coordination/entry_selector.h"
#include "coordination/retry_budget.h"
#include "coordination/router.h"
#include "coordination/serving_snapshot.h"
#include "coordination/slot_lender.h"
#include "daemon/entry_view.h"
#include "daemon/serve_metrics.h"
#include "daemon/thread_messages.h"
#include "state/error_kind.h"
#include "state/settings.h"
#include "transport/endpoint_connection_pool.h"

#include <utility>

#include <boost/asio.hpp>
#include <json/value.h>

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

class serve_state;

/// @brief Route of one request and, except on open routes, the account and plan that it runs under.
struct request_identity {
    /// Snapshot that the pointers below point into; keeps them valid while the configuration changes.
    std::shared_ptr<const serving_snapshot> snapshot;
    const lacewing::route* route = nullptr;
    const lacewing::account* account = nullptr;
    const lacewing::plan* plan = nullptr;
    /// Index of the route in the router.
    std::uint32_t route_index = 0;
    /// Index of the account in the configuration.
    std::uint32_t account_index = 0;
    /// Index and weight of the caller class in the configuration.
    std::uint8_t class_index = 0;
    std::int64_t class_weight = 1;
};

/// @brief Endpoint slot that another VM has lent for one attempt.
struct borrowed_slot {
    peer_id lender;
    /// Number of the loan at the lender.
    std::uint64_t loan = 0;
    /// Index of the endpoint in this VM's router.
    std::uint32_t endpoint = 0;
    std::string address;
    /// Time by which the attempt must have ended.
    time_ms expires;
};

/// @brief Holds an endpoint slot, own or borrowed, for one attempt and releases it exactly once. A slot
/// counts against the concurrent requests that the endpoint accepts.
class endpoint_lease {
public:
    endpoint_lease() = default;
    endpoint_lease(serve_state& state, route_ticket ticket, time_ms started);
    endpoint_lease(serve_state& state, borrowed_slot slot, time_ms started);
    ~endpoint_lease();
    endpoint_lease(endpoint_lease&& other) noexcept;
    endpoint_lease& operator=(endpoint_lease&& other) noexcept;
    endpoint_lease(const endpoint_lease&) = delete;
    endpoint_lease& operator=(const endpoint_lease&) = delete;

    [[nodiscard]] std::uint32_t endpoint() const {
        return borrowed_ ? borrowed_->endpoint : ticket_.endpoint;
    }
    [[nodiscard]] std::string_view address() const;

    /// @brief Closes the connection if a borrowed slot expires before finish() is called; the lender may then
    /// give the slot to another request. Own slots don't expire.
    void close_on_expiry(boost::beast::tcp_stream& stream);

    /// @brief Records the load that the endpoint reported, from 0 to 1; any other text is ignored.
    void report_load(std::string_view text);

    /// @brief Releases the slot and reports the outcome to its owner; later calls have no effect.
    void finish(attempt_outcome outcome);

private:
    serve_state* state_ = nullptr;
    route_ticket ticket_;
    time_ms started_;
    std::optional<double> reported_load_;
    std::optional<borrowed_slot> borrowed_;

    struct expiry_guard {
        boost::asio::steady_timer timer;
        /// Null once the attempt has ended.
        boost::beast::tcp_stream* stream;
    };
    std::shared_ptr<expiry_guard> expiry_guard_;
};

/// @brief Claim of one request on its request id, on an at-most-once route. Calls on an empty claim have no
/// effect. A claim that is destroyed unfinished records an unknown outcome.
class request_id_claim {
public:
    request_id_claim() = default;
    request_id_claim(serve_state& state, std::uint64_t ticket) : state_(&state), ticket_(ticket) {}
    ~request_id_claim();
    request_id_claim(request_id_claim&& other) noexcept;
    request_id_claim& operator=(request_id_claim&& other) noexcept;
    request_id_claim(const request_id_claim&) = delete;
    request_id_claim& operator=(const request_id_claim&) = delete;

    /// @brief Must be called before the first byte of an attempt is sent.
    /// @throws error with error_kind::outcome_unknown when the request must not be sent.
    void before_send();
    /// @brief Records that the last attempt provably did not run, so another one is permitted.
    void attempt_not_run();
    /// @brief Records the outcome of the request and ends the claim; later calls have no effect.
    void finish(request_effect effect);

private:
    serve_state* state_ = nullptr;
    std::uint64_t ticket_ = 0;
};

/// @brief Registers a caller connection for its lifetime, so that a graceful stop can close idle connections
/// and wait for the requests in flight.
class connection_registration {
public:
    connection_registration(serve_state& state, boost::beast::tcp_stream& stream);
    ~connection_registration();
    connection_registration(const connection_registration&) = delete;
    connection_registration& operator=(const connection_registration&) = delete;
    connection_registration(connection_registration&&) = delete;
    connection_registration& operator=(connection_registration&&) = delete;

    /// @brief Marks the start or the end of a request on the connection.
    void set_busy(bool busy);
    /// @brief Whether no request has started on the connection yet.
    [[nodiscard]] bool awaits_first_request() const { return !had_request_; }

private:
    friend class serve_state;

    serve_state& state_;
    boost::beast::tcp_stream& stream_;
    bool busy_ = false;
    bool had_request_ = false;
    std::list<connection_registration*>::iterator position_;
};

/// @brief Whether the caller has closed its connection or the connection has failed. False while bytes of the
/// caller are unread, because they hide the end of the stream.
bool has_disconnected(boost::beast::tcp_stream& caller);

/// @brief Cancels the pending operation on an endpoint connection when the caller disconnects. Watches from
/// its construction until stop().
class disconnect_watch {
public:
    disconnect_watch(boost::beast::tcp_stream& caller, boost::beast::tcp_stream& endpoint);
    ~disconnect_watch() { stop(); }
    disconnect_watch(const disconnect_watch&) = delete;
    disconnect_watch& operator=(const disconnect_watch&) = delete;
    disconnect_watch(disconnect_watch&&) = delete;
    disconnect_watch& operator=(disconnect_watch&&) = delete;

    void stop();
    [[nodiscard]] bool caller_disconnected() const { return shared_->caller_disconnected; }

private:
    struct shared_flags {
        boost::beast::tcp_stream* endpoint;
        boost::beast::tcp_stream* caller;
        bool stopped = false;
        bool caller_disconnected = false;
    };
    std::shared_ptr<shared_flags> shared_;
};

/// @brief State and decisions of the request path: authentication, admission, choice of endpoints, retries.
/// Must be used on the serve thread only, unless stated otherwise.
class serve_state {
public:
    /// Passes a message to the control thread: for a peer, a batch confirmation or a move sample.
    using send_function = std::function<void(control_input)>;

    serve_state(boost::asio::io_context& context, const process_settings& settings, const peer_id& self,
                std::uint64_t seed, prometheus::Registry& registry, send_function send);

    // Messages from the control thread.
    void apply(std::shared_ptr<const serving_snapshot> snapshot);
    void apply(const key_validity& validity) { key_validity_ = validity; }
    void apply(std::shared_ptr<const entry_view> view) { entry_view_ = std::move(view); }
    void apply(const peer_message& message);
    void apply(const home_batch& batch);
    void apply(const stop_notice& notice);
    void apply(const new_incarnation& changed);
    static void apply(std::monostate) {}

    // Steps of the request path, in order. Those that refuse a request throw error with the kind to answer.
    [[nodiscard]] const limit_settings& limits() const { return settings_.limits; }
    /// @brief Account of the memory that callers hold.
    caller_memory& memory() { return memory_; }
    /// @brief Starts the identity of a request with its route.
    request_identity find_route(std::string_view name) const;
    /// @brief Refuses a target with a key in it, which the endpoint would see.
    void reject_key_in_target(std::string_view target, std::string_view key) const;
    /// @brief Whether a word of the text is a key of any account; such a header value is not forwarded.
    [[nodiscard]] bool contains_key(std::string_view text) const;
    /// @brief Adds the account of the key and its plan, and checks that the plan includes the route.
    void authenticate(request_identity& identity, std::string_view key) const;
    /// @brief Refuses every request in the last stage of a graceful stop. Must follow the claim of the
    /// request id, because the refusal says that the request was not run.
    void refuse_new_when_stopping() const;
    /// @brief Refuses a request that can outlast the process, once a graceful stop has begun.
    /// @param deadline Time by which the request ends; nothing when it has no bound.
    void refuse_unless_in_time(std::optional<time_ms> deadline) const;
    /// @brief Adds the caller class; an unknown name leaves the default.
    static void set_caller_class(request_identity& identity, std::string_view class_name);
    /// @brief Takes one request out of the account's budget; waits for a loan if this VM's share is used up.
    /// Requests on open routes are not limited.
    /// @param deadline Time up to which the request may wait.
    boost::asio::awaitable<void> admit(request_identity& identity, time_ms deadline);
    /// @brief Claims the request id for the only execution of an at-most-once request.
    boost::asio::awaitable<request_id_claim> claim_request_id(request_identity& identity,
                                                              const std::string& request_id);
    /// @brief Chooses an endpoint with a free slot and occupies the slot. A first attempt waits in the queue
    /// of the route until a slot is free or borrowed from another VM; a later one does not wait.
    /// @param tried Endpoints of the earlier attempts, which are not chosen again.
    boost::asio::awaitable<endpoint_lease>
    acquire_endpoint(request_identity& identity, const std::vector<std::uint32_t>& tried, time_ms deadline);
    /// @brief Adds a first attempt to the retry budget.
    void count_first_attempt() { retry_budget_.on_request(); }
    /// @brief Returns the delay before the next attempt; nothing when there must be none.
    std::optional<time_ms> retry_delay(const request_identity& identity, const failed_attempt& attempt);
    boost::asio::awaitable<void> sleep(time_ms duration);
    /// @brief Counts an open connection to an endpoint.
    /// @return Function to call when the connection is closed.
    std::function<void()> count_connection(std::uint32_t endpoint);
    endpoint_connection_pool& pool() { return pool_; }

    /// @brief Data for entry lookups; null before the control thread has sent it.
    [[nodiscard]] const std::shared_ptr<const entry_view>& current_entry_view() const { return entry_view_; }

    serve_metrics& metrics() { return metrics_; }
    /// @brief Whether a graceful stop has begun.
    [[nodiscard]] bool leaving() const { return leaving_; }
    /// @brief Counts a finished request in the metrics.
    /// @param identity Account and route are null as far as they are unknown.
    /// @param kind Error that was answered; nothing when an answer of an endpoint was passed on.
    void record(const request_identity& identity, std::optional<error_kind> kind, time_ms latency);
    /// @brief Connections with a request in flight; may be called by any thread.
    [[nodiscard]] std::size_t busy_connections() const {
        return busy_connections_.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::size_t open_connections() const { return connections_.size(); }
    /// @brief Handles everything that depends on time; called every few milliseconds.
    void tick();
    /// @brief Returns the state of the request path as JSON, for the operator port's /dump.
    [[nodiscard]] std::string dump();

    /// @brief Value of attempt_header for the next attempt.
    [[nodiscard]] std::string next_attempt_tag() { return std::to_string(++attempts_); }

private:
    friend class endpoint_lease;
    friend class request_id_claim;
    friend class connection_registration;

    // The waiters lie in the frame of the waiting coroutine. Whoever provides the result stores it and
    // cancels the timer, which resumes the coroutine.
    struct slot_waiter {
        boost::asio::steady_timer timer;
        std::optional<route_ticket> ticket;
        std::optional<borrowed_slot> borrowed;
        time_ms deadline;
        bool refused = false;
    };
    struct grant_waiter {
        boost::asio::steady_timer timer;
        std::optional<slot_grant> grant;
    };
    struct budget_waiter {
        boost::asio::steady_timer timer;
        bool notified = false;
    };
    struct query_waiter {
        boost::asio::steady_timer timer;
        std::optional<error_kind> answer;
    };

    void finish_attempt(const route_ticket& ticket, const attempt_result& result);
    void count_outcome(const route_ticket& ticket, const attempt_result& result);
    void send_move_sample(time_ms now);
    void dispatch_queue(std::uint32_t route);
    slot_waiter* pop_slot_waiter(std::uint32_t route);
    void lend_slot(const peer_id& borrower, const slot_request& request);
    void on_slot_grant(const peer_id& lender, const slot_grant& grant);
    void start_borrowing(const std::string& route);
    boost::asio::awaitable<void> borrow_slots(std::string route);
    boost::asio::awaitable<std::optional<borrowed_slot>> borrow_from(peer_id lender, std::string route);
    void refuse_waiters(const std::vector<std::uint64_t>& ids);
    void arm_budget_timer();
    boost::asio::awaitable<error_kind> query_bound_vm(incarnation_id bound, std::string_view request_id);
    void complete_query(const outcome_queries::answered& answered);
    void dump_route(const route& route_config, Json::Value& out) const;
    void process_budget_output();
    void apply_slot_shares(time_ms now);
    void confirm_batch();
    void close_idle_connections();
    [[nodiscard]] static clock_reading clock_now();

    boost::asio::io_context& context_;
    process_settings settings_;
    caller_memory memory_;
    peer_id self_;
    send_function send_;
    std::mt19937_64 random_;
    // Number of the last attempt at an endpoint.
    std::uint64_t attempts_ = 0;

    std::shared_ptr<const serving_snapshot> snapshot_;
    std::shared_ptr<const entry_view> entry_view_;
    key_validity key_validity_;
    std::unique_ptr<budget_manager> budgets_;
    boost::asio::steady_timer budget_timer_;
    // Wakeup that budget_timer_ is set to; -1 for none.
    time_ms armed_wakeup_{-1};
    // By budget name.
    std::unordered_multimap<std::string, budget_waiter*> budget_waiters_;
    std::optional<router> router_;
    // By route and endpoint name.
    std::map<std::pair<std::string, std::string>, slot_share_update> slot_shares_;
    // Confirmation of the last batch that is still to be sent.
    std::optional<home_batch_confirmation> unconfirmed_batch_;
    // By route and version; counted while version shares are in force.
    std::map<std::pair<std::string, std::string>, version_counts> version_outcomes_;
    time_ms next_move_sample_;
    time_ms slots_refreshed_at_;
    // By route index.
    std::vector<admission_queue> queues_;
    // By id of the queued request.
    std::unordered_map<std::uint64_t, slot_waiter*> slot_waiters_;
    // Last id given to a slot waiter, grant waiter or query waiter.
    std::uint64_t last_waiter_id_ = 0;
    slot_lender lender_;
    // VMs to borrow slots from, by route name.
    std::map<std::string, std::vector<peer_id>> lenders_by_route_;
    // Routes for which a slot is being borrowed.
    std::set<std::string> borrowing_routes_;
    // By sequence number of the slot request.
    std::unordered_map<std::uint64_t, grant_waiter*> grant_waiters_;
    retry_budget retry_budget_;
    at_most_once_registry once_registry_;
    outcome_queries once_queries_;
    // By the request number given to outcome_queries::ask.
    std::unordered_map<std::uint64_t, query_waiter*> query_waiters_;
    endpoint_connection_pool pool_;
    serve_metrics metrics_;
    std::list<connection_registration*> connections_;
    std::atomic<std::size_t> busy_connections_{0};
    bool leaving_ = false;
    bool refusing_ = false;
    // Set while leaving.
    std::optional<stop_schedule> stop_;
};

} // namespace lacewing
