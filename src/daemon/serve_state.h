#pragma once

#include "coordination/admission_queue.h"
#include "coordination/budget_manager.h"
#include "coordination/entry_selector.h"
#include "coordination/once_registry.h"
#include "coordination/retry_budget.h"
#include "coordination/router.h"
#include "coordination/serving_snapshot.h"
#include "coordination/slot_lender.h"
#include "daemon/entry_view.h"
#include "daemon/serve_metrics.h"
#include "daemon/thread_messages.h"
#include "state/error_kind.h"
#include "state/settings.h"
#include "transport/endpoint_pool.h"

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

/// @brief Who asks for what: the route and, except on open routes, the account of one request.
struct request_identity {
    /// Keeps the objects below alive while the configuration changes.
    std::shared_ptr<const serving_snapshot> snapshot;
    const lacewing::route* route = nullptr;
    const lacewing::account* account = nullptr;
    const lacewing::plan* plan = nullptr;
    std::uint32_t route_index = 0;
    std::uint32_t account_index = 0;
    std::uint8_t class_index = 0;
    std::int64_t class_weight = 1;
};

/// @brief Slot that another VM has lent for one attempt.
struct borrowed_slot {
    peer_id lender;
    std::uint64_t loan = 0;
    /// Index of the endpoint at this VM's router.
    std::uint32_t endpoint = 0;
    std::string address;
    time_ms expires;
};

/// @brief Slot of one endpoint, own or borrowed, held for one attempt; released exactly once.
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

    /// @brief Closes the connection when a borrowed slot expires before finish() is called.
    void guard(boost::beast::tcp_stream& stream);

    /// @brief Notes the load that the endpoint reported; malformed text is ignored.
    void report_load(std::string_view text);

    /// @brief Releases the slot; later calls have no effect.
    void finish(attempt_outcome outcome);

private:
    serve_state* state_ = nullptr;
    route_ticket ticket_;
    time_ms started_;
    std::optional<double> load_;
    std::optional<borrowed_slot> borrowed_;

    struct expiry_guard {
        boost::asio::steady_timer timer;
        boost::beast::tcp_stream* stream;
    };
    std::shared_ptr<expiry_guard> guard_;
};

/// @brief Claim on a request id of an at-most-once route; without a claim all calls have no effect.
class once_lease {
public:
    once_lease() = default;
    once_lease(serve_state& state, std::uint64_t ticket) : state_(&state), ticket_(ticket) {}
    ~once_lease();
    once_lease(once_lease&& other) noexcept;
    once_lease& operator=(once_lease&& other) noexcept;
    once_lease(const once_lease&) = delete;
    once_lease& operator=(const once_lease&) = delete;

    /// @brief Asked before the first byte of an attempt.
    /// @throws error with error_kind::outcome_unknown when the request must not be sent.
    void before_send();
    /// @brief The attempt provably did not run.
    void attempt_not_run();
    void finish(request_effect effect);

private:
    serve_state* state_ = nullptr;
    std::uint64_t ticket_ = 0;
};

/// @brief Entry of one caller connection in the list that a graceful stop goes through.
class connection_registration {
public:
    connection_registration(serve_state& state, boost::beast::tcp_stream& stream);
    ~connection_registration();
    connection_registration(const connection_registration&) = delete;
    connection_registration& operator=(const connection_registration&) = delete;
    connection_registration(connection_registration&&) = delete;
    connection_registration& operator=(connection_registration&&) = delete;

    /// @brief Marks the beginning or the end of a request.
    void set_busy(bool busy);
    /// @brief Whether no request has begun on the connection yet.
    [[nodiscard]] bool first_request() const { return !used_; }

private:
    friend class serve_state;

    serve_state& state_;
    boost::beast::tcp_stream& stream_;
    bool busy_ = false;
    bool used_ = false;
    std::list<connection_registration*>::iterator position_;
};

/// @brief Cancels the request at an endpoint when its caller goes away; once the constructor has run.
class caller_watch {
public:
    caller_watch(boost::beast::tcp_stream& caller, boost::beast::tcp_stream& endpoint);
    ~caller_watch() { stop(); }
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;
    caller_watch(caller_watch&&) = delete;
    caller_watch& operator=(caller_watch&&) = delete;

    void stop();
    [[nodiscard]] bool caller_left() const { return shared_->caller_left; }

private:
    struct shared_flags {
        boost::beast::tcp_stream* endpoint;
        boost::beast::tcp_stream* caller;
        bool stopped = false;
        bool caller_left = false;
    };
    std::shared_ptr<shared_flags> shared_;
};

/// @brief State of the serve thread: everything that decides on requests. Used by that thread only.
class serve_state {
public:
    /// Hands messages to peers and confirmations to the control thread.
    using send_function = std::function<void(control_input)>;

    serve_state(boost::asio::io_context& context, const process_settings& settings, const peer_id& self,
                std::uint64_t seed, prometheus::Registry& registry, send_function send);

    // Inputs from the control thread.
    void apply(std::shared_ptr<const serving_snapshot> snapshot);
    void apply(const key_validity& validity) { validity_ = validity; }
    void apply(std::shared_ptr<const entry_view> entries) { entries_ = std::move(entries); }
    void apply(const peer_message& message);
    void apply(const home_batch& batch);
    void apply(stop_stage stage);
    void apply(const new_incarnation& changed);
    static void apply(std::monostate) {}

