#pragma once

#include "state/ids.h"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief What the accounts of a plan may use.
struct plan {
    plan_name name;
    std::int64_t rate_per_s = 0;
    /// Requests that may be admitted at once after an idle time.
    std::int64_t burst = 0;
    std::vector<route_name> routes;
    /// Share of a contended queue relative to other accounts.
    std::int64_t weight = 1;
};

struct account {
    account_name name;
    plan_name plan;
};

/// @brief Group of callers whose weight multiplies the weight of the plan.
struct caller_class {
    class_name name;
    std::int64_t weight = 1;
};

struct region {
    region_name name;
    /// Requests in flight that the region's endpoints may carry together.
    std::int64_t capacity = 0;
};

struct zone {
    zone_name name;
    region_name region;
};

/// @brief Link from one region to another; one entry per direction.
struct region_link {
    region_name from;
    region_name to;
    std::int64_t mbit_per_s = 0;
};

struct endpoint {
    endpoint_name name;
    zone_name zone;
    std::string address;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::string version;
};

struct route {
    route_name name;
    /// Needs no key.
    bool open = false;
    /// Executes at most once per request id.
    bool once = false;
    /// May be sent again after an unknown outcome.
    bool idempotent = false;
    std::vector<endpoint> endpoints;
};

/// @brief The operators' lists and the topology; immutable once it is in force.
struct configuration {
    std::vector<region> regions;
    std::vector<zone> zones;
    std::vector<region_link> links;
    std::vector<route> routes;
    std::vector<plan> plans;
    std::vector<account> accounts;
    std::vector<caller_class> classes;

    [[nodiscard]] const route* find_route(std::string_view name) const;
    [[nodiscard]] const plan* find_plan(std::string_view name) const;
    [[nodiscard]] const account* find_account(std::string_view name) const;
    [[nodiscard]] const zone* find_zone(std::string_view name) const;
};

/// @brief A rejected settings or configuration text: where and why.
class config_error : public std::runtime_error {
public:
    /// @param line 1-based line in the text, 0 when the error concerns the text as a whole.
    config_error(std::string file, int line, std::string field, std::string reason);

    [[nodiscard]] const std::string& file() const { return file_; }
    [[nodiscard]] int line() const { return line_; }
    [[nodiscard]] const std::string& field() const { return field_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

private:
    std::string file_;
    int line_;
    std::string field_;
    std::string reason_;
};

/// @brief Largest configuration text: the limit of one value of the platform's store.
inline constexpr std::size_t max_config_bytes = 1'048'576;

/// @brief Parses and validates a complete configuration.
/// @param text YAML, or JSON as it is held in the store.
/// @param file Name used in errors.
/// @throws config_error for an unknown field, a wrong type, or a violated rule.
configuration parse_configuration(std::string_view text, std::string_view file);

/// @brief Merges a text that holds some sections over a base; a section that is present replaces that of the
/// base.
/// @throws config_error as parse_configuration, after the merge.
configuration merge_configuration(const configuration& base, std::string_view text, std::string_view file);

/// @brief One text of a configuration and the name used in errors.
struct config_text {
    std::string file;
    std::string text;
};

/// @brief Merges several texts over a base and validates the result once, so their order does not matter.
/// @throws config_error as parse_configuration; also when two texts hold the same section.
configuration merge_configuration(const configuration& base, std::span<const config_text> texts);

/// @brief JSON text of a configuration; parse_configuration reads it back.
std::string to_json(const configuration& config);

} // namespace lacewing
