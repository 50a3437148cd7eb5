#include "state/gateway_settings.h"

#include "state/yaml_reader.h"

#include <fmt/format.h>

namespace lacewing {

namespace {

// Descriptors that are not available to connections: files, listeners, timers and the log.
constexpr std::int64_t reserved_descriptors = 220;

std::string optional_address(const yaml_reader& root, std::string_view field) {
    if (!root.has(field) || root.text_or(field, "").empty()) return {};
    return root.address(field);
}

std::unordered_map<std::string, std::string> read_zones(const yaml_reader& root) {
    std::unordered_map<std::string, std::string> made;
    for (const auto& item : root.list("zones")) {
        item.allow({"zone", "region"});
        made[item.name("zone")] = item.name("region");
    }
    return made;
}

} // namespace

bool is_gateway_settings(std::string_view text) {
    try {
        const auto root = YAML::Load(std::string(text));
        return root.IsMap() && root["platform_store"];
    } catch (const YAML::Exception&) {
        return false;
    }
}

gateway_settings parse_gateway_settings(std::string_view text, std::string_view file) {
    const yaml_reader root(text, file);
    root.allow({"vm", "zone", "region", "zones", "caller_listen", "ready_listen", "lookup_listen",
                "peer_listen", "metrics_listen", "platform_store", "seeds", "descriptors", "bounds",
                "fleet_start", "log_lines_per_s"});
    gateway_settings made;
    made.vm = {root.name("vm")};
    made.zone = {root.name("zone")};
    made.region = {root.name("region")};
    made.zone_regions = read_zones(root);
    if (!made.zone_regions.contains(made.zone.value)) {
        root.fail("zones", fmt::format("does not list the zone '{}' of this VM", made.zone.value));
    }
    made.caller_listen = root.address("caller_listen");
    made.ready_listen = root.address("ready_listen");
    made.lookup_listen = optional_address(root, "lookup_listen");
    made.peer_listen = root.address("peer_listen");
    made.metrics_listen = optional_address(root, "metrics_listen");
    made.store = root.address("platform_store");
    made.seeds = root.texts("seeds");
    for (const auto& seed : made.seeds) {
        if (!is_socket_address(seed)) root.fail("seeds", fmt::format("'{}' is not an address ip:port", seed));
    }
    made.descriptors = root.integer_or("descriptors", reserved_descriptors + 32, 1024) - reserved_descriptors;
    made.fleet_start = root.flag_or("fleet_start", false);
    made.encoded_bounds = root.texts("bounds");
    made.log_lines_per_s = root.integer_or("log_lines_per_s", 1, made.log_lines_per_s);
    return made;
}

} // namespace lacewing
