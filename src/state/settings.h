#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Whether and how long a VM serves requests with a key while it cannot confirm that its key list is
/// current.
struct key_policy_settings {
    bool serve_on_store_outage = true;
    /// Maximum time since the key list was last confirmed, for serving during a store outage.
    time_ms outage_bound{900'000};
    bool serve_on_partition = false;
    /// The same for serving during a partition; used only when serve_on_partition is set.
    time_ms partition_bound{0};
};

/// @brief Limits on what one VM accepts from callers.
struct limit_settings {
    std::int64_t header_bytes = 16'384;
    time_ms header_timeout{5'000};
    /// Maximum size of a request body. Callers upload scans of up to 200 MB.
    std::int64_t body_bytes = 268'435'456;
    /// Maximum number of requests per route that wait for an endpoint.
    std::int64_t queue_length = 1000;
    /// Maximum number of open caller connections.
    std::int64_t caller_connections = 10'000;
    /// Memory of the VM in MB, of which callers may hold a part; see caller_memory.
    std::int64_t memory_mb = 2'048;
    /// Time from the signal to stop until whoever supervises the process kills it. Requests that cannot be
    /// answered in this time are refused once the stop has begun.
    time_ms stop_grace{30'000};
};

/// @brief Settings of one lacewingd process.
struct process_settings {
    vm_name vm;
    zone_name zone;
    /// Addresses ip:port of the three listeners.
    std::string caller_listen;
    std::string peer_listen;
    std::string operator_listen;
    /// Address ip:port of the store.
    std::string store;
    /// Peer addresses of VMs to contact first after the start.
    std::vector<std::string> seeds;
    key_policy_settings key_policy;
    limit_settings limits;
};

/// @brief Parses and validates the settings of a process.
/// @param text YAML or JSON.
/// @param file File name for error messages.
/// @throws config_error for an unknown field, a wrong type or unit, or a violated rule.
process_settings parse_process_settings(std::string_view text, std::string_view file);

/// @brief Whether a text contains process settings, not a configuration; false for malformed text.
bool is_process_settings(std::string_view text);

} // namespace lacewing
