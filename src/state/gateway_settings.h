#pragma once

#include "state/ids.h"
#include "state/time_ms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing {

/// @brief Bounds that a deployment promises its users. The defaults are the strictest known deployment's.
struct service_bounds {
    /// A leaving endpoint gets no request later than this after the store has recorded its leaving.
    time_ms drain{2000};
    /// A configuration is in force everywhere this long after the store has accepted it.
    time_ms apply{2000};
    /// From SIGTERM to SIGKILL.
    time_ms stop_grace{6000};
    /// Longest lifetime of a lookup answer.
    time_ms lookup_lifetime{5000};
    /// A bad version gets no request later than this after it has shown itself.
    time_ms rollback{5000};
    /// Repeated sends to a service within the window: ratio x requests + slack, over all VMs.
    time_ms retry_budget_window{10000};
    double retry_budget_ratio = 0.2;
    double retry_budget_slack = 50;
    /// Share of a service's requests that a bad version may get during a move, and a fixed number on top.
    double exposure_share = 0.1;
    double exposure_slack = 50;
    /// Share of one region's requests that may change their region between two windows of 2 s.
    double max_region_shift = 0.15;
};

/// @brief Settings of a lacewingd that serves on the users' platform.
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
    std::vector<std::string> seeds;
    /// The whole fleet starts for the first time, so no budget has been used yet.
    bool fleet_start = false;
    /// Descriptors that connections may use.
    std::int64_t descriptors = 1024;
    /// Texts "name=value" as the platform gives them; decoded at the boundary.
    std::vector<std::string> encoded_bounds;
    /// Lines of the log per second; further lines are counted and left out.
    std::int64_t log_lines_per_s = 60;
};

/// @brief Whether a settings text is for the users' platform.
bool is_gateway_settings(std::string_view text);

/// @brief Parses and validates settings.
/// @param text YAML or JSON.
/// @param file Name used in errors.
/// @throws config_error for a missing or unknown field, a wrong type or a violated rule.
gateway_settings parse_gateway_settings(std::string_view text, std::string_view file);

} // namespace lacewing
