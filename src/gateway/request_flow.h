#pragma once

#include "coordination/account_limiter.h"
#include "coordination/answer_memory.h"
#include "coordination/answer_size_estimator.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/memory_plan.h"
#include "coordination/repeat_budget.h"
#include "coordination/route_table.h"
#include "coordination/send_ledger.h"
#include "coordination/stop_schedule.h"
#include "coordination/usage_windows.h"
#include "coordination/version_mover.h"
#include "gateway/caller_server.h"
#include "gateway/deadline_queue.h"
#include "gateway/endpoint_attempt.h"
#include "protocol/caller_dialect.h"
#include "state/error_kind.h"

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Request totals since the start of the process, for the metrics.
struct request_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed_by_endpoint = 0;
    /// Sends beyond the first of a request.
    std::uint64_t repeats = 0;
    std::uint64_t callers_left = 0;
    /// Refusals for which another region had an endpoint, beyond the limit on shifts between regions.
    std::uint64_t refused_by_shift_limit = 0;
    /// Refusals for which another endpoint was usable, beyond the limit that it has named.
    std::uint64_t refused_by_endpoint_limits = 0;
    /// Refusals for which another endpoint was usable but for the pause that it has asked for.
    std::uint64_t refused_by_endpoint_pauses = 0;
    /// Sends to endpoints with a limit in force.
    std::uint64_t sent_to_limited_endpoints = 0;
    /// Error answers by error_kind.
    std::array<std::uint64_t, 32> refused{};
    /// Statements of endpoints that they did not run a request.
    std::uint64_t stated_not_run = 0;
    /// Answers of endpoints with a status that promises "not run", without a statement that names the
    /// request.
    std::uint64_t unproven_refusals = 0;
    /// Upper bounds of the latency histogram, and the count of each bucket; the last one has no bound.
    static constexpr std::array<int, 10> latency_bounds_ms{25,  50,   100,  200,  400,
                                                           800, 1200, 2000, 4000, 8000};
    std::array<std::uint64_t, 11> latency_counts{};
    double latency_sum_ms = 0;
};

/// @brief Processes requests: finds route and account, applies the rate limit, chooses endpoints, forwards
/// and answers.
class request_flow {
public:
    /// Memory of a VM whose settings name none, in MB.
    static constexpr std::int64_t default_memory_mb = 512;

    request_flow(deadline_queue& deadlines, endpoint_connection_pool& pool, const caller_dialect& dialect,
                 endpoint_registry& registry, endpoint_selector& selector, account_limiter& limiter,
                 repeat_budget& repeats, version_mover& moves, std::uint64_t seed);

    /// @brief Puts a configuration into force; requests in progress keep the one they started with.
    void set_routes(std::shared_ptr<const route_table> routes) { routes_ = std::move(routes); }
    [[nodiscard]] const std::shared_ptr<const route_table>& routes() const { return routes_; }
    /// @brief Counts the requests that endpoints run.
    /// @param counter Outlives this object.
    void set_usage_counter(usage_counter* counter) { usage_ = counter; }
    /// @brief Begins a graceful stop: from now on, only requests that the schedule admits are sent to
    /// endpoints.
    void begin_stop(const stop_schedule& schedule) { stop_ = schedule; }
    /// @brief Gives up the requests that are at endpoints. Their callers get an error answer that does not
    /// tell whether the request has run.
    void give_up_requests();

    /// @brief Processes one request of a caller.
    /// @param sink Receives an answer that is too long to be buffered.
    boost::asio::awaitable<caller_answer> handle(caller_request& request, answer_sink sink);

    /// @brief How long a caller waits for its answer, by the head of its request.
    static time_ms patience(const boost::beast::http::fields& fields, const caller_dialect& dialect);

