#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief What a VM does with keyed requests while its key list has no proof of freshness.
struct key_policy_settings {
    bool serve_on_store_outage = true;
    time_ms outage_bound{900'000};
    bool serve_on_partition = false;
    /// Longest time of serving during a partition; used only when serve_on_partition is set.
    time_ms partition_bound{0};
};

/// @brief Bounds on what one VM accepts from callers.
struct limit_settings {
    std::int64_t header_bytes = 16'384;
    time_ms header_timeout{5'000};
    /// Bytes of one request body; scans reach 200 MB.
    std::int64_t body_bytes = 268'435'456;
    /// Requests that wait for an endpoint, per route.
    std::int64_t queue_length = 1000;
    /// Caller connections open at once.
    std::int64_t caller_connections = 10'000;
};

/// @brief Settings of one lacewingd process.
struct process_settings {
    vm_name vm;
    zone_name zone;
    /// Addresses ip:port of the three listeners.
    std::string caller_listen;
    std::string peer_listen;
    std::string operator_listen;
    std::string store;
    /// Peer addresses of VMs that are asked first after a start.
    std::vector<std::string> seeds;
    key_policy_settings key_policy;
    limit_settings limits;
};

/// @brief Parses and validates the settings of a process.
/// @param text YAML or JSON.
/// @param file Name used in errors.
/// @throws config_error for an unknown field, a wrong type or unit, or a violated rule.
process_settings parse_process_settings(std::string_view text, std::string_view file);

/// @brief Whether a text holds the settings of a process and not a configuration; false for malformed text.
bool is_process_settings(std::string_view text);

} // namespace lacewing
