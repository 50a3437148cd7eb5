#include "state/settings.h"

#include "state/yaml_reader.h"

#include <fmt/format.h>
#include <set>
#include <yaml-cpp/yaml.h>

namespace lacewing {

namespace {

// Reads a field that is "serve" or "refuse"; true for "serve".
bool read_serve(const yaml_reader& item, std::string_view field, bool default_value) {
    if (!item.has(field)) return default_value;
    const auto value = item.text(field);
    if (value != "serve" && value != "refuse") {
        item.fail(field, fmt::format("'{}' is neither serve nor refuse", value));
    }
    return value == "serve";
}

key_policy_settings read_key_policy(const yaml_reader& item) {
    item.check_fields({"on_store_outage", "outage_bound_s", "on_partition", "partition_bound_s"});
    const key_policy_settings defaults;
    key_policy_settings policy;
    policy.serve_on_store_outage = read_serve(item, "on_store_outage", defaults.serve_on_store_outage);
    policy.outage_bound = item.duration_or("outage_bound_s", duration_unit::seconds, defaults.outage_bound);
    policy.serve_on_partition = read_serve(item, "on_partition", defaults.serve_on_partition);
    policy.partition_bound =
        item.duration_or("partition_bound_s", duration_unit::seconds, defaults.partition_bound);
    if (policy.serve_on_partition && policy.partition_bound.count == 0) {
        item.fail("partition_bound_s", "serving during a partition needs a bound above 0");
    }
    return policy;
}

limit_settings read_limits(const yaml_reader& item) {
    item.check_fields({"header_bytes", "header_timeout_ms", "body_bytes", "queue_length",
                       "caller_connections", "memory_mb", "stop_grace_ms"});
    const limit_settings defaults;
    // A request line with the headers for a key and a request id needs at least this much.
    constexpr std::int64_t min_header_bytes = 512;
    constexpr std::int64_t min_memory_mb = 32;
    limit_settings limits;
    limits.header_bytes = item.integer_or("header_bytes", min_header_bytes, defaults.header_bytes);
    limits.header_timeout =
        item.duration_or("header_timeout_ms", duration_unit::milliseconds, defaults.header_timeout);
    if (limits.header_timeout.count == 0) item.fail("header_timeout_ms", "must be above 0");
    limits.body_bytes = item.integer_or("body_bytes", 0, defaults.body_bytes);
    limits.queue_length = item.integer_or("queue_length", 0, defaults.queue_length);
    limits.caller_connections = item.integer_or("caller_connections", 1, defaults.caller_connections);
    limits.memory_mb = item.integer_or("memory_mb", min_memory_mb, defaults.memory_mb);
    limits.stop_grace = item.duration_or("stop_grace_ms", duration_unit::milliseconds, defaults.stop_grace);
    if (limits.stop_grace.count == 0) item.fail("stop_grace_ms", "must be above 0");
    return limits;
}

} // namespace

process_settings parse_process_settings(std::string_view text, std::string_view file) {
    const yaml_reader root(text, file);
    root.check_fields({"vm", "zone", "caller_listen", "peer_listen", "operator_listen", "store", "seeds",
                       "key_policy", "limits"});
    process_settings settings;
    settings.vm = {root.name("vm")};
    settings.zone = {root.name("zone")};
    settings.caller_listen = root.address("caller_listen");
    settings.peer_listen = root.address("peer_listen");
    settings.operator_listen = root.address("operator_listen");
    settings.store = root.address("store");
    std::set<std::string> listen_addresses;
    for (const auto* field : {"caller_listen", "peer_listen", "operator_listen"}) {
        if (!listen_addresses.insert(root.address(field)).second) root.fail(field, "duplicate address");
    }
    settings.seeds = root.text_list("seeds");
    for (const auto& seed : settings.seeds) {
        if (!is_socket_address(seed)) root.fail("seeds", fmt::format("'{}' is not an address ip:port", seed));
    }
    settings.key_policy = read_key_policy(root.map("key_policy"));
    settings.limits = read_limits(root.map("limits"));
    return settings;
}

bool is_process_settings(std::string_view text) {
    try {
        const auto root = YAML::Load(std::string(text));
        return root.IsMap() && (root["vm"] || root["caller_listen"] || root["peer_listen"]);
    } catch (const YAML::Exception&) {
        return false;
    }
}

} // namespace lacewing
