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

/// @brief A service that a route sends requests to, and its weight relative to the route's other services.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// @brief A route, which is selected by host and path prefix.
struct host_route {
    route_name name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    execution_rule execution = execution_rule::at_most_once;
    /// Upper limit of a request's deadline; nothing when only the deadline that the caller sends applies.
    std::optional<time_ms> timeout;
    /// Target latency: an answer within this time has its full value to the caller.
    time_ms goal{500};
    /// Priority of the requests; 0 is the most urgent.
    int priority = 0;
    /// Number of times that a request may be sent to an endpoint, retries included.
    int max_attempts = 1;
    /// Requests need no key.
    bool open = false;
    /// Requests for an object prefer the endpoint that has recently handled it, since they run faster there.
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
    /// Time under traffic for which an endpoint counts as cold after a start.
    time_ms warmup{0};
    /// Requests per second that a cold endpoint can take.
    double max_cold_requests_per_s = 0;
};

/// @brief A client account with its rate limit, which applies over all VMs together.
struct service_account {
    account_name name;
    /// SHA-256 digests (32 bytes) of the account's keys.
    std::vector<std::string> keys;
    /// Overrides host_route::priority.
    std::optional<int> priority;
    /// 0 for no limit.
    double rate_per_s = 0;
    /// Requests that may be admitted at once after an idle period.
    double burst = 0;
    /// Regions that may handle the account's requests; empty for all.
    std::vector<region_name> homes;
};

/// @brief Limits on the size of a caller's request and on the time that a caller may take to send it.
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

/// @brief Last registration of an endpoint, written by the endpoint itself.
struct endpoint_registration {
    endpoint_name id;
    std::string service;
    std::string address;
    zone_name zone;
    std::string version;
    /// Requests that the endpoint executes at the same time.
    int slots = 1;
    bool draining = false;
    /// Remaining time for which the endpoint is cold.
    time_ms warmup_left{0};
    /// Start time of the process in Unix milliseconds; a new value under the same id means a restart.
    std::int64_t started_unix_ms = 0;
    /// Store revision of the registration.
    std::uint64_t revision = 0;
};

/// @brief Order to move a service's traffic to another version.
struct version_move_order {
    std::string service;
    std::string target_version;
    time_ms duration{0};
    /// Store revision of the object; a status write is conditional on it.
    std::uint64_t revision = 0;
    /// Store revision at which the order was created; tells a repeated order from the earlier one.
    std::uint64_t created = 0;
    enum class phase : std::uint8_t { ordered, active, completed, reverted } state = phase::ordered;
    /// Target version that the stored state refers to. If it is not target_version, the state was written for
    /// an earlier order.
    std::string state_version;
};

} // namespace lacewing
