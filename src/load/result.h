#pragma once

#include "load/histogram.h"

#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace lacewing::load {

/// @brief Counts of one account for the requests that arrived in one second.
struct account_second {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    histogram latency;
};

/// @brief Result of one account.
struct account_result {
    /// Rate that the generator offers, in requests per second.
    double offered_rate = 0;
    /// Rate of the plan, in requests per second.
    std::int64_t allowed_rate = 0;
    std::uint64_t offered = 0;
    /// Number of requests by outcome: "ok", or error kind and effect as "kind/effect".
    std::map<std::string, std::uint64_t> outcomes;
    /// Requests refused with rate_exceeded although they conform to the plan's rate and burst; counted only
    /// when the offered rate is at most the plan's rate.
    std::uint64_t wrongful_refusals = 0;
    /// Answers with status 200 that belong to another request or are damaged.
    std::uint64_t mismatched_answers = 0;
    histogram latency;
    /// By second of arrival, counted from the start of the run.
    std::vector<account_second> seconds;
    /// By route: arrival of the newest request with outcome "ok", in milliseconds since boot.
    std::map<std::string, std::int64_t> last_ok_arrival_ms;
    /// Arrival of the newest request, in milliseconds since boot.
    std::int64_t last_offered_ms = 0;
};

/// @brief Result of a load run.
struct load_result {
    /// Start of the run in milliseconds since boot.
    std::int64_t start_ms = 0;
    double duration_s = 0;
    std::map<std::string, account_result> accounts;
    /// By endpoint address: arrival of the newest request that the endpoint answered, in milliseconds since
    /// boot.
    std::map<std::string, std::int64_t> endpoint_last_ms;
    histogram latency;

    /// @brief Number of requests with the outcome, over all accounts.
    [[nodiscard]] std::uint64_t count(const std::string& outcome) const;
    [[nodiscard]] std::uint64_t offered() const;
    [[nodiscard]] std::uint64_t mismatched_answers() const;
};

/// @brief Text table of outcomes and latency quantiles per account.
std::string summary(const load_result& result);

/// @brief The result as JSON, as written by --out and read by --compare.
Json::Value to_json(const load_result& result);

/// @brief Text that compares throughput, wrongful refusals and latency per account with an earlier
/// result of to_json.
std::string compare(const Json::Value& earlier, const Json::Value& current);

/// @brief Text table of the time from each mark to the arrival of its last answered request, which tells when
/// a change made at the mark took effect.
/// @param marks One mark per line: LABEL BOOT_MS KIND NAME. BOOT_MS is in milliseconds since boot; KIND is
/// account (NAME is an account), route (ACCOUNT/ROUTE) or endpoint (an address).
/// @throws std::runtime_error for a malformed line.
std::string effect_table(const load_result& result, const std::string& marks);

/// @brief Self-contained SVG with two plots per account over time: answered, offered and allowed rate;
/// latency.
std::string plot_svg(const load_result& result);

} // namespace lacewing::load