    [[nodiscard]] const request_counters& counters() const { return counters_; }
    /// @brief Account of the answers that are buffered.
    [[nodiscard]] answer_memory& buffered_answers() { return buffered_answers_; }
    [[nodiscard]] const answer_memory& buffered_answers() const { return buffered_answers_; }

private:
    /// State of one request while it is processed.
    struct request_context {
        caller_request* request = nullptr;
        std::shared_ptr<const route_table> routes;
        const host_route* route = nullptr;
        const service_account* account = nullptr;
        const backend_service* service = nullptr;
        std::string service_name;
        std::string path;
        std::string host;
        std::string attempt_id;
        time_ms deadline{0};
        /// When the caller first sent this request, estimated from how much shorter its deadline has become.
        time_ms first_arrival{0};
        int priority = 0;
        /// Tag of the route and the object of the affinity cookie; 0 for none.
        std::uint32_t object_tag = 0;
        /// Expected size of request body and answer together.
        std::size_t expected_bytes = 0;
        /// Time until the answer, as last estimated by the endpoint selector.
        time_ms expected_latency{0};
        /// Ids of the endpoints tried so far.
        std::vector<std::string> tried;
        /// Id of the endpoint tried last.
        std::string endpoint;
        /// The last endpoint was expected to handle the object faster, having handled it lately.
        bool warm = false;
        /// An endpoint has run the request and failed.
        bool failed_before = false;
        /// The request has taken a token of its account's rate.
        bool charged = false;
        /// Decides whether an error answer may say "not run".
        send_ledger sends;
    };
    struct refusal {
        error_kind kind;
        std::string detail;
        time_ms retry_after{0};
    };

    void resolve_request(request_context& context);
    refusal capacity_refusal(const endpoint_choice& choice, bool repeat, time_ms left);
    void learn_full_deadline(request_context& context, time_ms wait);
    std::optional<refusal> admit(request_context& context);
    boost::asio::awaitable<caller_answer> forward(request_context& context, const answer_sink& sink);
    [[nodiscard]] bool may_finish(const request_context& context, time_ms now) const;
    boost::asio::awaitable<endpoint_result> attempt(request_context& context, const endpoint_request& query,
                                                    const endpoint_choice& choice, const answer_sink& sink);
    void learn_endpoint_word(const request_context& context, endpoint_state& endpoint,
                             const endpoint_answer& answer);
    void learn_endpoint_limit(endpoint_state& endpoint, const endpoint_answer& answer);
    [[nodiscard]] static sent_request describe_send(const request_context& context,
                                                    const endpoint_state& endpoint,
                                                    const endpoint_choice& choice);
    void record_version_outcome(request_context& context, const endpoint_state& endpoint,
                                const endpoint_choice& choice, const endpoint_result& result,
                                time_ms duration, bool overdue);
    [[nodiscard]] endpoint_request make_endpoint_request(const request_context& context, time_ms now,
                                                         const region_filter& regions,
                                                         const version_choice& version) const;
    [[nodiscard]] attempt_message make_attempt_message(const request_context& context,
                                                       const std::string& endpoint, time_ms time_left) const;
    void record_endpoint_refusal(const request_context& context, const endpoint_result& result);
    [[nodiscard]] bool may_retry(const request_context& context, const endpoint_result& result) const;
    static caller_answer make_caller_answer(const endpoint_answer& answer);
    caller_answer refuse(const request_context& context, refusal cause);
    void record_result(const request_context& context, unsigned status, std::string_view outcome,
                       std::string_view detail);

    deadline_queue& deadlines_;
    endpoint_connection_pool& pool_;
    const caller_dialect& dialect_;
    endpoint_registry& registry_;
    endpoint_selector& selector_;
    account_limiter& limiter_;
    repeat_budget& repeats_;
    answer_memory buffered_answers_{memory_plan(default_memory_mb).answer_bytes()};
    version_mover& moves_;
    // Null when nobody asks for the counts.
    usage_counter* usage_ = nullptr;
    weighted_service_selector split_;
    std::mt19937_64 random_;
    std::shared_ptr<const route_table> routes_;
    // Longest deadline that callers of each route have sent, which is taken for the deadline of a first try.
    std::unordered_map<std::string, time_ms> full_deadlines_;
    answer_size_estimator answer_sizes_;
    request_counters counters_;
    // Set from the start of a graceful stop.
    std::optional<stop_schedule> stop_;
    // Attempts that wait for an answer.
    std::set<endpoint_attempt*> attempts_;
};

} // namespace lacewing
