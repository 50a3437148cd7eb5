#pragma once

#include "state/ids.h"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Routes, rate limit and queue weight of the accounts of a plan.
struct plan {
    plan_name name;
    std::int64_t rate_per_s = 0;
    /// Requests that may be admitted at once after an idle period.
    std::int64_t burst = 0;
    std::vector<route_name> routes;
    /// Weight of each account in a contended admission queue, relative to other accounts.
    std::int64_t weight = 1;
};

struct account {
    account_name name;
    plan_name plan;
};

/// @brief Class of an account's callers; its weight is relative to the account's other classes in the queue.
struct caller_class {
    class_name name;
    std::int64_t weight = 1;
};

struct region {
    region_name name;
    /// Maximum of requests in flight over all endpoints of the region.
    std::int64_t capacity = 0;
};

struct zone {
    zone_name name;
    region_name region;
};

/// @brief Network link from one region to another; each direction has its own entry.
struct region_link {
    region_name from;
    region_name to;
    std::int64_t mbit_per_s = 0;
};

struct endpoint {
    endpoint_name name;
    zone_name zone;
    std::string address;
    /// Requests that the endpoint executes at the same time.
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::string version;
};

struct route {
    route_name name;
    /// Requests need no key.
    bool open = false;
    /// At-most-once: a request is executed at most once per request id.
    bool once = false;
    /// A request may be sent again when it is unknown whether the first attempt was executed.
    bool idempotent = false;
    std::vector<endpoint> endpoints;
};

/// @brief Complete configuration: the topology and the operators' lists. Immutable once it is in force.
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

/// @brief Rejection of a settings or configuration text, with file, line, field and reason.
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

/// @brief Maximum size of a configuration text: the platform's store holds no larger value.
inline constexpr std::size_t max_config_bytes = 1'048'576;

/// @brief Parses and validates a complete configuration.
/// @param text YAML, or JSON as stored.
/// @param file File name for error messages.
/// @throws config_error for an unknown field, a wrong type, or a violated rule.
configuration parse_configuration(std::string_view text, std::string_view file);

/// @brief Replaces the sections of a base that the text contains, and validates the result.
/// @throws config_error like parse_configuration.
configuration merge_configuration(const configuration& base, std::string_view text, std::string_view file);

/// @brief Text of a configuration file and the file name for error messages.
struct config_text {
    std::string file;
    std::string text;
};

/// @brief Replaces the sections of a base that the texts contain. Only the final result is validated, so the
/// order of the texts does not matter.
/// @throws config_error like parse_configuration, and when two texts contain the same section.
configuration merge_configuration(const configuration& base, std::span<const config_text> texts);

/// @brief Formats a configuration as JSON that parse_configuration accepts.
std::string to_json(const configuration& config);

} // namespace lacewing
