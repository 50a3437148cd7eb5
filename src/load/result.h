#pragma once

#include "load/histogram.h"

#include <json/value.h>
#include <map>
#include <string>
#include <vector>

namespace lacewing::load {

/// @brief One second of one account.
struct account_second {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    histogram latency;
};

struct account_result {
    /// Requests per second: offered by the generator, allowed by the plan.
    double offered_rate = 0;
    std::int64_t allowed_rate = 0;
    std::uint64_t offered = 0;
    /// Requests by outcome: "ok", or error kind and effect as "kind/effect".
    std::map<std::string, std::uint64_t> outcomes;
    /// Rate refusals of requests that conform to rate and burst, while the offered rate is within the plan.
    std::uint64_t wrongful = 0;
    /// Answers that belong to another request or were damaged.
    std::uint64_t foreign = 0;
    histogram latency;
    std::vector<account_second> seconds;
    /// Boot time in milliseconds of the newest request of each route that began and was answered with "ok".
    std::map<std::string, std::int64_t> last_ok_ms;
    std::int64_t last_offered_ms = 0;
};

struct load_result {
    std::int64_t start_ms = 0;
    double duration_s = 0;
    std::map<std::string, account_result> accounts;
    /// Boot time in milliseconds of the begin of the newest request that each endpoint answered.
    std::map<std::string, std::int64_t> endpoint_last_ms;
    histogram latency;

    [[nodiscard]] std::uint64_t count(const std::string& outcome) const;
    [[nodiscard]] std::uint64_t offered() const;
    [[nodiscard]] std::uint64_t foreign() const;
};

/// @brief Table of outcomes and latency quantiles per account.
std::string summary(const load_result& result);

Json::Value to_json(const load_result& result);

/// @brief Differences of throughput, wrongful refusals and latency to an earlier result of to_json.
std::string compare(const Json::Value& earlier, const Json::Value& current);

/// @brief Time from each mark to its last answered request. One mark a line: LABEL BOOT_MS KIND NAME with
/// KIND account (NAME an account), route (ACCOUNT/ROUTE) or endpoint (an address).
/// @throws std::runtime_error for a malformed line.
std::string effect_table(const load_result& result, const std::string& marks);

/// @brief Self-contained SVG: admitted against allowed rate, and latency, per account over time.
std::string plot_svg(const load_result& result);

} // namespace lacewing::load