    // The request path, in its order.
    [[nodiscard]] const limit_settings& limits() const { return settings_.limits; }
    request_identity find_route(std::string_view name) const;
    void reject_key_in_target(std::string_view target, std::string_view key) const;
    /// @brief Whether a word of a header value is a key of any account, for headers that are forwarded.
    [[nodiscard]] bool holds_key(std::string_view text) const;
    void identify(request_identity& identity, std::string_view key) const;
    static void set_class(request_identity& identity, std::string_view class_name);
    boost::asio::awaitable<void> admit(request_identity& identity, time_ms deadline);
    boost::asio::awaitable<once_lease> begin_once(request_identity& identity, const std::string& request_id);
    boost::asio::awaitable<endpoint_lease>
    acquire_endpoint(request_identity& identity, const std::vector<std::uint32_t>& tried, time_ms deadline);
    void count_first_attempt() { retries_.on_request(); }
    std::optional<time_ms> retry_delay(const request_identity& identity, const failed_attempt& attempt);
    boost::asio::awaitable<void> sleep(time_ms duration);
    /// @brief Counts a connection to an endpoint.
    /// @return To be called when the connection is closed.
    std::function<void()> count_connection(std::uint32_t endpoint);
    endpoint_connection_pool& pool() { return pool_; }

    // Lookups.
    [[nodiscard]] const std::shared_ptr<const entry_view>& entries() const { return entries_; }

    // Bookkeeping.
    serve_metrics& metrics() { return metrics_; }
    [[nodiscard]] bool leaving() const { return leaving_; }
    /// @brief Counts a finished request; an account of null stands for a caller without an accepted key.
    void record(const request_identity& identity, std::optional<error_kind> kind, time_ms latency);
    /// @brief Requests in flight; may be read by any thread.
    [[nodiscard]] std::size_t busy_connections() const { return busy_.load(std::memory_order_relaxed); }
    [[nodiscard]] std::size_t open_connections() const { return connections_.size(); }
    void tick();
    /// @brief State for the dump: JSON text.
    [[nodiscard]] std::string dump();

private:
    friend class endpoint_lease;
    friend class once_lease;
    friend class connection_registration;

    struct slot_waiter {
        boost::asio::steady_timer timer;
        std::optional<route_ticket> ticket;
        std::optional<borrowed_slot> borrowed;
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
    slot_waiter* next_waiter(std::uint32_t route);
    void lend_slot(const peer_id& borrower, const slot_request& request);
    void apply(const peer_id& lender, const slot_grant& grant);
    void start_borrowing(const std::string& route);
    boost::asio::awaitable<void> borrow_slots(std::string route);
    boost::asio::awaitable<std::optional<borrowed_slot>> borrow_from(peer_id lender, std::string route);
    void refuse_waiters(const std::vector<std::uint64_t>& ids);
    void arm_budget_timer();
    boost::asio::awaitable<error_kind> ask_bound_vm(incarnation_id bound, std::string_view request_id);
    void complete_query(const outcome_queries::answered& answered);
    void dump_route(const route& of, Json::Value& out) const;
    void pump_budgets();
    void apply_slot_shares(time_ms now);
    void confirm_batch();
    void close_idle_connections();
    [[nodiscard]] static clock_reading clock_now();

    boost::asio::io_context& context_;
    process_settings settings_;
    peer_id self_;
    send_function send_;
    std::mt19937_64 random_;

    std::shared_ptr<const serving_snapshot> snapshot_;
    std::shared_ptr<const entry_view> entries_;
    key_validity validity_;
    std::unique_ptr<budget_manager> budgets_;
    boost::asio::steady_timer budget_timer_;
    time_ms armed_wakeup_{-1};
    std::unordered_multimap<std::string, budget_waiter*> budget_waiters_;
    std::optional<router> router_;
    // By route and endpoint name.
    std::map<std::pair<std::string, std::string>, slot_share_update> slot_shares_;
    std::optional<home_batch_confirmation> unconfirmed_;
    // By route and version, counted while version moves are stored.
    std::map<std::pair<std::string, std::string>, version_counts> outcomes_;
    time_ms next_move_sample_;
    time_ms slots_refreshed_;
    std::vector<admission_queue> queues_;
    std::unordered_map<std::uint64_t, slot_waiter*> slot_waiters_;
    std::uint64_t next_waiter_ = 0;
    slot_lender lender_;
    std::map<std::string, std::vector<peer_id>> slot_lenders_;
    // Routes for which a slot is being borrowed.
    std::set<std::string> borrowing_;
    std::unordered_map<std::uint64_t, grant_waiter*> grant_waiters_;
    retry_budget retries_;
    at_most_once_registry once_;
    outcome_queries queries_;
    std::unordered_map<std::uint64_t, query_waiter*> query_waiters_;
    endpoint_connection_pool pool_;
    serve_metrics metrics_;
    std::list<connection_registration*> connections_;
    std::atomic<std::size_t> busy_{0};
    bool leaving_ = false;
    bool refusing_ = false;
};

} // namespace lacewing
