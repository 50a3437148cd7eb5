#include "state/gateway_settings.h"

#include "state/yaml_reader.h"

#include <fmt/format.h>

#include <cmath>

namespace lacewing {

namespace {

// File descriptors that connections cannot use: those of files, listeners, timers and the log.
constexpr std::int64_t reserved_descriptors = 220;
constexpr std::int64_t min_memory_mb = 32;

// Address in a field, empty when the field is absent or empty.
std::string optional_address(const yaml_reader& root, std::string_view field) {
    if (!root.has(field) || root.text_or(field, "").empty()) return {};
    return root.address(field);
}

std::unordered_map<std::string, std::string> read_zone_regions(const yaml_reader& root) {
    std::unordered_map<std::string, std::string> zone_regions;
    for (const auto& item : root.list("zones")) {
        item.check_fields({"zone", "region"});
        zone_regions[item.name("zone")] = item.name("region");
    }
    return zone_regions;
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
    root.check_fields({"vm",
                       "zone",
                       "region",
                       "zones",
                       "caller_listen",
                       "ready_listen",
                       "lookup_listen",
                       "peer_listen",
                       "metrics_listen",
                       "platform_store",
                       "seeds",
                       "descriptors",
                       "memory_mb",
                       "bounds",
                       "fleet_start",
                       "log_lines_per_s",
                       "processor_share",
                       "processor_cores",
                       "link_mbps",
                       "duty_api",
                       "duties"});
    gateway_settings settings;
    settings.vm = {root.name("vm")};
    settings.zone = {root.name("zone")};
    settings.region = {root.name("region")};
    settings.zone_regions = read_zone_regions(root);
    if (!settings.zone_regions.contains(settings.zone.value)) {
        root.fail("zones", fmt::format("does not list the zone '{}' of this VM", settings.zone.value));
    }
    settings.caller_listen = root.address("caller_listen");
    settings.ready_listen = root.address("ready_listen");
    settings.lookup_listen = optional_address(root, "lookup_listen");
    settings.peer_listen = root.address("peer_listen");
    settings.metrics_listen = optional_address(root, "metrics_listen");
    settings.store = root.address("platform_store");
    settings.duty_api = optional_address(root, "duty_api");
    if (root.has("duties")) settings.duties = root.text_list("duties");
    settings.seeds = root.text_list("seeds");
    for (const auto& seed : settings.seeds) {
        if (!is_socket_address(seed)) root.fail("seeds", fmt::format("'{}' is not an address ip:port", seed));
    }
    settings.descriptors =
        root.integer_or("descriptors", reserved_descriptors + 32, 1024) - reserved_descriptors;
    settings.processor_millicores = static_cast<std::uint32_t>(
        std::lround(root.number_or("processor_share", 0) * root.number_or("processor_cores", 1) * 1000));
    settings.link_mbps = static_cast<std::uint32_t>(std::lround(root.number_or("link_mbps", 0)));
    settings.memory_mb = root.integer_or("memory_mb", min_memory_mb, settings.memory_mb);
    settings.fleet_start = root.boolean_or("fleet_start", false);
    settings.encoded_bounds = root.text_list("bounds");
    settings.log_lines_per_s = root.integer_or("log_lines_per_s", 1, settings.log_lines_per_s);
    return settings;
}

} // namespace lacewing
