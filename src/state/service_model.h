#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Whether an endpoint may execute a request more than once.
enum class execution_rule : std::uint8_t { idempotent, at_most_once };

/// @brief One service of a route and its share of the requests.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// @brief A route selected by host and path prefix.
struct host_route {
    route_name name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    execution_rule execution = execution_rule::at_most_once;
    /// Longest time that a caller waits for the final answer; nothing when only the caller's deadline counts.
    std::optional<time_ms> timeout;
    /// Time within which an answer has its full value to the caller.
    time_ms goal{500};
    /// 0 is the most urgent.
    int priority = 0;
    /// Endpoints that one request may be sent to.
    int max_attempts = 1;
    /// Needs no key.
    bool open = false;
    /// Requests for one object run faster on an endpoint that has just handled that object.
    bool affinity = false;
    std::vector<weighted_service> parts;
    /// Regions that may handle the requests; empty for all.
    std::vector<region_name> homes;
};

/// @brief A group of interchangeable endpoints.
struct backend_service {
    std::string name;
    std::string health_path;
    int max_connections = 0;
    /// Time for which an endpoint is cold after a start under traffic.
    time_ms warmup{0};
    /// Requests per second that a cold endpoint tolerates.
    double max_cold_requests_per_s = 0;
};

/// @brief A client account with its allowance over all VMs together.
struct service_account {
    account_name name;
    /// SHA-256 digests (32 bytes) of the account's keys.
    std::vector<std::string> keys;
    /// Replaces the priority of the route.
    std::optional<int> priority;
    /// 0 for no limit.
    double rate_per_s = 0;
    double burst = 0;
    /// Regions that may handle the account's requests; empty for all.
    std::vector<region_name> homes;
};

/// @brief Bounds on what a caller may send, and how slowly.
struct caller_bounds {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{64} * 1024 * 1024;
    time_ms header_timeout{3000};
    time_ms idle_timeout{15000};
};

/// @brief One version of the operators' configuration; immutable once it is in force.
struct service_configuration {
    std::uint64_t version = 0;
    std::vector<host_route> routes;
    std::unordered_map<std::string, backend_service> services;
    std::vector<service_account> accounts;
    caller_bounds bounds;
};

/// @brief What an endpoint last registered about itself.
struct endpoint_registration {
    endpoint_name id;
    std::string service;
    std::string address;
    zone_name zone;
    std::string version;
    int slots = 1;
    bool draining = false;
    time_ms warmup_left{0};
    /// Unix milliseconds of the process start; another value under the same id is another process.
    std::int64_t started_unix_ms = 0;
    /// Store revision of the registration.
    std::uint64_t revision = 0;
};

/// @brief Order to move a service's traffic to another version.
struct version_move_order {
    std::string service;
    std::string target_version;
    time_ms duration{0};
    /// Store revision of the object, the condition of a status write.
    std::uint64_t revision = 0;
    /// Store revision at which the order was created; distinguishes a repeated order.
    std::uint64_t created = 0;
    enum class phase : std::uint8_t { ordered, active, completed, reverted } state = phase::ordered;
    /// Version that the stored state is about; a state about another version is of an earlier order.
    std::string state_version;
};

} // namespace lacewing
