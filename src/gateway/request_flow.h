#pragma once

#include "coordination/account_limiter.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_selector.h"
#include "coordination/repeat_budget.h"
#include "coordination/route_table.h"
#include "coordination/version_mover.h"
#include "gateway/caller_server.h"
#include "gateway/deadlines.h"
#include "gateway/endpoint_attempt.h"
#include "protocol/caller_dialect.h"
#include "state/error_kind.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Totals of one process for the metrics.
struct flow_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed_by_endpoint = 0;
    std::uint64_t repeats = 0;
    std::uint64_t callers_left = 0;
    std::array<std::uint64_t, 32> refused{};
    /// Upper bounds of the latency histogram in milliseconds, and the counts.
    static constexpr std::array<int, 10> bounds{25, 50, 100, 200, 400, 800, 1200, 2000, 4000, 8000};
    std::array<std::uint64_t, 11> latency{};
    double latency_sum_ms = 0;
};

/// @brief The path of a request: route, account, rate, endpoint, attempt, answer.
class request_flow {
public:
    request_flow(deadlines& times, endpoint_connection_pool& pool, const caller_dialect& names,
                 endpoint_registry& registry, endpoint_selector& selector, account_limiter& limiter,
                 repeat_budget& repeats, version_mover& moves, std::uint64_t seed);

    /// @brief Puts a configuration into force; requests that have begun keep theirs.
    void set_routes(std::shared_ptr<const route_table> routes) { routes_ = std::move(routes); }
    [[nodiscard]] const std::shared_ptr<const route_table>& routes() const { return routes_; }
    /// @brief From now on requests are refused, because the process is about to end.
    void refuse_all() { refusing_ = true; }

    /// @brief Handles one request of a caller.
    boost::asio::awaitable<caller_answer> handle(caller_request& request, answer_sink sink);

    [[nodiscard]] const flow_counters& counters() const { return counters_; }

private:
    /// One request on its way.
    struct journey {
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
        /// When the caller first asked, as far as its shrinking deadline tells.
        time_ms first_asked{0};
        int priority = 0;
        std::uint32_t object = 0;
        std::size_t bytes = 0;
        /// Time until the answer that the selector last expected.
        time_ms expected{0};
        std::vector<std::string> tried;
        std::string endpoint;
        /// The endpoint was expected to know the object.
        bool warm = false;
        /// Some endpoint may have run the request.
        bool may_have_run = false;
    };
    struct refusal {
        error_kind kind;
        std::string detail;
        time_ms retry_after{0};
    };

    void identify(journey& of);
    void note_deadline(journey& of, time_ms wait);
    std::optional<refusal> admit(journey& of);
    boost::asio::awaitable<caller_answer> forward(journey& of, const answer_sink& sink);
    boost::asio::awaitable<endpoint_result> attempt(journey& of, const endpoint_request& asked,
                                                    const endpoint_choice& choice, const answer_sink& sink);
    void judge_version(const journey& of, const endpoint_state& endpoint, const endpoint_choice& choice,
                       const endpoint_result& result, time_ms taken);
    [[nodiscard]] endpoint_request request_of(const journey& of, time_ms now, const region_filter& regions,
                                              const version_choice& version) const;
    [[nodiscard]] attempt_message message_for(const journey& of, const std::string& endpoint,
                                              time_ms left) const;
    [[nodiscard]] bool may_repeat(const journey& of, const endpoint_result& result) const;
    static caller_answer answer_from(const endpoint_answer& answer);
    caller_answer refuse(const journey& of, const refusal& why);
    void record(const journey& of, unsigned status, std::string_view outcome, std::string_view detail);

    deadlines& times_;
    endpoint_connection_pool& pool_;
    const caller_dialect& names_;
    endpoint_registry& registry_;
    endpoint_selector& selector_;
    account_limiter& limiter_;
    repeat_budget& repeats_;
    version_mover& moves_;
    weighted_service_selector split_;
    std::mt19937_64 random_;
    std::shared_ptr<const route_table> routes_;
    // Longest deadline that callers of a route have sent lately: that of a first try.
    std::unordered_map<std::string, time_ms> full_deadlines_;
    flow_counters counters_;
    bool refusing_ = false;
};

} // namespace lacewing
