#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Limits that a deployment guarantees to its users. The defaults are those of the strictest known
/// deployment.
struct service_bounds {
    /// Maximum time from the store's record that an endpoint drains to the last request sent to it.
    time_ms drain{2000};
    /// Maximum time from the acceptance of a configuration by the store until it is in force on all VMs.
    time_ms apply{2000};
    /// Time from SIGTERM to SIGKILL.
    time_ms stop_grace{6000};
    /// Maximum lifetime of a lookup answer.
    time_ms lookup_lifetime{5000};
    /// Maximum time from the first signs that a version is bad to the last request sent to it.
    time_ms rollback{5000};
    /// Retry budget: within each window all VMs together may send ratio x requests + slack retries to a
    /// service.
    time_ms retry_budget_window{10000};
    double retry_budget_ratio = 0.2;
    double retry_budget_slack = 50;
    /// During a version move a bad version gets at most this share of the service's requests, plus the slack.
    double exposure_share = 0.1;
    double exposure_slack = 50;
    /// Time within which a duty of the fleet does not return to a VM that has passed it on.
    time_ms duty_term{3000};
    /// Length of the windows of the usage reports, and the time after its end at which a report is due.
    time_ms usage_window{5000};
    time_ms usage_late{10'000};
    /// Maximum share of a region's requests that may move to other regions from one 2 s window to the next.
    double max_region_shift = 0.15;
};

/// @brief Settings of a lacewingd process that runs on the users' platform.
struct gateway_settings {
    vm_name vm;
    zone_name zone;
    region_name region;
    /// Region of every zone.
    std::unordered_map<std::string, std::string> zone_regions;
    /// Addresses ip:port; the lookup address is empty when this VM does not answer lookups.
    std::string caller_listen;
    std::string ready_listen;
    std::string lookup_listen;
    std::string peer_listen;
    /// Metrics address; empty for none.
    std::string metrics_listen;
    /// Address of the platform's store.
    std::string store;
    /// Peer addresses of VMs to contact first after the start.
    std::vector<std::string> seeds;
    /// Address of the platform's interface for duties of the fleet; empty when there is none.
    std::string duty_api;
    /// Duties that the fleet performs there.
    std::vector<std::string> duties;
    /// The whole fleet starts for the first time, so no account has used any of its rate limit yet.
    bool fleet_start = false;
    /// File descriptors that connections may use.
    std::int64_t descriptors = 1024;
    /// Processor time that this process may use, in thousandths of a core; 0 if unknown.
    std::uint32_t processor_millicores = 0;
    /// Bandwidth of this VM's link, in Mbit/s; 0 if unknown.
    std::uint32_t link_mbps = 0;
    /// Memory of the VM in MB, of which callers may hold a part; see caller_memory.
    std::int64_t memory_mb = 512;
    /// Values of service_bounds as texts "name=value" with the names of the platform, not decoded yet.
    std::vector<std::string> encoded_bounds;
    /// Maximum number of log lines per second; further lines are dropped and counted.
    std::int64_t log_lines_per_s = 60;
};

/// @brief Whether a text contains settings of a process on the users' platform; false for malformed text.
bool is_gateway_settings(std::string_view text);

/// @brief Parses and validates the settings of a process on the users' platform.
/// @param text YAML or JSON.
/// @param file File name for error messages.
/// @throws config_error for a missing or unknown field, a wrong type or a violated rule.
gateway_settings parse_gateway_settings(std::string_view text, std::string_view file);

} // namespace lacewing
